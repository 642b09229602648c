package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.rollout.Build;

/**
 * The state service lowers its limits without notice, after records have been written that exceed
 * the new limits. Three controllers, in virtual time.
 */
@Timeout(120)
class StoreLimitReductionTest {
  private static final Settings.StoreLimits LOW = new Settings.StoreLimits(400, 40, 1024, 4);
  private static final Build NEW = Build.present("new", 2);
  private static final int JOBS = 420;
  private static final int SERVICES = 12;

  private final SimulatedCluster cluster =
      new SimulatedCluster(
          ClusterSpec.tryOut(9, true).with(new Settings.StoreLimits(400, 60, 4096, 8)),
          5,
          Meter.OFF,
          Features.NONE);
  private final List<JobId> batchJobs = new ArrayList<>();
  private final List<JobId> services = new ArrayList<>();

  StoreLimitReductionTest() {
    for (int i = 0; i < JOBS; i++) {
      Job job = job(1_000_000_000 + i, "batch", JobKind.ARRAY, Priority.LOW, 1, 0.1, 35);
      batchJobs.add(job.id());
      cluster.time().at(4 + 0.02 * i, () -> cluster.users().submit(job));
    }
    for (int i = 0; i < SERVICES; i++) {
      Job job = job(90_000 + i, "web", JobKind.SERVICE, Priority.PRODUCTION, 3, 0.5, 0);
      services.add(job.id());
      cluster.time().at(4 + i, () -> cluster.users().submit(job));
    }
  }

  private static Job job(
      int number,
      String team,
      JobKind kind,
      Priority priority,
      int tasks,
      double cpus,
      double runS) {
    return Job.builder(new JobId("job-" + number))
        .jobClass(kind == JobKind.SERVICE ? "front" : "small")
        .team(team)
        .kind(kind)
        .priority(priority)
        .taskCount(tasks)
        .taskResources(new Resources(cpus, 0, 0.1))
        .image("i")
        .imageGb(0.2)
        .estimate(TimeSpan.ofSeconds(runS))
        .build();
  }

  /**
   * The records that may have to be changed; bundles are excluded, because they are only ever
   * deleted.
   */
  private List<String> recordsLargerThan(int bytes) {
    return cluster.state().keysWithPrefix("q/").stream()
        .filter(
            key ->
                !key.startsWith("q/bundle/")
                    && Json.write(cluster.state().value(key)).length > bytes)
        .toList();
  }

  private Set<String> reportedAsTooLarge() throws MalformedMessageException {
    return Set.copyOf(cluster.status(0).fields("too_large").fieldNames());
  }

  private int level() {
    return cluster.state().value("q/level") instanceof Map<?, ?> level
        ? ((Number) level.get("level")).intValue()
        : 1;
  }

  /**
   * Replaces all controllers, one after the other, by builds whose settings announce the new
   * limits.
   */
  private void upgradeAll() {
    for (int node = 0; node < cluster.nodeCount(); node++) {
      int each = node;
      cluster
          .time()
          .at(
              24 + 4 * node,
              () -> {
                cluster.configureNextLimits(each, LOW);
                cluster.upgrade(each, NEW);
              });
    }
    cluster.time().runUntil(33);
  }

  private void loseMachines(double atS) {
    cluster
        .time()
        .at(
            atS,
            () -> {
              List<MachineId> machines = cluster.cloud().machines();
              for (int i = 0; i < machines.size(); i += 3) {
                cluster.cloud().terminate(machines.get(i), 0);
              }
            });
  }

  private void assertAllEnds(List<JobId> cancelled) {
    cluster.time().runUntil(220);
    assertEquals(List.of(), cluster.invariants().violations());
    for (JobId id : batchJobs) {
      String told = cluster.users().reportedStates().get(id);
      assertTrue(
          "done".equals(told) || (cancelled.contains(id) && "cancelled".equals(told)),
          id.text() + " " + told);
    }
    for (JobId id : services) {
      assertEquals(3, cluster.invariants().onMachines(id), id.text());
    }
    assertEquals(
        List.of(),
        recordsLargerThan(LOW.maxValueBytes()),
        "nothing is left that could not be changed");
  }

  /** Another event as the limits are lowered. */
  enum ConcurrentEvent {
    NOTHING,
    OUTAGE,
    ALL_RESTART,
    LEADER_CRASHES,
    OUTAGE_AND_RESTART
  }

  /** Before and after the level at which a shard's oversized record can be changed in part. */
  @ParameterizedTest
  @CsvSource({
    "38, NOTHING",
    "38, OUTAGE",
    "38, ALL_RESTART",
    "52, NOTHING",
    "52, LEADER_CRASHES",
    "52, OUTAGE_AND_RESTART"
  })
  void limitsAreLoweredAfterUpgrade(double fallAt, ConcurrentEvent meanwhile)
      throws MalformedMessageException {
    cluster.time().runUntil(23.9);
    assertTrue(
        recordsLargerThan(LOW.maxValueBytes()).size() >= 3,
        recordsLargerThan(LOW.maxValueBytes()) + " large records");
    upgradeAll();
    cluster.time().runUntil(37.9);
    assertFalse(reportedAsTooLarge().isEmpty(), "the status names the oversized records");
    loseMachines(fallAt + 3);
    List<JobId> cancelled = new ArrayList<>();
    cluster
        .time()
        .at(
            fallAt + 1,
            () -> {
              for (int i = 0; i < JOBS; i += 50) {
                JobId id = batchJobs.get(i);
                if (!"done".equals(cluster.users().reportedStates().get(id))) {
                  cluster.users().cancel(id);
                  cancelled.add(id);
                }
              }
            });
    cluster.time().at(fallAt, () -> cluster.state().limit(LOW));
    if (meanwhile == ConcurrentEvent.OUTAGE || meanwhile == ConcurrentEvent.OUTAGE_AND_RESTART) {
      cluster.time().at(fallAt - 2, () -> cluster.state().outage(9));
    }
    if (meanwhile == ConcurrentEvent.ALL_RESTART
        || meanwhile == ConcurrentEvent.OUTAGE_AND_RESTART) {
      cluster
          .time()
          .at(
              fallAt - 0.5,
              () -> {
                for (int node = 0; node < cluster.nodeCount(); node++) {
                  cluster.stopFor(node, 6 + node);
                }
              });
    }
    if (meanwhile == ConcurrentEvent.LEADER_CRASHES) {
      cluster.time().at(fallAt - 0.1, () -> cluster.crash(Math.max(0, cluster.leader())));
    }
    cluster.time().runUntil(fallAt);
    assertEquals(fallAt > 50 ? 2 : 1, level());
    assertAllEnds(cancelled);
    assertEquals(0, cluster.state().tooLarge(), "transactions that were too large");
    assertEquals(2, level());
    assertEquals(Set.of(), reportedAsTooLarge());
  }

  /** No controller was told of the new limits: work continues, in smaller steps. */
  @Test
  void limitsAreLoweredWithoutAnnouncement() {
    cluster.time().at(24, () -> cluster.state().limit(LOW));
    loseMachines(30);
    // So many at once that a bundle of them is too large.
    cluster
        .time()
        .at(
            40,
            () -> {
              for (int i = 0; i < 30; i++) {
                Job job = job(80_000 + i, "batch", JobKind.ARRAY, Priority.LOW, 1, 0.1, 35);
                batchJobs.add(job.id());
                cluster.users().submit(job);
              }
            });
    assertAllEnds(List.of());
    assertTrue(cluster.state().tooLarge() > 0, "no transaction was too large");
    assertTrue(
        cluster.state().tooLarge() < 200,
        cluster.state().tooLarge() + " transactions that were too large");
  }

  /**
   * So many teams that a member's record has no room for their limits: it omits them, and the
   * controller still takes part.
   */
  @Test
  void memberWithManyTeamsTakesPart() {
    Map<String, Team> teams = new LinkedHashMap<>(cluster.spec().teams());
    for (int i = 0; i < 40; i++) {
      teams.put(
          "team-" + i, new Team("team-" + i, new Resources(1, 0, 1), new Resources(10, 0, 10)));
    }
    SimulatedCluster other =
        new SimulatedCluster(
            cluster.spec().with(teams).with(LOW), 5, Meter.OFF, new Features(null, null, NEW));
    other.time().runUntil(20);
    assertTrue(other.leader() >= 0, "no controller is a member");
    assertEquals(0, other.state().tooLarge());
    assertEquals(3, other.state().keysWithPrefix("q/member/").size());
  }
}
