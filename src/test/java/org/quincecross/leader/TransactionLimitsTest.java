package org.quincecross.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.Settings;
import org.quincecross.state.ClusterStateCache;

/**
 * The store accepts less than the settings state: what fits there is written nevertheless, whatever
 * is planned before it.
 */
class TransactionLimitsTest {
  @Property(tries = 200, seed = "3")
  void writesWhatFits(
      @ForAll @IntRange(min = 3, max = 24) int takesChanges,
      @ForAll @IntRange(min = 600, max = 8192) int takesValue,
      @ForAll @IntRange(min = 3, max = 24) int toldChanges,
      @ForAll @IntRange(min = 0, max = 10) int tooLarge) {
    TransactionLimits bounds =
        new TransactionLimits(new Settings.StoreLimits(100, 100, 8192, toldChanges));
    ClusterStateCache cache = new ClusterStateCache();
    Map<String, Map<String, Object>> waiting = new TreeMap<>();
    for (int i = 0; i < 20; i++) {
      // The oversized mutations come first in every plan.
      waiting.put(
          (char) ('a' + i) + "", Json.object("v", "x".repeat(i < tooLarge ? takesValue + 1 : 500)));
    }
    MonotonicTime now = MonotonicTime.ZERO;
    int refusals = 0;
    for (int step = 0; step < 100 && waiting.size() > tooLarge; step++) {
      now = now.plus(TimeSpan.ofMillis(100));
      TransactionBuilder transaction = bounds.newTransaction(cache, bounds.maxMutations(), now);
      waiting.forEach(transaction::put);
      boolean taken =
          transaction.mutations().size() <= takesChanges
              && transaction.mutations().stream()
                  .allMatch(change -> Json.write(change.value()).length <= takesValue);
      if (taken) {
        transaction.mutations().stream().map(Mutation::key).forEach(waiting::remove);
      } else {
        refusals++;
        bounds.recordRefusal(transaction.mutations(), now);
      }
    }
    assertEquals(tooLarge, waiting.size(), refusals + " refusals");
    assertTrue(refusals <= 16, refusals + " refusals");
  }
}
