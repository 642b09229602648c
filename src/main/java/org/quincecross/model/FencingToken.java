package org.quincecross.model;

/** The right to give commands to the machines of a block: the revision that leased the block. */
public record FencingToken(long number) implements Comparable<FencingToken> {
  public static final FencingToken NONE = new FencingToken(0);

  public boolean isAfter(FencingToken other) {
    return Long.compareUnsigned(number, other.number) > 0;
  }

  @Override
  public int compareTo(FencingToken other) {
    return Long.compareUnsigned(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(number);
  }
}
