package org.quincecross.model;

/** A point on this process's steady clock. Points of two processes cannot be compared. */
public record SteadyTime(long nanos) implements Comparable<SteadyTime> {
  /** Before anything that a running process has seen. */
  public static final SteadyTime ZERO = new SteadyTime(Long.MIN_VALUE / 2);

  public SteadyTime plus(Span span) {
    return new SteadyTime(nanos + span.nanos());
  }

  /** How long after {@code earlier} this point lies. */
  public Span since(SteadyTime earlier) {
    return new Span(nanos - earlier.nanos);
  }

  public boolean isBefore(SteadyTime other) {
    return nanos < other.nanos;
  }

  @Override
  public int compareTo(SteadyTime other) {
    return Long.compare(nanos, other.nanos);
  }
}
