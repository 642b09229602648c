package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Some machines send but receive nothing for a while, also while their shards move to other
 * controllers. Their tasks run elsewhere soon after their leases expire, they are sent almost
 * nothing, and they are used again once they receive messages.
 */
class OneWayPartitionTest {
  /**
   * A shard that moved meanwhile settles one lease after the last answer that such a machine may
   * have received.
   */
  private static final double MAX_MISSING_S = 3 * OneWayPartitionCluster.LEASE_S;

  @ParameterizedTest
  @CsvSource({"20, 150, 1", "33, 150, 1"})
  void tasksOfPartitionedMachinesRunElsewhereAfterLeaseExpiry(
      int percent, double seconds, long seed) throws MalformedMessageException {
    OneWayPartitionCluster testCluster = new OneWayPartitionCluster(seed);
    testCluster.partition(percent, seconds, seed);
    double missing = testCluster.missingUntil(seconds);
    assertTrue(missing < MAX_MISSING_S, "replicas missing for " + missing + " s");
    assertTrue(
        testCluster.cluster.undeliveredStarts() <= testCluster.partitioned.size(),
        testCluster.cluster.undeliveredStarts() + " starts to deaf machines");
    assertEquals(0, testCluster.partitionedInUse());
    testCluster.missingUntil(seconds + 40);
    // One machine may be suspected at any time: one in a hundred packets is late by seconds.
    assertTrue(
        testCluster.closed().size() <= 1,
        "closed, although they receive messages: " + testCluster.closed());
    assertTrue(testCluster.partitionedInUse() > 0, "none of them is used again");
    assertEquals(List.of(), testCluster.cluster.invariants().violations());
  }
}
