package org.quincecross.reservation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.quincecross.model.Resources;
import org.quincecross.replicated.AuditEvent;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.RecordFields;
import org.quincecross.replicated.RecordKind;
import org.quincecross.replicated.Transition;

/** Requests as records that all controllers follow. */
public final class RequestKind implements RecordKind<Request, RequestCommand> {
  public static final String NAME = "requests";

  /** The most tasks that one request may ask room for. */
  public static final int MOST_TASKS = 1000;

  private static final int MOST_ZONES = 16;
  private static final int MOST_WORD = 60;
  private static final int MOST_WHY = 200;
  private static final double MOST_EACH = 100_000;

  /** Until the year 9999. */
  private static final long MOST_MS = 253_402_300_799_000L;

  private static final Set<String> ARRIVE =
      Set.of(
          "do",
          "kind",
          "arrived_ms",
          "due_ms",
          "lane",
          "team",
          "tasks",
          "cpus",
          "gpus",
          "memory_gb",
          "zones");

  private final Function<String, String> outlook;
  private final long warnMs;

  /**
   * @param outlook why an open request has no room as things are, by its reference; empty where
   *     room is about to be reserved
   * @param warnMs due soon: so long before, in milliseconds
   */
  public RequestKind(Function<String, String> outlook, long warnMs) {
    this.outlook = outlook;
    this.warnMs = warnMs;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public Request initial() {
    return Request.NONE;
  }

  // ---- the one function that changes a request ----

  @Override
  public Transition<Request> step(Request state, RequestCommand command, CommandOrigin at) {
    if (command instanceof RequestCommand.Arrive arrive) {
      return arrive(state, arrive.figures(), at);
    }
    if (state.state() == Request.State.NONE) {
      return new Transition.Refused<>(404, "no such request has arrived");
    }
    if (command instanceof RequestCommand.Answer answer) {
      return answer(state, answer.deliveredMs(), at);
    }
    if (command instanceof RequestCommand.Withdraw withdraw) {
      return switch (state.state()) {
        case WITHDRAWN -> new Transition.Same<>("withdrawn already");
        case ANSWERED ->
            new Transition.Refused<>(
                409, "its answer was delivered already, at " + state.overMs() + " ms");
        default ->
            changed(
                state.over(Request.State.WITHDRAWN, at.timeOfDayMs(), at.clockBoundMs()),
                "withdrawn",
                "why",
                withdraw.why(),
                "gave_back",
                state.reserved());
      };
    }
    if (!state.state().isOpen()) {
      return new Transition.Same<>("it is over"); // what the leader decided before it knew
    }
    if (command instanceof RequestCommand.Place place) {
      int tasks = place.zones().values().stream().mapToInt(Integer::intValue).sum();
      if (tasks != state.need().tasks()
          || !place.zones().keySet().stream().allMatch(state.need()::allows)) {
        return new Transition.Refused<>(409, "that is not the room that it needs");
      }
      return state.state() == Request.State.RESERVED && state.zones().equals(place.zones())
          ? new Transition.Same<>("reserved there already")
          : changed(
              state.reserved(place.zones()), "reserved", "zones", new TreeMap<>(place.zones()));
    }
    String why = ((RequestCommand.Lose) command).why();
    return state.state() == Request.State.ARRIVED
        ? new Transition.Same<>("it has no room")
        : changed(state.withoutRoom(why), "without_room", "why", why, "had", state.zones());
  }

  private static Transition<Request> arrive(Request state, Request figures, CommandOrigin at) {
    if (state.state() != Request.State.NONE) {
      List<String> differences = state.differences(figures);
      return differences.isEmpty()
          ? new Transition.Same<>("known already")
          : new Transition.Refused<>(
              409, "the request is known with other figures: " + String.join("; ", differences));
    }
    if (figures.arrivedMs() > at.latestMs()) {
      return new Transition.Refused<>(
          422, "arrived_ms is in the future: it is " + at.timeOfDayMs() + " ms here");
    }
    Request known =
        new Request(
            "",
            figures.kind(),
            figures.arrivedMs(),
            figures.dueMs(),
            figures.need(),
            at.timeOfDayMs(),
            Request.State.ARRIVED,
            Map.of(),
            "",
            0,
            0);
    return changed(known, "arrived", "kind", figures.kind(), "due_ms", figures.dueMs());
  }

  private static Transition<Request> answer(Request state, long deliveredMs, CommandOrigin at) {
    switch (state.state()) {
      case ANSWERED -> {
        return deliveredMs < 0 || deliveredMs == state.overMs()
            ? new Transition.Same<>("delivered already")
            : new Transition.Refused<>(
                409, "its answer was delivered at " + state.overMs() + " ms, not " + deliveredMs);
      }
      case WITHDRAWN -> {
        return new Transition.Refused<>(409, "it was withdrawn at " + state.overMs() + " ms");
      }
      default -> {
        if (deliveredMs > at.latestMs()) {
          return new Transition.Refused<>(
              422, "delivered_ms is in the future: it is " + at.timeOfDayMs() + " ms here");
        }
        if (deliveredMs >= 0 && deliveredMs < state.arrivedMs()) {
          return new Transition.Refused<>(
              422, "delivered_ms is before the request arrived, at " + state.arrivedMs() + " ms");
        }
        Request next =
            deliveredMs < 0
                ? state.over(Request.State.ANSWERED, at.timeOfDayMs(), at.clockBoundMs())
                : state.over(Request.State.ANSWERED, deliveredMs, 0);
        return changed(next, "answered", "at_ms", next.overMs(), "gave_back", state.reserved());
      }
    }
  }

  private static Transition<Request> changed(Request next, String event, Object... details) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < details.length; i += 2) {
      map.put((String) details[i], details[i + 1]);
    }
    return new Transition.Changed<>(next, List.of(new AuditEvent(event, map)));
  }

  /** What was planned while the room was anybody's would give it away: from here on it fails. */
  @Override
  public boolean startsWithholding(Request before, Request next) {
    return next.state() == Request.State.RESERVED && !next.zones().equals(before.zones());
  }

  // ---- as records, commands and rows ----

  @Override
  public Map<String, Object> write(Request state) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("state", state.state().name().toLowerCase(Locale.ROOT));
    out.put("kind", state.kind());
    out.put("arrived_ms", state.arrivedMs());
    out.put("due_ms", state.dueMs());
    out.put("lane", state.need().lane());
    out.put("team", state.need().team());
    out.put("tasks", state.need().tasks());
    out.put("cpus", state.need().each().cpus());
    out.put("gpus", state.need().each().gpus());
    out.put("memory_gb", state.need().each().memoryGb());
    out.put("zones", state.need().zones().stream().sorted().toList());
    out.put("recorded_ms", state.recordedMs());
    if (!state.zones().isEmpty()) {
      out.put("reserved", state.zones());
    }
    if (!state.without().isEmpty()) {
      out.put("without", state.without());
    }
    if (state.overMs() > 0) {
      out.put("over_ms", state.overMs());
      out.put("over_bound_ms", state.overBoundMs());
    }
    return out;
  }

  @Override
  public Request read(Map<String, Object> value) throws MalformedRecordException {
    RecordFields in = RecordFields.of(value, "a request");
    Map<String, Integer> zones = new TreeMap<>();
    if (in.has("reserved")) {
      RecordFields reserved = in.body("reserved");
      for (String zone : reserved.all().keySet()) {
        zones.put(zone, (int) reserved.integer(zone, 1, MOST_TASKS));
      }
    }
    return new Request(
        "",
        in.text("kind"),
        in.integer("arrived_ms", 0, MOST_MS),
        in.integer("due_ms", 0, MOST_MS),
        need(in),
        in.integer("recorded_ms", 0, MOST_MS),
        in.word("state", Request.State.class),
        zones,
        in.textOr("without", ""),
        in.integerOr("over_ms", 0, MOST_MS, 0),
        in.integerOr("over_bound_ms", 0, MOST_MS, 0));
  }

  private static Need need(RecordFields in) throws MalformedRecordException {
    return new Need(
        in.text("lane"),
        in.text("team"),
        (int) in.integer("tasks", 0, MOST_TASKS),
        new Resources(
            in.amount("cpus", 0, MOST_EACH),
            in.has("gpus") ? in.amount("gpus", 0, MOST_EACH) : 0,
            in.amount("memory_gb", 0, MOST_EACH)),
        Set.copyOf(in.texts("zones")));
  }

  @Override
  public RequestCommand command(Map<String, Object> body) throws MalformedRecordException {
    RecordFields in = RecordFields.of(body, "the command");
    switch (in.text("do")) {
      case "arrive" -> {
        in.only(ARRIVE);
        Need need = need(in);
        if (need.tasks() < 1 || need.each().cpus() <= 0) {
          throw new MalformedRecordException("tasks and cpus of the command are to be above 0");
        }
        if (need.zones().size() > MOST_ZONES) {
          throw new MalformedRecordException(
              "field zones of the command names more than " + MOST_ZONES);
        }
        for (String word : List.of(in.text("kind"), need.lane(), need.team())) {
          if (word.isBlank() || word.length() > MOST_WORD) {
            throw new MalformedRecordException(
                "kind, lane and team of the command are to have 1 to " + MOST_WORD + " characters");
          }
        }
        long arrived = in.integer("arrived_ms", 0, MOST_MS);
        long due = in.integer("due_ms", 0, MOST_MS);
        if (due <= arrived) {
          throw new MalformedRecordException("field due_ms of the command is not after arrived_ms");
        }
        return new RequestCommand.Arrive(
            new Request(
                "",
                in.text("kind"),
                arrived,
                due,
                need,
                0,
                Request.State.ARRIVED,
                Map.of(),
                "",
                0,
                0));
      }
      case "answer" -> {
        in.only(Set.of("do", "delivered_ms"));
        return new RequestCommand.Answer(in.integerOr("delivered_ms", 0, MOST_MS, -1));
      }
      case "withdraw" -> {
        in.only(Set.of("do", "why"));
        String why = in.textOr("why", "");
        if (why.length() > MOST_WHY) {
          throw new MalformedRecordException(
              "field why of the command has more than " + MOST_WHY + " characters");
        }
        return new RequestCommand.Withdraw(why);
      }
      default ->
          throw new MalformedRecordException(
              "field do of the command is not one of [arrive, answer, withdraw]");
    }
  }

  @Override
  public List<Map<String, Object>> rows(String id, Request state, CommandOrigin at) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("reference", id);
    row.put("kind", state.kind());
    row.put("state", state.state().name().toLowerCase(Locale.ROOT));
    row.put(
        "due",
        state.state().isOpen()
            ? state.due(at.timeOfDayMs(), at.clockBoundMs(), warnMs).name().toLowerCase(Locale.ROOT)
            : state.wasLate() ? "late" : "");
    row.put("arrived_ms", state.arrivedMs());
    row.put("due_ms", state.dueMs());
    row.put("over_ms", state.overMs());
    row.put("over_bound_ms", state.overBoundMs());
    row.put("lane", state.need().lane());
    row.put("team", state.need().team());
    row.put("tasks", state.need().tasks());
    row.put("reserved", state.reserved());
    row.put("zones", zones(state));
    row.put("without", state.state() == Request.State.ARRIVED ? outlook.apply(id) : "");
    return List.of(row);
  }

  private static String zones(Request state) {
    List<String> zones = new ArrayList<>();
    if (state.zones().isEmpty()) {
      zones.addAll(new TreeSet<>(state.need().zones()));
    } else {
      state.zones().forEach((zone, tasks) -> zones.add(zone + ":" + tasks));
    }
    return String.join(" ", zones);
  }
}
