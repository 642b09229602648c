package org.quincecross.cli;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quincecross.protocol.Json;

/**
 * Summarises the audit trail of legal holds by day (UTC): which holds were or will be in effect, on
 * which records, and which tasks each blocked.
 */
final class HoldCalendar {
  /** One opening of a hold. */
  private static final class Opening {
    private final String reference;
    private final long number;
    private String records = "";
    private long openedMs;
    private long fromMs;
    private long reviewMs;
    private long pinnedMs = Long.MAX_VALUE;
    private long closedMs = Long.MAX_VALUE;

    /** The blocked tasks, by the time they were noted. */
    private final TreeMap<Long, String> blocked = new TreeMap<>();

    private Opening(String reference, long number) {
      this.reference = reference;
      this.number = number;
    }
  }

  private final List<Opening> openings = new ArrayList<>();

  /**
   * @param trail audit entries, earliest first
   */
  HoldCalendar(List<Map<String, Object>> trail) {
    Map<String, Opening> byName = new TreeMap<>();
    for (Map<String, Object> line : trail) {
      if (!(line.get("details") instanceof Map<?, ?> details)
          || !(details.get("opening") instanceof Number number)) {
        continue;
      }
      String reference = String.valueOf(line.get("id"));
      long at = ((Number) line.get("at_ms")).longValue();
      Opening opening =
          byName.computeIfAbsent(
              reference + " " + number,
              name -> {
                Opening next = new Opening(reference, number.longValue());
                openings.add(next);
                return next;
              });
      switch (String.valueOf(line.get("event"))) {
        case "opened" -> {
          opening.openedMs = at;
          opening.fromMs = Math.max(at, ((Number) details.get("from_ms")).longValue());
          opening.reviewMs = ((Number) details.get("review_ms")).longValue();
          opening.records =
              details.get("records") instanceof List<?> list
                  ? String.join(" ", list.stream().map(String::valueOf).toList())
                  : "";
        }
        case "review" -> opening.reviewMs = ((Number) details.get("review_ms")).longValue();
        case "pinned" -> {
          opening.pinnedMs = Math.min(opening.pinnedMs, at);
          opening.blocked.put(at, String.valueOf(details.get("kept_back")));
        }
        case "keeps back" -> opening.blocked.put(at, String.valueOf(details.get("tasks")));
        case "closed" -> opening.closedMs = at;
        default -> {}
      }
    }
  }

  /**
   * Returns one row for each hold and each day from {@code first} to before {@code end} on which it
   * is in effect or changes.
   */
  List<Map<String, Object>> rows(LocalDate first, LocalDate end) {
    List<Map<String, Object>> rows = new ArrayList<>();
    for (LocalDate day = first; day.isBefore(end); day = day.plusDays(1)) {
      long from = day.atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli();
      long to = day.plusDays(1).atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli();
      for (Opening opening : openings) {
        List<String> events = new ArrayList<>();
        add(events, opening.openedMs, from, to, "opened");
        add(
            events,
            opening.fromMs > opening.openedMs ? opening.fromMs : Long.MAX_VALUE,
            from,
            to,
            "in force");
        add(events, opening.pinnedMs, from, to, "pinned");
        add(events, opening.reviewMs, from, to, "to be reviewed");
        add(events, opening.closedMs, from, to, "closed");
        boolean inEffect = opening.fromMs < to && opening.closedMs >= from;
        if (!inEffect && events.isEmpty()) {
          continue;
        }
        Map.Entry<Long, String> blocked = opening.blocked.lowerEntry(to);
        rows.add(
            Json.object(
                "day",
                day.toString(),
                "reference",
                opening.reference,
                "opening",
                opening.number,
                "what",
                events.isEmpty() ? "in force" : String.join(", ", events),
                "records",
                opening.records,
                "keeps_back",
                !inEffect || blocked == null ? "" : blocked.getValue()));
      }
    }
    return rows;
  }

  private static void add(List<String> events, long ms, long from, long to, String word) {
    if (ms >= from && ms < to) {
      events.add(
          word + " " + Instant.ofEpochMilli(ms).atOffset(ZoneOffset.UTC).toLocalTime().withNano(0));
    }
  }
}
