package org.quincecross.shard;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
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
 * Sends commands to the shard's agents, besides those in responses to heartbeats: starts and stops
 * at once, and the present fencing token to agents that have not confirmed it.
 *
 * <p>Each direct command waits for its response, {@link #COMMAND_TIMEOUT} at most. A command
 * without a response is not retried by itself: its content is repeated in the response to the
 * agent's next heartbeat, or after {@link #COMMAND_RETRY_DELAY}. That it may still be executed, or
 * executed again if it was answered, is remembered per attempt by {@link StartTracker} until the
 * agent has shown a higher token or a new session.
 */
final class AgentCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(AgentCommandSender.class);
  private static final TimeSpan COMMAND_TIMEOUT = TimeSpan.ofSeconds(1.5);
  private static final TimeSpan COMMAND_RETRY_DELAY = TimeSpan.ofSeconds(1);
  private static final int MAX_COMMANDS = 300;

  private final ShardContext context;
  private final ShardState state;
  private final BiConsumer<AgentSession, Heartbeat> responseHandler;
  private final Placements placements;
  private final Map<MachineId, AgentSession> sessions;
  private final UnacknowledgedResponses unacknowledgedResponses;

  /**
   * Creates a sender.
   *
   * @param responseHandler receives the status in responses to direct commands
   */
  AgentCommandSender(ShardState state, BiConsumer<AgentSession, Heartbeat> responseHandler) {
    this.state = state;
    this.context = state.context();
    this.placements = state.placements();
    this.sessions = state.sessions();
    this.responseHandler = responseHandler;
    this.unacknowledgedResponses = new UnacknowledgedResponses(context, placements);
  }

  /** All commands that the agent should have now; each of them may be repeated. */
  List<AgentCommand> pendingCommands(AgentSession session) {
    List<AgentCommand> commands = new ArrayList<>();
    MachineId machine = session.machine().id();
    Set<Attempt> present = new HashSet<>();
    for (TaskStatus status : session.lastHeartbeat().tasks()) {
      present.add(status.attempt());
      Placement placement = placements.get(status.task());
      boolean ours = placement != null && placement.isAttemptOn(machine, status.attempt());
      if (status.state() == TaskState.EXITED) {
        boolean keep =
            ours
                || (placement != null
                    && placement.state() == Placement.State.COMPLETED
                    && placement.machine().equals(machine)
                    && placement.attempt().equals(status.attempt()));
        if (!keep && !session.starts().mustKeepExit(status)) {
          commands.add(AgentCommand.forget(status.task(), status.attempt()));
        }
      } else if (!ours) {
        commands.add(AgentCommand.stop(status.task(), status.attempt(), TimeSpan.ZERO));
      } else if (placement.state() == Placement.State.STOPPING
          && (status.state() != TaskState.CHECKPOINTING || placement.gracePeriod().nanos() == 0)) {
        commands.add(AgentCommand.stop(status.task(), status.attempt(), placement.gracePeriod()));
      }
    }
    // Repeating a start is a start: one that is held back here is sent once the records are
    // confirmed (docs/incidents/started-without-word.md).
    for (Placement placement :
        context.mayStartTasks() ? placements.on(machine) : List.<Placement>of()) {
      if (placement.state() == Placement.State.STARTING && !present.contains(placement.attempt())) {
        commands.add(AgentCommand.start(placement.task(), placement.attempt()));
      }
    }
    return commands.size() > MAX_COMMANDS ? commands.subList(0, MAX_COMMANDS) : commands;
  }

  /** The pending commands without the starts that have to wait for a response to a heartbeat. */
  private List<AgentCommand> pendingDirectCommands(AgentSession session) {
    int remainingStarts = session.starts().remainingDirectStarts();
    List<AgentCommand> commands = new ArrayList<>();
    for (AgentCommand command : pendingCommands(session)) {
      if (command.verb() != AgentCommand.Verb.START || remainingStarts-- > 0) {
        commands.add(command);
      }
    }
    return commands;
  }

  /** Whether the agent may get a response, which renews its lease. */
  boolean mayRespond(AgentSession session) {
    return unacknowledgedResponses.mayRespond(session);
  }

  /** The response to the agent's heartbeat; an agent that is not fenced yet gets only the token. */
  byte[] response(AgentSession session) {
    List<AgentCommand> commands =
        session.state() == AgentSession.State.FENCED ? pendingCommands(session) : List.of();
    markSent(commands);
    session.starts().sentInResponse(starts(commands).keySet());
    return AgentCodec.writeResponse(state.lease().token(), commands);
  }

  private void markSent(List<AgentCommand> commands) {
    for (AgentCommand command : commands) {
      Placement placement = placements.get(command.task());
      if (placement != null && placement.attempt().equals(command.attempt())) {
        placement.markCommandSent();
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

  /** Sends starts and stops at once instead of with the response to the next heartbeat. */
  void sendUnsent() {
    Set<MachineId> untold = new LinkedHashSet<>();
    for (Placement.State state : List.of(Placement.State.STARTING, Placement.State.STOPPING)) {
      for (Placement placement : placements.in(state)) {
        if (!placement.isCommandSent()) {
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
        List<AgentCommand> commands = pendingDirectCommands(session);
        if (!commands.isEmpty()) {
          markSent(commands);
          sendDirect(session, commands);
        }
      }
    }
  }

  private void sendDirect(AgentSession session, List<AgentCommand> commands) {
    FencingToken sentWith = state.lease().token();
    Map<Attempt, TaskId> starts = starts(commands);
    session.directSent(starts);
    LOG.debug("shard {}: {} commands to {}", state.id(), commands.size(), session.machine().id());
    HttpRequest request =
        HttpRequest.post(
            AgentCodec.COMMANDS_PATH,
            AgentCodec.writeCommands(sentWith, session.lastHeartbeat().session(), commands));
    context
        .http()
        .call(
            session.machine().address(),
            request,
            COMMAND_TIMEOUT,
            outcome -> directEnded(session, starts, sentWith, outcome));
  }

  private void directEnded(
      AgentSession session,
      Map<Attempt, TaskId> starts,
      FencingToken sentWith,
      HttpOutcome outcome) {
    Heartbeat heartbeat = readReport(outcome);
    // Another machine may have the address of a terminated one; its status says nothing about the
    // terminated machine.
    if (heartbeat == null || !heartbeat.machine().id().equals(session.machine().id())) {
      LOG.debug(
          "shard {}: no response from {}, status {}",
          state.id(),
          session.machine().id(),
          outcome.status());
      boolean mayHaveArrived = outcome.sent() && sentWith.equals(state.lease().token());
      session.directFailed(starts, mayHaveArrived, context.now().plus(COMMAND_RETRY_DELAY));
      if (outcome.sent()) {
        session.reachability().commandTimedOut();
        state.markDirty(session);
      }
      return;
    }
    session.directAnswered(starts);
    if (sessions.get(session.machine().id()) == session) {
      responseHandler.accept(session, heartbeat);
    }
  }

  private static Heartbeat readReport(HttpOutcome outcome) {
    if (outcome.status() != 200 && outcome.status() != 409) {
      return null;
    }
    try {
      return AgentCodec.readHeartbeat(Json.parseFields(outcome.response().body()));
    } catch (MalformedMessageException e) {
      LOG.info("agent response cannot be read: {}", e.getMessage());
      return null;
    }
  }

  /**
   * Sends the current token to machines that are not fenced: requests the session, then sends an
   * empty command. Such a command also queries a doubtful machine ({@link
   * org.quincecross.failuredetection.StaleHeartbeatFilter}), because its response is made after the
   * doubt arose.
   */
  void requestStatus() {
    MonotonicTime now = context.now();
    for (AgentSession session : sessions.values()) {
      if (session.needsStatusRequest(context.agentTimeouts().heartbeatInterval(), now)
          && session.canSendDirect(now)
          && context.mayCommand()) {
        if (session.lastHeartbeat() != null) {
          sendDirect(session, List.of());
          continue;
        }
        session.directSent(Map.of());
        context
            .http()
            .call(
                session.machine().address(),
                HttpRequest.get(AgentCodec.STATUS_PATH),
                COMMAND_TIMEOUT,
                outcome -> directEnded(session, Map.of(), state.lease().token(), outcome));
      }
    }
  }
}
