package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Settings;

/**
 * Four one-task jobs arrive per second for minutes, a quarter of which are cancelled, while the
 * state service accepts 15 or 80 changes per second. Users are told the end of every accepted job,
 * and other work still completes. Three controllers, 60 machines, in virtual time.
 */
class SmallJobsTest {
  private static final double JOBS_PER_SECOND = 4;
  private static final double DURATION_S = 125;

  @ParameterizedTest
  @ValueSource(ints = {15, 80})
  void reportsEveryEndAndCompletesOtherWork(int changes) {
    ClusterSpec spec =
        ClusterSpec.tryOut(60, true).with(new Settings.StoreLimits(200, changes, 4096, 8));
    SimulatedCluster cluster = new SimulatedCluster(spec, changes, Meter.OFF);
    Random random = new Random(changes);
    List<JobId> others = new ArrayList<>();
    SmallJobs.begin(cluster, JOBS_PER_SECOND, 0.25, 5, DURATION_S, random);
    for (int i = 0; i < 15; i++) {
      Job other =
          Job.builder(new JobId("job-" + (100 + i)))
              .jobClass("other")
              .team("web")
              .kind(JobKind.ARRAY)
              .priority(Priority.NORMAL)
              .taskCount(6)
              .taskResources(new Resources(2, 0, 4))
              .image("other")
              .imageGb(0.5)
              .estimate(TimeSpan.ofSeconds(5))
              .build();
      others.add(other.id());
      cluster.time().at(10 + 10 * i, () -> cluster.users().submit(other));
    }
    cluster.time().runUntil(5 + DURATION_S + 45);
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals(
        0,
        cluster.users().reportedStates().keySet().stream().filter(cluster.users()::isOpen).count(),
        "open");
    double[] accepted =
        cluster.users().acceptedAfter().values().stream()
            .mapToDouble(each -> each)
            .sorted()
            .toArray();
    double[] over =
        others.stream().mapToDouble(cluster.users().overAfter()::get).sorted().toArray();
    assertTrue(
        accepted.length >= 0.98 * (JOBS_PER_SECOND * DURATION_S + others.size()),
        "accepted " + accepted.length);
    assertTrue(
        accepted[accepted.length * 98 / 100] < 3,
        "accepted after " + accepted[accepted.length * 98 / 100]);
    assertTrue(over[over.length - 1] < 30, "other jobs completed after " + Arrays.toString(over));
  }
}
