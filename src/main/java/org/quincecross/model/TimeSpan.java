package org.quincecross.model;

import java.util.Locale;

/** A length of time. */
public record TimeSpan(long nanos) implements Comparable<TimeSpan> {
  public static final TimeSpan ZERO = new TimeSpan(0);

  public static TimeSpan ofSeconds(double seconds) {
    return new TimeSpan((long) (seconds * 1e9));
  }

  public static TimeSpan ofMillis(long millis) {
    return new TimeSpan(millis * 1_000_000L);
  }

  public double seconds() {
    return nanos / 1e9;
  }

  public long millis() {
    return nanos / 1_000_000L;
  }

  public TimeSpan plus(TimeSpan other) {
    return new TimeSpan(nanos + other.nanos);
  }

  public TimeSpan times(double factor) {
    return new TimeSpan((long) (nanos * factor));
  }

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
