package org.quincecross.cli;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.quincecross.protocol.Json;

/**
 * What became of requests, by kind and by the month (UTC) in which they arrived. It is made where
 * it is asked for: controllers have little time, and all that goes into it is in the list of the
 * records.
 */
final class RequestReport {
  /** Ten years, in seconds; what took longer counts as that. */
  private static final long MOST_S = 10L * 366 * 24 * 3600;

  private record Group(String kind, YearMonth month) implements Comparable<Group> {
    @Override
    public int compareTo(Group other) {
      int byMonth = month.compareTo(other.month);
      return byMonth != 0 ? byMonth : kind.compareTo(other.kind);
    }
  }

  private static final class Counts {
    private int arrived;
    private int inTime;
    private int late;
    private int open;
    private int openLate;
    private int without;
    private int withdrawn;
    private final Histogram answeredS = new Histogram(MOST_S, 3);

    private void add(Map<String, Object> row) {
      arrived++;
      boolean isLate = "late".equals(row.get("due"));
      switch (String.valueOf(row.get("state"))) {
        case "answered" -> {
          inTime += isLate ? 0 : 1;
          late += isLate ? 1 : 0;
          long tookS = (ms(row, "over_ms") - ms(row, "arrived_ms")) / 1000;
          answeredS.recordValue(Math.max(0, Math.min(MOST_S, tookS)));
        }
        case "withdrawn" -> withdrawn++;
        default -> {
          open++;
          openLate += isLate ? 1 : 0;
          without += "arrived".equals(row.get("state")) ? 1 : 0;
        }
      }
    }

    /**
     * Hours to the answer that so many of a hundred did not exceed; null where none was answered.
     */
    private Double hours(double percentile) {
      return answeredS.getTotalCount() == 0
          ? null
          : Math.round(answeredS.getValueAtPercentile(percentile) / 36.0) / 100.0;
    }
  }

  private final Map<Group, Counts> groups = new TreeMap<>();

  /**
   * @param requests the rows of the list
   */
  RequestReport(List<Map<String, Object>> requests) {
    for (Map<String, Object> row : requests) {
      YearMonth month =
          YearMonth.from(Instant.ofEpochMilli(ms(row, "arrived_ms")).atOffset(ZoneOffset.UTC));
      groups
          .computeIfAbsent(new Group(String.valueOf(row.get("kind")), month), group -> new Counts())
          .add(row);
    }
  }

  private static long ms(Map<String, Object> row, String name) {
    return row.get(name) instanceof Number number ? number.longValue() : 0;
  }

  /** One row for each month and kind, the first month first. */
  List<Map<String, Object>> rows() {
    List<Map<String, Object>> rows = new ArrayList<>();
    groups.forEach(
        (group, counts) ->
            rows.add(
                Json.object(
                    "month",
                    group.month.toString(),
                    "kind",
                    group.kind,
                    "arrived",
                    counts.arrived,
                    "answered_in_time",
                    counts.inTime,
                    "answered_late",
                    counts.late,
                    "open",
                    counts.open,
                    "open_late",
                    counts.openLate,
                    "without_room",
                    counts.without,
                    "withdrawn",
                    counts.withdrawn,
                    "hours_p50",
                    counts.hours(50),
                    "hours_p90",
                    counts.hours(90),
                    "hours_most",
                    counts.hours(100))));
    return rows;
  }
}
