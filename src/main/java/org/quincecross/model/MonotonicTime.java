package org.quincecross.model;

/** A point on this process's steady clock. Points of two processes cannot be compared. */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
  /** Before anything that a running process has seen. */
  public static final MonotonicTime ZERO = new MonotonicTime(Long.MIN_VALUE / 2);

  public MonotonicTime plus(TimeSpan span) {
    return new MonotonicTime(nanos + span.nanos());
  }

  /** How long after {@code earlier} this point lies. */
  public TimeSpan since(MonotonicTime earlier) {
    return new TimeSpan(nanos - earlier.nanos);
  }

  public boolean isBefore(MonotonicTime other) {
    return nanos < other.nanos;
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(nanos, other.nanos);
  }
}
