package org.quincecross.replicated;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Revision;

/**
 * A line of the trail.
 *
 * @param revision with which it became durable; {@link Revision#NONE} while that is the version of
 *     the record that it stands in
 * @param id of the record
 * @param change which change of that record it belongs to, counted from 1
 * @param atMs the time of day where it was made, in ms since 1970
 * @param by who asked; empty where a controller made the step itself
 */
public record AuditEntry(
    Revision revision, String id, long change, long atMs, String by, AuditEvent entry) {
  private static final int FIELDS = 7;

  /** With the revision, where that is not known yet. */
  AuditEntry stamped(Revision version) {
    return revision.equals(Revision.NONE)
        ? new AuditEntry(version, id, change, atMs, by, entry)
        : this;
  }

  /** A list in place of an object: a page has 4 KiB. */
  List<Object> write() {
    List<Object> out = new ArrayList<>();
    out.add(revision.value());
    out.add(id);
    out.add(change);
    out.add(atMs);
    out.add(by);
    out.add(entry.event());
    out.add(entry.details());
    return out;
  }

  static AuditEntry read(Object value) throws MalformedRecordException {
    if (value instanceof List<?> in
        && in.size() == FIELDS
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
    throw new MalformedRecordException("a line of a trail is none");
  }

  static List<AuditEntry> readAll(List<?> in) throws MalformedRecordException {
    List<AuditEntry> lines = new ArrayList<>();
    for (Object each : in) {
      lines.add(read(each));
    }
    return lines;
  }

  static List<Object> writeAll(List<AuditEntry> lines) {
    List<Object> out = new ArrayList<>();
    lines.forEach(line -> out.add(line.write()));
    return out;
  }

  /** For operators. */
  public Map<String, Object> show() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("revision", revision.value());
    out.put("id", id);
    out.put("change", change);
    out.put("at_ms", atMs);
    out.put("by", by);
    out.put("event", entry.event());
    out.put("details", entry.details());
    return out;
  }
}
