package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;

/**
 * Work that waits in the queue of a shard whose machines are busy for long, while machines of other
 * shards are idle.
 */
class IdleCapacityInvariantTest {
  private static final int MACHINES = 30;
  private static final double MAX_WAIT_S = 90;

  /** More work than there is room for. */
  private final ClusterSpec spec =
      ClusterSpec.tryOut(MACHINES, true)
          .with(
              Map.of(
                  "batch",
                  new Team("batch", new Resources(80, 0, 1e9), new Resources(1000, 0, 1e9))));

  private final List<JobId> jobsForAnyZone = new ArrayList<>();
  private double longestWaitS;

  private void submit(SimulatedCluster cluster, double atS, int number, String zone, double runS) {
    Job job =
        Job.builder(new JobId("job-" + number))
            .jobClass("any")
            .team("batch")
            .kind(JobKind.ARRAY)
            .priority(Priority.NORMAL)
            .taskCount(1)
            .taskResources(new Resources(2, 0, 2))
            .zone(zone)
            .allowsSpot(true)
            .image("img-1")
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(runS))
            .build();
    cluster.time().at(atS, () -> cluster.users().submit(job));
    if (zone == null) {
      jobsForAnyZone.add(job.id());
    }
  }

  /**
   * All machines are full: those of one zone with work of at least five minutes, the others with
   * work of half a minute; more work waits in the queues of the shards. Once the short work is done
   * there is room, and nothing may wait behind the long work.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noJobWaitsBehindLongWorkWhileOthersAreIdle(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(spec, seed, Meter.OFF);
    for (int i = 0; i < 4 * MACHINES; i++) {
      submit(cluster, 10, 1000 + i, spec.zones().get(i % 3), i % 3 == 0 ? 300 : 30);
    }
    for (int i = 0; i < 40; i++) {
      submit(cluster, 16, 2000 + i, null, 200);
    }
    double[] idleSince = {-1};
    for (double at = 20; at < 400; at += 0.5) {
      cluster
          .time()
          .at(
              at,
              () -> {
                boolean waits =
                    jobsForAnyZone.stream()
                        .anyMatch(
                            id ->
                                cluster.invariants().onMachines(id) == 0
                                    && cluster.invariants().completedTasks(id) == 0);
                boolean idle =
                    cluster.cloud().machines().stream()
                        .anyMatch(each -> cluster.invariants().onMachine(each) < 4);
                idleSince[0] =
                    !waits || !idle
                        ? -1
                        : idleSince[0] < 0 ? cluster.time().seconds() : idleSince[0];
                double waited = idleSince[0] < 0 ? 0 : cluster.time().seconds() - idleSince[0];
                longestWaitS = Math.max(longestWaitS, waited);
              });
    }
    cluster.time().runUntil(400);
    assertTrue(
        longestWaitS < MAX_WAIT_S, "capacity idle for " + longestWaitS + " s while work waits");
    assertEquals(List.of(), cluster.invariants().violations());
  }
}
