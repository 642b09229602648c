package org.quincecross.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Attempt;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Heartbeat.ExitReason;
import org.quincecross.protocol.Heartbeat.TaskState;
import org.quincecross.protocol.Heartbeat.TaskStatus;

/** The messages between agents and controllers. */
public final class AgentCodec {
  public static final String HEARTBEAT_PATH = "/agent/beat";
  public static final String COMMANDS_PATH = "/orders";
  public static final String STATUS_PATH = "/status";

  private static final Map<String, TaskState> STATES =
      Map.of(
          "pulling",
          TaskState.PULLING_IMAGE,
          "gathering",
          TaskState.WAITING_FOR_GANG,
          "running",
          TaskState.RUNNING,
          "saving",
          TaskState.CHECKPOINTING,
          "exited",
          TaskState.EXITED);
  private static final Map<String, ExitReason> CAUSES =
      Map.of(
          "done",
          ExitReason.DONE,
          "stopped",
          ExitReason.STOPPED,
          "peers",
          ExitReason.GANG_MEMBER_LOST,
          "alone",
          ExitReason.GANG_INCOMPLETE,
          "error",
          ExitReason.ERROR,
          "full",
          ExitReason.INSUFFICIENT_RESOURCES,
          "in_use",
          ExitReason.TASK_ALREADY_PRESENT,
          "no_such",
          ExitReason.UNKNOWN_TASK);

  private AgentCodec() {}

  /** Reads a heartbeat. */
  public static Heartbeat readHeartbeat(JsonFields in) throws MalformedMessageException {
    Endpoint address = Endpoint.parse(in.string("Addr"));
    if (address == null) {
      throw new MalformedMessageException("field Addr is not an address");
    }
    Machine machine =
        new Machine(
            new MachineId(in.string("Host")),
            address,
            in.string("Hull"),
            in.string("Yard"),
            in.boolOr("Loaners", false));
    List<TaskStatus> pieces = new ArrayList<>();
    for (Object item : in.listOrEmpty("Pieces")) {
      JsonFields piece = JsonFields.of(item, "an item of Pieces");
      TaskId task = TaskId.parse(piece.string("Piece"));
      if (task == null) {
        throw new MalformedMessageException("field Piece is not a task id");
      }
      TaskState state = piece.enumValue("Status", STATES);
      // Exit reasons that this build does not know are treated as a stop.
      ExitReason cause =
          state == TaskState.EXITED
              ? CAUSES.getOrDefault(piece.stringOr("Cause", ""), ExitReason.STOPPED)
              : null;
      pieces.add(
          new TaskStatus(
              task,
              new Attempt(piece.unsigned("Try")),
              state,
              cause,
              piece.boolOr("Stored", false)));
    }
    return new Heartbeat(
        machine,
        in.unsigned("Shift"),
        in.unsigned("Tick"),
        new FencingToken(in.unsigned("Baton")),
        in.has("RecallS") ? TimeSpan.ofSeconds(in.nonNegativeNumber("RecallS")) : null,
        pieces);
  }

  /** The protocol's word for an exit reason. */
  public static String exitReasonName(ExitReason reason) {
    for (Map.Entry<String, ExitReason> word : CAUSES.entrySet()) {
      if (word.getValue() == reason) {
        return word.getKey();
      }
    }
    throw new IllegalArgumentException("no word for exit reason " + reason);
  }

  private static List<Object> commands(List<AgentCommand> commands) {
    List<Object> list = new ArrayList<>();
    for (AgentCommand command : commands) {
      Map<String, Object> out =
          Json.object(
              "Verb",
              switch (command.verb()) {
                case START -> "start";
                case STOP -> "halt";
                case FORGET -> "clear";
              },
              "Piece",
              command.task().toString(),
              "Try",
              Json.unsigned(command.attempt().value()));
      if (command.verb() == AgentCommand.Verb.STOP) {
        out.put("WindDownS", command.gracePeriod().seconds());
      }
      list.add(out);
    }
    return list;
  }

  /** Writes the response to a heartbeat. */
  public static byte[] writeResponse(FencingToken token, List<AgentCommand> commands) {
    return Json.write(
        Json.object("Baton", Json.unsigned(token.value()), "Orders", commands(commands)));
  }

  /** Writes the body of a command that is sent directly to an agent. */
  public static byte[] writeCommands(
      FencingToken token, long session, List<AgentCommand> commands) {
    return Json.write(
        Json.object(
            "Baton",
            Json.unsigned(token.value()),
            "Shift",
            Json.unsigned(session),
            "Orders",
            commands(commands)));
  }

  /** Writes the response that tells an agent which controller to report to. */
  public static byte[] writeRedirect(ControllerId member) {
    return Json.write(Json.object("AnswerTo", member.text()));
  }
}
