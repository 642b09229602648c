package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Some machines speak and hear nothing for a while, also while their blocks go to other
 * controllers: what they had runs elsewhere soon after their leases, they are sent next to nothing,
 * and they are used again when they hear.
 */
class OneWayPartitionTest {
  /**
   * A block that went elsewhere meanwhile settles a lease after the last answer that a deaf machine
   * may have taken.
   */
  private static final double MOST_MISSING_S = 3 * OneWayPartitionCluster.LEASE_S;

  @ParameterizedTest
  @CsvSource({"20, 150, 1", "33, 150, 1"})
  void whatDeafMachinesHadRunsElsewhereAfterTheirLeases(int percent, double seconds, long seed)
      throws MalformedMessageException {
    OneWayPartitionCluster site = new OneWayPartitionCluster(seed);
    site.deafen(percent, seconds, seed);
    double missing = site.missingUntil(seconds);
    assertTrue(missing < MOST_MISSING_S, "replicas missing for " + missing + " s");
    assertTrue(
        site.cluster.undeliveredStarts() <= site.deaf.size(),
        site.cluster.undeliveredStarts() + " starts to deaf machines");
    assertEquals(0, site.deafInUse());
    site.missingUntil(seconds + 40);
    // One may be suspected at any moment: of a hundred packets one is late by seconds.
    assertTrue(site.closed().size() <= 1, "closed, though they hear: " + site.closed());
    assertTrue(site.deafInUse() > 0, "none of them is used again");
    assertEquals(List.of(), site.cluster.invariants().violations());
  }
}
