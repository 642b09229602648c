package org.quincecross.legalhold;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Selects records, as a hold or a claim names them: all of a series ({@code cdr}), those of a
 * period ({@code cdr/2026}, {@code cdr/2026-03}, {@code cdr/2026-03-15}, {@code
 * cdr/2026-01..2026-03}, both ends included), or one by its key ({@code cdr#key}). The period of a
 * key is not known, so a key overlaps every period of its series.
 *
 * @param from first day of the period as the number formed by its digits (20260315); 0 unless it
 *     selects a period
 * @param to first such number after the period
 * @param key the record's key; null unless it selects by key
 */
public record RecordSelector(String series, int from, int to, String key) {
  /** Selects any record of any series: what a task may access if nothing is known about it. */
  public static final RecordSelector ANY = new RecordSelector("*", 0, 0, null);

  private static final String SERIES = "[A-Za-z0-9][A-Za-z0-9._-]{0,39}";
  private static final String PERIOD = "(\\d{4})(?:-(\\d{2})(?:-(\\d{2}))?)?";
  private static final Pattern FORMAT =
      Pattern.compile(
          "(" + SERIES + ")(?:/" + PERIOD + "(?:\\.\\." + PERIOD + ")?|#([!-~&&[^,;\"]]{1,80}))?");
  private static final int[] DAYS = {31, 29, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31};

  /**
   * Parses the text of a selector.
   *
   * @throws IllegalArgumentException if it is invalid, with the reason
   */
  public static RecordSelector parse(String text) {
    Matcher match = FORMAT.matcher(text);
    if (!match.matches()) {
      throw new IllegalArgumentException(
          "'"
              + text
              + "' names no records: SERIES, SERIES/2026-03, SERIES/2026-01..2026-03 or SERIES#KEY");
    }
    if (match.group(2) == null) {
      return new RecordSelector(match.group(1), 0, 0, match.group(8));
    }
    int from = start(text, match, 2);
    int to = end(match, match.group(5) == null ? 2 : 5);
    if (match.group(5) != null) {
      start(text, match, 5);
    }
    if (to <= from) {
      throw new IllegalArgumentException("'" + text + "' ends before it begins");
    }
    return new RecordSelector(match.group(1), from, to, null);
  }

  private static int number(Matcher match, int group) {
    return match.group(group) == null ? 0 : Integer.parseInt(match.group(group));
  }

  private static int start(String text, Matcher match, int at) {
    int month = number(match, at + 1);
    int day = number(match, at + 2);
    boolean good =
        (match.group(at + 1) == null || (month >= 1 && month <= 12))
            && (match.group(at + 2) == null || (day >= 1 && day <= DAYS[month - 1]));
    if (!good) {
      throw new IllegalArgumentException("'" + text + "' has a month or a day that there is not");
    }
    return number(match, at) * 10_000 + month * 100 + day;
  }

  private static int end(Matcher match, int at) {
    int width = match.group(at + 2) != null ? 1 : match.group(at + 1) != null ? 100 : 10_000;
    return number(match, at) * 10_000 + number(match, at + 1) * 100 + number(match, at + 2) + width;
  }

  public boolean isPeriod() {
    return to > 0;
  }

  public boolean isKey() {
    return key != null;
  }

  /** Whether a record may match both selectors. */
  public boolean overlaps(RecordSelector other) {
    if (!series.equals(other.series)) {
      return equals(ANY) || other.equals(ANY);
    }
    if (isPeriod() && other.isPeriod()) {
      return from < other.to && other.from < to;
    }
    return !isKey() || !other.isKey() || key.equals(other.key);
  }

  private static String day(int number) {
    String text = String.format("%08d", number);
    StringBuilder out = new StringBuilder(text.substring(0, 4));
    if (number % 10_000 != 0) {
      out.append('-').append(text, 4, 6);
    }
    if (number % 100 != 0) {
      out.append('-').append(text, 6, 8);
    }
    return out.toString();
  }

  /** Returns the text that {@link #parse} accepts. */
  @Override
  public String toString() {
    if (!isPeriod()) {
      return isKey() ? series + "#" + key : series;
    }
    // The number after the last day, month or year; its trailing zero digits tell which of them the
    // period ends with.
    int last = to % 100 != 0 ? to - 1 : to % 10_000 != 0 ? to - 100 : to - 10_000;
    return series
        + "/"
        + (last == from && width(last) == to - from ? day(from) : day(from) + ".." + day(last));
  }

  private static int width(int start) {
    return start % 100 != 0 ? 1 : start % 10_000 != 0 ? 100 : 10_000;
  }
}
