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
 * Controllers that are replaced one after the other by a build with another form of the stored
 * state, under load, in virtual time.
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

  /** Few changes a transaction: the switch has to fit. */
  private final ClusterSpec site =
      ClusterSpec.tryOut(30, true).with(new Settings.StoreLimits(400, 56, 2048, 4));

  private final SimulatedCluster world =
      new SimulatedCluster(site, 5, Meter.OFF, new Features(null, null, OLD));
  private final List<JobId> arrays = new ArrayList<>();
  private final List<String> wrong = new ArrayList<>();

  RolloutCasesTest() throws MalformedMessageException {
    for (WorkloadFile.Due due : WorkloadFile.read(JOBS, site)) {
      world.time().at(4 + due.atS(), () -> world.users().submit(due.job()));
      if (due.job().jobClass().equals("rebuild")) {
        arrays.add(due.job().id());
      }
    }
    watch();
  }

  /**
   * Nobody who cannot do the level in force is a member for longer than it takes to see it, or
   * leads or holds anything.
   */
  private void watch() {
    world
        .time()
        .after(
            0.05,
            () -> {
              int level = level();
              for (int node = 0; node < world.nodeCount(); node++) {
                if (world.state().value("q/member/" + ClusterSpec.nodeName(node))
                    instanceof Map<?, ?> member) {
                  int most = member.get("most") instanceof Number number ? number.intValue() : 1;
                  if (most < level && member.containsKey("build")) {
                    wrong.add(
                        "at "
                            + world.time().seconds()
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
    return world.state().value("q/level") instanceof Map<?, ?> level
        ? ((Number) level.get("level")).intValue()
        : 1;
  }

  private JsonFields status(int node) {
    return world.status(node);
  }

  private void assertAllIsWell(double untilS, int level) throws MalformedMessageException {
    world.time().runUntil(untilS);
    assertEquals(List.of(), world.rules().violations());
    assertEquals(List.of(), wrong);
    for (JobId id : arrays) {
      assertEquals("done", world.users().told().get(id), id.text());
    }
    assertEquals(
        24,
        world.users().told().keySet().stream()
            .filter(id -> !arrays.contains(id))
            .mapToInt(world.rules()::onMachines)
            .sum(),
        "replicas");
    for (int node = 0; node < world.nodeCount(); node++) {
      assertEquals(level, status(node).integer("level", 1, 100), "level on " + node);
    }
  }

  private void rollAll(double fromS, double everyS, Build to) {
    for (int node = 0; node < world.nodeCount(); node++) {
      int each = node;
      world.time().at(fromS + everyS * node, () -> world.roll(each, to));
    }
  }

  /**
   * All are replaced; the level rises once the last has been there for a while; allocations are
   * then written as what changed.
   */
  @Test
  void aRollUnderLoad() throws MalformedMessageException {
    rollAll(20, 8, NEW);
    world.time().runUntil(44);
    assertEquals(1, level());
    world.time().runUntil(70);
    assertEquals(2, level());
    assertFalse(world.state().keysWithPrefix("q/change/").isEmpty());
    assertAllIsWell(220, 2);
  }

  /**
   * Back before the switch is a restart; nothing that was written by the new build is lost on the
   * old one.
   */
  @Test
  void backHalfWay() throws MalformedMessageException {
    world.time().at(20, () -> world.roll(0, NEW));
    world.time().at(28, () -> world.roll(1, NEW));
    world.time().at(36, () -> world.roll(0, OLD));
    world.time().at(44, () -> world.roll(1, OLD));
    assertAllIsWell(220, 1);
    assertTrue(world.state().keysWithPrefix("q/change/").isEmpty());
  }

  /**
   * One that is away keeps the level where it is, until operators say that it is gone; back with
   * its old build it takes no part.
   */
  @Test
  void oneThatIsAwayComesBackOldAndThenNew() throws MalformedMessageException {
    world.time().at(15, () -> world.down(2, 75));
    world.time().at(20, () -> world.roll(0, NEW));
    world.time().at(24, () -> world.roll(1, NEW));
    world.time().runUntil(60);
    assertEquals(1, level());
    int leader = world.leader();
    assertTrue(
        status(leader).string("level_waits_for").contains("n2, which is away"),
        status(leader).string("level_waits_for"));
    set("{\"gone\": [\"n2\"]}");
    world.time().runUntil(80);
    assertEquals(2, level());
    world.time().runUntil(100);
    assertTrue(
        status(2).string("unable").contains("level 2 is in force"), status(2).string("unable"));
    assertEquals(503, ask(2, HttpRequest.get("/up")));
    assertEquals(503, ask(2, HttpRequest.get("/v2/runs/job-1")));
    assertEquals(0, status(2).integer("blocks_held", 0, 1000));
    world.time().at(110, () -> world.roll(2, NEW));
    assertAllIsWell(220, 2);
    assertEquals(200, ask(2, HttpRequest.get("/up")));
  }

  /**
   * A controller that has read the records, is no member yet, and cannot read one of them does not
   * call that job unknown.
   */
  @Test
  void whatCannotBeReadIsNotUnknownBeforeAMemberIsAnnounced() {
    world.time().runUntil(20);
    world.down(2, 1);
    world.state().write("q/job/job-77", Json.object("phase", "open", "at", 1));
    world
        .state()
        .delayTransactions(DelayedTransactions.share(1, 30, 40, () -> true, new Random(1)));
    for (double at = 21.2; at < 25; at += 0.1) {
      world.time().runUntil(at);
      assertEquals(503, ask(2, HttpRequest.get("/v2/runs/job-77")));
    }
  }

  /**
   * In the moment of the switch one is restarted with its old build: either the switch fails, or it
   * does not become a member.
   */
  @ParameterizedTest
  @ValueSource(doubles = {-4.2, -4.05, -4, -3.95, -3.9, -1, 0, 0.01, 0.02})
  void anOldOneJoinsInTheSameInstant(double offset) throws MalformedMessageException {
    rollAll(20, 4, NEW);
    double switchAt = switchedAt();
    RolloutCasesTest other = new RolloutCasesTest();
    other.rollAll(20, 4, NEW);
    other.world.time().at(switchAt + offset, () -> other.world.roll(1, OLD));
    other.world.time().at(switchAt + 60, () -> other.world.roll(1, NEW));
    other.assertAllIsWell(240, 2);
  }

  private double switchedAt() {
    for (double at = 30; at < 80; at += 0.01) {
      world.time().runUntil(at);
      if (level() == 2) {
        return at;
      }
    }
    throw new AssertionError("never switched");
  }

  /**
   * The switching leader is killed or stands still around its transaction, and transactions are
   * applied late.
   */
  @ParameterizedTest
  @ValueSource(doubles = {-0.02, -0.01, -0.005, 0, 0.005, 1})
  void theLeaderIsLostOverTheSwitch(double offset) throws MalformedMessageException {
    rollAll(20, 4, NEW);
    double switchAt = switchedAt();
    for (double still : new double[] {0, 6, 25}) {
      RolloutCasesTest other = new RolloutCasesTest();
      other.rollAll(20, 4, NEW);
      other.world.state().applyLate(60);
      other.world.time().runUntil(switchAt + offset);
      int leader = Math.max(0, other.world.leader());
      if (still == 0) {
        other.world.crash(leader);
      } else {
        other.world.standStill(leader, still);
      }
      other.assertAllIsWell(260, 2);
    }
  }

  /** State outages, watches that are too old and a restart of all, while the level rises. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void troublesOverTheSwitch(int which) throws MalformedMessageException {
    rollAll(20, 4, NEW);
    world
        .time()
        .at(
            38.5,
            () -> {
              switch (which) {
                case 0 -> world.state().outage(12);
                case 1 -> world.state().keepChanges(1);
                default -> {
                  for (int node = 0; node < world.nodeCount(); node++) {
                    world.crash(node);
                  }
                }
              }
            });
    world.time().at(50, () -> world.state().keepChanges(10_000));
    assertAllIsWell(240, 2);
  }

  /**
   * A build from before levels comes back after the switch: it may serve users, but leads and holds
   * nothing.
   */
  @Test
  void aBuildFromBeforeLevelsNeverLeadsAfterTheSwitch() throws MalformedMessageException {
    rollAll(20, 4, NEW);
    world.time().runUntil(60);
    assertEquals(2, level());
    assertEquals("level-2", ((Map<?, ?>) world.state().value("q/leader")).get("member"));
    // Such a build cannot be run here any more; what it does is in its records: it joins, and
    // stands where nobody leads.
    world
        .time()
        .at(
            61,
            () -> {
              world.down(2, 60);
            });
    world
        .time()
        .at(
            65,
            () ->
                world
                    .state()
                    .write(
                        "q/member/n2",
                        Json.object("member", "n2", "life", 999_999, "zone", "west")));
    world.time().at(66, () -> world.crash(Math.max(0, world.leader())));
    world.time().runUntil(100);
    for (String block : world.state().keysWithPrefix("q/block/")) {
      assertFalse("n2".equals(((Map<?, ?>) world.state().value(block)).get("holder")), block);
    }
    world.time().at(100.5, () -> world.state().write("q/member/n2", null));
    assertAllIsWell(240, 2);
  }

  /**
   * Operators take the level back: what only it can read is rewritten first, and then old builds
   * may come again.
   */
  @Test
  void theLevelIsLowered() throws MalformedMessageException {
    rollAll(20, 4, NEW);
    world.time().runUntil(60);
    assertEquals(2, level());
    set("{\"most_level\": 1}");
    world.time().runUntil(75);
    assertEquals(1, level());
    assertEquals(List.of(), List.copyOf(world.state().keysWithPrefix("q/change/")));
    rollAll(80, 6, OLD);
    assertAllIsWell(240, 1);
  }

  /**
   * A record from the future, or a damaged one: whoever reads it takes no part until it can be
   * read, and says which it is.
   */
  @Test
  void aRecordThatCannotBeRead() throws MalformedMessageException {
    world.time().runUntil(30);
    String key = world.state().keysWithPrefix("q/alloc/").iterator().next();
    Object good = world.state().value(key);
    world.state().write(key, Json.object("tasks", Json.object("17", "from the future")));
    world.time().runUntil(40);
    for (int node = 0; node < world.nodeCount(); node++) {
      assertTrue(status(node).string("unable").contains(key), status(node).string("unable"));
      assertEquals(503, ask(node, HttpRequest.get("/up")));
    }
    assertEquals(-1, world.leader());
    world.state().write(key, good);
    assertAllIsWell(280, 1);
  }

  private int ask(int node, HttpRequest request) {
    int[] status = new int[1];
    world.ask(node, request, (HttpResponse response) -> status[0] = response.status());
    world.time().runUntil(world.time().seconds() + 2);
    return status[0];
  }

  private void set(String settings) throws MalformedMessageException {
    int node = world.leader();
    int[] status = new int[1];
    String[] version = new String[1];
    world.ask(
        node,
        HttpRequest.get("/admin/settings"),
        response -> version[0] = new String(response.body(), UTF_8));
    long seen = Json.parseFields(version[0].getBytes(UTF_8)).unsigned("version");
    world.ask(
        node,
        new HttpRequest(
            "PUT",
            "/admin/settings",
            ("{\"version\": " + seen + ", \"settings\": " + settings + "}").getBytes(UTF_8),
            false),
        response -> status[0] = response.status());
    world.time().runUntil(world.time().seconds() + 2);
    assertEquals(200, status[0]);
  }

  /**
   * The platform's file of one controller has a lower limit, with work above it running: from then
   * on the lowest holds, whoever leads.
   */
  @Test
  void whileALimitDiffersTheLowestHolds() throws MalformedMessageException {
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
    rollAll(6, 3, NEW);
    world.time().at(22, () -> world.users().submit(job));
    world.time().runUntil(30);
    assertTrue(
        world.rules().used("batch").cpus() > 60,
        "above the limit to come: " + world.rules().used("batch"));
    Team batch = site.teams().get("batch");
    Map<String, Team> lower = new HashMap<>(site.teams());
    lower.put(
        "batch",
        new Team(
            "batch",
            batch.guarantee(),
            new Resources(40, batch.limit().gpus(), batch.limit().memoryGb())));
    int other = (world.leader() + 1) % world.nodeCount();
    world.tellTeams(other, lower);
    world.crash(other);
    world.time().runUntil(45);
    assertTrue(world.leader() != other, "the leader was told the higher limit");
    assertTrue(
        status(world.leader())
            .strings("settings_differ")
            .toString()
            .contains(ClusterSpec.nodeName(other) + " has other teams"),
        status(world.leader()).strings("settings_differ").toString());
    double most = 0;
    for (double at = 50; at < 80; at += 0.5) {
      world.time().runUntil(at);
      most = Math.max(most, world.rules().used("batch").cpus());
    }
    assertTrue(most > 30 && most <= 40.001, most + " processors of 40");
    world.tellTeams(other, site.teams());
    world.crash(other);
    assertAllIsWell(240, 2);
    assertEquals("done", world.users().told().get(wide));
    assertEquals(List.of(), status(0).strings("settings_differ"));
  }
}
