package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.quincecross.accounting.JobSizeHistogram;
import org.quincecross.accounting.LargestJobs;
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
 * The largest array, a gang of two whole machines and an idle job during an overload, with three
 * controllers in virtual time.
 */
class GuaranteedStartTest {
  private static final int MACHINES = 12;
  private static final Features FEATURES =
      new Features(new Shares(0.85, 0.5, 0.01, 0.01), TimeSpan.ofSeconds(20), Build.BEFORE_LEVELS);
  private static final Resources ONE = new Resources(1, 0, 2);

  private final SimulatedCluster cluster = new SimulatedCluster(site(), 11, Meter.OFF, FEATURES);
  private int number = 100;

  private static ClusterSpec site() {
    ClusterSpec base = ClusterSpec.tryOut(MACHINES, true);
    Map<String, Team> teams = new LinkedHashMap<>();
    for (String name : List.of("loud", "quiet")) {
      teams.put(name, new Team(name, Resources.NONE, new Resources(1e6, 1e6, 1e6)));
    }
    return base.with(teams);
  }

  private void submit(
      double atS,
      String team,
      String jobClass,
      JobKind kind,
      Priority priority,
      int tasks,
      Resources each,
      double runS,
      double saveS) {
    Job job =
        Job.builder(new JobId("job-" + number++))
            .jobClass(jobClass)
            .team(team)
            .kind(kind)
            .priority(priority)
            .taskCount(tasks)
            .taskResources(each)
            .singleZone(kind == JobKind.GANG)
            .image("img")
            .imageGb(0.5)
            .estimate(TimeSpan.ofSeconds(runS))
            .checkpointInterval(TimeSpan.ofSeconds(saveS))
            .checkpointCost(TimeSpan.ofSeconds(saveS > 0 ? 1 : 0))
            .deadline(saveS > 0 ? null : TimeSpan.ofSeconds(60))
            .build();
    cluster.time().at(atS, () -> cluster.users().submit(job));
  }

  @Test
  void largestJobsStartInTimeDespiteLeaderFailure() {
    for (int i = 0; i < 280; i++) {
      submit(
          20 + i,
          "loud",
          "small",
          JobKind.ARRAY,
          i % 2 == 0 ? Priority.HIGH : Priority.NORMAL,
          12,
          ONE,
          10,
          0);
    }
    submit(30, "quiet", "array", JobKind.ARRAY, Priority.NORMAL, 400, ONE, 10, 0);
    submit(30, "quiet", "gang", JobKind.GANG, Priority.NORMAL, 2, new Resources(8, 0, 8), 10, 0);
    submit(30, "quiet", "idle", JobKind.ARRAY, Priority.LOW, 40, ONE, 10, 5);
    cluster.time().at(175, () -> cluster.crash(Math.max(0, cluster.leader())));
    cluster.time().runUntil(300);
    assertEquals(List.of(), cluster.invariants().violations());
    Map<String, List<LargestJobs>> largest =
        cluster.environment().accounting().largest(cluster.environment().now());
    for (String each : List.of("array", "gang", "idle")) {
      LargestJobs of = largest.get(each).get(0);
      assertTrue(
          of.inTime() == 1 && of.longestS() <= JobSizeHistogram.MAX_START_DELAY_S,
          each + ": " + of);
    }
  }
}
