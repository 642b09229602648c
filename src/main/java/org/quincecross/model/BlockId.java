package org.quincecross.model;

/** A block of machines: leased to one controller at a time. */
public record BlockId(String text) implements Comparable<BlockId> {
  @Override
  public boolean equals(Object other) {
    return other instanceof BlockId id && id.text.equals(text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public int compareTo(BlockId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
