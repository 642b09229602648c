package org.quincecross.model;

/** One life of a controller, named by the lease it keeps in the state service. */
public record Incarnation(long number) implements Comparable<Incarnation> {
  public static final Incarnation NONE = new Incarnation(0);

  public boolean isAfter(Incarnation other) {
    return Long.compareUnsigned(number, other.number) > 0;
  }

  @Override
  public int compareTo(Incarnation other) {
    return Long.compareUnsigned(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(number);
  }
}
