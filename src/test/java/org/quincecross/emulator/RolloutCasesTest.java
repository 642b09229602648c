package org.quincecross.emulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.rollout.Build;

/**
 * Controllers are replaced one after the other by a build with another form of the stored state,
 * under load, in virtual time.
 */
class RolloutCasesTest {
  private static final Build OLD = Build.present("old", 1);
  private static final Build NEW = Build.present("new", 2);
  private static final String JOBS =
      """
            [[jobs]]
            name = "front"
            shape = "service"
            rank = "critical"
            team = "web"
            copies = 8
            tasks = 3
            cpus = 2
            memory_gb = 4
            spread = true

            [[jobs]]
            name = "rebuild"
            shape = "array"
            rank = "standard"
            team = "batch"
            copies = 60
            every_s = 2
            tasks = 30
            cpus = 1
            memory_gb = 2
            run_s = 6
            """;

  /** Few changes per transaction: the level change has to fit. */
  private final ClusterSpec spec =
      ClusterSpec.tryOut(30, true).with(new Settings.StoreLimits(400, 56, 2048, 4));

  private final SimulatedCluster cluster =
      new SimulatedCluster(spec, 5, Meter.OFF, new Features(null, null, OLD));
  private final List<JobId> arrays = new ArrayList<>();
  private final List<String> findings = new ArrayList<>();

  RolloutCasesTest() throws MalformedMessageException {
    for (WorkloadFile.ScheduledJob due : WorkloadFile.read(JOBS, spec)) {
      cluster.time().at(4 + due.atS(), () -> cluster.users().submit(due.job()));
      if (due.job().jobClass().equals("rebuild")) {
        arrays.add(due.job().id());
      }
    }
    watch();
  }

  /**
   * No controller that does not support the current level is a member for longer than it takes to
   * notice, or is the leader, or owns a shard.
   */
  private void watch() {
    cluster
        .time()
        .after(
            0.05,
            () -> {
              int level = level();
              for (int node = 0; node < cluster.nodeCount(); node++) {
                if (cluster.state().value("q/member/" + ClusterSpec.nodeName(node))
                    instanceof Map<?, ?> member) {
                  int most = member.get("most") instanceof Number number ? number.intValue() : 1;
                  if (most < level && member.containsKey("build")) {
                    findings.add(
                        "at "
                            + cluster.time().seconds()
                            + " a member that ends at level "
                            + most
                            + " under level "
                            + level);
                  }
                }
              }
              watch();
            });
  }

  private int level() {
    return cluster.state().value("q/level") instanceof Map<?, ?> level
        ? ((Number) level.get("level")).intValue()
        : 1;
  }

  private JsonFields status(int node) {
    return cluster.status(node);
  }

  private void assertRulesKeptAtLevel(double untilS, int level) throws MalformedMessageException {
    cluster.time().runUntil(untilS);
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals(List.of(), findings);
    for (JobId id : arrays) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
    }
    assertEquals(
        24,
        cluster.users().reportedStates().keySet().stream()
            .filter(id -> !arrays.contains(id))
            .mapToInt(cluster.invariants()::onMachines)
            .sum(),
        "replicas");
    for (int node = 0; node < cluster.nodeCount(); node++) {
      assertEquals(level, status(node).integer("level", 1, 100), "level on " + node);
    }
  }

  private void upgradeAll(double fromS, double everyS, Build to) {
    for (int node = 0; node < cluster.nodeCount(); node++) {
      int each = node;
      cluster.time().at(fromS + everyS * node, () -> cluster.upgrade(each, to));
    }
  }

  /**
   * All controllers are replaced; the level rises some time after the last one is up; allocations
   * are then written as deltas.
   */
  @Test
  void upgradeUnderLoadRaisesLevel() throws MalformedMessageException {
    upgradeAll(20, 8, NEW);
    cluster.time().runUntil(44);
    assertEquals(1, level());
    cluster.time().runUntil(70);
    assertEquals(2, level());
    assertFalse(cluster.state().keysWithPrefix("q/change/").isEmpty());
    assertRulesKeptAtLevel(220, 2);
  }

  /**
   * A rollback before the level rises is a restart; the old build loses nothing that the new build
   * wrote.
   */
  @Test
  void rollbackBeforeLevelChangeLosesNothing() throws MalformedMessageException {
    cluster.time().at(20, () -> cluster.upgrade(0, NEW));
    cluster.time().at(28, () -> cluster.upgrade(1, NEW));
    cluster.time().at(36, () -> cluster.upgrade(0, OLD));
    cluster.time().at(44, () -> cluster.upgrade(1, OLD));
    assertRulesKeptAtLevel(220, 1);
    assertTrue(cluster.state().keysWithPrefix("q/change/").isEmpty());
  }

  /**
   * A controller that is away keeps the level unchanged until operators declare it gone; if it
   * returns with its old build it takes no part.
   */
  @Test
  void absentControllerReturnsWithOldThenNewBuild() throws MalformedMessageException {
    cluster.time().at(15, () -> cluster.stopFor(2, 75));
    cluster.time().at(20, () -> cluster.upgrade(0, NEW));
    cluster.time().at(24, () -> cluster.upgrade(1, NEW));
    cluster.time().runUntil(60);
    assertEquals(1, level());
    int leader = cluster.leader();
    assertTrue(
        status(leader).string("level_waits_for").contains("n2, which is away"),
        status(leader).string("level_waits_for"));
    set("{\"gone\": [\"n2\"]}");
    cluster.time().runUntil(80);
    assertEquals(2, level());
    cluster.time().runUntil(100);
    assertTrue(
        status(2).string("unable").contains("level 2 is in force"), status(2).string("unable"));
    assertEquals(503, ask(2, HttpRequest.get("/up")));
    assertEquals(503, ask(2, HttpRequest.get("/v2/runs/job-1")));
    assertEquals(0, status(2).integer("blocks_held", 0, 1000));
    cluster.time().at(110, () -> cluster.upgrade(2, NEW));
    assertRulesKeptAtLevel(220, 2);
    assertEquals(200, ask(2, HttpRequest.get("/up")));
  }

  /**
   * A controller that has read the records, is not yet a member, and cannot read one of them, does
   * not report that job as unknown.
   */
  @Test
  void unreadableJobIsNotUnknownBeforeMembership() {
    cluster.time().runUntil(20);
    cluster.stopFor(2, 1);
    cluster.state().write("q/job/job-77", Json.object("phase", "open", "at", 1));
    cluster
        .state()
        .delayTransactions(DelayedTransactions.share(1, 30, 40, () -> true, new Random(1)));
    for (double at = 21.2; at < 25; at += 0.1) {
      cluster.time().runUntil(at);
      assertEquals(503, ask(2, HttpRequest.get("/v2/runs/job-77")));
    }
  }

  /**
   * As the level rises, one controller restarts with its old build: either the change of level
   * fails, or that controller does not become a member.
   */
  @ParameterizedTest
  @ValueSource(doubles = {-4.2, -4.05, -4, -3.95, -3.9, -1, 0, 0.01, 0.02})
  void oldBuildThatJoinsDuringLevelChangeIsExcluded(double offset)
      throws MalformedMessageException {
    upgradeAll(20, 4, NEW);
    double switchAt = levelRisenAt();
    RolloutCasesTest other = new RolloutCasesTest();
    other.upgradeAll(20, 4, NEW);
    other.cluster.time().at(switchAt + offset, () -> other.cluster.upgrade(1, OLD));
    other.cluster.time().at(switchAt + 60, () -> other.cluster.upgrade(1, NEW));
    other.assertRulesKeptAtLevel(240, 2);
  }

  private double levelRisenAt() {
    for (double at = 30; at < 80; at += 0.01) {
      cluster.time().runUntil(at);
      if (level() == 2) {
        return at;
      }
    }
    throw new AssertionError("never switched");
  }

  /**
   * The leader is killed or suspended around the transaction that raises the level, and
   * transactions are applied late.
   */
  @ParameterizedTest
  @ValueSource(doubles = {-0.02, -0.01, -0.005, 0, 0.005, 1})
  void levelChangeSurvivesLeaderFailure(double offset) throws MalformedMessageException {
    upgradeAll(20, 4, NEW);
    double switchAt = levelRisenAt();
    for (double still : new double[] {0, 6, 25}) {
      RolloutCasesTest other = new RolloutCasesTest();
      other.upgradeAll(20, 4, NEW);
      other.cluster.state().applyLate(60);
      other.cluster.time().runUntil(switchAt + offset);
      int leader = Math.max(0, other.cluster.leader());
      if (still == 0) {
        other.cluster.crash(leader);
      } else {
        other.cluster.suspend(leader, still);
      }
      other.assertRulesKeptAtLevel(260, 2);
    }
  }

  /**
   * Outages of the state service, watches that are too old and a restart of all controllers, while
   * the level rises.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void levelChangeSurvivesFaults(int which) throws MalformedMessageException {
    upgradeAll(20, 4, NEW);
    cluster
        .time()
        .at(
            38.5,
            () -> {
              switch (which) {
                case 0 -> cluster.state().outage(12);
                case 1 -> cluster.state().keepChanges(1);
                default -> {
                  for (int node = 0; node < cluster.nodeCount(); node++) {
                    cluster.crash(node);
                  }
                }
              }
            });
    cluster.time().at(50, () -> cluster.state().keepChanges(10_000));
    assertRulesKeptAtLevel(240, 2);
  }

  /**
   * A build from before the introduction of levels returns after the level has risen: it may serve
   * users, but is not the leader and owns no shard.
   */
  @Test
  void buildWithoutLevelsNeverLeadsAfterLevelChange() throws MalformedMessageException {
    upgradeAll(20, 4, NEW);
    cluster.time().runUntil(60);
    assertEquals(2, level());
    assertEquals("level-2", ((Map<?, ?>) cluster.state().value("q/leader")).get("member"));
    // Such a build is not available; the test writes its records: it joins, and stands for election
    // when there is no leader.
    cluster
        .time()
        .at(
            61,
            () -> {
              cluster.stopFor(2, 60);
            });
    cluster
        .time()
        .at(
            65,
            () ->
                cluster
                    .state()
                    .write(
                        "q/member/n2",
                        Json.object("member", "n2", "life", 999_999, "zone", "west")));
    cluster.time().at(66, () -> cluster.crash(Math.max(0, cluster.leader())));
    cluster.time().runUntil(100);
    for (String block : cluster.state().keysWithPrefix("q/block/")) {
      assertFalse("n2".equals(((Map<?, ?>) cluster.state().value(block)).get("holder")), block);
    }
    cluster.time().at(100.5, () -> cluster.state().write("q/member/n2", null));
    assertRulesKeptAtLevel(240, 2);
  }

  /**
   * Operators lower the level: records that only this level can read are rewritten first, and then
   * old builds may return.
   */
  @Test
  void loweredLevelRewritesRecords() throws MalformedMessageException {
    upgradeAll(20, 4, NEW);
    cluster.time().runUntil(60);
    assertEquals(2, level());
    set("{\"most_level\": 1}");
    cluster.time().runUntil(75);
    assertEquals(1, level());
    assertEquals(List.of(), List.copyOf(cluster.state().keysWithPrefix("q/change/")));
    upgradeAll(80, 6, OLD);
    assertRulesKeptAtLevel(240, 1);
  }

  /**
   * A record of a later version, or a damaged one: a controller that reads it takes no part until
   * it can be read, and reports its key.
   */
  @Test
  void unreadableRecordKeepsControllerOut() throws MalformedMessageException {
    cluster.time().runUntil(30);
    String key = cluster.state().keysWithPrefix("q/alloc/").iterator().next();
    Object good = cluster.state().value(key);
    cluster.state().write(key, Json.object("tasks", Json.object("17", "from the future")));
    cluster.time().runUntil(40);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      assertTrue(status(node).string("unable").contains(key), status(node).string("unable"));
      assertEquals(503, ask(node, HttpRequest.get("/up")));
    }
    assertEquals(-1, cluster.leader());
    cluster.state().write(key, good);
    assertRulesKeptAtLevel(280, 1);
  }

  private int ask(int node, HttpRequest request) {
    int[] status = new int[1];
    cluster.sendDirectly(node, request, (HttpResponse response) -> status[0] = response.status());
    cluster.time().runUntil(cluster.time().seconds() + 2);
    return status[0];
  }

  private void set(String settings) throws MalformedMessageException {
    int node = cluster.leader();
    int[] status = new int[1];
    String[] version = new String[1];
    cluster.sendDirectly(
        node,
        HttpRequest.get("/admin/settings"),
        response -> version[0] = new String(response.body(), UTF_8));
    long seen = Json.parseFields(version[0].getBytes(UTF_8)).unsigned("version");
    cluster.sendDirectly(
        node,
        new HttpRequest(
            "PUT",
            "/admin/settings",
            ("{\"version\": " + seen + ", \"settings\": " + settings + "}").getBytes(UTF_8),
            false),
        response -> status[0] = response.status());
    cluster.time().runUntil(cluster.time().seconds() + 2);
    assertEquals(200, status[0]);
  }

  /**
   * The settings of one controller have a lower limit, with work above it running: from then on the
   * lowest limit applies, whoever leads.
   */
  @Test
  void lowestOfDifferingLimitsApplies() throws MalformedMessageException {
    JobId wide = new JobId("job-90000");
    Job job =
        Job.builder(wide)
            .jobClass("wide")
            .team("batch")
            .kind(JobKind.ARRAY)
            .priority(Priority.NORMAL)
            .taskCount(400)
            .taskResources(new Resources(1, 0, 1))
            .image("w")
            .imageGb(0.5)
            .estimate(TimeSpan.ofSeconds(10))
            .build();
    upgradeAll(6, 3, NEW);
    cluster.time().at(22, () -> cluster.users().submit(job));
    cluster.time().runUntil(30);
    assertTrue(
        cluster.invariants().used("batch").cpus() > 60,
        "above the limit to come: " + cluster.invariants().used("batch"));
    Team batch = spec.teams().get("batch");
    Map<String, Team> lower = new HashMap<>(spec.teams());
    lower.put(
        "batch",
        new Team(
            "batch",
            batch.guarantee(),
            new Resources(40, batch.limit().gpus(), batch.limit().memoryGb())));
    int other = (cluster.leader() + 1) % cluster.nodeCount();
    cluster.configureTeams(other, lower);
    cluster.crash(other);
    cluster.time().runUntil(45);
    assertTrue(cluster.leader() != other, "the leader has the higher limit");
    assertTrue(
        status(cluster.leader())
            .strings("settings_differ")
            .toString()
            .contains(ClusterSpec.nodeName(other) + " has other teams"),
        status(cluster.leader()).strings("settings_differ").toString());
    double most = 0;
    for (double at = 50; at < 80; at += 0.5) {
      cluster.time().runUntil(at);
      most = Math.max(most, cluster.invariants().used("batch").cpus());
    }
    assertTrue(most > 30 && most <= 40.001, most + " processors of 40");
    cluster.configureTeams(other, spec.teams());
    cluster.crash(other);
    assertRulesKeptAtLevel(240, 2);
    assertEquals("done", cluster.users().reportedStates().get(wide));
    assertEquals(List.of(), status(0).strings("settings_differ"));
  }
}
