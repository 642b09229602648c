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

/**
 * Applies the task states in heartbeats, and what their absence from a complete heartbeat proves.
 */
final class TaskStatusProcessor {
  private static final Logger LOG = LoggerFactory.getLogger(TaskStatusProcessor.class);

  private final ShardContext context;
  private final ShardState state;
  private final Placements placements;
  private final FaultEvidence evidence;

  TaskStatusProcessor(ShardState state) {
    this.state = state;
    this.context = state.context();
    this.placements = state.placements();
    this.evidence = state.evidence();
  }

  /** Applies the state of a task on a machine. */
  void process(AgentSession session, TaskStatus status, MonotonicTime now) {
    Placement placement = placements.get(status.task());
    if (placement == null) {
      return;
    }
    MachineId machine = session.machine().id();
    boolean ours = placement.isAttemptOn(machine, status.attempt());
    if (status.state() != TaskState.EXITED) {
      present(session, placement, status, ours, now);
    } else if (status.exitReason() == ExitReason.DONE
        && placement.job().kind() != JobKind.SERVICE) {
      completed(machine, placement, status, ours, now);
    } else if (ours) {
      // Also applies if the same start may still be executed: the agent keeps the exit until it is
      // cleared, which AgentCommandSender does not do before that start is certainly over, and
      // meanwhile such a start has no effect. Guards against docs/incidents/unanswered-start.md: a
      // task that waited for a response that never came.
      exited(session, placement, status, now);
    }
  }

  private void present(
      AgentSession session,
      Placement placement,
      TaskStatus status,
      boolean ours,
      MonotonicTime now) {
    MachineId machine = session.machine().id();
    boolean hasImage = status.state() != TaskState.PULLING_IMAGE;
    session.usedImage(placement.job().image(), placement.job().imageGb());
    if (hasImage) {
      session.imagePulled(placement.job().image());
    }
    if (!ours && placement.state() != Placement.State.UNSETTLED) {
      return;
    }
    boolean ran = placement.isRunning();
    boolean runs = hasImage && status.state() != TaskState.WAITING_FOR_GANG;
    placement.reported(machine, status.attempt(), runs, now);
    if (!ran && placement.isRunning()) {
      LOG.debug("shard {}: {} is running on {}", state.id(), placement.task(), machine);
    }
    if (placement.isRunning()
        && now.since(placement.runningSince()).isLongerThan(FaultEvidence.STARTED_WELL)) {
      state.markFaulty(
          evidence.startedWell(machine, placement.task().job(), placement.runningSince(), now));
    }
  }

  private void completed(
      MachineId machine, Placement placement, TaskStatus status, boolean ours, MonotonicTime now) {
    boolean mayComplete =
        switch (placement.state()) {
          case UNSETTLED, WAITING -> true;
          case COMPLETED, RELEASED -> false;
          default -> ours;
        };
    if (mayComplete) {
      state.dequeue(status.task());
      state.markFaulty(evidence.completed(machine, status.task().job(), now));
      placement.completed(machine, status.attempt(), now);
      context.notifyLeader();
    }
  }

  private void exited(
      AgentSession session, Placement placement, TaskStatus status, MonotonicTime now) {
    MachineId machine = session.machine().id();
    JobId job = placement.task().job();
    if (status.exitReason() == ExitReason.ERROR) {
      placement.countFailure();
      TimeSpan ranFor = placement.isRunning() ? now.since(placement.runningSince()) : TimeSpan.ZERO;
      state.markFaulty(evidence.failed(machine, job, ranFor, now));
      if (evidence.isSuspect(job)) {
        // The job's other waiting tasks are tried one at a time: they leave the queues and return
        // as that permits.
        placements.ofJob(job).stream()
            .filter(other -> other.state() == Placement.State.WAITING)
            .forEach(other -> state.dequeue(other.task()));
      }
    } else if (status.exitReason() == ExitReason.INSUFFICIENT_RESOURCES
        || status.exitReason() == ExitReason.TASK_ALREADY_PRESENT
        || status.exitReason() == ExitReason.UNKNOWN_TASK) {
      LOG.info(
          "shard {}: {} refused to start {}: {}",
          state.id(),
          machine,
          placement.task(),
          status.exitReason());
      placement.countFailure();
    }
    placement.leftMachine(now);
    LOG.debug(
        "shard {}: {} has left {}, {}", state.id(), placement.task(), machine, status.exitReason());
    if (placement.state() == Placement.State.RELEASED) {
      context.notifyLeader();
    }
  }

  /** Handles tasks on the machine that its complete heartbeat lacks. */
  void freeMissing(AgentSession session, boolean beat, MonotonicTime now) {
    // Compared by attempt: a machine may still report the exit of an earlier attempt of a task that
    // it is to start again.
    Set<Attempt> reported = session.reportedAttempts();
    for (Placement placement : placements.on(session.machine().id())) {
      if (!placement.isOnMachine() || reported.contains(placement.attempt())) {
        continue;
      }
      if (placement.state() == Placement.State.STARTING) {
        placement
            .markCommandUnsent(); // the start has not arrived, or not yet, so it may be repeated
      } else if (beat && !session.starts().mayStillBeExecuted(placement.attempt())) {
        placement.leftMachine(now);
        context.notifyLeader();
      }
    }
  }

  /**
   * Frees everything that an agent of a new session, or a restarted one, does not have, except
   * starts in a response that a restarted one may still execute: a heartbeat from after its restart
   * may have been taken for an earlier one. Those end with the new token that the owner requests.
   */
  void freeUnreported(AgentSession session, MonotonicTime now) {
    Set<Attempt> reported = session.reportedAttempts();
    for (Placement placement : placements.on(session.machine().id())) {
      if (placement.isOnMachine()
          && !reported.contains(placement.attempt())
          && !(session.hasRestarted()
              && session.starts().mayStillBeExecuted(placement.attempt()))) {
        placement.leftMachine(now);
      }
    }
    context.notifyLeader();
  }

  void freeAll(MachineId machine, MonotonicTime now) {
    for (Placement placement : placements.on(machine)) {
      if (placement.isOnMachine()) {
        placement.leftMachine(now);
      }
    }
    context.notifyLeader();
  }
}
