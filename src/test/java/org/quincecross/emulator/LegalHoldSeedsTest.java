package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Many random days: overlapping legal holds are placed and closed during faults. The time that
 * pinning takes is logged.
 */
@Tag("seeds")
class LegalHoldSeedsTest {
  private static final double START_S = 42;
  private static final int SEEDS = Integer.getInteger("seeds", 20);

  @ParameterizedTest
  @ValueSource(
      strings = {
        "none",
        "controller cut off",
        "zone cut off",
        "machines deaf",
        "state service out",
        "crashes"
      })
  void pinnedRecordsAreNotAccessed(String fault) throws MalformedMessageException {
    List<Double> times = new ArrayList<>();
    for (long seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      LegalHoldCluster testCluster = new LegalHoldCluster(LegalHoldCasesTest.JOBS, 30, seed);
      testCluster.declareSweepsWithClaims(
          "sweep", "cdr", "0-11", "cdr/2026-03", "12-23", "cdr/2026-04");
      testCluster.cluster.state().applyLate(40);
      double at = START_S + 2 + 10 * random.nextDouble();
      testCluster.at(at - 0.5 + random.nextDouble(), () -> injectFault(testCluster, fault, random));
      List<String> records = List.of("cdr/2026-03", "cdr", "cdr/2026-04-05");
      for (int i = 0; i < records.size(); i++) {
        String reference = "ref-" + i;
        String each = records.get(i);
        testCluster.at(
            at + 2 * i * random.nextDouble(),
            () -> testCluster.open(random.nextInt(3), reference, "o" + reference, each));
        testCluster.at(
            at + 70 + 20 * random.nextDouble(),
            () -> testCluster.close(random.nextInt(3), reference, "c" + reference, 1));
      }
      testCluster.run(at + 69);
      for (int i = 0; i < records.size(); i++) {
        Double after = testCluster.pinnedAfter("ref-" + i, 1);
        assertTrue(
            after != null, "seed " + seed + " ref-" + i + " is " + testCluster.state("ref-" + i));
        times.add(after);
      }
      testCluster.run(380);
      testCluster.assertAllDone();
    }
    Collections.sort(times);
    System.out.printf(
        "%-20s %4d holds: pinned after %.1f s (median), %.1f s (9 in 10), %.1f s (worst)%n",
        fault,
        times.size(),
        times.get(times.size() / 2),
        times.get(times.size() * 9 / 10),
        times.get(times.size() - 1));
    assertEquals(3 * SEEDS, times.size());
  }

  private static void injectFault(LegalHoldCluster testCluster, String fault, Random random) {
    int node = random.nextInt(3);
    double length = 20 + 20 * random.nextDouble();
    switch (fault) {
      case "controller cut off" -> testCluster.isolate(node, length);
      case "zone cut off" -> testCluster.cutZone(node, length);
      case "machines deaf" -> testCluster.dropInbound(8, length);
      case "state service out" -> testCluster.cluster.state().outage(length / 2);
      case "crashes" -> {
        testCluster.cluster.crash(node);
        testCluster
            .cluster
            .time()
            .after(random.nextDouble() * 3, () -> testCluster.cluster.crash((node + 1) % 3));
      }
      default -> {}
    }
  }
}
