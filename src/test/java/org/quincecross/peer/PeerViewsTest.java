package org.quincecross.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.ControllerId;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;

class PeerViewsTest {
  private static final ControllerId SENDER = new ControllerId("a");
  private static final MonotonicTime NOW = new MonotonicTime(1);

  /**
   * A sender whose shards change at random, and that sends the changes since the acknowledged
   * heartbeat.
   */
  private static final class Sender {
    private final Random random;
    private final Map<Integer, Map<Integer, Integer>> shards = new TreeMap<>();
    private final Map<Integer, Map<Integer, Long>> changedIn = new TreeMap<>();
    private Incarnation incarnation = new Incarnation(1);
    private long number;
    private long base;

    Sender(Random random) {
      this.random = random;
      for (int block = 0; block < 3; block++) {
        shards.put(block, new TreeMap<>());
        changedIn.put(block, new TreeMap<>());
      }
    }

    PeerHeartbeat report() {
      number++;
      int block = random.nextInt(3);
      int machine = random.nextInt(4);
      shards.get(block).put(machine, random.nextInt(100));
      changedIn.get(block).put(machine, number);
      List<PeerHeartbeat.ShardStatus> changed = new ArrayList<>();
      shards.forEach(
          (id, machines) -> {
            List<PeerHeartbeat.MachineState> states = new ArrayList<>();
            machines.forEach(
                (name, tasks) -> {
                  if (changedIn.get(id).get(name) > base) {
                    states.add(machine(name, tasks));
                  }
                });
            if (!states.isEmpty()) {
              changed.add(
                  new PeerHeartbeat.ShardStatus(
                      new ShardId("b" + id),
                      new FencingToken(1),
                      new Revision(1),
                      false,
                      Set.of(),
                      false,
                      List.of(),
                      List.of(),
                      Map.of(),
                      states));
            }
          });
      PeerHeartbeat heartbeat =
          new PeerHeartbeat(
              SENDER,
              incarnation,
              number,
              base,
              Map.of(),
              new Revision(number),
              TimeSpan.ZERO,
              changed,
              List.of());
      base = number;
      return heartbeat;
    }

    void restart() {
      incarnation = new Incarnation(incarnation.value() + 1);
      number = 0;
      base = 0;
      changedIn.values().forEach(machines -> machines.replaceAll((name, at) -> 1L));
    }
  }

  private static PeerHeartbeat.MachineState machine(int name, int tasks) {
    return new PeerHeartbeat.MachineState(
        new MachineId("m" + name),
        Resources.NONE,
        Resources.NONE,
        TimeSpan.ZERO,
        true,
        true,
        false,
        false,
        false,
        tasks,
        0,
        List.of(),
        List.of());
  }

  private static Map<Integer, Map<Integer, Integer>> seen(PeerViews views) {
    Map<Integer, Map<Integer, Integer>> seen = new TreeMap<>();
    for (int block = 0; block < 3; block++) {
      Map<Integer, Integer> machines = new TreeMap<>();
      PeerViews.ShardView view = views.of(SENDER).shards().get(new ShardId("b" + block));
      if (view != null) {
        view.machines()
            .forEach(
                (id, state) ->
                    machines.put(Integer.parseInt(id.text().substring(1)), state.tasks()));
      }
      seen.put(block, machines);
    }
    return seen;
  }

  /**
   * Heartbeats are lost, repeated and late; a receiver never guesses, and has the full state again
   * after it has reported a gap.
   */
  @Property(tries = 300, seed = "21")
  void recoversFromLostRepeatedAndLateHeartbeats(@ForAll long seed) {
    Random random = new Random(seed);
    Sender sender = new Sender(random);
    PeerViews views = new PeerViews();
    List<PeerHeartbeat> sent = new ArrayList<>();
    for (int step = 0; step < 60; step++) {
      if (random.nextInt(25) == 0) {
        sender.restart();
      }
      PeerHeartbeat heartbeat = sender.report();
      sent.add(heartbeat);
      if (random.nextInt(4) == 0) {
        continue; // lost
      }
      if (random.nextInt(4) == 0) {
        views.apply(sent.get(random.nextInt(sent.size())), NOW); // late or repeated
      }
      boolean taken = views.apply(heartbeat, NOW);
      PeerHeartbeat.Receipt receipt = views.receipts().get(SENDER);
      if (taken) {
        assertEquals(sender.shards, seen(views), "the receiver has the sender's full state");
      } else {
        assertTrue(receipt.gap() && receipt.incarnation().equals(sender.incarnation));
        sender.base = receipt.number();
        assertTrue(
            views.apply(sender.report(), NOW),
            "told from what the receiver has, it takes the report");
        assertEquals(sender.shards, seen(views));
      }
    }
  }

  @Example
  void ignoresHeartbeatWithUnknownBase() {
    PeerViews views = new PeerViews();
    PeerHeartbeat.ShardStatus shardStatus =
        new PeerHeartbeat.ShardStatus(
            new ShardId("b0"),
            new FencingToken(1),
            new Revision(1),
            false,
            Set.of(),
            false,
            List.of(),
            List.of(),
            Map.of(),
            List.of(machine(1, 1)));
    assertFalse(
        views.apply(
            new PeerHeartbeat(
                SENDER,
                new Incarnation(1),
                7,
                6,
                Map.of(),
                Revision.NONE,
                TimeSpan.ZERO,
                List.of(shardStatus),
                List.of()),
            NOW));
    assertEquals(Map.of(), views.of(SENDER).shards());
    assertEquals(
        new PeerHeartbeat.Receipt(new Incarnation(1), 0, true), views.receipts().get(SENDER));
  }

  @Example
  void fullShardReplacesKnownState() {
    PeerViews views = new PeerViews();
    for (int i = 1; i <= 2; i++) {
      Map<MachineId, PeerHeartbeat.MachineState> expected = new LinkedHashMap<>();
      expected.put(new MachineId("m" + i), machine(i, i));
      views.apply(
          new PeerHeartbeat(
              SENDER,
              new Incarnation(1),
              i,
              i - 1,
              Map.of(),
              Revision.NONE,
              TimeSpan.ZERO,
              List.of(
                  new PeerHeartbeat.ShardStatus(
                      new ShardId("b0"),
                      new FencingToken(1),
                      new Revision(1),
                      false,
                      Set.of(),
                      true,
                      List.of(),
                      List.of(),
                      Map.of(),
                      List.of(machine(i, i)))),
              List.of()),
          NOW);
      assertEquals(expected, views.of(SENDER).shards().get(new ShardId("b0")).machines());
    }
  }
}
