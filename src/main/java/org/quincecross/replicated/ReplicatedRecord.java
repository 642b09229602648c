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
    S state, long change, List<AppliedRequest> requests, List<AuditEntry> trail) {
  /** Number of requests that a record remembers; limited because stored values are small. */
  public static final int MAX_REQUESTS = 12;

  /**
   * Minimum time for which a request name is remembered; the clock error of the controllers is
   * added.
   */
  public static final long REQUEST_RETENTION_MS = 120_000;

  /** Upper limit of the length of a request name. */
  public static final int MAX_REQUEST_NAME_LENGTH = 64;

  /**
   * A request that has been applied.
   *
   * @param change how often the state had changed then
   * @param unchangedReason why it changed nothing; empty if it changed the state
   */
  public record AppliedRequest(String name, long change, long atMs, String unchangedReason) {}

  /** The result of applying a command. */
  public sealed interface Result<S> {
    /** The record has to be written; {@code raisesFence}: the fence is incremented with it. */
    record Write<S>(ReplicatedRecord<S> next, AppliedRequest applied, boolean raisesFence)
        implements Result<S> {}

    /** The request was applied before. */
    record AlreadyApplied<S>(AppliedRequest applied) implements Result<S> {}

    /** The command is rejected; {@code status} is an HTTP status. */
    record Refused<S>(int status, String reason) implements Result<S> {}

    /** A controller's own step that changes nothing. */
    record NoChange<S>(String reason) implements Result<S> {}
  }

  public static <S> ReplicatedRecord<S> initial(RecordKind<S, ?> kind) {
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
      for (AppliedRequest previous : requests) {
        if (previous.name().equals(request)) {
          return new Result.AlreadyApplied<>(previous);
        }
      }
      if (requests.size() >= MAX_REQUESTS && !isExpired(requests.get(0), at)) {
        return new Result.Refused<>(
            429,
            "too many requests for one record: the names of the last "
                + MAX_REQUESTS
                + " are to be known for "
                + REQUEST_RETENTION_MS / 1000
                + " s");
      }
    }
    if (onChange >= 0 && onChange != change) {
      return new Result.Refused<>(
          409, "the record has changed: " + change + " changes, not " + onChange);
    }
    Transition<S> step = kind.step(state, command, at);
    if (step instanceof Transition.Refused<S> refused) {
      return new Result.Refused<>(refused.status(), refused.reason());
    }
    if (step instanceof Transition.Changed<S> changed) {
      AppliedRequest applied = new AppliedRequest(request, change + 1, at.timeOfDayMs(), "");
      List<AuditEntry> entries = new ArrayList<>();
      trail.forEach(line -> entries.add(line.withRevision(version)));
      changed
          .trail()
          .forEach(
              entry ->
                  entries.add(
                      new AuditEntry(
                          Revision.NONE, id, change + 1, at.timeOfDayMs(), at.by(), entry)));
      return new Result.Write<>(
          new ReplicatedRecord<>(
              changed.next(), change + 1, requestsWith(applied, at), List.copyOf(entries)),
          applied,
          kind.blocksMoreTasks(state, changed.next()));
    }
    String reason = ((Transition.Unchanged<S>) step).reason();
    if (request == null) {
      return new Result.NoChange<>(reason);
    }
    // The request name is remembered although nothing changes: a delayed copy of the request may
    // find a state that it would change.
    AppliedRequest applied =
        new AppliedRequest(
            request, change, at.timeOfDayMs(), reason.isEmpty() ? "nothing to change" : reason);
    return new Result.Write<>(
        new ReplicatedRecord<>(
            state, change, requestsWith(applied, at), trailWithRevisions(version)),
        applied,
        false);
  }

  private static boolean isExpired(AppliedRequest request, CommandOrigin at) {
    return at.timeOfDayMs() - request.atMs() > REQUEST_RETENTION_MS + 2 * at.clockBoundMs();
  }

  private List<AppliedRequest> requestsWith(AppliedRequest applied, CommandOrigin at) {
    if (applied.name() == null) {
      return requests;
    }
    List<AppliedRequest> all = new ArrayList<>(requests);
    while (!all.isEmpty() && (all.size() >= MAX_REQUESTS || isExpired(all.get(0), at))) {
      all.remove(0);
    }
    all.add(applied);
    return List.copyOf(all);
  }

  private List<AuditEntry> trailWithRevisions(Revision version) {
    return trail.stream().map(line -> line.withRevision(version)).toList();
  }

  /**
   * Returns the audit entries in this record, with the revision of the latest set to the record's
   * own.
   */
  public List<AuditEntry> auditEntries(Revision version) {
    return trailWithRevisions(version);
  }

  /** Returns the record without its first {@code count} audit entries, which are on a page now. */
  public ReplicatedRecord<S> withoutEntries(int count, Revision version) {
    List<AuditEntry> all = trailWithRevisions(version);
    return new ReplicatedRecord<>(
        state, change, requests, all.subList(Math.min(count, all.size()), all.size()));
  }

  /** Writes the record. */
  public Map<String, Object> write(RecordKind<S, ?> kind) {
    Map<String, Object> out = new LinkedHashMap<>();
    if (kind.canBlockTasks()) {
      out.put("must", true); // a build that does not know the kind must not ignore the record
    }
    out.put("change", change);
    out.put("state", kind.write(state));
    List<Object> names = new ArrayList<>();
    for (AppliedRequest request : requests) {
      names.add(
          List.of(request.name(), request.change(), request.atMs(), request.unchangedReason()));
    }
    out.put("requests", names);
    out.put("trail", AuditEntry.writeAll(trail));
    return out;
  }

  public static <S> ReplicatedRecord<S> read(RecordKind<S, ?> kind, Object value)
      throws MalformedRecordException {
    RecordFields in = RecordFields.of(value, "a record of " + kind.name());
    List<AppliedRequest> requests = new ArrayList<>();
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
      requests.add(new AppliedRequest(name, change.longValue(), atMs.longValue(), same));
    }
    return new ReplicatedRecord<>(
        kind.read(in.object("state").all()),
        in.integer("change", 0, Long.MAX_VALUE),
        List.copyOf(requests),
        List.copyOf(AuditEntry.readAll(in.list("trail"))));
  }
}
