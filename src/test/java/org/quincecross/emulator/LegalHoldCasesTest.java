package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Legal holds on the records of sweeps, with three controllers in virtual time, under load and with
 * faults.
 */
class LegalHoldCasesTest {
  static final String JOBS =
      """
            [[jobs]]
            name = "front"
            shape = "service"
            rank = "critical"
            team = "web"
            copies = 4
            tasks = 3
            cpus = 2
            memory_gb = 4
            spread = true

            [[jobs]]
            name = "sweep"
            shape = "array"
            rank = "standard"
            team = "batch"
            copies = 12
            every_s = 6
            tasks = 24
            cpus = 1
            memory_gb = 2
            run_s = 15
            """;

  private static final String MARCH = "cdr/2026-03";

  /** By then the level has risen to that of replicated records. */
  private static final double START_S = 42;

  private LegalHoldCluster testCluster = new LegalHoldCluster(JOBS, 30, 7);

  LegalHoldCasesTest() throws MalformedMessageException {
    declareSweeps();
  }

  /** Half of each sweep's tasks access March, the others April. */
  private void declareSweeps() {
    testCluster.declareSweepsWithClaims("sweep", "cdr", "0-11", MARCH, "12-23", "cdr/2026-04");
  }

  private LegalHoldCluster site(long seed) throws MalformedMessageException {
    testCluster = new LegalHoldCluster(JOBS, 30, seed);
    declareSweeps();
    return testCluster;
  }

  /**
   * Tasks that access held records wait, all others continue; once the hold is closed, everything
   * completes.
   */
  private void assertHeldAndThenDone(String reference, int opening, double untilS, double doneByS) {
    testCluster.run(untilS);
    assertEquals("PINNED", testCluster.state(reference));
    assertTrue(
        testCluster.sweeps().stream()
            .anyMatch(id -> testCluster.cluster.invariants().completedTasks(id) == 12),
        "something was kept back");
    assertTrue(
        testCluster.sweeps().stream()
            .allMatch(id -> testCluster.cluster.invariants().completedTasks(id) >= 12),
        "the rest runs");
    testCluster.close(1, reference, "close-" + reference + opening, opening);
    testCluster.run(doneByS);
    testCluster.assertAllDone();
  }

  /** Half of each sweep's tasks access held records: these wait, and the others run. */
  @Test
  void onlyTasksThatAccessHeldRecordsWait() {
    testCluster.at(
        START_S + 2, () -> testCluster.open(0, "ref-1", "r1", "cdr/2026-03-10..2026-03-12"));
    assertHeldAndThenDone("ref-1", 1, 140, 260);
    testCluster.assertPinnedWithin("ref-1", 5);
  }

  /**
   * The sweeps are submitted at the same moments as the hold, to another controller, and
   * transactions are applied late.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void holdDuringAllocationIsPinned(long seed) throws MalformedMessageException {
    site(seed).cluster.state().applyLate(8);
    for (int i = 0; i < 8; i++) {
      String reference = "ref-" + i;
      // The sweeps are submitted at 4, 10, 16 seconds and so on.
      testCluster.at(
          46 + 6 * (i % 4) + 0.03 * seed + 0.12 * i,
          () -> testCluster.open((int) seed % 3, reference, "r-" + reference, MARCH));
      testCluster.at(90, () -> testCluster.close(1, reference, "c-" + reference, 1));
    }
    testCluster.run(260);
    assertEquals(8, testCluster.pinnedCount());
    testCluster.assertAllDone();
  }

  /**
   * The controller that pins is suspended before its message is sent, or is cut off while it is on
   * its way; meanwhile the hold is closed and opened again.
   */
  @ParameterizedTest
  @EnumSource(SimulatedCluster.SendFault.class)
  void reopenedHoldIsPinnedDespiteLeaderFault(SimulatedCluster.SendFault fault) {
    testCluster.at(
        START_S + 1,
        () ->
            testCluster.cluster.injectFaultAt(
                request -> request.startsWith("POST /txn") && request.contains("\"PINNED\""),
                25,
                fault));
    testCluster.at(START_S + 2, () -> testCluster.open(0, "ref-1", "r1", MARCH));
    testCluster.at(START_S + 14, () -> testCluster.close(2, "ref-1", "c1", 1));
    testCluster.at(START_S + 16, () -> testCluster.open(1, "ref-1", "r2", MARCH));
    assertHeldAndThenDone("ref-1", 2, 150, 300);
    assertTrue(testCluster.cluster.faultedController() >= 0);
  }

  /**
   * Each controller that receives the request goes down before it can answer; the same request is
   * repeated, also long after the hold was closed.
   */
  @Test
  void repeatedRequestOpensHoldOnce() {
    for (int i = 0; i < 3; i++) {
      int node = i;
      testCluster.at(
          START_S + 2 + i * 0.02,
          () -> {
            testCluster.open(node, "ref-1", "r1", MARCH);
            testCluster
                .cluster
                .time()
                .after(0.012, () -> testCluster.cluster.stopFor(node, 4 + node));
          });
    }
    testCluster.at(START_S + 40, () -> testCluster.close(0, "ref-1", "c1", 1));
    for (int i = 0; i < 3; i++) {
      int node = i;
      testCluster.at(START_S + 50 + 15 * i, () -> testCluster.open(node, "ref-1", "r1", MARCH));
    }
    testCluster.run(START_S + 110);
    assertEquals("CLOSED", testCluster.state("ref-1"));
    assertEquals(1, testCluster.opening("ref-1"));
    testCluster.run(300);
    testCluster.assertAllDone();
  }

  /**
   * A closing request for the first opening arrives after the second opening; and a hold that was
   * never opened is closed.
   */
  @Test
  void lateClosingDoesNotAffectLaterOpening() {
    testCluster.at(START_S + 2, () -> testCluster.open(0, "ref-1", "r1", MARCH));
    testCluster.at(START_S + 10, () -> testCluster.close(0, "ref-1", "c1", 1));
    testCluster.at(START_S + 12, () -> testCluster.open(1, "ref-1", "r2", MARCH));
    for (int i = 0; i < 5; i++) {
      String request = "late-" + i;
      testCluster.at(START_S + 12.01 + i * i, () -> testCluster.close(2, "ref-1", request, 1));
    }
    testCluster.at(START_S + 20, () -> testCluster.close(2, "ref-1", "ahead", 3));
    assertHeldAndThenDone("ref-1", 2, 140, 280);
    assertTrue(
        testCluster.answers.get("late-4").startsWith("200")
            && testCluster.answers.get("late-4").contains("later one"),
        testCluster.answers.toString());
    assertTrue(testCluster.answers.get("ahead").startsWith("409"), testCluster.answers.toString());
  }

  @Test
  void acceptsFiveHundredHoldsInAMinute() {
    for (int i = 0; i < 500; i++) {
      String reference = "ref-" + i;
      int node = i % 3;
      String records = i % 2 == 0 ? MARCH : "cdr/2025-" + String.format("%02d", 1 + i % 12);
      testCluster.at(
          START_S + i * 0.12,
          () -> testCluster.open(node, reference, "r-" + i(reference), records));
    }
    testCluster.run(START_S + 150);
    assertEquals(500, testCluster.pinnedCount());
    for (int i = 0; i < 500; i++) {
      testCluster.close(i % 3, "ref-" + i, "c-" + i, 1);
    }
    testCluster.run(START_S + 400);
    testCluster.assertAllDone();
  }

  private static String i(String reference) {
    return reference.substring(4);
  }

  /**
   * The state service is down, controllers are replaced, a zone is partitioned, or a controller is
   * isolated with its workers.
   */
  @ParameterizedTest
  @ValueSource(strings = {"outage", "roll", "zone", "lone", "deaf", "all down"})
  void holdIsPinnedDuringFaults(String fault) {
    testCluster.at(
        START_S + 1,
        () -> {
          switch (fault) {
            case "outage" -> testCluster.cluster.state().outage(20);
            case "roll" -> testCluster.replaceAll();
            case "zone" -> testCluster.cutZone(0, 40);
            case "lone" -> testCluster.isolate((testCluster.cluster.leader() + 1) % 3, 40);
            case "deaf" -> testCluster.dropInbound(5, 40);
            default -> {
              for (int node = 0; node < 3; node++) {
                testCluster.cluster.stopFor(node, 3 + node);
              }
            }
          }
        });
    testCluster.at(START_S + 1.2, () -> testCluster.open(0, "ref-1", "r1", MARCH));
    assertHeldAndThenDone("ref-1", 1, 170, 330);
    testCluster.assertPinnedWithin("ref-1", 60);
  }

  /**
   * A future hold begins while the state service is down, controllers restart and their clocks are
   * stepped, within their bound or far back.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.9, -0.9, -20})
  void futureHoldIsInForceInTimeDespiteRestartAndClockStep(double step) {
    double from = START_S + 20;
    testCluster.at(START_S + 2, () -> testCluster.openFrom(0, "ref-1", "r1", from, MARCH));
    testCluster.at(from - 8, () -> testCluster.cluster.setClock(step));
    if (step > -1) {
      testCluster.at(from - 7, () -> testCluster.cluster.crash(1));
      testCluster.at(from - 3.5, () -> testCluster.cluster.crash(2));
    }
    testCluster.at(from - 0.5, () -> testCluster.cluster.state().outage(8));
    testCluster.run(from - 3);
    assertEquals("FUTURE", testCluster.state("ref-1"));
    testCluster.run(from + 30);
    assertEquals(List.of(), testCluster.startedAfter(from + 1.5, MARCH));
    assertHeldAndThenDone("ref-1", 1, 170, 330);
  }

  /**
   * A task stays blocked as long as any hold on its records is open, whatever the order in which
   * holds are opened and closed.
   */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void overlappingHoldsBlockUntilLastIsClosed(long seed) throws MalformedMessageException {
    site(seed);
    Random random = new Random(seed);
    List<String> records =
        List.of("cdr", MARCH, "cdr/2026-03-01..2026-04", "cdr/2026-04-30", "cdr#caller-7", "other");
    List<Integer> order = new ArrayList<>(List.of(0, 1, 2, 3, 4, 5));
    Collections.shuffle(order, random);
    for (int i = 0; i < records.size(); i++) {
      String reference = "ref-" + i;
      String each = records.get(i);
      testCluster.at(
          START_S + 2 + 10 * random.nextDouble(),
          () -> testCluster.open(random.nextInt(3), reference, "r" + reference, each));
      testCluster.at(
          START_S + 40 + 10 * order.get(i),
          () -> testCluster.close(random.nextInt(3), reference, "c" + reference, 1));
    }
    testCluster.run(START_S + 38);
    assertEquals(6, testCluster.pinnedCount());
    testCluster.run(330);
    testCluster.assertAllDone();
  }

  /**
   * A lane is declared to run sweeps after its jobs have started: the hold is no longer pinned
   * until these tasks are gone.
   */
  @Test
  void laneDeclaredLateIsPinnedAgain() throws MalformedMessageException {
    testCluster = new LegalHoldCluster(JOBS, 30, 7);
    testCluster.at(START_S + 2, () -> testCluster.open(0, "ref-1", "r1", MARCH));
    testCluster.run(START_S + 12);
    assertEquals("PINNED", testCluster.state("ref-1"));
    testCluster
        .cluster
        .time()
        .at(
            START_S + 13,
            () ->
                testCluster.sendUntilDecided(
                    0, "sweeps", "sweep", "late", Map.of("series", List.of("cdr"))));
    testCluster.run(START_S + 60);
    assertEquals("PINNED", testCluster.state("ref-1"));
    assertEquals(
        1,
        testCluster.widened("ref-1"),
        testCluster.answers + " " + testCluster.cluster.state().value("q/agreed/holds/ref-1"));
    assertEquals(
        0,
        testCluster.sweeps().stream().mapToInt(testCluster.cluster.invariants()::onMachines).sum(),
        "sweeps without claims touch all of their series");
    testCluster.close(0, "ref-1", "c1", 1);
    testCluster.run(300);
    testCluster.assertAllDone();
  }
}
