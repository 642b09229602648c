package org.quincecross.shard;

import org.quincecross.model.Job;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskId;
import org.quincecross.replicated.StartBlock;
import org.quincecross.state.JobRecord;

/**
 * Which of a block's tasks may start, by the records: open, not done, allocated here, and kept back
 * by nothing. What is kept back and runs is stopped in order, saved where it saves, and goes back;
 * the allocation without it is the proof that it is gone.
 */
final class StartGate {
  private final ShardContext context;
  private final ShardOwner owner;

  StartGate(ShardContext context, ShardOwner owner) {
    this.context = context;
    this.owner = owner;
  }

  private boolean isWithheld(Placement placement) {
    // A leader allocates nothing of a job that waits for others; should it, nothing of it starts
    // here either.
    StartBlock startBlock = context.withheld();
    return context.ledger().dependencyGraph().waits(placement.task().job())
        || (startBlock != StartBlock.NONE
            && startBlock.has(placement.job(), placement.task().index()));
  }

  /**
   * Whether the ledger lets a task start. Asked where a task enters a queue and again where it
   * leaves one: what became free to start since the ledger last changed (a block that has just been
   * settled) may have been cancelled long before.
   */
  boolean mayStart(Placement placement) {
    TaskId task = placement.task();
    JobRecord job = context.ledger().job(task.job());
    return job != null
        && job.phase() == JobPhase.OPEN
        && !context.ledger().isCompleted(task.job(), task.index())
        && context.ledger().allocation(owner.id()).contains(task.job(), task.index())
        && !isWithheld(placement);
  }

  /** Has what is kept back stopped, or given back where it is on no machine. */
  void sync(Placement placement, MonotonicTime now) {
    if (!isWithheld(placement)) {
      return;
    }
    Job job = placement.job();
    switch (placement.state()) {
      case STARTING, ACTIVE, STOPPING -> placement.stop(Preemptor.graceOf(job), true, now);
      case WAITING -> {
        owner.dequeue(placement.task());
        placement.release(now);
        context.newsForLeader();
      }
      // Completed before it was kept back, or not known yet where it is, or given back already.
      case COMPLETED, UNSETTLED, RELEASED -> {}
      default -> throw new IllegalStateException(placement.state().toString());
    }
  }
}
