package org.quincecross.agreed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Revision;

/**
 * A page of a trail: lines that no record has any more. Pages are numbered from 1; lines are added
 * to the last one alone, by the leader, until it is full, and never changed or removed.
 */
public record TrailPage(List<TrailLine> lines) {
  public static final TrailPage EMPTY = new TrailPage(List.of());

  public TrailPage with(List<TrailLine> more) {
    List<TrailLine> all = new ArrayList<>(lines);
    all.addAll(more);
    return new TrailPage(List.copyOf(all));
  }

  /** The latest revision of its lines. */
  public Revision latest() {
    Revision latest = Revision.NONE;
    for (TrailLine line : lines) {
      latest = line.revision().isAfter(latest) ? line.revision() : latest;
    }
    return latest;
  }

  public Map<String, Object> write() {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("lines", TrailLine.writeAll(lines));
    return out;
  }

  public static TrailPage read(Object value) throws Unreadable {
    return new TrailPage(
        List.copyOf(TrailLine.readAll(Body.of(value, "a page of a trail").list("lines"))));
  }
}
