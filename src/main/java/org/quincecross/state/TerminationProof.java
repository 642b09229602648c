package org.quincecross.state;

import java.util.HashMap;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;

/**
 * Proves that tasks blocked by a replicated record run nowhere and cannot start.
 *
 * <p>A task runs only while a shard's allocation contains it: the owner starts nothing else, and
 * the leader removes a task from an allocation only after the owner has proven it gone, or when it
 * is completed. An allocation that was planned without the record cannot be applied after it,
 * because everything the leader writes has the fence's version as a precondition, and the change
 * that blocked the tasks raised the fence. So if the records, as of that change or later, contain
 * no allocation with any of the tasks, none runs, none was released unproven, and none is allocated
 * again while the record blocks it.
 */
public final class TerminationProof {
  /** The progress of the proof. */
  public enum State {
    /** The records are older than the change that blocks the tasks. */
    TOO_EARLY,
    /** Some task is still allocated and may run. */
    HELD,
    /** No task runs or can start. */
    PROVEN
  }

  /**
   * The state of the proof according to the records.
   *
   * @param remaining the shards that still have tasks allocated, with these tasks
   * @param revision the revision of the records
   */
  public record Proof(State state, Map<ShardId, Map<JobId, TaskSet>> remaining, Revision revision) {
    /** Whether no task runs or can start. */
    public boolean isProven() {
      return state == State.PROVEN;
    }
  }

  private TerminationProof() {}

  /**
   * Searches the allocations for tasks; the cost is proportional to the number of shards that have
   * tasks of these jobs.
   *
   * @param tasks the tasks that must not run
   * @param since the revision of the change that blocked them and raised the fence
   */
  public static Proof of(ClusterStateCache cache, Map<JobId, TaskSet> tasks, Revision since) {
    Revision at = cache.revision();
    if (!cache.isLoaded() || since.isAfter(at)) {
      return new Proof(State.TOO_EARLY, Map.of(), at);
    }
    Map<ShardId, Map<JobId, TaskSet>> where = new HashMap<>();
    tasks.forEach(
        (job, set) -> {
          for (ShardId shard : cache.shardsOf(job)) {
            TaskSet allocated = cache.allocation(shard).tasks().getOrDefault(job, new TaskSet());
            TaskSet still = new TaskSet();
            for (int i = allocated.nextMember(0); i >= 0; i = allocated.nextMember(i + 1)) {
              if (set.contains(i) && !cache.isCompleted(job, i)) {
                still.add(i);
              }
            }
            if (!still.isEmpty()) {
              where.computeIfAbsent(shard, b -> new HashMap<>()).put(job, still);
            }
          }
        });
    return new Proof(where.isEmpty() ? State.PROVEN : State.HELD, where, at);
  }
}
