package org.quincecross.replicated;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Revision;

/**
 * An entry of a record's audit trail.
 *
 * @param revision the revision at which it became durable; {@link Revision#NONE} while that is the
 *     version of the record that contains it
 * @param id of the record
 * @param change the change of that record that it belongs to, counted from 1
 * @param atMs time of day of the controller that applied the change, in ms since 1970
 * @param by who requested it; empty for a controller's own step
 */
public record AuditEntry(
    Revision revision, String id, long change, long atMs, String by, AuditEvent event) {
  private static final int FIELD_COUNT = 7;

  /** Returns the entry with its revision, if that was not set yet. */
  AuditEntry withRevision(Revision version) {
    return revision.equals(Revision.NONE)
        ? new AuditEntry(version, id, change, atMs, by, event)
        : this;
  }

  /** Writes a list rather than an object, because a page is limited to 4 KiB. */
  List<Object> write() {
    List<Object> out = new ArrayList<>();
    out.add(revision.value());
    out.add(id);
    out.add(change);
    out.add(atMs);
    out.add(by);
    out.add(event.event());
    out.add(event.details());
    return out;
  }

  static AuditEntry read(Object value) throws MalformedRecordException {
    if (value instanceof List<?> in
        && in.size() == FIELD_COUNT
        && in.get(0) instanceof Number revision
        && in.get(1) instanceof String id
        && in.get(2) instanceof Number change
        && in.get(3) instanceof Number atMs
        && in.get(4) instanceof String by
        && in.get(5) instanceof String event
        && in.get(6) instanceof Map<?, ?> raw) {
      Map<String, Object> details = new LinkedHashMap<>();
      raw.forEach((name, detail) -> details.put(String.valueOf(name), detail));
      return new AuditEntry(
          new Revision(revision.longValue()),
          id,
          change.longValue(),
          atMs.longValue(),
          by,
          new AuditEvent(event, details));
    }
    throw new MalformedRecordException(
        "an audit entry is not a list of revision, id, change, time, author, event and details");
  }

  static List<AuditEntry> readAll(List<?> in) throws MalformedRecordException {
    List<AuditEntry> lines = new ArrayList<>();
    for (Object entry : in) {
      lines.add(read(entry));
    }
    return lines;
  }

  static List<Object> writeAll(List<AuditEntry> lines) {
    List<Object> out = new ArrayList<>();
    lines.forEach(line -> out.add(line.write()));
    return out;
  }

  /** Returns the entry as operators see it. */
  public Map<String, Object> toMap() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("revision", revision.value());
    out.put("id", id);
    out.put("change", change);
    out.put("at_ms", atMs);
    out.put("by", by);
    out.put("event", event.event());
    out.put("details", event.details());
    return out;
  }
}
