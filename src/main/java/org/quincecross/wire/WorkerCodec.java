package org.quincecross.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Attempt;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.ControllerId;
import org.quincecross.model.TimeSpan;
import org.quincecross.model.TaskId;
import org.quincecross.model.FencingToken;
import org.quincecross.wire.WorkerReport.Cause;
import org.quincecross.wire.WorkerReport.Piece;
import org.quincecross.wire.WorkerReport.TaskState;

/** What workers report and what they are told. */
public final class WorkerCodec {
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

  private WorkerCodec() {}

  public static WorkerReport readReport(Fields in) throws BadMessage {
    Endpoint address = Endpoint.parse(in.text("Addr"));
    if (address == null) {
      throw new BadMessage("field Addr is not an address");
    }
    Machine machine =
        new Machine(
            new MachineId(in.text("Host")),
            address,
            in.text("Hull"),
            in.text("Yard"),
            in.flagOr("Loaners", false));
    List<Piece> pieces = new ArrayList<>();
    for (Object item : in.listOrEmpty("Pieces")) {
      Fields piece = Fields.of(item, "an item of Pieces");
      TaskId task = TaskId.parse(piece.text("Piece"));
      if (task == null) {
        throw new BadMessage("field Piece is not a task id");
      }
      TaskState state = piece.word("Status", STATES);
      // An exit for a reason not known here is an exit all the same.
      Cause cause =
          state == TaskState.EXITED
              ? CAUSES.getOrDefault(piece.textOr("Cause", ""), Cause.STOPPED)
              : null;
      pieces.add(
          new Piece(
              task,
              new Attempt(piece.unsigned("Try")),
              state,
              cause,
              piece.flagOr("Stored", false)));
    }
    return new WorkerReport(
        machine,
        in.unsigned("Shift"),
        in.unsigned("Tick"),
        new FencingToken(in.unsigned("Baton")),
        in.has("RecallS") ? TimeSpan.ofSeconds(in.amount("RecallS")) : null,
        pieces);
  }

  private static List<Object> orders(List<Order> orders) {
    List<Object> list = new ArrayList<>();
    for (Order order : orders) {
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
      if (order.verb() == Order.Verb.STOP) {
        out.put("WindDownS", order.grace().seconds());
      }
      list.add(out);
    }
    return list;
  }

  /** The answer to a report. */
  public static byte[] writeAnswer(FencingToken token, List<Order> orders) {
    return Json.write(
        Json.object("Baton", Json.unsigned(token.number()), "Orders", orders(orders)));
  }

  /** The body of a direct command. */
  public static byte[] writeDirect(FencingToken token, long session, List<Order> orders) {
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
