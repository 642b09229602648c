package org.quincecross.model;

/** One try at running a task; larger attempts are later ones. */
public record Attempt(long number) implements Comparable<Attempt> {
  public static final Attempt NONE = new Attempt(0);

  public boolean isAfter(Attempt other) {
    return Long.compareUnsigned(number, other.number) > 0;
  }

  @Override
  public int compareTo(Attempt other) {
    return Long.compareUnsigned(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(number);
  }
}
