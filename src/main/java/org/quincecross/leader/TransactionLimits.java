package org.quincecross.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.Settings;
import org.quincecross.state.ClusterStateCache;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How large the leader's transactions may be: as the settings say, and after one that was too large
 * all the same, smaller. What was refused is not planned again as it was, so it holds nothing else
 * up. With settings that are right nothing is ever refused; they may say too much where the
 * platform was told too late, and then work goes on in smaller steps.
 *
 * <p>What ends each wait: a record that was refused may be written again after {@link #ASIDE}, at
 * once where it is smaller; the bounds go back to what the settings say by doubling, once for each
 * {@link #ASIDE} without a refusal.
 */
final class TransactionLimits {
  private static final Logger LOG = LoggerFactory.getLogger(TransactionLimits.class);
  private static final TimeSpan ASIDE = TimeSpan.ofSeconds(10);

  /**
   * A block and its two records, or the level with the two places of the leadership, go together.
   */
  private static final int LEAST_CHANGES = 3;

  /** A chunk of done tasks and a job are smaller. */
  private static final int LEAST_VALUE = 1024;

  private record Refusal(int bytes, MonotonicTime until) {}

  private final Settings.StoreLimits limits;
  private final Map<String, Refusal> refusals = new HashMap<>();
  private int changes;
  private int value;
  private MonotonicTime refusedAt;

  TransactionLimits(Settings.StoreLimits limits) {
    this.limits = limits;
    this.changes = limits.maxMutationsPerTransaction();
    this.value = limits.plannedValueBytes();
  }

  /** The most changes of a transaction. */
  int changes() {
    return changes;
  }

  /** The most bytes of a value. */
  int value() {
    return value;
  }

  /** A transaction that is to have at most so many changes. */
  TransactionBuilder plan(ClusterStateCache cache, int most, MonotonicTime now) {
    refusals.values().removeIf(refusal -> refusal.until().isBefore(now));
    if (refusedAt != null && now.since(refusedAt).isLongerThan(ASIDE)) {
      changes = Math.min(limits.maxMutationsPerTransaction(), 2 * changes);
      value = Math.min(limits.plannedValueBytes(), 2 * value);
      refusedAt =
          changes == limits.maxMutationsPerTransaction() && value == limits.plannedValueBytes()
              ? null
              : now;
    }
    return new TransactionBuilder(
        cache,
        most,
        value,
        (key, bytes) -> !refusals.containsKey(key) || bytes < refusals.get(key).bytes());
  }

  /** A transaction with these changes was too large. */
  void refused(List<Mutation> refused, MonotonicTime now) {
    refusedAt = now;
    if (refused.size() > LEAST_CHANGES) {
      changes = Math.max(LEAST_CHANGES, refused.size() / 2);
    } else {
      value = Math.max(Math.min(LEAST_VALUE, limits.plannedValueBytes()), value / 2);
      String largest = null;
      int most = 0;
      for (Mutation change : refused) {
        int bytes = change.value() == null ? 0 : Json.write(change.value()).length;
        if (bytes > most) {
          most = bytes;
          largest = change.key();
        }
      }
      if (largest != null) {
        refusals.put(largest, new Refusal(most, now.plus(ASIDE)));
      }
    }
    LOG.warn(
        "the state service takes no transaction of {} changes, one in {}; planned smaller: {} changes, {} bytes a value",
        refused.size(),
        refused.stream().map(Mutation::key).findFirst().orElse("none"),
        changes,
        value);
  }
}
