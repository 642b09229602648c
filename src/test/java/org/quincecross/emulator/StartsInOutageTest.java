package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * During an outage of the state service for all controllers, tasks that were allocated before still
 * start, once the other controllers show that they know of no later change (incident
 * started-without-word).
 */
class StartsInOutageTest {
  private static final double OUTAGE_START_S = 60;
  private static final double OUTAGE_DURATION_S = 25;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void allocatedTasksStartAfterTenSeconds(long seed) {
    Resources all = new Resources(1000, 1000, 10_000);
    SimulatedCluster cluster =
        new SimulatedCluster(
            ClusterSpec.tryOut(15, true).with(Map.of("batch", new Team("batch", all, all))),
            seed,
            Meter.OFF);
    for (int i = 0; i < 10; i++) {
      Job job =
          Job.builder(new JobId("job-" + (30_000 + i)))
              .jobClass("long")
              .team("batch")
              .kind(JobKind.ARRAY)
              .priority(Priority.NORMAL)
              .taskCount(60)
              .taskResources(new Resources(1, 0, 2))
              .image("long")
              .imageGb(0.5)
              .estimate(TimeSpan.ofSeconds(35 + 2 * i))
              .build();
      cluster.time().at(26 + i * 0.1, () -> cluster.users().submit(job));
    }
    cluster.time().at(OUTAGE_START_S, () -> cluster.state().outage(OUTAGE_DURATION_S));
    cluster.time().runUntil(OUTAGE_START_S + 10);
    int before = cluster.invariants().starts();
    cluster.time().runUntil(OUTAGE_START_S + OUTAGE_DURATION_S);
    assertTrue(
        cluster.invariants().starts() > before, "starts from the tenth second of the outage on");
    assertEquals(List.of(), cluster.invariants().violations());
  }
}
