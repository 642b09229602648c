package org.quincecross.model;

/** A revision of the key-value store, which counts every change; also the version of a key. */
public record Revision(long value) implements Comparable<Revision> {
  public static final Revision NONE = new Revision(0);

  /** Whether this revision is later. */
  public boolean isAfter(Revision other) {
    return Long.compareUnsigned(value, other.value) > 0;
  }

  @Override
  public int compareTo(Revision other) {
    return Long.compareUnsigned(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(value);
  }
}
