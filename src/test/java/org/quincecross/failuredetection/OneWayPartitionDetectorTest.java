package org.quincecross.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/** Decides from a machine's heartbeats alone whether it receives responses. */
class OneWayPartitionDetectorTest {
  private static final TimeSpan LEASE = TimeSpan.ofSeconds(12);
  private static final double ROUND_S = 15;

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime(TimeSpan.ofSeconds(seconds).nanos());
  }

  /**
   * For any heartbeat interval and number of partitions: a partitioned machine gets no tasks after
   * one round of the controllers, and one that receives again soon does.
   */
  @Property(tries = 200)
  void machineIsUsedWhileItReceives(
      @ForAll @DoubleRange(min = 0.4, max = 8) double every,
      @ForAll @IntRange(min = 1, max = 8) int times,
      @ForAll @IntRange(min = 2, max = 5) int rounds) {
    OneWayPartitionDetector detector = new OneWayPartitionDetector(at(0));
    double now = 0;
    long number = 0;
    long session = 1;
    for (int time = 0; time < times; time++) {
      for (int i = 0; i < 60; i++) {
        now += every;
        detector.heartbeatReceived(session, ++number, LEASE, at(now));
        detector.responseSent(session, at(now));
        // The first time from its second heartbeat; after repeated partitions later, but within a
        // bound.
        assertTrue(
            detector.isReceiving() || i <= (time == 0 ? 1 : 1 + OneWayPartitionDetector.MAX_TRIALS),
            "not used at heartbeat " + i);
      }
      for (int round = 0; round < rounds; round++) {
        now += ROUND_S;
        number += 3;
        session++;
        detector.heartbeatReceived(session, number, LEASE, at(now));
        detector.responseSent(session, at(now));
        assertFalse(detector.isReceiving());
        assertTrue(round < 1 || detector.state() == OneWayPartitionDetector.State.PARTITIONED);
      }
      assertTrue(detector.partitionedFor(at(now)).isLongerThan(TimeSpan.ofSeconds(ROUND_S)));
    }
  }

  /** A session that ends within a lease of a response proves that the response was not accepted. */
  @Test
  void newSessionDespiteResponseProvesPartition() {
    OneWayPartitionDetector detector = new OneWayPartitionDetector(at(0));
    detector.responseSent(1, at(5));
    detector.heartbeatReceived(2, 9, LEASE, at(12));
    assertEquals(OneWayPartitionDetector.State.PARTITIONED, detector.state());
    detector.tokenConfirmed(at(13));
    assertTrue(detector.isReceiving());
  }

  @Test
  void machineMovesItsShardOnceUntilFencedOrAfterGrowingPause() {
    ShardMovePolicy policy = new ShardMovePolicy();
    MachineId machine = new MachineId("m");
    policy.recordMove(List.of(machine), at(0));
    assertEquals(ShardMovePolicy.State.MOVED, policy.state(machine, at(35)));
    assertEquals(ShardMovePolicy.State.COUNTS, policy.state(machine, at(36)));
    policy.recordMove(List.of(machine), at(36));
    assertEquals(ShardMovePolicy.State.MOVED, policy.state(machine, at(100)));
    policy.fenced(List.of(machine));
    assertEquals(ShardMovePolicy.State.COUNTS, policy.state(machine, at(101)));
  }
}
