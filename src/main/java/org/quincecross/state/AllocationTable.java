package org.quincecross.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.protocol.MalformedMessageException;

/** The cached allocations of all shards: full records with their deltas applied, also by job. */
final class AllocationTable {
  /** Most jobs have tasks in very few shards. */
  private static final int EXPECTED_SHARDS_PER_JOB = 4;

  private final Map<ShardId, Allocation> current = new HashMap<>();
  private final Map<ShardId, Allocation> fullRecords = new HashMap<>();
  private final Map<ShardId, AllocationDelta> deltas = new HashMap<>();
  private final Map<JobId, Set<ShardId>> shardsByJob = new HashMap<>();

  Allocation allocation(ShardId shard) {
    return current.getOrDefault(shard, Allocation.EMPTY);
  }

  /** The last full record of an allocation, without its delta. */
  Allocation fullRecord(ShardId shard) {
    return fullRecords.getOrDefault(shard, Allocation.EMPTY);
  }

  Set<ShardId> shardsOf(JobId job) {
    return shardsByJob.getOrDefault(job, Set.of());
  }

  Set<ShardId> allocatedShards() {
    return current.keySet();
  }

  Set<ShardId> shardsWithDelta() {
    return deltas.keySet();
  }

  /** Applies a full record; {@code value} is null if it was deleted. */
  void putFullRecord(ShardId shard, Object value, Revision version)
      throws MalformedMessageException {
    putOrRemove(fullRecords, shard, value == null ? null : Allocation.read(value, version));
    refresh(shard);
  }

  /** Applies a delta; {@code value} is null if it was deleted. */
  void putDelta(ShardId shard, Object value, Revision version) throws MalformedMessageException {
    putOrRemove(deltas, shard, value == null ? null : AllocationDelta.read(value, version));
    refresh(shard);
  }

  private static <T> void putOrRemove(Map<ShardId, T> all, ShardId shard, T value) {
    if (value == null) {
      all.remove(shard);
    } else {
      all.put(shard, value);
    }
  }

  private void refresh(ShardId shard) {
    Allocation full = fullRecords.get(shard);
    AllocationDelta delta = full == null ? null : deltas.get(shard);
    Allocation next = delta == null ? full : delta.applyTo(full);
    Allocation before = next == null ? current.remove(shard) : current.put(shard, next);
    if (next != null) {
      next.tasks().keySet().forEach(job -> addShard(job, shard));
    }
    if (before != null) {
      for (JobId job : before.tasks().keySet()) {
        if (next == null || !next.tasks().containsKey(job)) {
          removeShard(job, shard);
        }
      }
    }
  }

  private void addShard(JobId job, ShardId shard) {
    shardsByJob.computeIfAbsent(job, id -> new HashSet<>(EXPECTED_SHARDS_PER_JOB)).add(shard);
  }

  private void removeShard(JobId job, ShardId shard) {
    shardsByJob.computeIfPresent(
        job, (id, shards) -> shards.remove(shard) && shards.isEmpty() ? null : shards);
  }
}
