package org.quincecross.shard;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Attempt;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
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
 * Sends commands to the shard's agents: in responses to heartbeats, and directly what cannot wait
 * for one. Those are stops, the present fencing token for agents that have not confirmed it, and
 * the request for a heartbeat from agents that have tasks to start.
 *
 * <p>Starts are sent in responses alone. A direct command may arrive again minutes after it was
 * answered, and an agent that has restarted since accepts any token: it would run a task that is on
 * another machine by then, or cancelled. The response to a heartbeat is never executed late
 * (docs/incidents/repeated-start.md).
 *
 * <p>Each direct command waits for its response, {@link #COMMAND_TIMEOUT} at most. A command
 * without a response is not retried by itself: its content is repeated in the response to the
 * agent's next heartbeat, or after {@link #COMMAND_RETRY_DELAY}.
 */
final class AgentCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(AgentCommandSender.class);
  private static final TimeSpan COMMAND_TIMEOUT = TimeSpan.ofSeconds(1.5);
  private static final TimeSpan COMMAND_RETRY_DELAY = TimeSpan.ofSeconds(1);
  private static final int MAX_COMMANDS = 300;
  private static final int EXECUTED = 200;

  /** Nothing was executed: the token or the session is not the agent's. */
  private static final int REJECTED = 409;

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
      if (HeartbeatRequest.isRefusal(status)) {
        continue;
      }
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
        if (!keep && !session.starts().mayStillBeExecuted(status.attempt())) {
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

  /**
   * The pending commands that may be sent directly. In place of starts it is a request for a
   * heartbeat, whose response will have them.
   */
  private List<AgentCommand> pendingDirectCommands(AgentSession session) {
    List<AgentCommand> commands = pendingCommands(session);
    List<AgentCommand> direct = new ArrayList<>();
    for (AgentCommand command : commands) {
      if (command.verb() != AgentCommand.Verb.START) {
        direct.add(command);
      }
    }
    if (direct.size() < commands.size() && !session.isHeartbeatRequested()) {
      direct.addAll(HeartbeatRequest.commands(session.lastHeartbeat()));
      session.heartbeatRequested();
    }
    return direct;
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
    session.starts().sentInResponse(startedAttempts(commands));
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

  private static Set<Attempt> startedAttempts(List<AgentCommand> commands) {
    return commands.stream()
        .filter(command -> command.verb() == AgentCommand.Verb.START)
        .map(AgentCommand::attempt)
        .collect(Collectors.toSet());
  }

  /** Sends stops at once, and asks for the heartbeats whose responses will have starts. */
  void sendUnsent() {
    Set<MachineId> machines = machinesWithUnsent(Placement.State.STOPPING);
    for (MachineId machine : machinesWithUnsent(Placement.State.STARTING)) {
      AgentSession session = sessions.get(machine);
      if (session != null && !session.isHeartbeatRequested()) {
        machines.add(machine);
      }
    }
    machines.forEach(this::sendUnsentTo);
  }

  private Set<MachineId> machinesWithUnsent(Placement.State state) {
    Set<MachineId> machines = new LinkedHashSet<>();
    for (Placement placement : placements.in(state)) {
      if (!placement.isCommandSent()) {
        machines.add(placement.machine());
      }
    }
    return machines;
  }

  private void sendUnsentTo(MachineId machine) {
    AgentSession session = sessions.get(machine);
    if (session == null
        || session.state() != AgentSession.State.FENCED
        || !session.canSendDirect(context.now())) {
      return;
    }
    List<AgentCommand> commands = pendingDirectCommands(session);
    if (!commands.isEmpty()) {
      markSent(commands);
      sendDirect(session, commands);
    }
  }

  private void sendDirect(AgentSession session, List<AgentCommand> commands) {
    LOG.debug("shard {}: {} commands to {}", state.id(), commands.size(), session.machine().id());
    send(
        session,
        HttpRequest.post(
            AgentCodec.COMMANDS_PATH,
            AgentCodec.writeCommands(
                state.lease().token(), session.lastHeartbeat().session(), commands)));
  }

  private void send(AgentSession session, HttpRequest request) {
    session.directSent();
    context
        .http()
        .call(
            session.machine().address(),
            request,
            COMMAND_TIMEOUT,
            outcome -> directEnded(session, outcome));
  }

  private void directEnded(AgentSession session, HttpOutcome outcome) {
    Heartbeat heartbeat = readReport(outcome);
    // Another machine may have the address of a terminated one; its status says nothing about the
    // terminated machine.
    if (heartbeat == null || !heartbeat.machine().id().equals(session.machine().id())) {
      LOG.debug(
          "shard {}: no response from {}, status {}",
          state.id(),
          session.machine().id(),
          outcome.status());
      session.directFailed(context.now().plus(COMMAND_RETRY_DELAY));
      if (outcome.sent()) {
        session.reachability().commandTimedOut();
        state.markDirty(session);
      }
      return;
    }
    session.directAnswered(outcome.status() == REJECTED);
    if (sessions.get(session.machine().id()) == session) {
      responseHandler.accept(session, heartbeat);
    }
  }

  private static Heartbeat readReport(HttpOutcome outcome) {
    if (outcome.status() != EXECUTED && outcome.status() != REJECTED) {
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
        if (session.lastHeartbeat() == null) {
          send(session, HttpRequest.get(AgentCodec.STATUS_PATH));
        } else {
          sendDirect(session, List.of());
        }
      }
    }
  }
}
