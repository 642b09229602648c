package org.quincecross.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.quincecross.model.Job;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.protocol.Heartbeat.TaskState;
import org.quincecross.protocol.Heartbeat.TaskStatus;
import org.quincecross.protocol.Settings;
import org.quincecross.scheduling.Headroom;
import org.quincecross.scheduling.ShardScheduler;
import org.quincecross.state.JobRecord;

/** The capacity and activity of machines, derived from placements and heartbeats. */
final class MachineSnapshots {
  /** A replica that was started recently should not be moved for consolidation. */
  private static final TimeSpan MIN_RUN_TIME_TO_MOVE = TimeSpan.ofSeconds(40);

  /** A machine that receives nothing contacts all controllers in turn within this time. */
  private static final TimeSpan CONTROLLER_ROUND_TIME = TimeSpan.ofSeconds(20);

  private final ShardContext context;
  private final Placements placements;
  private final Map<MachineId, AgentSession> sessions;
  private final ShardScheduler scheduler;
  private final MachineLivenessMonitor monitor;

  MachineSnapshots(ShardState state, MachineLivenessMonitor monitor) {
    this.context = state.context();
    this.placements = state.placements();
    this.sessions = state.sessions();
    this.scheduler = state.scheduler();
    this.monitor = monitor;
  }

  /** The resources of the machine's tasks: those placed there, and others that it reports. */
  Resources used(AgentSession session) {
    Resources used = Resources.NONE;
    MachineId machine = session.machine().id();
    for (Placement placement : placements.viewOn(machine)) {
      if (placement.isOnMachine()) {
        used = used.plus(placement.job().taskResources());
      }
    }
    if (session.lastHeartbeat() != null) {
      for (TaskStatus status : session.lastHeartbeat().tasks()) {
        Placement placement = placements.get(status.task());
        boolean counted = placement != null && placement.isAttemptOn(machine, status.attempt());
        JobRecord job = context.cache().job(status.task().job());
        if (status.state() != TaskState.EXITED && !counted && job != null && job.job() != null) {
          used = used.plus(job.job().taskResources());
        }
      }
    }
    return used;
  }

  /**
   * The resources that preemption for urgent work can free within a moment: tasks that stop at once
   * or are stopping already.
   */
  Resources preemptible(MachineId machine) {
    Resources sum = Resources.NONE;
    for (Placement placement : placements.viewOn(machine)) {
      Job job = placement.job();
      if (placement.state() == Placement.State.STOPPING
          || (placement.isOnMachine()
              && job.priority() != Priority.PRODUCTION
              && job.kind() != JobKind.GANG
              && !job.hasCheckpoints())) {
        sum = sum.plus(job.taskResources());
      }
    }
    return sum;
  }

  /**
   * The headroom to be kept, without the reserved capacity that is lent to work that is preempted
   * for requests.
   */
  List<Headroom> withoutLent(List<Headroom> reserves) {
    if (reserves.stream().noneMatch(headroom -> headroom.purpose() == Headroom.Purpose.REQUESTS)) {
      return reserves;
    }
    List<Headroom> less = new ArrayList<>();
    for (Headroom headroom : reserves) {
      less.add(
          headroom.purpose() == Headroom.Purpose.REQUESTS
              ? headroom.lentCopy(lentPart(headroom))
              : headroom);
    }
    return less;
  }

  private int lentPart(Headroom headroom) {
    int tasks = 0;
    for (AgentSession session : sessions.values()) {
      if (monitor.isOpen(session)) {
        Resources borrowed = Resources.NONE;
        for (Placement placement : placements.viewOn(session.machine().id())) {
          borrowed =
              Headroom.mayBorrow(placement.job())
                  ? borrowed.plus(placement.job().taskResources())
                  : borrowed;
        }
        Resources free = session.capacity().minus(used(session));
        tasks +=
            free.plus(borrowed).capacityFor(headroom.each()) - free.capacityFor(headroom.each());
      }
    }
    return tasks;
  }

  /**
   * The images that tasks on the machine wait for, each with the highest priority among those
   * tasks.
   */
  Map<String, Priority> imagesBeingPulled(AgentSession session) {
    Map<String, Priority> images = new HashMap<>();
    for (Placement placement : placements.viewOn(session.machine().id())) {
      if (placement.isOnMachine()
          && !placement.isRunning()
          && session.isPulling(placement.job().image())) {
        images.merge(
            placement.job().image(),
            placement.job().priority(),
            (one, other) -> one.isHigherThan(other) ? one : other);
      }
    }
    return images;
  }

  /** The state of a machine for the leader and for operators; null if it is not in the shard. */
  PeerHeartbeat.MachineState snapshot(MachineId id) {
    AgentSession session = sessions.get(id);
    if (session == null) {
      return null;
    }
    MonotonicTime now = context.now();
    int tasks = 0;
    Set<String> inUse = new TreeSet<>();
    for (Placement placement : placements.viewOn(id)) {
      tasks++;
      inUse.add(placement.job().image());
    }
    // A machine that receives no commands offers no capacity, however empty it looks.
    boolean hears = session.reachability().isReceiving();
    return new PeerHeartbeat.MachineState(
        id,
        hears ? session.capacity().minus(used(session)) : Resources.NONE,
        hears ? preemptible(id) : Resources.NONE,
        reportedSilence(session, now),
        monitor.isOpen(session),
        session.state() == AgentSession.State.FENCED,
        session.hasTerminationNotice(),
        session.isFaulty() || monitor.needsReplacement(session, now),
        isMovable(id, now),
        tasks,
        scheduler.machine(id).waiting().size(),
        session.images(),
        List.copyOf(inUse));
  }

  /**
   * Whether time alone has made a reported state outdated: the machine fell silent, or its replicas
   * may be moved now.
   */
  boolean isOutdated(PeerHeartbeat.MachineState told) {
    AgentSession session = sessions.get(told.id());
    MonotonicTime now = context.now();
    return session != null
        && (!reportedSilence(session, now).equals(told.silentFor())
            || monitor.isOpen(session) != told.open()
            || (!told.faulty() && monitor.needsReplacement(session, now))
            || (!told.movable() && told.tasks() > 0 && isMovable(told.id(), now)));
  }

  /** Whether only replicas that have run for a while are on the machine. */
  private boolean isMovable(MachineId machine, MonotonicTime now) {
    for (Placement placement : placements.viewOn(machine)) {
      if (placement.job().kind() != JobKind.SERVICE
          || placement.state() != Placement.State.ACTIVE
          || !placement.isRunning()
          || !now.since(placement.runningSince()).isLongerThan(MIN_RUN_TIME_TO_MOVE)) {
        return false;
      }
    }
    return true;
  }

  private TimeSpan reportedSilence(AgentSession session, MonotonicTime now) {
    TimeSpan silent = now.since(session.lastContact());
    if (!session.reachability().isReceiving() && !silent.isLongerThan(CONTROLLER_ROUND_TIME)) {
      return TimeSpan
          .ZERO; // it contacts every controller in turn, so another controller could not reach it
      // either
    }
    return silent.isLongerThan(maxQuietTime(context.agentTimeouts()))
        ? TimeSpan.ofSeconds(Math.floor(silent.seconds()))
        : TimeSpan.ZERO;
  }

  /** A machine that was heard within this time is not reported as silent. */
  private static TimeSpan maxQuietTime(Settings.AgentTimeouts workers) {
    return workers.heartbeatInterval().times(1.25).plus(TimeSpan.ofSeconds(2));
  }
}
