package org.quincecross.shard;

import java.util.Set;
import org.quincecross.model.Attempt;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Heartbeat.ExitReason;
import org.quincecross.protocol.Heartbeat.TaskState;
import org.quincecross.protocol.Heartbeat.TaskStatus;
import org.quincecross.quarantine.FaultEvidence;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the machines' reports say of the tasks, and what they say by not naming them. */
final class HeartbeatProcessor {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  private final ShardContext context;
  private final ShardOwner owner;
  private final Placements placements;
  private final FaultEvidence evidence;

  HeartbeatProcessor(
      ShardContext context, ShardOwner owner, Placements placements, FaultEvidence evidence) {
    this.context = context;
    this.owner = owner;
    this.placements = placements;
    this.evidence = evidence;
  }

  void takePiece(AgentSession session, TaskStatus piece, MonotonicTime now) {
    Placement placement = placements.get(piece.task());
    MachineId machine = session.machine().id();
    if (placement == null) {
      return;
    }
    boolean ours = placement.isBoundTo(machine, piece.attempt());
    if (piece.state() != TaskState.EXITED) {
      boolean hasImage = piece.state() != TaskState.PULLING_IMAGE;
      session.usedImage(placement.job().image(), placement.job().imageGb());
      if (hasImage) {
        session.fetched(placement.job().image());
      }
      if (ours || placement.state() == Placement.State.UNSETTLED) {
        boolean ran = placement.isRunning();
        placement.reported(
            machine, piece.attempt(), hasImage && piece.state() != TaskState.WAITING_FOR_GANG, now);
        if (!ran && placement.isRunning()) {
          LOG.debug("block {}: {} runs on {}", owner.id(), placement.task(), machine);
        }
        if (placement.isRunning()
            && now.since(placement.runningSince()).isLongerThan(FaultEvidence.STARTED_WELL)) {
          owner.callSick(
              evidence.startedWell(machine, placement.task().job(), placement.runningSince(), now));
        }
      }
      return;
    }
    if (piece.exitReason() == ExitReason.DONE && placement.job().kind() != JobKind.SERVICE) {
      boolean open =
          placement.state() != Placement.State.COMPLETED
              && placement.state() != Placement.State.RELEASED;
      if (open
          && (ours
              || placement.state() == Placement.State.UNSETTLED
              || placement.state() == Placement.State.WAITING)) {
        owner.dequeue(piece.task());
        owner.callSick(evidence.completed(machine, piece.task().job(), now));
        placement.completed(machine, piece.attempt(), now);
        context.newsForLeader();
      }
      return;
    }
    if (ours) {
      // Also where a start of this attempt may still arrive: the worker keeps the exit until it is
      // cleared, which
      // Commands does not do before that start is surely over, and while it keeps it such a start
      // does nothing.
      // Guards against docs/incidents/unanswered-start.md: a task that waited for an answer that
      // never came.
      exited(session, placement, piece, now);
    }
  }

  private void exited(
      AgentSession session, Placement placement, TaskStatus piece, MonotonicTime now) {
    MachineId machine = session.machine().id();
    JobId job = placement.task().job();
    if (piece.exitReason() == ExitReason.ERROR) {
      placement.failed();
      TimeSpan ranFor = placement.isRunning() ? now.since(placement.runningSince()) : TimeSpan.ZERO;
      owner.callSick(evidence.failed(machine, job, ranFor, now));
      if (evidence.isDoubtful(job)) {
        // What else of it waits is tried one task at a time: it leaves the queues, and enters them
        // again as that allows.
        placements.ofJob(job).stream()
            .filter(other -> other.state() == Placement.State.WAITING)
            .forEach(other -> owner.dequeue(other.task()));
      }
    } else if (piece.exitReason() == ExitReason.INSUFFICIENT_RESOURCES
        || piece.exitReason() == ExitReason.TASK_ALREADY_PRESENT
        || piece.exitReason() == ExitReason.UNKNOWN_TASK) {
      LOG.info(
          "block {}: {} refused {}: {}", owner.id(), machine, placement.task(), piece.exitReason());
      placement.failed();
    }
    placement.gone(now);
    LOG.debug(
        "block {}: {} has left {}, {}", owner.id(), placement.task(), machine, piece.exitReason());
    if (placement.state() == Placement.State.RELEASED) {
      context.newsForLeader();
    }
  }

  /** Tasks bound to the machine that its complete report does not have. */
  void freeMissing(AgentSession session, boolean beat, MonotonicTime now) {
    // By attempt: a machine may still report the exit of an earlier attempt of a task that it is to
    // start again.
    Set<Attempt> reported = session.reportedAttempts();
    for (Placement placement : placements.on(session.machine().id())) {
      if (!placement.isBound() || reported.contains(placement.attempt())) {
        continue;
      }
      if (placement.state() == Placement.State.STARTING) {
        placement.untell(); // the start did not get there, or not yet: it may be repeated
      } else if (beat && !session.mayStillStart(placement.attempt())) {
        placement.gone(now);
        context.newsForLeader();
      }
    }
  }

  /**
   * All that a worker of a new session, or one that has begun anew, does not have; but for starts
   * that may still reach one that has begun anew, which end with the new token that the holder asks
   * for.
   */
  void freeUnreported(AgentSession session, MonotonicTime now) {
    Set<Attempt> reported = session.reportedAttempts();
    for (Placement placement : placements.on(session.machine().id())) {
      if (placement.isBound()
          && !reported.contains(placement.attempt())
          && !(session.hasBegunAnew() && session.mayStillStart(placement.attempt()))) {
        placement.gone(now);
      }
    }
    context.newsForLeader();
  }

  void freeAll(MachineId machine, MonotonicTime now) {
    for (Placement placement : placements.on(machine)) {
      if (placement.isBound()) {
        placement.gone(now);
      }
    }
    context.newsForLeader();
  }
}
