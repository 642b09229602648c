package org.quincecross.model;

/**
 * The fencing token of a shard: the store revision that leased the shard. Agents reject commands
 * with a token lower than the highest that they have seen.
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
  public static final FencingToken NONE = new FencingToken(0);

  /** Whether this token is higher. */
  public boolean isAfter(FencingToken other) {
    return Long.compareUnsigned(value, other.value) > 0;
  }

  @Override
  public int compareTo(FencingToken other) {
    return Long.compareUnsigned(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toUnsignedString(value);
  }
}
