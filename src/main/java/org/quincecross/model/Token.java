package org.quincecross.model;

/** The right to give commands to the machines of a block: the revision that leased the block. */
public record Token(long number) implements Comparable<Token> {
  public static final Token NONE = new Token(0);

  public boolean isAfter(Token other) {
    return Long.compareUnsigned(number, other.number) > 0;
  }

  @Override
  public int compareTo(Token other) {
    return Long.compareUnsigned(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(number);
  }
}
