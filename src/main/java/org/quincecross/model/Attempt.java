package org.quincecross.model;

/**
 * The number of an attempt to run a task. Later attempts have larger numbers, compared as unsigned.
 */
public record Attempt(long value) implements Comparable<Attempt> {
  public static final Attempt NONE = new Attempt(0);

  /** Whether this attempt is later. */
  public boolean isAfter(Attempt other) {
    return Long.compareUnsigned(value, other.value) > 0;
  }

  @Override
  public int compareTo(Attempt other) {
    return Long.compareUnsigned(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(value);
  }
}
