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
 * Writes the allocations of shards: as full records, or from feature level 2 on as deltas to the
 * last full record.
 *
 * <p>A shard's full record may date from when values could be larger and exceed the present limit.
 * Nothing is admitted to such a shard, and tasks that its owner releases are removed by a delta,
 * which names only unfinished tasks, until the allocation fits and is written in full again. Below
 * level 2 released tasks wait for that.
 *
 * <p>No text is written that a build cannot read ({@link StoredTasks}): a single one would keep all
 * controllers out (docs/incidents/unreadable-allocation.md).
 */
final class AllocationWriter {
  /** A delta larger than this share of the full record is not worth keeping beside it. */
  private static final double MAX_DELTA_SHARE = 0.5;

  private final ClusterStateCache cache;
  private final BooleanSupplier fullRecordsOnly;

  /**
   * Creates a writer.
   *
   * @param fullRecordsOnly whether deltas must not be written because a level without them is
   *     coming
   */
  AllocationWriter(ClusterStateCache cache, BooleanSupplier fullRecordsOnly) {
    this.cache = cache;
    this.fullRecordsOnly = fullRecordsOnly;
  }

  /** Adds the write to a transaction; false if there is no room for it. */
  boolean put(TransactionBuilder transaction, ShardId id, Map<JobId, TaskSet> wanted) {
    Map<JobId, TaskSet> next = tasksToWrite(id, wanted);
    int bytes = Json.write(Allocation.write(next)).length;
    boolean isTooLarge = bytes > transaction.maxValueBytes() || !isReadable(id, next);
    Allocation fullRecord = cache.wholeAllocation(id);
    if ((isTooLarge || !fullRecordsOnly.getAsBoolean())
        && Feature.ALLOCATION_CHANGES.isEnabledAt(cache.level().level())
        && fullRecord.version().value() != 0) {
      Map<String, Object> change =
          AllocationDelta.write(
              fullRecord, isTooLarge ? withTerminatedTasks(fullRecord, next) : next);
      if (AllocationDelta.isReadableByAll(change)
          && (isTooLarge || Json.write(change).length < MAX_DELTA_SHARE * bytes)) {
        return transaction.put(
            StoreKeys.allocationDelta(id),
            change,
            StoreKeys.allocation(id)); // a delta to another full record is void
      }
    }
    return putFullRecord(transaction, id, next);
  }

  /** The tasks of each job as they are written, with texts that every build reads. */
  private Map<JobId, TaskSet> tasksToWrite(ShardId id, Map<JobId, TaskSet> wanted) {
    Map<JobId, TaskSet> next = new LinkedHashMap<>();
    Map<JobId, TaskSet> recorded = cache.allocation(id).tasks();
    wanted.forEach(
        (job, tasks) ->
            next.put(
                job,
                StoredTasks.isShort(tasks)
                    ? tasks
                    : StoredTasks.of(
                            recorded.getOrDefault(job, new TaskSet()),
                            cache.completedTasks(job),
                            maxTextLength(id, job))
                        .toWrite(tasks)));
    return next;
  }

  /**
   * The maximum length of the text of a job's tasks in a full record. A text that an earlier build
   * wrote too long may be replaced by one that is no longer: no other build can read the present
   * one either.
   */
  private int maxTextLength(ShardId id, JobId job) {
    TaskSet recorded = cache.wholeAllocation(id).tasks().get(job);
    return Math.max(TaskSet.MAX_STORED_TEXT_LENGTH, recorded == null ? 0 : recorded.textLength());
  }

  private boolean isReadable(ShardId id, Map<JobId, TaskSet> tasks) {
    return tasks.entrySet().stream()
        .allMatch(
            entry ->
                StoredTasks.isShort(entry.getValue())
                    || entry.getValue().textLength() <= maxTextLength(id, entry.getKey()));
  }

  /**
   * Adds the terminated tasks of the full record to an allocation. Readers ignore them, and naming
   * all of them as removed would soon exceed a value.
   */
  private Map<JobId, TaskSet> withTerminatedTasks(Allocation fullRecord, Map<JobId, TaskSet> next) {
    Map<JobId, TaskSet> with = new LinkedHashMap<>(next);
    fullRecord
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

  /** Writes the present allocation as a full record, which every level can read. */
  boolean putFullRecord(TransactionBuilder transaction, ShardId id) {
    return putFullRecord(transaction, id, tasksToWrite(id, cache.allocation(id).tasks()));
  }

  private boolean putFullRecord(
      TransactionBuilder transaction, ShardId id, Map<JobId, TaskSet> next) {
    if (!isReadable(id, next)) {
      return false;
    }
    String changeKey = StoreKeys.allocationDelta(id);
    Map<String, Object> fullRecord = Allocation.write(next);
    boolean hasChange = cache.version(changeKey).value() != 0;
    if (hasChange && transaction.remaining() < 2) {
      return false;
    }
    return transaction.put(StoreKeys.allocation(id), fullRecord)
        && (!hasChange || transaction.delete(changeKey));
  }

  /** The keys of a shard's allocation records, to be deleted together with the shard. */
  List<String> recordKeys(ShardId id) {
    return Stream.of(StoreKeys.allocation(id), StoreKeys.allocationDelta(id))
        .filter(key -> cache.version(key).value() != 0)
        .toList();
  }
}
