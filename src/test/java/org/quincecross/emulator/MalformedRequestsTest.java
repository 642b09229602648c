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
 * Invalid requests during faults: each answer is the one that the protocol defines or asks to
 * retry, and none of the requests has an effect. Three controllers, in virtual time.
 */
class MalformedRequestsTest {
  private static final double START_S = 6;
  private static final double DURATION_S = 80;

  private enum Fault {
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
  void invalidRequestsGetDefinedAnswers(int number) {
    Fault fault = Fault.values()[number];
    SimulatedCluster cluster = new SimulatedCluster(20 + number);
    cluster.state().applyLate(0);
    Random random = new Random(number);
    cluster
        .time()
        .at(
            START_S,
            () -> MalformedRequests.begin(cluster.environment(), 0.05, DURATION_S, random));
    for (int i = 0; i < 40; i++) {
      int job = 100 + i;
      cluster.time().at(4 + i, () -> cluster.users().submit(job));
    }
    for (double at = 20; at < 70; at += 24) {
      cluster.time().at(at, () -> injectFault(cluster, fault, random));
    }
    cluster.time().runUntil(START_S + DURATION_S + 30);
    assertEquals(List.of(), cluster.invariants().violations());
    Map<String, Integer> odd = new TreeMap<>(cluster.users().answers());
    odd.keySet().removeIf(kind -> !kind.startsWith("odd"));
    assertTrue(
        odd.get("odd 400") > 50 && odd.get("odd 422") > 50 && odd.get("odd 404") > 100,
        odd.toString());
    assertEquals(
        List.of(),
        cluster.state().keysWithPrefix("q/").stream().filter(key -> key.contains("job-9")).toList(),
        "records");
  }

  private void injectFault(SimulatedCluster cluster, Fault fault, Random random) {
    int leader = Math.max(0, cluster.leader());
    switch (fault) {
      case NONE -> {}
      case SLOW_STATE -> cluster.state().slowDown(0.5, 3, 12, random);
      case LATE_WRITES -> {
        double until = cluster.time().seconds() + 14;
        cluster
            .state()
            .delayTransactions(
                DelayedTransactions.share(
                    0.4, 2, 12, () -> cluster.time().seconds() < until, random));
      }
      case REFUSED -> cluster.state().refuse(ClusterSpec.nodeName(leader), 10);
      case OUTAGE -> cluster.state().outage(10);
      case ALL_END -> {
        for (int node = 0; node < cluster.nodeCount(); node++) {
          cluster.stopFor(node, 0.1 + 3 * random.nextDouble());
        }
      }
      case LONE_LEADER -> cluster.separate(leader, 12, random.nextBoolean());
      case STANDSTILL -> cluster.suspend(leader, 8);
      default -> throw new IllegalStateException(fault.toString());
    }
  }
}
