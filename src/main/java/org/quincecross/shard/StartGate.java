package org.quincecross.shard;

import org.quincecross.model.Job;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskId;
import org.quincecross.replicated.StartBlock;
import org.quincecross.state.JobRecord;

/**
 * Decides by the records which of a shard's tasks may start: those that are open, not completed,
 * allocated here, and not blocked. Blocked tasks that run are stopped gracefully, with a checkpoint
 * if they save any, and released; the allocation without them is the proof that they are gone.
 */
final class StartGate {
  private final ShardContext context;
  private final ShardState state;

  StartGate(ShardState state) {
    this.state = state;
    this.context = state.context();
  }

  private boolean isBlocked(Placement placement) {
    // The leader allocates no tasks of a job with unfinished dependencies; if it did, none of them
    // would start here.
    StartBlock startBlock = context.startBlock();
    return context.cache().dependencyGraph().isWaiting(placement.task().job())
        || (startBlock != StartBlock.NONE
            && startBlock.isBlocked(placement.job(), placement.task().index()));
  }

  /**
   * Whether the records let a task start. Checked when a task enters a queue and again when it
   * leaves one, because a task that could start only later, such as in a shard that has just been
   * settled, may have been cancelled long before.
   */
  boolean mayStart(Placement placement) {
    TaskId task = placement.task();
    JobRecord job = context.cache().job(task.job());
    return job != null
        && job.phase() == JobPhase.OPEN
        && !context.cache().isCompleted(task.job(), task.index())
        && context.cache().allocation(state.id()).contains(task.job(), task.index())
        && !isBlocked(placement);
  }

  /** Stops a blocked task, or releases it if it is on no machine. */
  void sync(Placement placement, MonotonicTime now) {
    if (!isBlocked(placement)) {
      return;
    }
    Job job = placement.job();
    switch (placement.state()) {
      case STARTING, ACTIVE, STOPPING -> placement.stop(Preemptor.gracePeriodOf(job), true, now);
      case WAITING -> {
        state.dequeue(placement.task());
        placement.release(now);
        context.notifyLeader();
      }
      // Completed before it was blocked, not located yet, or released already.
      case COMPLETED, UNSETTLED, RELEASED -> {}
      default -> throw new IllegalStateException(placement.state().toString());
    }
  }
}
