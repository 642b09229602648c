package org.quincecross.leader;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Json;
import org.quincecross.rollout.Feature;
import org.quincecross.state.Allocation;
import org.quincecross.state.AllocationDelta;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.quincecross.state.StoreKeys;

/**
 * Writes which tasks a block has: whole, or from level 2 on what has changed since it was last
 * written whole.
 *
 * <p>A block may have more tasks than a value takes now: its whole record is from when values could
 * be larger. Nothing is admitted to such a block, and what its holder gives back is taken out by a
 * change, which names only tasks that are not over. So it shrinks, and is written whole again once
 * it fits. Before level 2 what is given back waits for that.
 */
final class AllocationWriter {
  /** A change larger than this part of the whole record is not worth having beside it. */
  private static final double LARGEST_CHANGE = 0.5;

  private final ClusterStateCache cache;
  private final BooleanSupplier wholeOnly;

  /**
   * @param wholeOnly whether no changes are to be written, for a level is to come that does not
   *     have them
   */
  AllocationWriter(ClusterStateCache cache, BooleanSupplier wholeOnly) {
    this.cache = cache;
    this.wholeOnly = wholeOnly;
  }

  /** Adds the write to a transaction; false if there is no room for it. */
  boolean put(TransactionBuilder transaction, ShardId id, Map<JobId, TaskSet> next) {
    int bytes = Json.write(Allocation.write(next)).length;
    boolean isTooLarge = bytes > transaction.mostValue();
    Allocation whole = cache.wholeAllocation(id);
    if ((isTooLarge || !wholeOnly.getAsBoolean())
        && Feature.ALLOCATION_CHANGES.isIn(cache.level().level())
        && whole.version().value() != 0) {
      Map<String, Object> change =
          AllocationDelta.write(whole, isTooLarge ? withOver(whole, next) : next);
      if (isTooLarge || Json.write(change).length < LARGEST_CHANGE * bytes) {
        return transaction.put(
            StoreKeys.allocationDelta(id),
            change,
            StoreKeys.allocation(id)); // a change of another whole record says nothing
      }
    }
    return putWhole(transaction, id, next);
  }

  /**
   * What a block is to have, and those tasks of its whole record that are over: done, or of a job
   * that is done. They stay so, and whoever reads a record passes them over; to name all of them as
   * gone would soon take more than a value.
   */
  private Map<JobId, TaskSet> withOver(Allocation whole, Map<JobId, TaskSet> next) {
    Map<JobId, TaskSet> with = new LinkedHashMap<>(next);
    whole
        .tasks()
        .forEach(
            (job, tasks) -> {
              JobRecord record = cache.job(job);
              TaskSet all = with.containsKey(job) ? with.get(job).copy() : new TaskSet();
              for (int i = tasks.nextMember(0); i >= 0; i = tasks.nextMember(i + 1)) {
                if (record == null
                    || record.phase() == JobPhase.DONE
                    || cache.isCompleted(job, i)) {
                  all.add(i);
                }
              }
              if (!all.isEmpty()) {
                with.put(job, all);
              }
            });
    return with;
  }

  /** Writes it whole: at any level it can be read so. */
  boolean putWhole(TransactionBuilder transaction, ShardId id, Map<JobId, TaskSet> next) {
    String changeKey = StoreKeys.allocationDelta(id);
    Map<String, Object> whole = Allocation.write(next);
    boolean hasChange = cache.version(changeKey).value() != 0;
    if (hasChange && transaction.room() < 2) {
      return false;
    }
    return transaction.put(StoreKeys.allocation(id), whole)
        && (!hasChange || transaction.delete(changeKey));
  }

  /**
   * The records that there are of a block's tasks: whoever deletes the block deletes them with it.
   */
  List<String> keys(ShardId id) {
    return Stream.of(StoreKeys.allocation(id), StoreKeys.allocationDelta(id))
        .filter(key -> cache.version(key).value() != 0)
        .toList();
  }
}
