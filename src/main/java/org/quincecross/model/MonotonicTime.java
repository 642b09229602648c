package org.quincecross.model;

/** A point on the monotonic clock of this process. Points of two processes must not be compared. */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {
  /** Earlier than any point that a running process sees. */
  public static final MonotonicTime ZERO = new MonotonicTime(Long.MIN_VALUE / 2);

  /** The point that lies {@code span} later. */
  public MonotonicTime plus(TimeSpan span) {
    return new MonotonicTime(nanos + span.nanos());
  }

  /** The time elapsed since {@code earlier}. */
  public TimeSpan since(MonotonicTime earlier) {
    return new TimeSpan(nanos - earlier.nanos);
  }

  /** Whether this point is earlier. */
  public boolean isBefore(MonotonicTime other) {
    return nanos < other.nanos;
  }

  @Override
  public int compareTo(MonotonicTime other) {
    return Long.compare(nanos, other.nanos);
  }
}
