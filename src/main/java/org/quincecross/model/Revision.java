package org.quincecross.model;

/** A revision of the state service, which counts every change to it; also the version of a key. */
public record Revision(long number) implements Comparable<Revision> {
  public static final Revision NONE = new Revision(0);

  public boolean isAfter(Revision other) {
    return Long.compareUnsigned(number, other.number) > 0;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compareUnsigned(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(number);
  }
}
