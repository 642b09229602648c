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
 * Summarises requests by kind and by the month (UTC) of their arrival. Computed by the client,
 * because controllers have little processor time and the listing contains all the data.
 */
final class RequestReport {
  /** Ten years in seconds, the upper limit of recorded durations. */
  private static final long MAX_S = 10L * 366 * 24 * 3600;

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
    private int withoutCapacity;
    private int withdrawn;
    private final Histogram answeredS = new Histogram(MAX_S, 3);

    private void add(Map<String, Object> row) {
      arrived++;
      boolean isLate = "late".equals(row.get("due"));
      switch (String.valueOf(row.get("state"))) {
        case "answered" -> {
          inTime += isLate ? 0 : 1;
          late += isLate ? 1 : 0;
          long tookS = (ms(row, "over_ms") - ms(row, "arrived_ms")) / 1000;
          answeredS.recordValue(Math.max(0, Math.min(MAX_S, tookS)));
        }
        case "withdrawn" -> withdrawn++;
        default -> {
          open++;
          openLate += isLate ? 1 : 0;
          withoutCapacity += "arrived".equals(row.get("state")) ? 1 : 0;
        }
      }
    }

    /** Returns the percentile of hours until the answer; null if none was answered. */
    private Double hours(double percentile) {
      return answeredS.getTotalCount() == 0
          ? null
          : Math.round(answeredS.getValueAtPercentile(percentile) / 36.0) / 100.0;
    }
  }

  private final Map<Group, Counts> groups = new TreeMap<>();

  /**
   * @param requests the rows of the listing
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

  /** Returns one row for each month and kind, earliest month first. */
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
                    counts.withoutCapacity,
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
