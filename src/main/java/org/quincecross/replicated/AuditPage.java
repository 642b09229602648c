package org.quincecross.replicated;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Revision;

/**
 * A page of audit entries that are no longer part of any record. Pages are numbered from 1. The
 * leader appends entries to the last page until it is full; entries are never changed or removed.
 */
public record AuditPage(List<AuditEntry> lines) {
  public static final AuditPage EMPTY = new AuditPage(List.of());

  public AuditPage with(List<AuditEntry> more) {
    List<AuditEntry> all = new ArrayList<>(lines);
    all.addAll(more);
    return new AuditPage(List.copyOf(all));
  }

  /** Returns the latest revision of its entries. */
  public Revision latest() {
    Revision latest = Revision.NONE;
    for (AuditEntry line : lines) {
      latest = line.revision().isAfter(latest) ? line.revision() : latest;
    }
    return latest;
  }

  public Map<String, Object> write() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("lines", AuditEntry.writeAll(lines));
    return out;
  }

  public static AuditPage read(Object value) throws MalformedRecordException {
    return new AuditPage(
        List.copyOf(AuditEntry.readAll(RecordFields.of(value, "a page of a trail").list("lines"))));
  }
}
