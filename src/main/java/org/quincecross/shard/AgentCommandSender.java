package org.quincecross.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Attempt;
import org.quincecross.model.FencingToken;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;
import org.quincecross.protocol.AgentCodec;
import org.quincecross.protocol.AgentCommand;
import org.quincecross.protocol.Heartbeat;
import org.quincecross.protocol.Heartbeat.TaskState;
import org.quincecross.protocol.Heartbeat.TaskStatus;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a holder tells its machines, beside the answers to their reports: starts and stops at once,
 * and the present token to those that have not shown it.
 *
 * <p>Each direct command waits for its answer, {@link #DIRECT_TIMEOUT} at most. A command that was
 * not answered is not sent again by itself: what it said is said again by the answer to the
 * machine's next report, or after {@link #DIRECT_RETRY}. That it may still be executed is
 * remembered per attempt by {@link AgentSession} until the machine has shown a higher token or a
 * new session.
 */
final class AgentCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(AgentCommandSender.class);
  private static final TimeSpan DIRECT_TIMEOUT = TimeSpan.ofSeconds(1.5);
  private static final TimeSpan DIRECT_RETRY = TimeSpan.ofSeconds(1);
  private static final int MOST_ORDERS = 300;

  private final ShardContext context;
  private final ShardOwner owner;
  private final Placements placements;
  private final Map<MachineId, AgentSession> sessions;
  private final UnacknowledgedResponses lastAnswers;

  AgentCommandSender(
      ShardContext context,
      ShardOwner owner,
      Placements placements,
      Map<MachineId, AgentSession> sessions) {
    this.context = context;
    this.owner = owner;
    this.placements = placements;
    this.sessions = sessions;
    this.lastAnswers = new UnacknowledgedResponses(context, placements);
  }

  /** All that the machine should be told now; everything in it may be told again. */
  List<AgentCommand> orders(AgentSession session) {
    List<AgentCommand> commands = new ArrayList<>();
    MachineId machine = session.machine().id();
    Set<Attempt> present = new HashSet<>();
    for (TaskStatus piece : session.report().tasks()) {
      present.add(piece.attempt());
      Placement placement = placements.get(piece.task());
      boolean ours = placement != null && placement.isBoundTo(machine, piece.attempt());
      if (piece.state() == TaskState.EXITED) {
        boolean keep =
            ours
                || (placement != null
                    && placement.state() == Placement.State.COMPLETED
                    && placement.machine().equals(machine)
                    && placement.attempt().equals(piece.attempt()));
        if (!keep && !session.mayStillStart(piece.attempt())) {
          commands.add(AgentCommand.forget(piece.task(), piece.attempt()));
        }
      } else if (!ours) {
        commands.add(AgentCommand.stop(piece.task(), piece.attempt(), TimeSpan.ZERO));
      } else if (placement.state() == Placement.State.STOPPING
          && (piece.state() != TaskState.CHECKPOINTING || placement.grace().nanos() == 0)) {
        commands.add(AgentCommand.stop(piece.task(), piece.attempt(), placement.grace()));
      }
    }
    // Said again, a start is a start: one that is held back here is said once the records are
    // confirmed (docs/incidents/started-without-word.md).
    for (Placement placement : context.mayStart() ? placements.on(machine) : List.<Placement>of()) {
      if (placement.state() == Placement.State.STARTING && !present.contains(placement.attempt())) {
        commands.add(AgentCommand.start(placement.task(), placement.attempt()));
      }
    }
    return commands.size() > MOST_ORDERS ? commands.subList(0, MOST_ORDERS) : commands;
  }

  /** Whether the machine may be answered, which renews its lease. */
  boolean mayAnswer(AgentSession session) {
    return lastAnswers.mayAnswer(session);
  }

  /**
   * The answer to the machine's report; one that does not obey yet is told nothing but the token.
   */
  byte[] answer(AgentSession session) {
    List<AgentCommand> commands =
        session.state() == AgentSession.State.FENCED ? orders(session) : List.of();
    tell(commands);
    session.startsInAnswer(starts(commands).keySet());
    return AgentCodec.writeResponse(owner.lease().token(), commands);
  }

  private void tell(List<AgentCommand> commands) {
    for (AgentCommand command : commands) {
      Placement placement = placements.get(command.task());
      if (placement != null && placement.attempt().equals(command.attempt())) {
        placement.tell();
      }
    }
  }

  private static Map<Attempt, TaskId> starts(List<AgentCommand> commands) {
    Map<Attempt, TaskId> starts = new HashMap<>();
    for (AgentCommand command : commands) {
      if (command.verb() == AgentCommand.Verb.START) {
        starts.put(command.attempt(), command.task());
      }
    }
    return starts;
  }

  /** Sends starts and stops at once rather than with the answer to the next report. */
  void sendUntold() {
    Set<MachineId> untold = new LinkedHashSet<>();
    for (Placement.State state : List.of(Placement.State.STARTING, Placement.State.STOPPING)) {
      for (Placement placement : placements.in(state)) {
        if (!placement.isTold()) {
          untold.add(placement.machine());
        }
      }
    }
    MonotonicTime now = context.now();
    for (MachineId machine : untold) {
      AgentSession session = sessions.get(machine);
      if (session != null
          && session.state() == AgentSession.State.FENCED
          && session.canSendDirect(now)) {
        List<AgentCommand> commands = orders(session);
        if (!commands.isEmpty()) {
          tell(commands);
          sendDirect(session, commands);
        }
      }
    }
  }

  private void sendDirect(AgentSession session, List<AgentCommand> commands) {
    FencingToken sentWith = owner.lease().token();
    Map<Attempt, TaskId> starts = starts(commands);
    session.directSent(starts);
    LOG.debug("block {}: {} commands to {}", owner.id(), commands.size(), session.machine().id());
    HttpRequest request =
        HttpRequest.post(
            AgentCodec.COMMANDS_PATH,
            AgentCodec.writeCommands(sentWith, session.report().session(), commands));
    context
        .http()
        .call(
            session.machine().address(),
            request,
            DIRECT_TIMEOUT,
            outcome -> directEnded(session, starts, sentWith, outcome));
  }

  private void directEnded(
      AgentSession session,
      Map<Attempt, TaskId> starts,
      FencingToken sentWith,
      HttpOutcome outcome) {
    Heartbeat heartbeat = readReport(outcome);
    // Another machine may have the address of one that is gone: what that one says is nothing of
    // this one.
    if (heartbeat == null || !heartbeat.machine().id().equals(session.machine().id())) {
      LOG.debug(
          "block {}: no answer from {}, status {}",
          owner.id(),
          session.machine().id(),
          outcome.status());
      boolean mayHaveArrived = outcome.sent() && sentWith.equals(owner.lease().token());
      session.directFailed(starts, mayHaveArrived, context.now().plus(DIRECT_RETRY));
      if (outcome.sent()) {
        session.hearing().commandUnanswered();
        owner.stir(session);
      }
      return;
    }
    session.directAnswered(starts);
    if (sessions.get(session.machine().id()) == session) {
      owner.answered(session, heartbeat);
    }
  }

  private static Heartbeat readReport(HttpOutcome outcome) {
    if (outcome.status() != 200 && outcome.status() != 409) {
      return null;
    }
    try {
      return AgentCodec.readHeartbeat(Json.parseFields(outcome.response().body()));
    } catch (MalformedMessageException e) {
      LOG.info("unreadable answer of a worker: {}", e.getMessage());
      return null;
    }
  }

  /**
   * Shows unfenced machines the present token: asks for the session, then sends a command that
   * commands nothing. Such a command also asks a doubted machine what it has ({@link
   * org.quincecross.failuredetection.StaleHeartbeatFilter}): its answer is made after the doubt.
   */
  void fence() {
    MonotonicTime now = context.now();
    for (AgentSession session : sessions.values()) {
      if (session.isToBeAsked(context.workers().heartbeatInterval(), now)
          && session.canSendDirect(now)
          && context.isEntitled()) {
        if (session.report() != null) {
          sendDirect(session, List.of());
          continue;
        }
        session.directSent(Map.of());
        context
            .http()
            .call(
                session.machine().address(),
                HttpRequest.get(AgentCodec.STATUS_PATH),
                DIRECT_TIMEOUT,
                outcome -> directEnded(session, Map.of(), owner.lease().token(), outcome));
      }
    }
  }
}
