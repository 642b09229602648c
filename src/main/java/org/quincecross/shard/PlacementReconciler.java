package org.quincecross.shard;

import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.state.Allocation;
import org.quincecross.state.JobRecord;

/** Reconciles a shard's placements with the records: its allocation, and the jobs' phases. */
final class PlacementReconciler {
  private final ShardState state;
  private final ShardContext context;
  private final Placements placements;
  private final StartGate startGate;

  PlacementReconciler(ShardState state, StartGate startGate) {
    this.state = state;
    this.context = state.context();
    this.placements = state.placements();
    this.startGate = startGate;
  }

  /** Follows the allocation; returns whether it has changed. */
  boolean allocationChanged() {
    Allocation allocation = context.cache().allocation(state.id());
    if (allocation.version().equals(state.syncedAllocation())) {
      return false;
    }
    state.setSyncedAllocation(allocation.version());
    MonotonicTime now = context.now();
    allocation.tasks().forEach((job, tasks) -> addPlacements(job, tasks, now));
    placements.all().forEach(placement -> reconcile(placement, now));
    return true;
  }

  private void addPlacements(JobId id, TaskSet tasks, MonotonicTime now) {
    JobRecord job = context.cache().job(id);
    if (job == null || job.job() == null) {
      return; // no task of a done job is left to run
    }
    Placement.State initial =
        state.isSettled() ? Placement.State.WAITING : Placement.State.UNSETTLED;
    for (int i = tasks.nextMember(0); i >= 0; i = tasks.nextMember(i + 1)) {
      TaskId task = id.task(i);
      if (!placements.has(task) && !context.cache().isCompleted(id, i)) {
        placements.add(task, job.job(), initial, now);
      }
    }
  }

  /** Follows the records of jobs; returns whether the shard has tasks of any. */
  boolean jobsChanged(Set<JobId> jobs) {
    MonotonicTime now = context.now();
    boolean any = false;
    for (JobId job : jobs) {
      JobRecord record = context.cache().job(job);
      if (record == null || record.phase().isTerminal()) {
        state.evidence().forget(job);
      }
      if (placements.hasJob(job)) {
        for (Placement placement : placements.ofJob(job)) {
          any = true;
          reconcile(placement, now);
        }
      }
    }
    return any;
  }

  /** Reconciles the placements that have changed, until none has. */
  void reconcileChanged() {
    MonotonicTime now = context.now();
    while (placements.hasChanged()) {
      placements.takeChanged().forEach(placement -> reconcile(placement, now));
    }
  }

  private void reconcile(Placement placement, MonotonicTime now) {
    TaskId task = placement.task();
    if (placements.get(task) != placement) {
      return; // dropped meanwhile
    }
    JobRecord job = context.cache().job(task.job());
    boolean allocated = context.cache().allocation(state.id()).contains(task.job(), task.index());
    if (context.cache().isCompleted(task.job(), task.index())
        || job == null
        || job.phase() == JobPhase.DONE) {
      finish(placement, now);
    } else if (job.phase() == JobPhase.CANCELLED || !allocated) {
      withdraw(placement, now);
      if (!allocated && placement.state() == Placement.State.RELEASED) {
        drop(placement);
      }
    } else {
      startGate.sync(placement, now);
    }
  }

  /** The task is completed, so a second run would be useless. */
  private void finish(Placement placement, MonotonicTime now) {
    if (placement.isOnMachine()) {
      placement.stop(TimeSpan.ZERO, true, now);
    } else {
      drop(placement);
    }
  }

  private void withdraw(Placement placement, MonotonicTime now) {
    switch (placement.state()) {
      case STARTING, ACTIVE, STOPPING -> placement.stop(TimeSpan.ZERO, true, now);
      case WAITING, COMPLETED -> {
        state.dequeue(placement.task());
        placement.release(now);
        context.notifyLeader();
      }
      case UNSETTLED, RELEASED -> {}
      default -> throw new IllegalStateException("unexpected state " + placement.state());
    }
  }

  private void drop(Placement placement) {
    state.dequeue(placement.task());
    placements.remove(placement);
  }
}
