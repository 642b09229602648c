package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Many long jobs are cancelled within a fifth of a second, some of their machines hang, and users
 * poll all controllers, during a failover of one controller's work or at the moment when the state
 * service starts to refuse only the leader. Three controllers, 45 machines.
 */
class CancellationDuringFailoverTest extends BusyCluster {
  private static final double AT_S = 30;
  private static final int LONG_JOBS = 40;

  private final Random random = new Random(8);
  private final List<JobId> longJobs = new ArrayList<>();
  private List<JobId> cancelledJobs = List.of();

  CancellationDuringFailoverTest() throws MalformedMessageException {
    for (int i = 0; i < LONG_JOBS; i++) {
      Job job =
          Job.builder(new JobId("job-" + (30_000 + i)))
              .jobClass("long")
              .team("batch")
              .kind(JobKind.ARRAY)
              .priority(Priority.NORMAL)
              .taskCount(i % 8 == 0 ? 20 : 5)
              .taskResources(new Resources(1, 0, 2))
              .image("long")
              .imageGb(0.5)
              .estimate(TimeSpan.ofSeconds(300))
              .build();
      longJobs.add(job.id());
      cluster.time().at(5 + 0.3 * i, () -> cluster.users().submit(job));
    }
    cluster
        .time()
        .at(AT_S - 5, () -> ConcurrentReaders.begin(cluster.environment(), 0.5, 0, 120, random));
  }

  private void cancelLongJobs(double atS, double hangS) {
    cluster
        .time()
        .at(
            atS,
            () ->
                cancelledJobs =
                    LateCancellations.cancelLongRunning(
                        cluster.environment(), LONG_JOBS / 2, hangS, random));
  }

  private void assertAllCancelledAreGone(double atS) {
    cluster.time().runUntil(atS);
    assertEquals(List.of(), cluster.invariants().violations());
    assertTrue(cancelledJobs.size() >= LONG_JOBS / 3, "cancelled " + cancelledJobs.size());
    for (JobId id : cancelledJobs) {
      assertEquals("cancelled", cluster.users().reportedStates().get(id), id.text());
      assertEquals(0, cluster.invariants().onMachines(id), id.text());
    }
    assertEquals(36, replicas());
  }

  /**
   * One controller fails, is suspended or is isolated. The jobs are cancelled before, while or
   * after its shards are leased to others.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 0.1, 0",
    "0, 3.2, 6",
    "0, 4.5, 0",
    "0, 7, 9",
    "1, 0.5, 5",
    "1, 4, 0",
    "2, 0.1, 4",
    "2, 3.5, 0",
    "2, 6, 8"
  })
  void cancelsInTimeDuringFailoverOfOneController(int how, double afterS, double hangS) {
    cluster
        .time()
        .at(
            AT_S,
            () -> {
              int node =
                  random.nextBoolean()
                      ? Math.max(0, cluster.leader())
                      : random.nextInt(cluster.nodeCount());
              switch (how) {
                case 0 -> cluster.stopFor(node, 25);
                case 1 -> cluster.suspend(node, 15);
                default -> cluster.separate(node, 20, true);
              }
            });
    cancelLongJobs(AT_S + afterS, hangS);
    assertAllCancelledAreGone(AT_S + 120);
  }

  /**
   * The jobs are cancelled within 0.1 s of the time when the state service refuses only the leader.
   * One second later the state service is down for all, for longer than the cancellation timeout.
   */
  @ParameterizedTest
  @CsvSource({"-0.1, 0", "0, 0", "0, 6", "0.05, 0"})
  void cancelsInTimeWhenLeaderIsRefused(double afterS, double hangS) {
    double outage = spec.workers().cancelTimeout().seconds() + 9;
    cluster
        .time()
        .at(
            AT_S,
            () -> cluster.state().refuse(ClusterSpec.nodeName(Math.max(0, cluster.leader())), 1.2));
    cluster.time().at(AT_S + 1, () -> cluster.state().outage(outage));
    cancelLongJobs(AT_S + afterS, hangS);
    assertAllCancelledAreGone(AT_S + outage + 70);
  }
}
