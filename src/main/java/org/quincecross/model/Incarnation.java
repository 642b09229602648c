package org.quincecross.model;

/**
 * One incarnation of a controller process, named after its session lease in the key-value store.
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
  public static final Incarnation NONE = new Incarnation(0);

  /** Whether this incarnation began later. */
  public boolean isAfter(Incarnation other) {
    return Long.compareUnsigned(value, other.value) > 0;
  }

  @Override
  public int compareTo(Incarnation other) {
    return Long.compareUnsigned(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(value);
  }
}
