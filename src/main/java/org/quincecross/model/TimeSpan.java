package org.quincecross.model;

import java.util.Locale;

/**
 * A length of time in nanoseconds. A type of its own rather than {@code java.time.Duration},
 * because it counts in fractions of seconds and packages of decisions import nothing of {@code
 * java.time}.
 */
public record TimeSpan(long nanos) implements Comparable<TimeSpan> {
  public static final TimeSpan ZERO = new TimeSpan(0);

  /** Creates a time span from seconds. */
  public static TimeSpan ofSeconds(double seconds) {
    return new TimeSpan((long) (seconds * 1e9));
  }

  /** Creates a time span from milliseconds. */
  public static TimeSpan ofMillis(long millis) {
    return new TimeSpan(millis * 1_000_000L);
  }

  /** The length in seconds. */
  public double seconds() {
    return nanos / 1e9;
  }

  /** The length in whole milliseconds, rounded towards zero. */
  public long millis() {
    return nanos / 1_000_000L;
  }

  /** The sum of both lengths. */
  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(nanos + other.nanos);
  }

  /** This length multiplied by a factor. */
  public TimeSpan times(double factor) {
    return new TimeSpan((long) (nanos * factor));
  }

  /** Whether this length is strictly longer. */
  public boolean isLongerThan(TimeSpan other) {
    return nanos > other.nanos;
  }

  @Override
  public int compareTo(TimeSpan other) {
    return Long.compare(nanos, other.nanos);
  }

  @Override
  public String toString() {
    return String.format(Locale.ROOT, "%.3fs", seconds());
  }
}
