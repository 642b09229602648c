package org.quincecross.rollout;

/**
 * A version number of the formats of all records and of the peer protocol, and of the behaviour
 * that depends on them; from 1.
 */
public record FeatureLevel(int number) implements Comparable<FeatureLevel> {
  /** The level before levels were introduced; no record states it. */
  public static final FeatureLevel FIRST = new FeatureLevel(1);

  /** The highest level that this program can read and write. */
  public static final FeatureLevel NEWEST = new FeatureLevel(3);

  /** A record that states a higher level is corrupt. */
  public static final int MAX_NUMBER = 10_000;

  public boolean isAbove(FeatureLevel other) {
    return number > other.number;
  }

  public FeatureLevel next() {
    return new FeatureLevel(number + 1);
  }

  public FeatureLevel previous() {
    return new FeatureLevel(number - 1);
  }

  @Override
  public int compareTo(FeatureLevel other) {
    return Integer.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Integer.toString(number);
  }
}
