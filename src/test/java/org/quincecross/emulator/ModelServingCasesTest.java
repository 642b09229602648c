package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.protocol.MalformedMessageException;

/** Models that scale up from zero with three controllers and failures, in virtual time. */
class ModelServingCasesTest {
  private static final double START_S = 40;

  /**
   * Sends 10,000 wake requests per second to each controller until the model is warm; all are
   * answered. Returns how long that took.
   */
  private static double wakeUntilWarm(ModelServingCluster testCluster)
      throws MalformedMessageException {
    int[] answered = new int[1];
    for (int node = 0; node < 3; node++) {
      for (int i = 0; i < 10_000; i++) {
        int each = node;
        testCluster
            .cluster
            .time()
            .at(
                START_S + i / 10_000.0,
                () ->
                    testCluster.send(
                        each,
                        "m/wake",
                        Map.of(),
                        response -> answered[0] += response.status() < 300 ? 1 : 0));
      }
    }
    double warmAt = testCluster.timeWhenIn("m", "WARM", 60);
    assertEquals(30_000, answered[0]);
    return warmAt - START_S;
  }

  /**
   * The model serves soon after its fetch; in one of four clusters a random delay adds seconds, so
   * the median of five is bounded.
   */
  @Test
  void modelServesSoonAfterItsFetch() throws MalformedMessageException {
    double[] warm = new double[5];
    for (int i = 0; i < warm.length; i++) {
      ModelServingCluster testCluster = ModelServingCluster.withOne(4 + i, 2);
      long before = testCluster.epoch("m");
      warm[i] = wakeUntilWarm(testCluster);
      assertTrue(
          testCluster.epoch("m") <= before + 5,
          "however many wakes, few changes: " + (testCluster.epoch("m") - before));
      assertTrue(
          warm[i] > ModelServingCluster.FETCH_S && warm[i] < ModelServingCluster.FETCH_S + 9,
          "warm after " + warm[i]);
    }
    Arrays.sort(warm);
    assertTrue(warm[2] < ModelServingCluster.FETCH_S + 3, Arrays.toString(warm));
  }

  /**
   * 10,000 wake requests per second at each controller cause one change, one start and one fetch;
   * in a cluster in which no answer is late.
   */
  @Test
  void manyWakesCauseOneColdStart() throws MalformedMessageException {
    ModelServingCluster testCluster = ModelServingCluster.withOne(4, 2);
    long before = testCluster.epoch("m");
    int started = testCluster.cluster.environment().coldStarts().starts();
    int fetched = testCluster.cluster.environment().coldStarts().fetches();
    double warm = wakeUntilWarm(testCluster);
    assertTrue(
        warm > ModelServingCluster.FETCH_S && warm < ModelServingCluster.FETCH_S + 4,
        "warm after " + warm);
    for (int node = 0; node < 3; node++) {
      assertTrue(
          testCluster.requestedChanges(node) <= 3,
          "changes asked for by one controller: " + testCluster.requestedChanges(node));
    }
    assertEquals(0, testCluster.cluster.environment().coldStarts().lateStarts());
    assertEquals(2, testCluster.onMachines(100));
    assertEquals(before + 3, testCluster.epoch("m"), "woken, chosen, ready");
    assertEquals(2, testCluster.cluster.environment().coldStarts().starts() - started);
    assertEquals(2, testCluster.cluster.environment().coldStarts().fetches() - fetched);
    testCluster.timeWhenIn("m", "ZERO", 60);
    assertEquals(0, testCluster.onMachines(100));
    testCluster.assertRulesKept();
  }

  /**
   * All three controllers restart at once while the model starts: the start continues, and nothing
   * is started twice.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.01, 0.05, 0.15, 0.4, 1, 4, 8.5})
  void coldStartSurvivesRestartOfAllControllers(double afterS) throws MalformedMessageException {
    ModelServingCluster testCluster = ModelServingCluster.withOne(5, 2);
    testCluster.wakeAt(START_S, 1, "m");
    for (int node = 0; node < 3; node++) {
      int each = node;
      testCluster.cluster.time().at(START_S + afterS, () -> testCluster.cluster.crash(each));
    }
    testCluster.timeWhenIn("m", "WARM", 90);
    assertEquals(2, testCluster.onMachines(100));
    assertEquals(0, testCluster.cluster.environment().coldStarts().lateStarts());
    testCluster.assertRulesKept();
  }

  /**
   * The leader is suspended or cut off around the transaction that writes the placement, for longer
   * than its lease.
   */
  @ParameterizedTest
  @CsvSource({
    "STILL_BEFORE, 8",
    "STILL_BEFORE, 25",
    "STILL_AFTER, 8",
    "STILL_AFTER, 25",
    "SILENT, 25"
  })
  void coldStartSurvivesSuspendedLeader(SimulatedCluster.SendFault fault, double seconds)
      throws MalformedMessageException {
    ModelServingCluster testCluster = ModelServingCluster.withOne(6, 2);
    testCluster.cluster.injectFaultAt(
        request ->
            request.startsWith("POST /txn")
                && request.contains("agreed/models/m")
                && request.contains("\"STARTING\"")
                && request.contains("\"replica\""),
        seconds,
        fault);
    testCluster.wakeAt(START_S, (testCluster.cluster.leader() + 1) % 3, "m");
    testCluster.timeWhenIn("m", "WARM", 90);
    assertTrue(testCluster.cluster.faultedController() >= 0);
    testCluster.cluster.time().runUntil(testCluster.cluster.time().seconds() + 5);
    assertEquals(2, testCluster.onMachines(100));
    testCluster.assertRulesKept();
  }

  /** Two wake requests while there is no leader, one at each of the remaining controllers. */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.5, 3, 5.5})
  void wakesDuringElectionCauseOneColdStart(double afterS) throws MalformedMessageException {
    ModelServingCluster testCluster = ModelServingCluster.withOne(7, 2);
    int leader = testCluster.cluster.leader();
    testCluster.cluster.time().at(START_S, () -> testCluster.cluster.stopFor(leader, 30));
    testCluster.wakeAt(START_S + afterS, (leader + 1) % 3, "m");
    testCluster.wakeAt(START_S + afterS, (leader + 2) % 3, "m");
    testCluster.timeWhenIn("m", "WARM", 90);
    assertEquals(2, testCluster.onMachines(100));
    testCluster.assertRulesKept();
  }

  /** The state service is down for a while from some moment of a cold start on, and of a drain. */
  @ParameterizedTest
  @CsvSource({"0, 3", "0.03, 10", "0.15, 10", "0.5, 10", "5, 10", "8.6, 10", "32, 10"})
  void recoversFromOutageInEachStep(double afterS, double seconds)
      throws MalformedMessageException {
    ModelServingCluster testCluster = ModelServingCluster.withOne(8, 2);
    testCluster.cluster.state().applyLate(60);
    testCluster.wakeAt(START_S, 2, "m");
    testCluster
        .cluster
        .time()
        .at(START_S + afterS, () -> testCluster.cluster.state().outage(seconds));
    testCluster.timeWhenIn("m", "WARM", 90);
    testCluster.timeWhenIn("m", "ZERO", 90);
    testCluster.cluster.time().runUntil(testCluster.cluster.time().seconds() + 2);
    assertEquals(0, testCluster.onMachines(100));
    testCluster.wakeAt(testCluster.cluster.time().seconds() + 0.1, 0, "m");
    testCluster.timeWhenIn("m", "WARM", 90);
    testCluster.assertRulesKept();
  }

  /**
   * The machine of the only warm replica is terminated, with or without notice: a cold start
   * elsewhere, after proof that the replica is gone.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 6, 30})
  void restartsElsewhereWhenLastMachineIsTerminated(double noticeS)
      throws MalformedMessageException {
    ModelServingCluster testCluster = ModelServingCluster.withOne(9, 1);
    testCluster.wakeAt(START_S, 0, "m");
    testCluster.timeWhenIn("m", "WARM", 60);
    String machine = testCluster.machine("m").text();
    testCluster
        .cluster
        .time()
        .at(
            START_S + 16,
            () -> testCluster.cluster.cloud().terminate(new MachineId(machine), noticeS));
    for (int i = 0; i < 60; i++) {
      testCluster
          .cluster
          .time()
          .at(
              START_S + 16 + i,
              () ->
                  testCluster.send(
                      1, "m/load", Map.of("from", "gateway", "in_flight", 3), response -> {}));
    }
    testCluster.cluster.time().runUntil(START_S + 16 + 50);
    assertEquals("WARM", testCluster.phase("m"));
    assertEquals(1, testCluster.onMachines(100));
    assertTrue(!machine.equals(testCluster.machine("m").text()));
    testCluster.assertRulesKept();
  }

  /** Its user cancels the job of a model in each of its states. */
  @ParameterizedTest
  @ValueSource(strings = {"ZERO", "STARTING", "WARM", "DRAINING"})
  void modelOfCancelledJobEndsInEachState(String phase) throws MalformedMessageException {
    ModelServingCluster testCluster = ModelServingCluster.withOne(10, 2);
    if (!phase.equals("ZERO")) {
      testCluster.wakeAt(START_S, 0, "m");
      testCluster.timeWhenIn("m", phase, 90);
    }
    testCluster.cluster.users().cancel(new JobId("job-100"));
    testCluster.cluster.time().runUntil(testCluster.cluster.time().seconds() + 30);
    assertEquals("ZERO", testCluster.phase("m"));
    assertEquals(0, testCluster.onMachines(100));
    assertEquals(
        "cancelled", testCluster.cluster.users().reportedStates().get(new JobId("job-100")));
    assertEquals(409, testCluster.post(1, "m/wake", Map.of()));
    assertEquals("ZERO", testCluster.phase("m"));
    testCluster.assertRulesKept();
  }

  /**
   * A wake request at the moment of a drain, at each controller and at many offsets: the model
   * serves again, and nothing is started twice.
   */
  @ParameterizedTest
  @ValueSource(doubles = {-0.2, -0.05, -0.02, -0.01, -0.004, 0, 0.004, 0.01, 0.03, 0.1, 0.5, 1})
  void wakeDuringDrainRestoresService(double offset) throws MalformedMessageException {
    ModelServingCluster first = ModelServingCluster.withOne(11, 2);
    first.wakeAt(START_S, 0, "m");
    first.timeWhenIn("m", "WARM", 60);
    double drainAt = first.timeWhenIn("m", "DRAINING", 60);
    for (int node = 0; node < 3; node++) {
      ModelServingCluster testCluster = ModelServingCluster.withOne(11, 2);
      testCluster.wakeAt(START_S, 0, "m");
      testCluster.timeWhenIn("m", "WARM", 60);
      testCluster.wakeAt(drainAt + offset, node, "m");
      testCluster.cluster.time().runUntil(drainAt + 1.2);
      testCluster.timeWhenIn("m", "WARM", 20);
      testCluster
          .cluster
          .time()
          .runUntil(Math.max(testCluster.cluster.time().seconds(), drainAt + offset + 15));
      assertEquals("WARM", testCluster.phase("m"), "node " + node);
      assertEquals(2, testCluster.onMachines(100));
      testCluster.assertRulesKept();
    }
  }

  /**
   * The limit of a team is below the minimum replicas of its two models: as many replicas as
   * permitted come up and serve, and the limit holds.
   */
  @Test
  void teamLimitBelowMinimumReplicasHolds() throws MalformedMessageException {
    ClusterSpec plain = ClusterSpec.tryOut(24, true);
    Map<String, Team> teams = new LinkedHashMap<>(plain.teams());
    teams.put("web", new Team("web", new Resources(12, 0, 1e9), new Resources(20, 0, 1e9)));
    ModelServingCluster testCluster = new ModelServingCluster(plain.with(teams), 12);
    testCluster.submit(ModelServingCluster.job(100, 2, 6, 2, false));
    testCluster.submit(ModelServingCluster.job(101, 2, 6, 2, false));
    testCluster.cluster.time().runUntil(ModelServingCluster.DEFINED_S);
    testCluster.define("m", 100, 2, 2);
    testCluster.define("n", 101, 2, 2);
    testCluster.timeWhenIn("m", "ZERO", 40);
    testCluster.timeWhenIn("n", "ZERO", 40);
    double at = testCluster.cluster.time().seconds();
    testCluster.wakeAt(at + 1, 0, "m");
    testCluster.wakeAt(at + 1, 1, "n");
    testCluster.cluster.time().runUntil(at + 8);
    assertEquals(
        3,
        testCluster.onMachines(100) + testCluster.onMachines(101),
        "three replicas of 6 cpus are within a limit of 20");
    assertEquals("WARM", testCluster.phase("m"));
    assertEquals("WARM", testCluster.phase("n"));
    testCluster.send(1, "n/load", Map.of("from", "gateway", "in_flight", 5), response -> {});
    testCluster.cluster.users().cancel(new JobId("job-100"));
    testCluster.cluster.time().runUntil(at + 30);
    assertEquals(2, testCluster.onMachines(101), "the remaining replicas start when there is room");
    testCluster.assertRulesKept();
  }

  /** Invalid requests are refused and change nothing; a repeated definition is one change. */
  @Test
  void invalidRequestsChangeNothing() throws MalformedMessageException {
    ModelServingCluster testCluster = ModelServingCluster.withOne(17, 2);
    long epoch = testCluster.epoch("m");
    assertEquals(404, testCluster.post(0, "other/wake", Map.of()));
    assertEquals(404, testCluster.post(0, "other", Map.of("job", "job-5", "request", "a")));
    assertEquals(404, testCluster.post(0, "m/sleep", Map.of()));
    assertEquals(400, testCluster.post(0, "m/wake", Map.of("now", true)));
    assertEquals(400, testCluster.post(0, "m/load", Map.of("from", "g", "in_flight", -1)));
    assertEquals(400, testCluster.post(0, "m/load", Map.of("in_flight", 1)));
    assertEquals(
        400,
        testCluster.post(0, "m", Map.of("job", "job-100", "least", 3, "most", 2, "request", "b")));
    assertEquals(
        400, testCluster.post(0, "m", Map.of("job", "job-100", "most", 5, "request", "c")));
    assertEquals(400, testCluster.post(0, "m", Map.of("job", "job-100", "request", " ")));
    assertEquals(409, testCluster.post(0, "n", Map.of("job", "job-100", "request", "d")));
    assertEquals(epoch, testCluster.epoch("m"));
    assertEquals("ZERO", testCluster.phase("m"));
    assertEquals(
        200, testCluster.post(1, "m", Map.of("job", "job-100", "most", 3, "request", "e")));
    assertEquals(
        200, testCluster.post(2, "m", Map.of("job", "job-100", "most", 3, "request", "e")));
    assertEquals(epoch, testCluster.epoch("m"));
    testCluster.assertRulesKept();
  }

  /**
   * Four models on two machines: their fetches run one after the other, so some models serve long
   * before all could.
   */
  @Test
  void fetchesOnOneMachineAreSequential() throws MalformedMessageException {
    ModelServingCluster testCluster = new ModelServingCluster(ClusterSpec.tryOut(3, true), 18);
    for (int i = 0; i < 4; i++) {
      testCluster.submitAt(
          ModelServingCluster.DEFINED_S - 0.5, ModelServingCluster.job(100 + i, 1, 2, 6, false));
    }
    testCluster.cluster.time().runUntil(ModelServingCluster.DEFINED_S);
    for (int i = 0; i < 4; i++) {
      testCluster.define("m" + i, 100 + i, 1, 1);
    }
    double at = ModelServingCluster.DEFINED_S + 4;
    testCluster.cluster.time().runUntil(at);
    for (int i = 0; i < 4; i++) {
      testCluster.wakeAt(at, i % 3, "m" + i);
    }
    testCluster.cluster.time().runUntil(at + 9);
    assertTrue(
        testCluster.cluster.invariants().onMachines() >= 1, "side by side none would serve yet");
    testCluster.assertRulesKept();
  }

  /**
   * The machines that cache its weights are not returned while the model is at zero; it comes back
   * without a fetch.
   */
  @Test
  void cachedModelComesBackWithoutFetch() throws MalformedMessageException {
    ModelServingCluster testCluster = new ModelServingCluster(ClusterSpec.tryOut(24, true), 15);
    testCluster.submit(ModelServingCluster.job(100, 4, 6, ModelServingCluster.FETCH_S, false));
    testCluster.cluster.time().runUntil(ModelServingCluster.DEFINED_S);
    testCluster.define("m", 100, 1, 4, ModelServingCluster.IDLE_S, 1);
    testCluster.timeWhenIn("m", "ZERO", 40);
    testCluster.cluster.time().runUntil(200);
    int fetches = testCluster.cluster.environment().coldStarts().fetches();
    testCluster.wakeAt(200.1, 2, "m");
    double warm = testCluster.timeWhenIn("m", "WARM", 20);
    assertTrue(warm < 204, "warm at " + warm);
    assertEquals(fetches, testCluster.cluster.environment().coldStarts().fetches());
    testCluster.assertRulesKept();
  }

  /**
   * With scarce machines an idle model is evicted for one that is needed, and comes back when it is
   * needed and there is capacity.
   */
  @Test
  void idleModelIsEvictedForNeededModel() throws MalformedMessageException {
    ModelServingCluster testCluster = new ModelServingCluster(ClusterSpec.tryOut(6, true), 16);
    testCluster.submit(ModelServingCluster.job(100, 4, 6, 3, false));
    testCluster.submit(ModelServingCluster.job(101, 2, 6, 3, false));
    testCluster.cluster.time().runUntil(ModelServingCluster.DEFINED_S);
    testCluster.define("m", 100, 4, 4, 900, 0);
    testCluster.define("n", 101, 2, 2, 900, 0);
    testCluster.timeWhenIn("n", "ZERO", 40);
    testCluster.wakeAt(START_S, 0, "m");
    testCluster.timeWhenIn("m", "WARM", 60);
    testCluster.wakeAt(START_S + 100, 1, "n");
    testCluster.cluster.time().runUntil(START_S + 115);
    assertEquals("WARM", testCluster.phase("m"), "machines may still be rented");
    testCluster.timeWhenIn("n", "WARM", 40);
    assertEquals("ZERO", testCluster.phase("m"));
    assertEquals(2, testCluster.onMachines(101));
    testCluster.cluster.time().runUntil(testCluster.cluster.time().seconds() + 60);
    assertEquals("WARM", testCluster.phase("n"), "an evicted model does not come back by itself");
    testCluster.assertRulesKept();
  }

  /**
   * A controller with requests in flight is cut off: they count until its lease expires, and no
   * longer.
   */
  @Test
  void requestsAtLostControllerCountUntilLeaseExpiry() throws MalformedMessageException {
    ModelServingCluster testCluster = ModelServingCluster.withOne(13, 1);
    int leader = testCluster.cluster.leader();
    int other = (leader + 1) % 3;
    testCluster
        .cluster
        .time()
        .at(
            START_S,
            () ->
                testCluster.send(
                    other, "m/load", Map.of("from", "gateway", "in_flight", 15), response -> {}));
    testCluster.timeWhenIn("m", "WARM", 60);
    testCluster.cluster.time().runUntil(START_S + 25);
    assertEquals(2, testCluster.onMachines(100), "15 in flight at 10 a replica");
    testCluster
        .cluster
        .time()
        .at(
            START_S + 26,
            () ->
                testCluster.send(
                    other, "m/load", Map.of("from", "gateway", "in_flight", 15), response -> {}));
    testCluster.cluster.time().runUntil(START_S + 27);
    testCluster.cluster.isolate(other, 60, true);
    testCluster.cluster.time().runUntil(START_S + 28);
    assertEquals("WARM", testCluster.phase("m"));
    double drained = testCluster.timeWhenIn("m", "DRAINING", 60);
    assertNull(
        testCluster.cluster.state().value("q/member/" + ClusterSpec.nodeName(other)),
        "its lease is over");
    assertTrue(drained < START_S + 27 + 20, "at " + drained);
    testCluster.cluster.time().runUntil(START_S + 150);
    assertEquals("ZERO", testCluster.phase("m"));
    testCluster.assertRulesKept();
  }

  @Test
  @Tag("seeds")
  void handlesThousandModels() throws MalformedMessageException {
    manyModels(1000);
  }

  @Test
  void handlesTwoHundredModels() throws MalformedMessageException {
    manyModels(200);
  }

  /** Many models, of which one in twenty is needed: these come up, and all others stay at zero. */
  private static void manyModels(int count) throws MalformedMessageException {
    ModelServingCluster testCluster = new ModelServingCluster(ClusterSpec.tryOut(45, true), 14);
    for (int i = 0; i < count; i++) {
      testCluster.submit(ModelServingCluster.job(1000 + i, 1, 0.25, 0.3, false));
    }
    testCluster.cluster.time().runUntil(ModelServingCluster.DEFINED_S);
    for (int i = 0; i < count; i++) {
      int each = i;
      testCluster
          .cluster
          .time()
          .at(
              ModelServingCluster.DEFINED_S + i / 25.0,
              () -> testCluster.defineLater(each % 3, "m" + each, 1000 + each));
    }
    testCluster.cluster.time().runUntil(120);
    for (int i = 0; i < count; i++) {
      assertEquals("ZERO", testCluster.phase("m" + i), "m" + i);
    }
    assertEquals(0, testCluster.cluster.invariants().onMachines());
    for (int i = 0; i < count / 20; i++) {
      testCluster.wakeAt(120.1, i % 3, "m" + 20 * i);
    }
    testCluster.cluster.time().runUntil(138);
    for (int i = 0; i < count; i++) {
      assertEquals(i % 20 == 0 ? "WARM" : "ZERO", testCluster.phase("m" + i), "m" + i);
    }
    testCluster.assertRulesKept();
  }
}
