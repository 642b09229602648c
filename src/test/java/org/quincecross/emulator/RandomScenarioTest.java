package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Days of a whole deployment with random faults from fixed seeds: every rule is kept, and all work
 * completes.
 */
class RandomScenarioTest {
  @ParameterizedTest
  @ValueSource(
      longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 515, 528, 10199, 21435, 21580, 23492})
  void keepsRulesAndCompletesWork(long seed) {
    assertEquals(List.of(), new RandomScenario(seed).run());
  }

  /** Overlapping faults: the effects of one fault are still present when the next one begins. */
  @ParameterizedTest
  @ValueSource(longs = {101, 1328, 10237})
  void keepsRulesWithCombinedFaults(long seed) {
    assertEquals(List.of(), RandomScenario.withCombinedFaults(seed).run());
  }

  /**
   * A shard owner alone has lost the state service, and its machines reach no other controller. It
   * does not learn of cancellations, so it must stop answering early enough for the leases of its
   * machines to expire in time.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void isolatedOwnerStopsInTimeForCancellations(int alone) {
    SimulatedCluster cluster = new SimulatedCluster(1);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      int number = i;
      cluster.time().at(5 + i * 0.1, () -> jobs.add(cluster.users().submitService(number)));
    }
    cluster.time().at(20, () -> OwnerWithoutStore.isolate(cluster, alone, 90));
    cluster.time().at(24, () -> jobs.forEach(cluster.users()::cancel));
    cluster.time().runUntil(150);
    assertEquals(
        12, cluster.users().reportedStates().values().stream().filter("cancelled"::equals).count());
    assertEquals(List.of(), cluster.invariants().violations());
  }

  /**
   * A gang larger than any shard: a shard grows for it, also if controllers crash meanwhile. With
   * seed 4 each zone gets seven machines, one of which never boots: the idle machines of the other
   * zone must be replaced, or the gang never starts.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void gangLargerThanAnyShardRuns(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.time().at(5, () -> cluster.users().submitLargeGang(1, 8));
    for (int i = 0; i < seed; i++) {
      int node = i % cluster.nodeCount();
      cluster.time().at(8 + 11 * i, () -> cluster.crash(node));
    }
    cluster.time().runUntil(300);
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals("done", cluster.users().reportedStates().get(new JobId("job-1")));
  }

  /**
   * A gang for which its team's limit has no room beside a service: it is reported as stalled, with
   * the reason, once nothing else explains the wait.
   */
  @Test
  void stalledGangIsReportedWithReason() throws MalformedMessageException {
    SimulatedCluster cluster = new SimulatedCluster(3);
    cluster.time().at(5, () -> cluster.users().submitService(2));
    cluster.time().at(8, () -> cluster.users().submitLargeGang(1, 8));
    cluster.time().runUntil(120);
    assertEquals(Set.of(), stalled(cluster));
    cluster.time().runUntil(160);
    assertEquals(
        Set.of(
            "job-1 [8 tasks in the pool: team red uses Resources[cpus=1.0, gpus=0.0, memoryGb=2.0] of its limit "
                + "Resources[cpus=40.0, gpus=Infinity, memoryGb=1.0E9]]"),
        stalled(cluster));
    cluster.time().at(161, () -> cluster.users().cancel(new JobId("job-2")));
    cluster.time().runUntil(400);
    assertEquals("done", cluster.users().reportedStates().get(new JobId("job-1")));
    assertEquals(Set.of(), stalled(cluster));
  }

  private static Set<String> stalled(SimulatedCluster cluster) throws MalformedMessageException {
    Set<String> stalled = new TreeSet<>();
    for (int node = 0; node < cluster.nodeCount(); node++) {
      for (JsonFields stall : cluster.status(node).objects("stalled")) {
        stalled.add(stall.string("job") + " " + stall.strings("waits_for"));
      }
    }
    return stalled;
  }

  /**
   * A job is cancelled, and before its tasks can leave the allocation all controllers are down for
   * longer than the cancellation timeout. The restarted controllers rebuild their queues from an
   * allocation that still contains the job.
   */
  @Test
  void cancelledJobDoesNotStartAfterCrashOfAll() {
    SimulatedCluster cluster = new SimulatedCluster(2);
    cluster.time().at(5, () -> cluster.users().submitArray(1, 16));
    cluster.time().at(20, () -> cluster.users().cancel(new JobId("job-1")));
    boolean[] down = new boolean[1];
    for (int i = 0; i < 400; i++) {
      cluster
          .time()
          .at(
              20 + i * 0.005,
              () -> {
                if (!down[0]
                    && "cancelled"
                        .equals(cluster.invariants().lastReportedState(new JobId("job-1")))) {
                  down[0] = true;
                  cluster.state().outage(50);
                  for (int node = 0; node < cluster.nodeCount(); node++) {
                    cluster.crash(node);
                  }
                }
              });
    }
    cluster.time().runUntil(150);
    assertTrue(down[0]);
    assertEquals(List.of(), cluster.invariants().violations());
  }
}
