package org.quincecross.state;

import java.util.HashMap;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;

/**
 * The proof that tasks which an agreed record keeps back run nowhere and can start nowhere.
 *
 * <p>A task runs only where a block's allocation names it: its holder starts nothing else, and the
 * leader takes a task out of an allocation only once its holder has proven it gone, or it is done.
 * An allocation that was planned without the record cannot be applied after it: all that the leader
 * writes is guarded by the fence, and the change that began to keep the tasks back raised the
 * fence. So where the records, as new as that change or newer, have no allocation with any of the
 * tasks, none runs, none was given back unproven, and none is given out again as long as the record
 * keeps it back.
 */
public final class TerminationProof {
  /** How far the proof has come. */
  public enum State {
    /** These records are older than the change that keeps the tasks back. */
    TOO_EARLY,
    /** Some task is still in a block's allocation: it may run. */
    HELD,
    /** None runs or can start. */
    PROVEN
  }

  /**
   * What the records say of tasks that are to be gone.
   *
   * @param where the blocks that still have tasks, with which
   * @param revision of the records by which this was found
   */
  public record Proof(State state, Map<ShardId, Map<JobId, TaskSet>> where, Revision revision) {
    public boolean isProven() {
      return state == State.PROVEN;
    }
  }

  private TerminationProof() {}

  /**
   * Looks for tasks in the allocations, at a cost in proportion to the blocks that have some of
   * their jobs.
   *
   * @param tasks that are to run nowhere
   * @param since with which it was written that they are kept back, the fence with it
   */
  public static Proof of(ClusterStateCache ledger, Map<JobId, TaskSet> tasks, Revision since) {
    Revision at = ledger.revision();
    if (!ledger.isLoaded() || since.isAfter(at)) {
      return new Proof(State.TOO_EARLY, Map.of(), at);
    }
    Map<ShardId, Map<JobId, TaskSet>> where = new HashMap<>();
    tasks.forEach(
        (job, set) -> {
          for (ShardId block : ledger.blocksOf(job)) {
            TaskSet there = ledger.allocation(block).tasks().getOrDefault(job, new TaskSet());
            TaskSet still = new TaskSet();
            for (int i = there.nextMember(0); i >= 0; i = there.nextMember(i + 1)) {
              if (set.contains(i) && !ledger.isDone(job, i)) {
                still.add(i);
              }
            }
            if (!still.isEmpty()) {
              where.computeIfAbsent(block, b -> new HashMap<>()).put(job, still);
            }
          }
        });
    return new Proof(where.isEmpty() ? State.PROVEN : State.HELD, where, at);
  }
}
