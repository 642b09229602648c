package org.quincecross.shard;

import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.Job;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.scheduling.QueueEntry;
import org.quincecross.state.JobRecord;

/** Puts a shard's waiting tasks into its machines' queues; a gang once all of its tasks wait. */
final class TaskEnqueuer {
  private static final double MIN_RETRY_S = 0.5;
  private static final double MAX_RETRY_S = 30;
  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  private final ShardState state;
  private final ShardContext context;
  private final Placements placements;
  private final StartGate startGate;
  private final Requeuer requeuer;

  TaskEnqueuer(ShardState state, StartGate startGate, Requeuer requeuer) {
    this.state = state;
    this.context = state.context();
    this.placements = state.placements();
    this.startGate = startGate;
    this.requeuer = requeuer;
  }

  void enqueueWaiting() {
    for (Placement placement : placements.in(Placement.State.WAITING)) {
      // Gathering a gang may have changed the state meanwhile.
      if (placement.state() == Placement.State.WAITING
          && !state.queueEntries().containsKey(placement.task())
          && startGate.mayStart(placement)
          && !requeuer.holdsBack(placement)) {
        enqueue(placement);
      }
    }
  }

  private void enqueue(Placement placement) {
    Job job = placement.job();
    List<TaskId> tasks = job.kind() == JobKind.GANG ? gatherGang(job) : List.of(placement.task());
    if (tasks.isEmpty()) {
      return;
    }
    JobRecord record = context.cache().job(job.id());
    QueueEntry entry = new QueueEntry(job, tasks, record.version());
    entry.allowOnly(context.machinesFor(job, placement.task().index()));
    if (wouldBeLateByPull(job)) {
      entry.avoidImagePull();
    }
    if (placement.failures() > 0) {
      entry.avoidedMachines().addAll(state.evidence().failedOn(job.id()));
      MonotonicTime ready = context.now().plus(retryDelay(placement.failures()));
      entry.delayUntil(ready);
      state.wakeBy(ready);
    }
    if (state.scheduler().enqueue(entry)) {
      tasks.forEach(task -> state.queueEntries().put(task, entry));
    }
  }

  private static TimeSpan retryDelay(int failures) {
    double factor = Math.pow(2, Math.min(failures, MAX_BACKOFF_DOUBLINGS));
    return TimeSpan.ofSeconds(Math.min(MAX_RETRY_S, MIN_RETRY_S * factor));
  }

  private boolean wouldBeLateByPull(Job job) {
    MachineType type = context.cache().machineTypes().get(state.lease().type());
    TimeSpan timeLimit = context.startTimeLimit(job.jobClass());
    return type != null
        && timeLimit != null
        && type.pullGbPerSecond() > 0
        && TimeSpan.ofSeconds(job.imageGb() / type.pullGbPerSecond()).isLongerThan(timeLimit);
  }

  /**
   * The tasks of a gang if all of them wait here, else none. A gang that has lost a task cannot go
   * on: its remaining tasks are stopped, or they would occupy their machines until they notice. A
   * gang that the shard does not have as a whole returns to the pool as a whole.
   */
  private List<TaskId> gatherGang(Job job) {
    MonotonicTime now = context.now();
    List<Placement> waiting = new ArrayList<>();
    boolean unclear = false;
    for (int i = 0; i < job.taskCount(); i++) {
      Placement member = placements.get(job.id().task(i));
      if (member == null || member.state() == Placement.State.RELEASED) {
        continue;
      }
      switch (member.state()) {
        case WAITING -> waiting.add(member);
        case STARTING, ACTIVE -> {
          member.stop(TimeSpan.ZERO, false, now);
          unclear = true;
        }
        default -> unclear = true;
      }
    }
    if (waiting.size() == job.taskCount()) {
      return waiting.stream().map(Placement::task).toList();
    }
    if (!unclear) {
      waiting.forEach(member -> member.release(now));
      context.notifyLeader();
    }
    return List.of();
  }
}
