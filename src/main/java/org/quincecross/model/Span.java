package org.quincecross.model;

import java.util.Locale;

/** A length of time. */
public record Span(long nanos) implements Comparable<Span> {
  public static final Span ZERO = new Span(0);

  public static Span ofSeconds(double seconds) {
    return new Span((long) (seconds * 1e9));
  }

  public static Span ofMillis(long millis) {
    return new Span(millis * 1_000_000L);
  }

  public double seconds() {
    return nanos / 1e9;
  }

  public long millis() {
    return nanos / 1_000_000L;
  }

  public Span plus(Span other) {
    return new Span(nanos + other.nanos);
  }

  public Span times(double factor) {
    return new Span((long) (nanos * factor));
  }

  public boolean isMoreThan(Span other) {
    return nanos > other.nanos;
  }

  @Override
  public int compareTo(Span other) {
    return Long.compare(nanos, other.nanos);
  }

  @Override
  public String toString() {
    return String.format(Locale.ROOT, "%.3fs", seconds());
  }
}
