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

  private LegalHoldCluster site = new LegalHoldCluster(JOBS, 30, 7);

  LegalHoldCasesTest() throws MalformedMessageException {
    declareSweeps();
  }

  /** Half of each sweep's tasks access March, the others April. */
  private void declareSweeps() {
    site.declareSweepsWithClaims("sweep", "cdr", "0-11", MARCH, "12-23", "cdr/2026-04");
  }

  private LegalHoldCluster site(long seed) throws MalformedMessageException {
    site = new LegalHoldCluster(JOBS, 30, seed);
    declareSweeps();
    return site;
  }

  /**
   * Tasks that access held records wait, all others continue; once the hold is closed, everything
   * completes.
   */
  private void assertHeldAndThenDone(String reference, int opening, double untilS, double doneByS) {
    site.run(untilS);
    assertEquals("PINNED", site.state(reference));
    assertTrue(
        site.sweeps().stream().anyMatch(id -> site.cluster.invariants().completedTasks(id) == 12),
        "something was kept back");
    assertTrue(
        site.sweeps().stream().allMatch(id -> site.cluster.invariants().completedTasks(id) >= 12),
        "the rest runs");
    site.close(1, reference, "close-" + reference + opening, opening);
    site.run(doneByS);
    site.assertAllDone();
  }

  /** Half of each sweep's tasks access held records: these wait, and the others run. */
  @Test
  void onlyTasksThatAccessHeldRecordsWait() {
    site.at(START_S + 2, () -> site.open(0, "ref-1", "r1", "cdr/2026-03-10..2026-03-12"));
    assertHeldAndThenDone("ref-1", 1, 140, 260);
    site.assertPinnedWithin("ref-1", 5);
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
      site.at(
          46 + 6 * (i % 4) + 0.03 * seed + 0.12 * i,
          () -> site.open((int) seed % 3, reference, "r-" + reference, MARCH));
      site.at(90, () -> site.close(1, reference, "c-" + reference, 1));
    }
    site.run(260);
    assertEquals(8, site.pinnedCount());
    site.assertAllDone();
  }

  /**
   * The controller that pins is suspended before its message is sent, or is cut off while it is on
   * its way; meanwhile the hold is closed and opened again.
   */
  @ParameterizedTest
  @EnumSource(SimulatedCluster.SendFault.class)
  void reopenedHoldIsPinnedDespiteLeaderFault(SimulatedCluster.SendFault fault) {
    site.at(
        START_S + 1,
        () ->
            site.cluster.injectFaultAt(
                request -> request.startsWith("POST /txn") && request.contains("\"PINNED\""),
                25,
                fault));
    site.at(START_S + 2, () -> site.open(0, "ref-1", "r1", MARCH));
    site.at(START_S + 14, () -> site.close(2, "ref-1", "c1", 1));
    site.at(START_S + 16, () -> site.open(1, "ref-1", "r2", MARCH));
    assertHeldAndThenDone("ref-1", 2, 150, 300);
    assertTrue(site.cluster.faultedController() >= 0);
  }

  /**
   * Each controller that receives the request goes down before it can answer; the same request is
   * repeated, also long after the hold was closed.
   */
  @Test
  void repeatedRequestOpensHoldOnce() {
    for (int i = 0; i < 3; i++) {
      int node = i;
      site.at(
          START_S + 2 + i * 0.02,
          () -> {
            site.open(node, "ref-1", "r1", MARCH);
            site.cluster.time().after(0.012, () -> site.cluster.stopFor(node, 4 + node));
          });
    }
    site.at(START_S + 40, () -> site.close(0, "ref-1", "c1", 1));
    for (int i = 0; i < 3; i++) {
      int node = i;
      site.at(START_S + 50 + 15 * i, () -> site.open(node, "ref-1", "r1", MARCH));
    }
    site.run(START_S + 110);
    assertEquals("CLOSED", site.state("ref-1"));
    assertEquals(1, site.opening("ref-1"));
    site.run(300);
    site.assertAllDone();
  }

  /**
   * A closing request for the first opening arrives after the second opening; and a hold that was
   * never opened is closed.
   */
  @Test
  void lateClosingDoesNotAffectLaterOpening() {
    site.at(START_S + 2, () -> site.open(0, "ref-1", "r1", MARCH));
    site.at(START_S + 10, () -> site.close(0, "ref-1", "c1", 1));
    site.at(START_S + 12, () -> site.open(1, "ref-1", "r2", MARCH));
    for (int i = 0; i < 5; i++) {
      String request = "late-" + i;
      site.at(START_S + 12.01 + i * i, () -> site.close(2, "ref-1", request, 1));
    }
    site.at(START_S + 20, () -> site.close(2, "ref-1", "ahead", 3));
    assertHeldAndThenDone("ref-1", 2, 140, 280);
    assertTrue(
        site.answers.get("late-4").startsWith("200")
            && site.answers.get("late-4").contains("later one"),
        site.answers.toString());
    assertTrue(site.answers.get("ahead").startsWith("409"), site.answers.toString());
  }

  @Test
  void acceptsFiveHundredHoldsInAMinute() {
    for (int i = 0; i < 500; i++) {
      String reference = "ref-" + i;
      int node = i % 3;
      String records = i % 2 == 0 ? MARCH : "cdr/2025-" + String.format("%02d", 1 + i % 12);
      site.at(START_S + i * 0.12, () -> site.open(node, reference, "r-" + i(reference), records));
    }
    site.run(START_S + 150);
    assertEquals(500, site.pinnedCount());
    for (int i = 0; i < 500; i++) {
      site.close(i % 3, "ref-" + i, "c-" + i, 1);
    }
    site.run(START_S + 400);
    site.assertAllDone();
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
    site.at(
        START_S + 1,
        () -> {
          switch (fault) {
            case "outage" -> site.cluster.state().outage(20);
            case "roll" -> site.replaceAll();
            case "zone" -> site.cutZone(0, 40);
            case "lone" -> site.isolate((site.cluster.leader() + 1) % 3, 40);
            case "deaf" -> site.dropInbound(5, 40);
            default -> {
              for (int node = 0; node < 3; node++) {
                site.cluster.stopFor(node, 3 + node);
              }
            }
          }
        });
    site.at(START_S + 1.2, () -> site.open(0, "ref-1", "r1", MARCH));
    assertHeldAndThenDone("ref-1", 1, 170, 330);
    site.assertPinnedWithin("ref-1", 60);
  }

  /**
   * A future hold begins while the state service is down, controllers restart and their clocks are
   * stepped, within their bound or far back.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.9, -0.9, -20})
  void futureHoldIsInForceInTimeDespiteRestartAndClockStep(double step) {
    double from = START_S + 20;
    site.at(START_S + 2, () -> site.openFrom(0, "ref-1", "r1", from, MARCH));
    site.at(from - 8, () -> site.cluster.setClock(step));
    if (step > -1) {
      site.at(from - 7, () -> site.cluster.crash(1));
      site.at(from - 3.5, () -> site.cluster.crash(2));
    }
    site.at(from - 0.5, () -> site.cluster.state().outage(8));
    site.run(from - 3);
    assertEquals("FUTURE", site.state("ref-1"));
    site.run(from + 30);
    assertEquals(List.of(), site.startedAfter(from + 1.5, MARCH));
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
      site.at(
          START_S + 2 + 10 * random.nextDouble(),
          () -> site.open(random.nextInt(3), reference, "r" + reference, each));
      site.at(
          START_S + 40 + 10 * order.get(i),
          () -> site.close(random.nextInt(3), reference, "c" + reference, 1));
    }
    site.run(START_S + 38);
    assertEquals(6, site.pinnedCount());
    site.run(330);
    site.assertAllDone();
  }

  /**
   * A lane is declared to run sweeps after its jobs have started: the hold is no longer pinned
   * until these tasks are gone.
   */
  @Test
  void laneDeclaredLateIsPinnedAgain() throws MalformedMessageException {
    site = new LegalHoldCluster(JOBS, 30, 7);
    site.at(START_S + 2, () -> site.open(0, "ref-1", "r1", MARCH));
    site.run(START_S + 12);
    assertEquals("PINNED", site.state("ref-1"));
    site.cluster
        .time()
        .at(
            START_S + 13,
            () ->
                site.sendUntilDecided(
                    0, "sweeps", "sweep", "late", Map.of("series", List.of("cdr"))));
    site.run(START_S + 60);
    assertEquals("PINNED", site.state("ref-1"));
    assertEquals(
        1,
        site.widened("ref-1"),
        site.answers + " " + site.cluster.state().value("q/agreed/holds/ref-1"));
    assertEquals(
        0,
        site.sweeps().stream().mapToInt(site.cluster.invariants()::onMachines).sum(),
        "sweeps without claims touch all of their series");
    site.close(0, "ref-1", "c1", 1);
    site.run(300);
    site.assertAllDone();
  }
}
