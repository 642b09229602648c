package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Odd requests under troubles: each answer is the protocol's or says later, and nothing comes of
 * any. Three controllers, in virtual time.
 */
class MalformedRequestsTest {
  private static final double FROM_S = 6;
  private static final double SECONDS = 80;

  private enum Trouble {
    NONE,
    SLOW_STATE,
    LATE_WRITES,
    REFUSED,
    OUTAGE,
    ALL_END,
    LONE_LEADER,
    STANDSTILL
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7})
  void eachGetsItsAnswer(int number) {
    Trouble trouble = Trouble.values()[number];
    SimulatedCluster world = new SimulatedCluster(20 + number);
    world.state().applyLate(0);
    Random random = new Random(number);
    world.time().at(FROM_S, () -> MalformedRequests.begin(world.around(), 0.05, SECONDS, random));
    for (int i = 0; i < 40; i++) {
      int job = 100 + i;
      world.time().at(4 + i, () -> world.users().submit(job));
    }
    for (double at = 20; at < 70; at += 24) {
      world.time().at(at, () -> begin(world, trouble, random));
    }
    world.time().runUntil(FROM_S + SECONDS + 30);
    assertEquals(List.of(), world.rules().violations());
    Map<String, Integer> odd = new TreeMap<>(world.users().answers());
    odd.keySet().removeIf(kind -> !kind.startsWith("odd"));
    assertTrue(
        odd.get("odd 400") > 50 && odd.get("odd 422") > 50 && odd.get("odd 404") > 100,
        odd.toString());
    assertEquals(
        List.of(),
        world.state().keysWithPrefix("q/").stream().filter(key -> key.contains("job-9")).toList(),
        "records");
  }

  private void begin(SimulatedCluster world, Trouble trouble, Random random) {
    int leader = Math.max(0, world.leader());
    switch (trouble) {
      case NONE -> {}
      case SLOW_STATE -> world.state().slowDown(0.5, 3, 12, random);
      case LATE_WRITES -> {
        double until = world.time().seconds() + 14;
        world
            .state()
            .delayTransactions(
                DelayedTransactions.share(
                    0.4, 2, 12, () -> world.time().seconds() < until, random));
      }
      case REFUSED -> world.state().refuse(ClusterSpec.nodeName(leader), 10);
      case OUTAGE -> world.state().outage(10);
      case ALL_END -> {
        for (int node = 0; node < world.nodeCount(); node++) {
          world.down(node, 0.1 + 3 * random.nextDouble());
        }
      }
      case LONE_LEADER -> world.lone(leader, 12, random.nextBoolean());
      case STANDSTILL -> world.standStill(leader, 8);
      default -> throw new IllegalStateException(trouble.toString());
    }
  }
}
