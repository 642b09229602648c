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
      LegalHoldCluster site = new LegalHoldCluster(LegalHoldCasesTest.JOBS, 30, seed);
      site.declareSweepsWithClaims("sweep", "cdr", "0-11", "cdr/2026-03", "12-23", "cdr/2026-04");
      site.cluster.state().applyLate(40);
      double at = START_S + 2 + 10 * random.nextDouble();
      site.at(at - 0.5 + random.nextDouble(), () -> injectFault(site, fault, random));
      List<String> records = List.of("cdr/2026-03", "cdr", "cdr/2026-04-05");
      for (int i = 0; i < records.size(); i++) {
        String reference = "ref-" + i;
        String each = records.get(i);
        site.at(
            at + 2 * i * random.nextDouble(),
            () -> site.open(random.nextInt(3), reference, "o" + reference, each));
        site.at(
            at + 70 + 20 * random.nextDouble(),
            () -> site.close(random.nextInt(3), reference, "c" + reference, 1));
      }
      site.run(at + 69);
      for (int i = 0; i < records.size(); i++) {
        Double after = site.pinnedAfter("ref-" + i, 1);
        assertTrue(after != null, "seed " + seed + " ref-" + i + " is " + site.state("ref-" + i));
        times.add(after);
      }
      site.run(380);
      site.assertAllDone();
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

  private static void injectFault(LegalHoldCluster site, String fault, Random random) {
    int node = random.nextInt(3);
    double length = 20 + 20 * random.nextDouble();
    switch (fault) {
      case "controller cut off" -> site.isolate(node, length);
      case "zone cut off" -> site.cutZone(node, length);
      case "machines deaf" -> site.dropInbound(8, length);
      case "state service out" -> site.cluster.state().outage(length / 2);
      case "crashes" -> {
        site.cluster.crash(node);
        site.cluster
            .time()
            .after(random.nextDouble() * 3, () -> site.cluster.crash((node + 1) % 3));
      }
      default -> {}
    }
  }
}
