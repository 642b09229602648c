package org.quincecross.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.Job;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.scheduling.Preemption;
import org.quincecross.scheduling.QueueEntry;
import org.quincecross.scheduling.ShardScheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Stops running tasks: for work of higher priority, and on machines that are leaving or faulty. */
final class Preemptor {
  private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);
  private static final TimeSpan PREEMPTION_DELAY = TimeSpan.ofMillis(20);

  /** Best-effort work is preempted as soon as other work finds no capacity. */
  private static final TimeSpan BEST_EFFORT_PREEMPTION_DELAY = TimeSpan.ofSeconds(1);

  /**
   * Minimum run time before best-effort work is preempted. Without it the work would make no
   * progress, and machines would mostly start tasks and save checkpoints.
   */
  private static final TimeSpan BEST_EFFORT_MIN_RUN_TIME = TimeSpan.ofSeconds(20);

  private final ShardContext context;
  private final ShardState state;
  private final MachineSnapshots snapshots;
  private final MachineLivenessMonitor monitor;
  private final Placements placements;
  private final Map<TaskId, QueueEntry> entries;
  private final Map<MachineId, AgentSession> sessions;
  private final ShardScheduler scheduler;

  Preemptor(ShardState state, MachineSnapshots snapshots, MachineLivenessMonitor monitor) {
    this.state = state;
    this.context = state.context();
    this.placements = state.placements();
    this.entries = state.queueEntries();
    this.sessions = state.sessions();
    this.scheduler = state.scheduler();
    this.snapshots = snapshots;
    this.monitor = monitor;
  }

  /**
   * Stops a task, and with it its whole gang: checkpoints are saved only if all tasks are told in
   * time.
   */
  private void stopWithGang(Placement placement, boolean requeue, MonotonicTime now) {
    Job job = placement.job();
    if (job.kind() != JobKind.GANG) {
      placement.stop(gracePeriodOf(job), requeue, now);
      return;
    }
    for (int i = 0; i < job.taskCount(); i++) {
      Placement member = placements.get(job.id().task(i));
      if (member != null && member.isOnMachine()) {
        member.stop(gracePeriodOf(job), requeue, now);
      }
    }
  }

  /** Preempts work of lower priority for work that has waited a moment and fits nowhere. */
  void preempt(MonotonicTime now) {
    if (entries.isEmpty()) {
      return;
    }
    boolean idleWork =
        placements.viewIn(Placement.State.ACTIVE).stream()
            .anyMatch(placement -> context.isBestEffort(placement.job()));
    Map<QueueEntry, Boolean> impatient = new TreeMap<>(QueueEntry.ORDER);
    for (QueueEntry entry : entries.values()) {
      Placement first = placements.get(entry.tasks().get(0));
      MonotonicTime patient = first.since().plus(preemptionDelay(first.job()));
      boolean gang = entry.tasks().size() > 1;
      if (!gang && !now.isBefore(patient)) {
        impatient.put(entry, false);
      } else if (idleWork && first.job().priority().isHigherThan(Priority.LOW)) {
        MonotonicTime soon = first.since().plus(BEST_EFFORT_PREEMPTION_DELAY);
        if (now.isBefore(soon)) {
          state.wakeBy(soon);
        } else {
          impatient.put(entry, true);
        }
      }
      if (!gang && now.isBefore(patient)) {
        state.wakeBy(patient);
      }
    }
    Preemption preemption = null;
    for (Map.Entry<QueueEntry, Boolean> waits : impatient.entrySet()) {
      QueueEntry entry = waits.getKey();
      preemption =
          preemption == null
              ? new Preemption(scheduler, isPreemptible(now), stopping())
              : preemption;
      for (Preemption.Running victim : preemption.victimsFor(entry, waits.getValue())) {
        LOG.info(
            "shard {}: {} is preempted for {}", state.id(), victim.task(), entry.tasks().get(0));
        stopWithGang(placements.get(victim.task()), true, now);
      }
    }
  }

  /** The resources of the tasks that are being stopped on each machine. */
  private Map<MachineId, Resources> stopping() {
    Map<MachineId, Resources> stopping = new HashMap<>();
    for (Placement placement : placements.in(Placement.State.STOPPING)) {
      stopping.merge(placement.machine(), placement.job().taskResources(), Resources::plus);
    }
    return stopping;
  }

  private List<Preemption.Running> isPreemptible(MonotonicTime now) {
    List<Preemption.Running> running = new ArrayList<>();
    for (Placement.State state : List.of(Placement.State.STARTING, Placement.State.ACTIVE)) {
      for (Placement placement : placements.in(state)) {
        if (placement.job().kind() != JobKind.GANG) {
          running.add(
              new Preemption.Running(
                  placement.task(),
                  placement.machine(),
                  placement.job().priority(),
                  context.isBestEffort(placement.job())
                      && now.since(placement.since()).isLongerThan(BEST_EFFORT_MIN_RUN_TIME),
                  placement.job().taskResources(),
                  placement.job().hasCheckpoints(),
                  placement.since()));
        }
      }
    }
    return running;
  }

  /**
   * How long work waits before other work is preempted for it, because tasks queued ahead of it may
   * end soon.
   */
  private static TimeSpan preemptionDelay(Job job) {
    return job.priority() == Priority.PRODUCTION
        ? PREEMPTION_DELAY
        : TimeSpan.ofSeconds(Math.max(5, 0.25 * job.estimate().seconds()));
  }

  /**
   * Drains machines that are about to be taken away: tasks that can save a checkpoint do so, and
   * tasks that cannot finish move at once.
   */
  void drainNoticed(MonotonicTime now) {
    for (AgentSession session : sessions.values()) {
      if (!session.hasTerminationNotice()) {
        continue;
      }
      for (Placement placement : placements.on(session.machine().id())) {
        if (!placement.isOnMachine() || placement.state() == Placement.State.STOPPING) {
          continue;
        }
        double left =
            placement.job().estimate().seconds()
                - (placement.isRunning() ? now.since(placement.runningSince()).seconds() : 0);
        if (left < 0
            || left > 0.6 * session.lastHeartbeat().terminationNotice().seconds()
            || placement.job().kind() == JobKind.SERVICE) {
          stopWithGang(placement, true, now);
        }
      }
    }
  }

  /**
   * Drains machines that are leaving or faulty. Tasks with capacity and their image on another
   * machine of the shard start there at once, the others return to the pool.
   */
  void drainLeaving(MonotonicTime now) {
    Map<MachineId, Resources> room = new LinkedHashMap<>();
    List<Placement> toMove = new ArrayList<>();
    for (AgentSession session : sessions.values()) {
      if (session.isFaulty() || state.lease().leaving().contains(session.machine().id())) {
        toMove.addAll(placements.on(session.machine().id()));
      }
    }
    for (Placement placement : toMove) {
      if (!placement.isOnMachine() || placement.state() == Placement.State.STOPPING) {
        continue;
      }
      if (room.isEmpty()) {
        sessions.values().stream()
            .filter(monitor::isOpen)
            .forEach(
                session ->
                    room.put(
                        session.machine().id(), session.capacity().minus(snapshots.used(session))));
      }
      boolean requeue = true;
      for (Map.Entry<MachineId, Resources> other : room.entrySet()) {
        if (requeue
            && placement.job().taskResources().fitsIn(other.getValue())
            && sessions.get(other.getKey()).hasImage(placement.job().image())) {
          other.setValue(other.getValue().minus(placement.job().taskResources()));
          requeue = false;
        }
      }
      stopWithGang(placement, requeue, now);
    }
  }

  /** How long a stopped task has to save its checkpoint. */
  static TimeSpan gracePeriodOf(Job job) {
    return job.hasCheckpoints() ? job.checkpointCost().plus(TimeSpan.ofSeconds(1)) : TimeSpan.ZERO;
  }
}
