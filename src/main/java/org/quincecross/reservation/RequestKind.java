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

/** The replicated record kind of deadline requests. */
public final class RequestKind implements RecordKind<DeadlineRequest, RequestCommand> {
  public static final String NAME = "requests";

  /** Upper limit of tasks per request. */
  public static final int MAX_TASKS = 1000;

  private static final int MAX_ZONES = 16;
  private static final int MAX_NAME_LENGTH = 60;
  private static final int MAX_REASON_LENGTH = 200;
  private static final double MAX_RESOURCE_AMOUNT = 100_000;

  /** The end of year 9999. */
  private static final long MAX_TIME_MS = 253_402_300_799_000L;

  private static final Set<String> ARRIVE_FIELDS =
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

  private final Function<String, String> unreservedReason;
  private final long warnMs;

  /**
   * @param unreservedReason returns why an open request has no reservation now, by its reference;
   *     empty if one is about to be made
   * @param warnMs a request is due soon this long before its due time, in milliseconds
   */
  public RequestKind(Function<String, String> unreservedReason, long warnMs) {
    this.unreservedReason = unreservedReason;
    this.warnMs = warnMs;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public DeadlineRequest initial() {
    return DeadlineRequest.NONE;
  }

  // ---- transitions ----

  @Override
  public Transition<DeadlineRequest> step(
      DeadlineRequest state, RequestCommand command, CommandOrigin at) {
    if (command instanceof RequestCommand.Arrive arrive) {
      return arrive(state, arrive.request(), at);
    }
    if (state.state() == DeadlineRequest.State.NONE) {
      return new Transition.Refused<>(404, "no such request has arrived");
    }
    if (command instanceof RequestCommand.Answer answer) {
      return answer(state, answer.deliveredMs(), at);
    }
    if (command instanceof RequestCommand.Withdraw withdraw) {
      return switch (state.state()) {
        case WITHDRAWN -> new Transition.Unchanged<>("withdrawn already");
        case ANSWERED ->
            new Transition.Refused<>(
                409, "its answer was delivered already, at " + state.closedMs() + " ms");
        default ->
            changed(
                state.close(DeadlineRequest.State.WITHDRAWN, at.timeOfDayMs(), at.clockBoundMs()),
                "withdrawn",
                "why",
                withdraw.reason(),
                "gave_back",
                state.reservedTasks());
      };
    }
    if (!state.state().isOpen()) {
      return new Transition.Unchanged<>(
          "it is over"); // the leader's decision was based on an older state
    }
    if (command instanceof RequestCommand.Reserve reserve) {
      int tasks = reserve.zones().values().stream().mapToInt(Integer::intValue).sum();
      if (tasks != state.need().tasks()
          || !reserve.zones().keySet().stream().allMatch(state.need()::allows)) {
        return new Transition.Refused<>(409, "that is not the room that it needs");
      }
      return state.state() == DeadlineRequest.State.RESERVED
              && state.zones().equals(reserve.zones())
          ? new Transition.Unchanged<>("reserved there already")
          : changed(
              state.reservedTasks(reserve.zones()),
              "reserved",
              "zones",
              new TreeMap<>(reserve.zones()));
    }
    String reason = ((RequestCommand.LoseReservation) command).reason();
    return state.state() == DeadlineRequest.State.ARRIVED
        ? new Transition.Unchanged<>("it has no room")
        : changed(
            state.withLostReservation(reason), "without_room", "why", reason, "had", state.zones());
  }

  private static Transition<DeadlineRequest> arrive(
      DeadlineRequest state, DeadlineRequest arrived, CommandOrigin at) {
    if (state.state() != DeadlineRequest.State.NONE) {
      List<String> differences = state.differences(arrived);
      return differences.isEmpty()
          ? new Transition.Unchanged<>("known already")
          : new Transition.Refused<>(
              409, "the request is known with other figures: " + String.join("; ", differences));
    }
    if (arrived.arrivedMs() > at.latestMs()) {
      return new Transition.Refused<>(
          422, "arrived_ms is in the future: it is " + at.timeOfDayMs() + " ms here");
    }
    DeadlineRequest known =
        new DeadlineRequest(
            "",
            arrived.kind(),
            arrived.arrivedMs(),
            arrived.dueMs(),
            arrived.need(),
            at.timeOfDayMs(),
            DeadlineRequest.State.ARRIVED,
            Map.of(),
            "",
            0,
            0);
    return changed(known, "arrived", "kind", arrived.kind(), "due_ms", arrived.dueMs());
  }

  private static Transition<DeadlineRequest> answer(
      DeadlineRequest state, long deliveredMs, CommandOrigin at) {
    switch (state.state()) {
      case ANSWERED -> {
        return deliveredMs < 0 || deliveredMs == state.closedMs()
            ? new Transition.Unchanged<>("delivered already")
            : new Transition.Refused<>(
                409, "its answer was delivered at " + state.closedMs() + " ms, not " + deliveredMs);
      }
      case WITHDRAWN -> {
        return new Transition.Refused<>(409, "it was withdrawn at " + state.closedMs() + " ms");
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
        DeadlineRequest next =
            deliveredMs < 0
                ? state.close(DeadlineRequest.State.ANSWERED, at.timeOfDayMs(), at.clockBoundMs())
                : state.close(DeadlineRequest.State.ANSWERED, deliveredMs, 0);
        return changed(
            next, "answered", "at_ms", next.closedMs(), "gave_back", state.reservedTasks());
      }
    }
  }

  private static Transition<DeadlineRequest> changed(
      DeadlineRequest next, String event, Object... details) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < details.length; i += 2) {
      map.put((String) details[i], details[i + 1]);
    }
    return new Transition.Changed<>(next, List.of(new AuditEvent(event, map)));
  }

  /**
   * Allocations planned before the reservation would give the capacity away; from here on they
   * fail.
   */
  @Override
  public boolean blocksMoreTasks(DeadlineRequest before, DeadlineRequest next) {
    return next.state() == DeadlineRequest.State.RESERVED && !next.zones().equals(before.zones());
  }

  // ---- formats ----

  @Override
  public Map<String, Object> write(DeadlineRequest state) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("state", state.state().name().toLowerCase(Locale.ROOT));
    out.put("kind", state.kind());
    out.put("arrived_ms", state.arrivedMs());
    out.put("due_ms", state.dueMs());
    out.put("lane", state.need().jobClass());
    out.put("team", state.need().team());
    out.put("tasks", state.need().tasks());
    out.put("cpus", state.need().resourcesPerTask().cpus());
    out.put("gpus", state.need().resourcesPerTask().gpus());
    out.put("memory_gb", state.need().resourcesPerTask().memoryGb());
    out.put("zones", state.need().zones().stream().sorted().toList());
    out.put("recorded_ms", state.recordedMs());
    if (!state.zones().isEmpty()) {
      out.put("reserved", state.zones());
    }
    if (!state.lostReason().isEmpty()) {
      out.put("without", state.lostReason());
    }
    if (state.closedMs() > 0) {
      out.put("over_ms", state.closedMs());
      out.put("over_bound_ms", state.closedClockBoundMs());
    }
    return out;
  }

  @Override
  public DeadlineRequest read(Map<String, Object> value) throws MalformedRecordException {
    RecordFields in = RecordFields.of(value, "a request");
    Map<String, Integer> zones = new TreeMap<>();
    if (in.has("reserved")) {
      RecordFields reserved = in.object("reserved");
      for (String zone : reserved.all().keySet()) {
        zones.put(zone, (int) reserved.integer(zone, 1, MAX_TASKS));
      }
    }
    return new DeadlineRequest(
        "",
        in.text("kind"),
        in.integer("arrived_ms", 0, MAX_TIME_MS),
        in.integer("due_ms", 0, MAX_TIME_MS),
        need(in),
        in.integer("recorded_ms", 0, MAX_TIME_MS),
        in.enumConstant("state", DeadlineRequest.State.class),
        zones,
        in.textOr("without", ""),
        in.integerOr("over_ms", 0, MAX_TIME_MS, 0),
        in.integerOr("over_bound_ms", 0, MAX_TIME_MS, 0));
  }

  private static CapacityNeed need(RecordFields in) throws MalformedRecordException {
    return new CapacityNeed(
        in.text("lane"),
        in.text("team"),
        (int) in.integer("tasks", 0, MAX_TASKS),
        new Resources(
            in.amount("cpus", 0, MAX_RESOURCE_AMOUNT),
            in.has("gpus") ? in.amount("gpus", 0, MAX_RESOURCE_AMOUNT) : 0,
            in.amount("memory_gb", 0, MAX_RESOURCE_AMOUNT)),
        Set.copyOf(in.texts("zones")));
  }

  @Override
  public RequestCommand command(Map<String, Object> body) throws MalformedRecordException {
    RecordFields in = RecordFields.of(body, "the command");
    switch (in.text("do")) {
      case "arrive" -> {
        in.allowOnly(ARRIVE_FIELDS);
        CapacityNeed need = need(in);
        if (need.tasks() < 1 || need.resourcesPerTask().cpus() <= 0) {
          throw new MalformedRecordException("tasks and cpus of the command are to be above 0");
        }
        if (need.zones().size() > MAX_ZONES) {
          throw new MalformedRecordException(
              "field zones of the command names more than " + MAX_ZONES);
        }
        for (String name : List.of(in.text("kind"), need.jobClass(), need.team())) {
          if (name.isBlank() || name.length() > MAX_NAME_LENGTH) {
            throw new MalformedRecordException(
                "kind, lane and team of the command are to have 1 to "
                    + MAX_NAME_LENGTH
                    + " characters");
          }
        }
        long arrived = in.integer("arrived_ms", 0, MAX_TIME_MS);
        long due = in.integer("due_ms", 0, MAX_TIME_MS);
        if (due <= arrived) {
          throw new MalformedRecordException("field due_ms of the command is not after arrived_ms");
        }
        return new RequestCommand.Arrive(
            new DeadlineRequest(
                "",
                in.text("kind"),
                arrived,
                due,
                need,
                0,
                DeadlineRequest.State.ARRIVED,
                Map.of(),
                "",
                0,
                0));
      }
      case "answer" -> {
        in.allowOnly(Set.of("do", "delivered_ms"));
        return new RequestCommand.Answer(in.integerOr("delivered_ms", 0, MAX_TIME_MS, -1));
      }
      case "withdraw" -> {
        in.allowOnly(Set.of("do", "why"));
        String reason = in.textOr("why", "");
        if (reason.length() > MAX_REASON_LENGTH) {
          throw new MalformedRecordException(
              "field why of the command has more than " + MAX_REASON_LENGTH + " characters");
        }
        return new RequestCommand.Withdraw(reason);
      }
      default ->
          throw new MalformedRecordException(
              "field do of the command is not one of [arrive, answer, withdraw]");
    }
  }

  @Override
  public List<Map<String, Object>> rows(String id, DeadlineRequest state, CommandOrigin at) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("reference", id);
    row.put("kind", state.kind());
    row.put("state", state.state().name().toLowerCase(Locale.ROOT));
    row.put(
        "due",
        state.state().isOpen()
            ? state
                .dueStatus(at.timeOfDayMs(), at.clockBoundMs(), warnMs)
                .name()
                .toLowerCase(Locale.ROOT)
            : state.wasLate() ? "late" : "");
    row.put("arrived_ms", state.arrivedMs());
    row.put("due_ms", state.dueMs());
    row.put("over_ms", state.closedMs());
    row.put("over_bound_ms", state.closedClockBoundMs());
    row.put("lane", state.need().jobClass());
    row.put("team", state.need().team());
    row.put("tasks", state.need().tasks());
    row.put("reserved", state.reservedTasks());
    row.put("zones", zones(state));
    row.put(
        "without",
        state.state() == DeadlineRequest.State.ARRIVED ? unreservedReason.apply(id) : "");
    return List.of(row);
  }

  private static String zones(DeadlineRequest state) {
    List<String> zones = new ArrayList<>();
    if (state.zones().isEmpty()) {
      zones.addAll(new TreeSet<>(state.need().zones()));
    } else {
      state.zones().forEach((zone, tasks) -> zones.add(zone + ":" + tasks));
    }
    return String.join(" ", zones);
  }
}
