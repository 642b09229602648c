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
 * The size limits of the leader's transactions: those of the settings, reduced after the store has
 * refused a transaction as too large. A refused record is not planned again in the same size, so it
 * does not block others. With correct settings nothing is refused; they may be wrong where the
 * platform was informed too late, and then work continues in smaller steps.
 *
 * <p>A refused record may be written again after {@link #REFUSAL_BACKOFF}, or at once if it is
 * smaller; the limits double after each {@link #REFUSAL_BACKOFF} without a refusal until they reach
 * the settings.
 */
final class TransactionLimits {
  private static final Logger LOG = LoggerFactory.getLogger(TransactionLimits.class);
  private static final TimeSpan REFUSAL_BACKOFF = TimeSpan.ofSeconds(10);

  /**
   * A shard with its two allocation records, and the level with both leader keys, have to fit into
   * one transaction.
   */
  private static final int MIN_MUTATIONS = 3;

  /** A chunk of completed tasks and a job's record are smaller than this. */
  private static final int MIN_VALUE_BYTES = 1024;

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

  /** The maximum number of mutations of a transaction. */
  int maxMutations() {
    return changes;
  }

  /** The maximum size of a value in bytes. */
  int maxValueBytes() {
    return value;
  }

  /** Starts a transaction of at most {@code most} mutations. */
  TransactionBuilder newTransaction(ClusterStateCache cache, int most, MonotonicTime now) {
    refusals.values().removeIf(refusal -> refusal.until().isBefore(now));
    if (refusedAt != null && now.since(refusedAt).isLongerThan(REFUSAL_BACKOFF)) {
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

  /** Records that the store refused a transaction as too large. */
  void recordRefusal(List<Mutation> refused, MonotonicTime now) {
    refusedAt = now;
    if (refused.size() > MIN_MUTATIONS) {
      changes = Math.max(MIN_MUTATIONS, refused.size() / 2);
    } else {
      value = Math.max(Math.min(MIN_VALUE_BYTES, limits.plannedValueBytes()), value / 2);
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
        refusals.put(largest, new Refusal(most, now.plus(REFUSAL_BACKOFF)));
      }
    }
    LOG.warn(
        "the store refused a transaction of {} mutations as too large, among them {}; "
            + "the limits are now {} mutations, {} bytes per value",
        refused.size(),
        refused.stream().map(Mutation::key).findFirst().orElse("none"),
        changes,
        value);
  }
}
