package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Settings;

/**
 * A team without a guarantee submits many tiny jobs, one huge array, or long low-priority work,
 * beside other teams, in virtual time.
 */
class UnguaranteedTeamTest {
  private static final ClusterSpec WIDE = ClusterSpec.tryOut(45, true);

  /** Fewer changes per second than jobs are submitted per second. */
  private static final ClusterSpec NARROW =
      new ClusterSpec(
          WIDE.nodeZones(),
          WIDE.zones(),
          WIDE.types(),
          WIDE.pools(),
          WIDE.maxMachines(),
          WIDE.teams(),
          WIDE.workers(),
          new Settings.StoreLimits(200, 15, 4096, 8),
          WIDE.cloudLimits(),
          WIDE.quota(),
          WIDE.objectives(),
          WIDE.restart(),
          false,
          List.of());

  private static Job job(
      int number,
      String team,
      JobKind kind,
      Priority priority,
      int tasks,
      double cpus,
      double seconds,
      double saveEveryS) {
    return Job.builder(new JobId("job-" + number))
        .jobClass(kind + "-" + priority)
        .team(team)
        .kind(kind)
        .priority(priority)
        .taskCount(tasks)
        .taskResources(new Resources(cpus, 0, 1))
        .allowsSpot(kind == JobKind.ARRAY)
        .image("img-" + number % 3)
        .imageGb(0.3)
        .estimate(TimeSpan.ofSeconds(seconds))
        .checkpointInterval(TimeSpan.ofSeconds(saveEveryS))
        .checkpointCost(TimeSpan.ofSeconds(saveEveryS > 0 ? 1 : 0))
        .build();
  }

  private static SimulatedCluster newCluster(ClusterSpec spec) {
    return new SimulatedCluster(spec, 7, Meter.OFF);
  }

  /**
   * Hundreds of jobs of one team within two seconds: the jobs of another team are accepted as if
   * they were alone, and the many jobs are all accepted as well.
   */
  @Test
  void manySubmissionsDelayOnlyTheirOwnTeam() {
    SimulatedCluster cluster = newCluster(NARROW);
    List<JobId> swarm = new ArrayList<>();
    for (int i = 0; i < 1500; i++) {
      Job job = job(100_000 + i, "batch", JobKind.ARRAY, Priority.LOW, 1, 0.5, 2, 0);
      swarm.add(job.id());
      cluster.time().at(15 + i * 0.001, () -> cluster.users().submit(job));
    }
    List<JobId> others = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Job job = job(200_000 + i, "web", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, 0, 0);
      others.add(job.id());
      cluster.time().at(15.2 + i * 0.3, () -> cluster.users().submit(job));
    }
    cluster.time().runUntil(90);
    assertEquals(List.of(), cluster.invariants().violations());
    long quick =
        others.stream()
            .filter(id -> cluster.users().acceptedAfter().getOrDefault(id, 99.0) < 2)
            .count();
    assertTrue(
        quick >= 18, quick + " of 20 accepted within two seconds, " + cluster.users().answers());
    for (JobId id : swarm) {
      assertTrue(cluster.users().acceptedAfter().getOrDefault(id, 99.0) < 60, id.text());
    }
    assertTrue(
        cluster.users().answers().get("submit 503")
            < cluster.users().answers().get("submit 429") / 3,
        cluster.users().answers().toString());
    cluster.time().runUntil(200);
    for (JobId id : swarm) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
    }
  }

  /**
   * A huge array and long low-priority work of one team fill all free capacity. What another team
   * submits then starts and ends as if they were absent, even across a leader change, and the work
   * of the first team completes in the end.
   */
  @Test
  void borrowedCapacityIsGivenBack() {
    SimulatedCluster cluster = newCluster(WIDE);
    JobId huge =
        cluster.users().submit(job(1, "batch", JobKind.ARRAY, Priority.LOW, 20_000, 0.5, 2, 0));
    List<JobId> idle = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Job job = job(10 + i, "batch", JobKind.ARRAY, Priority.LOW, 50, 2, 80, 10);
      idle.add(job.id());
      cluster.time().at(2 + i, () -> cluster.users().submit(job));
    }
    List<JobId> services = new ArrayList<>();
    List<JobId> arrays = new ArrayList<>();
    for (int i = 0; i < 15; i++) {
      Job service = job(100 + i, "web", JobKind.SERVICE, Priority.PRODUCTION, 2, 2, 0, 0);
      Job array = job(200 + i, "web", JobKind.ARRAY, Priority.NORMAL, 20, 1, 6, 0);
      services.add(service.id());
      arrays.add(array.id());
      cluster.time().at(40 + 2 * i, () -> cluster.users().submit(service));
      cluster.time().at(41 + 2 * i, () -> cluster.users().submit(array));
    }
    cluster.time().at(50, () -> cluster.crash(cluster.leader()));
    cluster.time().runUntil(85);
    assertEquals(30, services.stream().mapToInt(cluster.invariants()::onMachines).sum());
    cluster.time().runUntil(130);
    for (JobId id : arrays) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
      assertTrue(
          cluster.users().overAfter().get(id) < 45,
          id + " took " + cluster.users().overAfter().get(id));
    }
    cluster.time().runUntil(400);
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals("done", cluster.users().reportedStates().get(huge));
    for (JobId id : idle) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
    }
  }
}
