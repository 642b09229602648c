package org.quincecross.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.state.ClusterStateCache;

/** Users see all machine types or none, however small the write budget is. */
class MachineTypeWriterTest {
  private static MonotonicTime at(double seconds) {
    return MonotonicTime.ZERO.plus(TimeSpan.ofSeconds(seconds));
  }

  @Test
  void writesAllTypesTogetherOrNone() {
    Random random = new Random(3);
    for (int round = 0; round < 200; round++) {
      int count = 1 + random.nextInt(5);
      List<MachineType> catalog =
          IntStream.range(0, count)
              .mapToObj(
                  i ->
                      new MachineType(
                          "t" + i,
                          new Resources(8, 0, 32),
                          100,
                          1,
                          1,
                          0.5,
                          TimeSpan.ofSeconds(30),
                          List.of("a")))
              .toList();
      MachineTypeWriter types = new MachineTypeWriter(new ClusterStateCache());
      for (double now = 0; now < 2.9; now += 0.1) {
        TransactionBuilder transaction =
            new TransactionBuilder(new ClusterStateCache(), random.nextInt(7), 4000);
        boolean room = transaction.remaining() >= count;
        assertEquals(room, types.plan(transaction, catalog, at(now)));
        assertEquals(room ? count : 0, transaction.mutations().size());
      }
    }
  }

  /**
   * Types that never fit into one transaction are written in parts, because that is better than
   * never.
   */
  @Test
  void writesTypesInPartsIfTheyNeverFit() {
    List<MachineType> catalog =
        IntStream.range(0, 5)
            .mapToObj(
                i ->
                    new MachineType(
                        "t" + i,
                        new Resources(8, 0, 32),
                        100,
                        1,
                        1,
                        0.5,
                        TimeSpan.ofSeconds(30),
                        List.of("a")))
            .toList();
    MachineTypeWriter types = new MachineTypeWriter(new ClusterStateCache());
    assertFalse(
        types.plan(new TransactionBuilder(new ClusterStateCache(), 2, 4000), catalog, at(1)));
    TransactionBuilder later = new TransactionBuilder(new ClusterStateCache(), 2, 4000);
    assertTrue(types.plan(later, catalog, at(4.1)));
    assertEquals(2, later.mutations().size());
  }
}
