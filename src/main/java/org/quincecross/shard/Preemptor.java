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

/**
 * Stops what runs: for work of higher priority, and on machines that go, or fail what they are
 * given.
 */
final class Preemptor {
  private static final Logger LOG = LoggerFactory.getLogger(Preemptor.class);
  private static final TimeSpan ROOM_PATIENCE = TimeSpan.ofMillis(20);

  /** What nobody expects by any time is stopped as soon as other work finds no room. */
  private static final TimeSpan IDLE_PATIENCE = TimeSpan.ofSeconds(1);

  /**
   * Before that it is not: its floors and turns would come to nothing, and machines would do little
   * but start and save.
   */
  private static final TimeSpan IDLE_TURN = TimeSpan.ofSeconds(20);

  private final ShardContext context;
  private final ShardOwner owner;
  private final Placements placements;
  private final Map<TaskId, QueueEntry> entries;
  private final Map<MachineId, AgentSession> sessions;
  private final ShardScheduler scheduler;

  Preemptor(
      ShardContext context,
      ShardOwner owner,
      Placements placements,
      Map<TaskId, QueueEntry> entries,
      Map<MachineId, AgentSession> sessions,
      ShardScheduler scheduler) {
    this.context = context;
    this.owner = owner;
    this.placements = placements;
    this.entries = entries;
    this.sessions = sessions;
    this.scheduler = scheduler;
  }

  /**
   * Stops a task and, of a gang, all others with it: progress is saved only if all are told in
   * time.
   */
  private void stopAll(Placement placement, boolean back, MonotonicTime now) {
    Job job = placement.job();
    if (job.kind() != JobKind.GANG) {
      placement.stop(graceOf(job), back, now);
      return;
    }
    for (int i = 0; i < job.taskCount(); i++) {
      Placement member = placements.get(job.id().task(i));
      if (member != null && member.isBound()) {
        member.stop(graceOf(job), back, now);
      }
    }
  }

  /** Stops work of lower priority for work that has waited a moment and fits nowhere. */
  void makeRoom(MonotonicTime now) {
    if (entries.isEmpty()) {
      return;
    }
    boolean idleWork =
        placements.seenIn(Placement.State.ACTIVE).stream()
            .anyMatch(placement -> context.isIdle(placement.job()));
    Map<QueueEntry, Boolean> impatient = new TreeMap<>(QueueEntry.ORDER);
    for (QueueEntry entry : entries.values()) {
      Placement first = placements.get(entry.tasks().get(0));
      MonotonicTime patient = first.since().plus(patience(first.job()));
      boolean gang = entry.tasks().size() > 1;
      if (!gang && !now.isBefore(patient)) {
        impatient.put(entry, false);
      } else if (idleWork && first.job().priority().isHigherThan(Priority.LOW)) {
        MonotonicTime soon = first.since().plus(IDLE_PATIENCE);
        if (now.isBefore(soon)) {
          owner.wakeBy(soon);
        } else {
          impatient.put(entry, true);
        }
      }
      if (!gang && now.isBefore(patient)) {
        owner.wakeBy(patient);
      }
    }
    Preemption preemption = null;
    for (Map.Entry<QueueEntry, Boolean> waits : impatient.entrySet()) {
      QueueEntry entry = waits.getKey();
      preemption =
          preemption == null ? new Preemption(scheduler, stoppable(now), stopping()) : preemption;
      for (Preemption.Running victim : preemption.makeRoom(entry, waits.getValue())) {
        LOG.info("block {}: {} makes room for {}", owner.id(), victim.task(), entry.tasks().get(0));
        stopAll(placements.get(victim.task()), true, now);
      }
    }
  }

  /** What the tasks take that are being stopped, on each machine. */
  private Map<MachineId, Resources> stopping() {
    Map<MachineId, Resources> stopping = new HashMap<>();
    for (Placement placement : placements.in(Placement.State.STOPPING)) {
      stopping.merge(placement.machine(), placement.job().taskResources(), Resources::plus);
    }
    return stopping;
  }

  private List<Preemption.Running> stoppable(MonotonicTime now) {
    List<Preemption.Running> running = new ArrayList<>();
    for (Placement.State state : List.of(Placement.State.STARTING, Placement.State.ACTIVE)) {
      for (Placement placement : placements.in(state)) {
        if (placement.job().kind() != JobKind.GANG) {
          running.add(
              new Preemption.Running(
                  placement.task(),
                  placement.machine(),
                  placement.job().priority(),
                  context.isIdle(placement.job())
                      && now.since(placement.since()).isLongerThan(IDLE_TURN),
                  placement.job().taskResources(),
                  placement.job().hasCheckpoints(),
                  placement.since()));
        }
      }
    }
    return running;
  }

  /**
   * How long work waits before other work is stopped for it: what is queued ahead of its time may
   * well start soon.
   */
  private static TimeSpan patience(Job job) {
    return job.priority() == Priority.PRODUCTION
        ? ROOM_PATIENCE
        : TimeSpan.ofSeconds(Math.max(5, 0.25 * job.estimate().seconds()));
  }

  /**
   * A machine that is about to be taken: what can save does so, and what cannot finish goes
   * elsewhere at once.
   */
  void clearNoticed(MonotonicTime now) {
    for (AgentSession session : sessions.values()) {
      if (!session.hasNotice()) {
        continue;
      }
      for (Placement placement : placements.on(session.machine().id())) {
        if (!placement.isBound() || placement.state() == Placement.State.STOPPING) {
          continue;
        }
        double left =
            placement.job().estimate().seconds()
                - (placement.isRunning() ? now.since(placement.runningSince()).seconds() : 0);
        if (left < 0
            || left > 0.6 * session.report().terminationNotice().seconds()
            || placement.job().kind() == JobKind.SERVICE) {
          stopAll(placement, true, now);
        }
      }
    }
  }

  /**
   * A machine that is to go back to the cloud, or fails what it is given: its work goes elsewhere.
   * What has room and its image on another machine of the block starts there at once, the rest goes
   * back to the pool.
   */
  void clearLeaving(MonotonicTime now) {
    Map<MachineId, Resources> room = new LinkedHashMap<>();
    List<Placement> toMove = new ArrayList<>();
    for (AgentSession session : sessions.values()) {
      if (session.isSick() || owner.lease().leaving().contains(session.machine().id())) {
        toMove.addAll(placements.on(session.machine().id()));
      }
    }
    for (Placement placement : toMove) {
      if (!placement.isBound() || placement.state() == Placement.State.STOPPING) {
        continue;
      }
      if (room.isEmpty()) {
        sessions.values().stream()
            .filter(owner::isOpen)
            .forEach(
                session ->
                    room.put(
                        session.machine().id(), session.capacity().minus(owner.used(session))));
      }
      boolean back = true;
      for (Map.Entry<MachineId, Resources> other : room.entrySet()) {
        if (back
            && placement.job().taskResources().fitsIn(other.getValue())
            && sessions.get(other.getKey()).hasImage(placement.job().image())) {
          other.setValue(other.getValue().minus(placement.job().taskResources()));
          back = false;
        }
      }
      stopAll(placement, back, now);
    }
  }

  /** How long a task that is stopped has for saving its progress. */
  static TimeSpan graceOf(Job job) {
    return job.hasCheckpoints() ? job.checkpointCost().plus(TimeSpan.ofSeconds(1)) : TimeSpan.ZERO;
  }
}
