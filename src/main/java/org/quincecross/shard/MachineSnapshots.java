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

/** What machines have room for and are doing, put together from placements and reports. */
final class MachineSnapshots {
  /** A replica that has just been started should not be stopped again for tidiness. */
  private static final TimeSpan MOVABLE_AFTER = TimeSpan.ofSeconds(40);

  /** A machine that hears nothing goes the round of the controllers in this time. */
  private static final TimeSpan ROUND = TimeSpan.ofSeconds(20);

  private final ShardContext context;
  private final ShardOwner owner;
  private final Placements placements;
  private final Map<MachineId, AgentSession> sessions;
  private final ShardScheduler scheduler;
  private final MachineLivenessMonitor watch;

  MachineSnapshots(
      ShardContext context,
      ShardOwner owner,
      Placements placements,
      Map<MachineId, AgentSession> sessions,
      ShardScheduler scheduler,
      MachineLivenessMonitor watch) {
    this.context = context;
    this.owner = owner;
    this.placements = placements;
    this.sessions = sessions;
    this.scheduler = scheduler;
    this.watch = watch;
  }

  /** What the machine's tasks take: those placed there, and what else it reports. */
  Resources used(AgentSession session) {
    Resources used = Resources.NONE;
    MachineId machine = session.machine().id();
    for (Placement placement : placements.seenOn(machine)) {
      if (placement.isBound()) {
        used = used.plus(placement.job().taskResources());
      }
    }
    if (session.report() != null) {
      for (TaskStatus piece : session.report().tasks()) {
        Placement placement = placements.get(piece.task());
        boolean counted = placement != null && placement.isBoundTo(machine, piece.attempt());
        JobRecord job = context.ledger().job(piece.task().job());
        if (piece.state() != TaskState.EXITED && !counted && job != null && job.job() != null) {
          used = used.plus(job.job().taskResources());
        }
      }
    }
    return used;
  }

  /**
   * What urgent work could have in a moment: what takes no time to stop, or is being stopped
   * already.
   */
  Resources displaceable(MachineId machine) {
    Resources sum = Resources.NONE;
    for (Placement placement : placements.seenOn(machine)) {
      Job job = placement.job();
      if (placement.state() == Placement.State.STOPPING
          || (placement.isBound()
              && job.priority() != Priority.PRODUCTION
              && job.kind() != JobKind.GANG
              && !job.hasCheckpoints())) {
        sum = sum.plus(job.taskResources());
      }
    }
    return sum;
  }

  /** What is to be kept free, but for room for requests that is lent to what makes way for them. */
  List<Headroom> lessLent(List<Headroom> reserves) {
    if (reserves.stream().noneMatch(reserve -> reserve.purpose() == Headroom.Purpose.REQUESTS)) {
      return reserves;
    }
    List<Headroom> less = new ArrayList<>();
    for (Headroom reserve : reserves) {
      less.add(
          reserve.purpose() == Headroom.Purpose.REQUESTS ? reserve.lent(lent(reserve)) : reserve);
    }
    return less;
  }

  private int lent(Headroom reserve) {
    int tasks = 0;
    for (AgentSession session : sessions.values()) {
      if (owner.isOpen(session)) {
        Resources borrowed = Resources.NONE;
        for (Placement placement : placements.seenOn(session.machine().id())) {
          borrowed =
              Headroom.mayBorrow(placement.job())
                  ? borrowed.plus(placement.job().taskResources())
                  : borrowed;
        }
        Resources free = session.capacity().minus(used(session));
        tasks += free.plus(borrowed).capacityFor(reserve.each()) - free.capacityFor(reserve.each());
      }
    }
    return tasks;
  }

  /** The images that tasks on the machine wait for, and the highest priority among those tasks. */
  Map<String, Priority> fetching(AgentSession session) {
    Map<String, Priority> images = new HashMap<>();
    for (Placement placement : placements.seenOn(session.machine().id())) {
      if (placement.isBound()
          && !placement.isRunning()
          && session.isFetching(placement.job().image())) {
        images.merge(
            placement.job().image(),
            placement.job().priority(),
            (one, other) -> one.isHigherThan(other) ? one : other);
      }
    }
    return images;
  }

  /**
   * What is known of a machine, for the leader and for operators; null if it is not in the block.
   */
  PeerHeartbeat.MachineState machine(MachineId id) {
    AgentSession session = sessions.get(id);
    if (session == null) {
      return null;
    }
    MonotonicTime now = context.now();
    int tasks = 0;
    Set<String> inUse = new TreeSet<>();
    for (Placement placement : placements.seenOn(id)) {
      tasks++;
      inUse.add(placement.job().image());
    }
    // Where nothing that is sent arrives there is no room for anybody, however empty it looks.
    boolean hears = session.hearing().hears();
    return new PeerHeartbeat.MachineState(
        id,
        hears ? session.capacity().minus(used(session)) : Resources.NONE,
        hears ? displaceable(id) : Resources.NONE,
        silence(session, now),
        owner.isOpen(session),
        session.state() == AgentSession.State.FENCED,
        session.hasNotice(),
        session.isSick() || watch.isToBeReplaced(session, now),
        isMovable(id, now),
        tasks,
        scheduler.machine(id).waiting().size(),
        session.images(),
        List.copyOf(inUse));
  }

  /**
   * Whether time alone has made what was last told of a machine out of date: it fell silent, or its
   * replicas have stayed.
   */
  boolean hasAged(PeerHeartbeat.MachineState told) {
    AgentSession session = sessions.get(told.id());
    MonotonicTime now = context.now();
    return session != null
        && (!silence(session, now).equals(told.silent())
            || owner.isOpen(session) != told.open()
            || (!told.sick() && watch.isToBeReplaced(session, now))
            || (!told.movable() && told.tasks() > 0 && isMovable(told.id(), now)));
  }

  /** Whether all that is there are replicas that have run for a while. */
  private boolean isMovable(MachineId machine, MonotonicTime now) {
    for (Placement placement : placements.seenOn(machine)) {
      if (placement.job().kind() != JobKind.SERVICE
          || placement.state() != Placement.State.ACTIVE
          || !placement.isRunning()
          || !now.since(placement.runningSince()).isLongerThan(MOVABLE_AFTER)) {
        return false;
      }
    }
    return true;
  }

  private TimeSpan silence(AgentSession session, MonotonicTime now) {
    TimeSpan silent = now.since(session.heard());
    if (!session.hearing().hears() && !silent.isLongerThan(ROUND)) {
      return TimeSpan
          .ZERO; // it goes the round of the controllers and speaks to each; another would not be
      // heard either
    }
    return silent.isLongerThan(quiet(context.workers()))
        ? TimeSpan.ofSeconds(Math.floor(silent.seconds()))
        : TimeSpan.ZERO;
  }

  /** A machine that has reported this lately is not called silent. */
  private static TimeSpan quiet(Settings.AgentTimeouts workers) {
    return workers.heartbeatInterval().times(1.25).plus(TimeSpan.ofSeconds(2));
  }
}
