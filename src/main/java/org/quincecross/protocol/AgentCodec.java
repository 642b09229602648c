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
import org.quincecross.protocol.Heartbeat.Cause;
import org.quincecross.protocol.Heartbeat.Piece;
import org.quincecross.protocol.Heartbeat.TaskState;

/** What workers report and what they are told. */
public final class AgentCodec {
  public static final String BEAT = "/agent/beat";
  public static final String ORDERS = "/orders";
  public static final String STATUS = "/status";

  private static final Map<String, TaskState> STATES =
      Map.of(
          "pulling",
          TaskState.FETCHING,
          "gathering",
          TaskState.WAITING,
          "running",
          TaskState.RUNNING,
          "saving",
          TaskState.SAVING,
          "exited",
          TaskState.EXITED);
  private static final Map<String, Cause> CAUSES =
      Map.of(
          "done",
          Cause.DONE,
          "stopped",
          Cause.STOPPED,
          "peers",
          Cause.PEERS,
          "alone",
          Cause.ALONE,
          "error",
          Cause.ERROR,
          "full",
          Cause.FULL,
          "in_use",
          Cause.IN_USE,
          "no_such",
          Cause.NO_SUCH);

  private AgentCodec() {}

  public static Heartbeat readReport(JsonFields in) throws MalformedMessageException {
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
    List<Piece> pieces = new ArrayList<>();
    for (Object item : in.listOrEmpty("Pieces")) {
      JsonFields piece = JsonFields.of(item, "an item of Pieces");
      TaskId task = TaskId.parse(piece.string("Piece"));
      if (task == null) {
        throw new MalformedMessageException("field Piece is not a task id");
      }
      TaskState state = piece.enumValue("Status", STATES);
      // An exit for a reason not known here is an exit all the same.
      Cause cause =
          state == TaskState.EXITED
              ? CAUSES.getOrDefault(piece.stringOr("Cause", ""), Cause.STOPPED)
              : null;
      pieces.add(
          new Piece(
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

  private static List<Object> orders(List<AgentCommand> orders) {
    List<Object> list = new ArrayList<>();
    for (AgentCommand order : orders) {
      Map<String, Object> out =
          Json.object(
              "Verb",
              switch (order.verb()) {
                case START -> "start";
                case STOP -> "halt";
                case FORGET -> "clear";
              },
              "Piece",
              order.task().toString(),
              "Try",
              Json.unsigned(order.attempt().number()));
      if (order.verb() == AgentCommand.Verb.STOP) {
        out.put("WindDownS", order.grace().seconds());
      }
      list.add(out);
    }
    return list;
  }

  /** The answer to a report. */
  public static byte[] writeAnswer(FencingToken token, List<AgentCommand> orders) {
    return Json.write(
        Json.object("Baton", Json.unsigned(token.number()), "Orders", orders(orders)));
  }

  /** The body of a direct command. */
  public static byte[] writeDirect(FencingToken token, long session, List<AgentCommand> orders) {
    return Json.write(
        Json.object(
            "Baton",
            Json.unsigned(token.number()),
            "Shift",
            Json.unsigned(session),
            "Orders",
            orders(orders)));
  }

  /** Tells a worker which controller to report to. */
  public static byte[] writeRedirect(ControllerId member) {
    return Json.write(Json.object("AnswerTo", member.text()));
  }
}
