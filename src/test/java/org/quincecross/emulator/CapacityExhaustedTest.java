package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.overload.Shares;
import org.quincecross.protocol.Features;
import org.quincecross.rollout.Build;

/**
 * There is more work than capacity, of different priorities; the cloud has no more machines, and
 * all links are slow at first. After that, no job waits for 90 s beside free capacity, and the
 * largest job starts within 240 s. Three controllers, 18 machines, virtual time.
 */
class CapacityExhaustedTest {
  private static final int MACHINES = 18;
  private static final double FAULT_END_S = 60;
  private static final double END_S = 330;
  private static final double LATE_SUBMISSION_S = 200;
  private static final double LATE_JOB_RUN_S = 8;
  private static final double LARGEST_START_TIMEOUT_S = 240;

  /** The work that waits beside capacity that other jobs may use. */
  private enum Mix {
    SERVICES,
    LARGE,
    LARGE_AT_ITS_LIMIT,
    GANGS,
    ALL
  }

  private SimulatedCluster cluster;
  private int number = 100;

  private static Team team(String name, double most) {
    return new Team(name, new Resources(most / 4, 0, 1e9), new Resources(most, 0, 1e9));
  }

  private JobId submit(
      double atS, String team, JobKind kind, Priority priority, int tasks, int cpus, double runS) {
    Job job =
        Job.builder(new JobId("job-" + number++))
            .jobClass("any")
            .team(team)
            .kind(kind)
            .priority(priority)
            .taskCount(tasks)
            .taskResources(new Resources(cpus, 0, 2))
            .allowsSpot(number % 2 == 0)
            .image("img-" + number % 3)
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(runS))
            .checkpointInterval(TimeSpan.ofSeconds(number % 3 == 0 ? 10 : 0))
            .checkpointCost(TimeSpan.ofSeconds(number % 3 == 0 ? 0.5 : 0))
            .build();
    cluster.time().at(atS, () -> cluster.users().submit(job));
    return job.id();
  }

  @ParameterizedTest
  @CsvSource({
    "SERVICES, 1, false",
    "SERVICES, 2, true",
    "SERVICES, 3, false",
    "LARGE, 1, false",
    "LARGE, 2, true",
    "LARGE, 3, false",
    "LARGE_AT_ITS_LIMIT, 1, false",
    "LARGE_AT_ITS_LIMIT, 2, true",
    "LARGE_AT_ITS_LIMIT, 3, false",
    "GANGS, 1, false",
    "GANGS, 2, true",
    "GANGS, 3, false",
    "ALL, 1, false",
    "ALL, 1, true",
    "ALL, 2, false",
    "ALL, 2, true",
    "ALL, 3, false",
    "ALL, 3, true",
    "ALL, 4, false",
    "ALL, 4, true",
    "ALL, 5, false",
    "ALL, 5, true",
    "ALL, 6, false",
    "ALL, 6, true",
    "LARGE_AT_ITS_LIMIT, 5, false",
    "GANGS, 4, true",
    "GANGS, 5, true",
    "SERVICES, 7, false",
    "ALL, 7, true"
  })
  void noJobWaitsLongBesideFreeCapacity(Mix mix, long seed, boolean overload) {
    Features features =
        overload ? new Features(Shares.DEFAULTS, null, Build.BEFORE_LEVELS) : Features.NONE;
    ClusterSpec spec =
        ClusterSpec.tryOut(MACHINES, true)
            .with(
                Map.of(
                    "web",
                    team("web", 48),
                    "batch",
                    team("batch", 1000),
                    "big",
                    team("big", mix == Mix.LARGE_AT_ITS_LIMIT ? 18 : 1000)));
    cluster = new SimulatedCluster(spec, seed, Meter.OFF, features);
    Random random = new Random(seed * 31 + mix.ordinal());
    cluster.delayMessages(0.5, 4, random);
    cluster.time().at(8, () -> cluster.state().slowDown(0.2, 1.2, FAULT_END_S - 8, random));
    cluster
        .time()
        .at(
            FAULT_END_S,
            () -> {
              cluster.delayMessages(0, 0, random);
              cluster.environment().onFaultsEnded();
            });
    Function<Double, Double> from = within -> 10 + within * random.nextDouble();
    if (mix == Mix.SERVICES || mix == Mix.ALL) {
      for (int i = 0; i < 8; i++) {
        submit(from.apply(10.0), "web", JobKind.SERVICE, Priority.PRODUCTION, 2, 2, 0);
      }
    }
    if (mix == Mix.LARGE || mix == Mix.ALL || mix == Mix.LARGE_AT_ITS_LIMIT) {
      for (int i = 0; i < 3; i++) {
        submit(
            from.apply(3.0),
            "big",
            JobKind.ARRAY,
            Priority.NORMAL,
            2 + 4 * i,
            6,
            40 + 40 * random.nextDouble());
      }
    }
    if (mix == Mix.GANGS || mix == Mix.ALL) {
      for (int i = 0; i < 3; i++) {
        submit(
            from.apply(30.0),
            "big",
            JobKind.GANG,
            i == 0 ? Priority.HIGH : Priority.NORMAL,
            2 + i % 2,
            5 + i,
            30);
      }
    }
    for (int i = 0; i < 40; i++) {
      submit(
          from.apply(40.0),
          "batch",
          JobKind.ARRAY,
          i % 5 == 0 ? Priority.LOW : i % 7 == 0 ? Priority.HIGH : Priority.NORMAL,
          1 + i % 6,
          1 + i % 3,
          30 + 120 * random.nextDouble());
    }
    List<JobId> late = new ArrayList<>();
    for (int i = 0; i < 2 && mix == Mix.SERVICES; i++) {
      late.add(
          submit(
              LATE_SUBMISSION_S,
              "web",
              JobKind.SERVICE,
              Priority.PRODUCTION,
              2,
              2,
              0)); // by then jobs that have waited long may have the room of these
    }
    JobId largest = submit(20, "batch", JobKind.ARRAY, Priority.NORMAL, 60, 1, 20);
    double[] begun = {-1};
    for (double at = 20; at < END_S; at += 1) {
      cluster
          .time()
          .at(
              at,
              () -> {
                cluster.invariants().check();
                if (begun[0] < 0
                    && cluster.invariants().started(largest)
                        >= cluster.job(largest).startQuorum()) {
                  begun[0] = cluster.time().seconds() - 20;
                }
              });
    }
    cluster.time().runUntil(LATE_SUBMISSION_S + LATE_JOB_RUN_S);
    late.forEach(
        id -> assertEquals(2, cluster.invariants().onMachines(id), "replicas that came late"));
    cluster.time().runUntil(END_S);
    assertEquals(List.of(), cluster.invariants().violations());
    assertTrue(begun[0] >= 0 && begun[0] <= LARGEST_START_TIMEOUT_S, "begun after " + begun[0]);
  }
}
