package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.rollout.Build;

/** Machines and controllers that restart within a fraction of a second, in virtual time. */
class FastRestartTest extends BusyCluster {
  FastRestartTest() throws MalformedMessageException {}

  /**
   * A third of the machines restart at once without tasks and with reset counters. Their tasks run
   * again soon, and no machine is mistaken for a duplicate of its former process (incident
   * counts-begun-anew).
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.05, 0.3, 0.9})
  void restartedMachinesRunTasksAgainSoon(double seconds) {
    cluster.time().runUntil(30);
    List<AgentSimulator> workers = cluster.cloud().workers();
    workers.subList(0, workers.size() / 3).forEach(worker -> worker.restart(seconds));
    cluster.time().runUntil(30.02);
    assertTrue(replicas() < 36, "some replicas ran there");
    cluster.time().runUntil(30 + 12);
    assertEquals(36, replicas());
    assertWorkCompletesAndReplicasRun(170);
  }

  /** The same machine restarts repeatedly, each time before its shard owner may have noticed. */
  @Test
  void repeatedRestartsOfOneMachineLoseNothing() {
    for (int i = 0; i < 12; i++) {
      cluster
          .time()
          .at(
              40 + 1.3 * i,
              () -> cluster.cloud().workers().subList(0, 6).forEach(worker -> worker.restart(0.2)));
    }
    cluster.time().runUntil(75);
    assertEquals(36, replicas());
    assertWorkCompletesAndReplicasRun(170);
  }

  private void restartAtOnce(int node, double seconds) {
    cluster.stopFor(node, seconds);
  }

  /**
   * A controller restarts within half a second, in each phase of the election that follows the loss
   * of the leader.
   */
  @ParameterizedTest
  @CsvSource({"0.05, 1", "0.4, 1", "1.1, 2", "2.3, 2", "3.1, 2", "3.6, 3", "4.5, 3", "6, 3"})
  void keepsRulesWithRestartsDuringElection(double after, int times) {
    cluster.time().runUntil(30);
    int leader = cluster.leader();
    cluster.crash(leader);
    for (int i = 0; i < times; i++) {
      int node = (leader + 1 + i % 2) % spec.nodes();
      cluster.time().at(30 + after + 0.6 * i, () -> restartAtOnce(node, 0.1 + 0.1 * node));
    }
    cluster.time().runUntil(30 + after + 25);
    assertTrue(cluster.leader() >= 0);
    assertEquals(36, replicas());
    assertWorkCompletesAndReplicasRun(150);
  }

  /** The leader itself restarts twice in a row, or all three controllers restart at once, twice. */
  @ParameterizedTest
  @CsvSource({"0.1, false", "0.3, false", "0.5, false", "0.1, true", "0.3, true", "0.5, true"})
  void keepsRulesWithRestartsOfLeaderOrAll(double seconds, boolean all) {
    cluster.time().runUntil(30);
    int leader = cluster.leader();
    for (int again = 0; again < 2; again++) {
      for (int node = 0; node < spec.nodes(); node++) {
        int each = node;
        if (all || each == leader) {
          cluster.time().at(30.1 + again * 0.7, () -> restartAtOnce(each, seconds));
        }
      }
    }
    cluster.time().runUntil(50);
    assertTrue(cluster.leader() >= 0);
    assertEquals(36, replicas());
    assertWorkCompletesAndReplicasRun(150);
  }

  /**
   * A restart in the middle of a transaction that leases shards to another owner: of the new owner,
   * or of the former one.
   */
  @ParameterizedTest
  @CsvSource({
    "0.002, true",
    "0.02, true",
    "0.3, true",
    "0.002, false",
    "0.02, false",
    "0.3, false"
  })
  void keepsRulesWithRestartsDuringTakeover(double after, boolean taker) {
    cluster.time().runUntil(30);
    int leader = cluster.leader();
    int lost = (leader + 1) % spec.nodes();
    cluster.stopFor(lost, 20);
    boolean[] hit = new boolean[1];
    cluster.injectFaultAt(
        request -> {
          if (!hit[0]
              && request.startsWith("POST /txn")
              && request.contains("\"Set\":\"q/block/")
              && cluster.time().seconds() > 30) {
            hit[0] = true;
            cluster
                .time()
                .after(
                    after, () -> restartAtOnce(taker ? (leader + 2) % spec.nodes() : leader, 0.2));
          }
          return false;
        },
        0,
        SimulatedCluster.SendFault.STILL_AFTER);
    assertWorkCompletesAndReplicasRun(150);
    assertTrue(hit[0]);
  }

  /** Restarts during a rolling upgrade to a newer build, while the level rises. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void keepsRulesWithRestartsDuringUpgrade(long seed) {
    SimulatedCluster rolled =
        new SimulatedCluster(
            ClusterSpec.small(),
            seed,
            Meter.OFF,
            new Features(null, null, Build.present("old", 1)));
    for (int i = 0; i < 30; i++) {
      int number = i;
      rolled.time().at(3 + i, () -> rolled.users().submit(number));
    }
    for (int node = 0; node < rolled.nodeCount(); node++) {
      int each = node;
      rolled
          .time()
          .at(
              15 + 4 * node,
              () -> {
                rolled.install(each, Build.present("new", 2));
                rolled.stopFor(each, 0.1 * (each + 1));
              });
      rolled
          .time()
          .at(15.0 + 4 * node + seed, () -> rolled.stopFor((each + 1) % rolled.nodeCount(), 0.2));
    }
    for (double at = 26; at < 32; at += 1.1) {
      int node = (int) (at * 10) % rolled.nodeCount();
      rolled.time().at(at, () -> rolled.stopFor(node, 0.3));
    }
    LivenessInvariant liveness = new LivenessInvariant(rolled);
    rolled.time().runUntil(120);
    liveness.watch();
    assertEquals(List.of(), liveness.findings());
    assertEquals(List.of(), rolled.invariants().violations());
  }

  /**
   * The announcement of a controller's former process is applied late, replaces that of its current
   * process and disappears with its lease. The controller must become known again at once, rather
   * than run as a member that no other controller knows.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void lateAnnouncementOfFormerProcessIsReplaced(boolean leads) {
    cluster.time().runUntil(30);
    int node = (cluster.leader() + (leads ? 0 : 1)) % spec.nodes();
    String key = "q/member/" + ClusterSpec.nodeName(node);
    Object present = cluster.state().value(key);
    Map<String, Object> former = new TreeMap<>();
    ((Map<?, ?>) present)
        .forEach(
            (name, value) -> former.put((String) name, name.equals("life") ? (Object) 1L : value));
    cluster.state().write(key, former);
    cluster.time().at(31, () -> cluster.state().write(key, null));
    cluster.time().runUntil(33);
    assertEquals(present, cluster.state().value(key));
    assertWorkCompletesAndReplicasRun(120);
  }
}
