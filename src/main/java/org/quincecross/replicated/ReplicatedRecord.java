package org.quincecross.replicated;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Revision;

/**
 * A stored record: the state of its kind, and what makes every request take effect once.
 *
 * @param change how often the state has changed
 * @param requests the latest requests, oldest first
 * @param trail audit entries that are on no page yet, oldest first
 */
public record ReplicatedRecord<S>(
    S state, long change, List<Request> requests, List<AuditEntry> trail) {
  /** Number of requests that a record remembers; limited because stored values are small. */
  public static final int MOST_REQUESTS = 12;

  /**
   * Minimum time for which a request name is remembered; the clock error of the controllers is
   * added.
   */
  public static final long REQUESTS_KNOWN_MS = 120_000;

  /** Upper limit of the length of a request name. */
  public static final int LONGEST_NAME = 64;

  /**
   * A request that has been applied.
   *
   * @param change how often the state had changed then
   * @param unchangedReason why it changed nothing; empty if it changed the state
   */
  public record Request(String name, long change, long atMs, String same) {}

  /** The result of applying a command. */
  public sealed interface Result<S> {
    /** The record has to be written; {@code raisesFence}: the fence is incremented with it. */
    record Write<S>(ReplicatedRecord<S> next, Request made, boolean withholds)
        implements Result<S> {}

    /** The request was applied before. */
    record Known<S>(Request made) implements Result<S> {}

    /** The command is rejected; {@code status} is an HTTP status. */
    record Refused<S>(int status, String why) implements Result<S> {}

    /** A controller's own step that changes nothing. */
    record Nothing<S>(String why) implements Result<S> {}
  }

  public static <S> ReplicatedRecord<S> none(RecordKind<S, ?> kind) {
    return new ReplicatedRecord<>(kind.initial(), 0, List.of(), List.of());
  }

  /**
   * Applies a command.
   *
   * @param version of the stored record, none if it does not exist
   * @param request the caller's name of the request; null for a controller's own step, which is
   *     repeated only if its state requires it
   * @param onChange the change that the caller expects to be the last; -1 for any
   */
  public <C> Result<S> apply(
      RecordKind<S, C> kind,
      String id,
      Revision version,
      String request,
      long onChange,
      C command,
      CommandOrigin at) {
    if (request != null) {
      for (Request before : requests) {
        if (before.name().equals(request)) {
          return new Result.Known<>(before);
        }
      }
      if (requests.size() >= MOST_REQUESTS && !isOld(requests.get(0), at)) {
        return new Result.Refused<>(
            429,
            "too many requests for one record: the names of the last "
                + MOST_REQUESTS
                + " are to be known for "
                + REQUESTS_KNOWN_MS / 1000
                + " s");
      }
    }
    if (onChange >= 0 && onChange != change) {
      return new Result.Refused<>(
          409, "the record has changed: " + change + " changes, not " + onChange);
    }
    Transition<S> step = kind.step(state, command, at);
    if (step instanceof Transition.Refused<S> refused) {
      return new Result.Refused<>(refused.status(), refused.why());
    }
    if (step instanceof Transition.Changed<S> changed) {
      Request made = new Request(request, change + 1, at.timeOfDayMs(), "");
      List<AuditEntry> lines = new ArrayList<>();
      trail.forEach(line -> lines.add(line.stamped(version)));
      changed
          .trail()
          .forEach(
              entry ->
                  lines.add(
                      new AuditEntry(
                          Revision.NONE, id, change + 1, at.timeOfDayMs(), at.by(), entry)));
      return new Result.Write<>(
          new ReplicatedRecord<>(changed.next(), change + 1, with(made, at), List.copyOf(lines)),
          made,
          kind.startsWithholding(state, changed.next()));
    }
    String why = ((Transition.Same<S>) step).why();
    if (request == null) {
      return new Result.Nothing<>(why);
    }
    // The request name is remembered although nothing changes: a delayed copy of the request may
    // find a state that it would change.
    Request made =
        new Request(request, change, at.timeOfDayMs(), why.isEmpty() ? "nothing to change" : why);
    return new Result.Write<>(
        new ReplicatedRecord<>(state, change, with(made, at), stamped(version)), made, false);
  }

  private static boolean isOld(Request request, CommandOrigin at) {
    return at.timeOfDayMs() - request.atMs() > REQUESTS_KNOWN_MS + 2 * at.clockBoundMs();
  }

  private List<Request> with(Request made, CommandOrigin at) {
    if (made.name() == null) {
      return requests;
    }
    List<Request> all = new ArrayList<>(requests);
    while (!all.isEmpty() && (all.size() >= MOST_REQUESTS || isOld(all.get(0), at))) {
      all.remove(0);
    }
    all.add(made);
    return List.copyOf(all);
  }

  private List<AuditEntry> stamped(Revision version) {
    return trail.stream().map(line -> line.stamped(version)).toList();
  }

  /**
   * Returns the audit entries in this record, with the revision of the latest set to the record's
   * own.
   */
  public List<AuditEntry> lines(Revision version) {
    return stamped(version);
  }

  /** Returns the record without its first {@code lines} audit entries, which are on a page now. */
  public ReplicatedRecord<S> without(int lines, Revision version) {
    List<AuditEntry> all = stamped(version);
    return new ReplicatedRecord<>(
        state, change, requests, all.subList(Math.min(lines, all.size()), all.size()));
  }

  /** Writes the record. */
  public Map<String, Object> write(RecordKind<S, ?> kind) {
    Map<String, Object> out = new LinkedHashMap<>();
    if (kind.restrains()) {
      out.put("must", true); // a build that does not know the kind must not ignore the record
    }
    out.put("change", change);
    out.put("state", kind.write(state));
    List<Object> names = new ArrayList<>();
    for (Request request : requests) {
      names.add(List.of(request.name(), request.change(), request.atMs(), request.same()));
    }
    out.put("requests", names);
    out.put("trail", AuditEntry.writeAll(trail));
    return out;
  }

  public static <S> ReplicatedRecord<S> read(RecordKind<S, ?> kind, Object value)
      throws MalformedRecordException {
    RecordFields in = RecordFields.of(value, "a record of " + kind.name());
    List<Request> requests = new ArrayList<>();
    for (Object each : in.list("requests")) {
      if (!(each instanceof List<?> fields
          && fields.size() == 4
          && fields.get(0) instanceof String name
          && fields.get(1) instanceof Number change
          && fields.get(2) instanceof Number atMs
          && fields.get(3) instanceof String same)) {
        throw new MalformedRecordException(
            "a request of a record of "
                + kind.name()
                + " is not a list of name, change, time and reason");
      }
      requests.add(new Request(name, change.longValue(), atMs.longValue(), same));
    }
    return new ReplicatedRecord<>(
        kind.read(in.body("state").all()),
        in.integer("change", 0, Long.MAX_VALUE),
        List.copyOf(requests),
        List.copyOf(AuditEntry.readAll(in.list("trail"))));
  }
}
