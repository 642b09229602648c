package org.quincecross.rollout;

/**
 * A number for the formats of all records and of the peer link, and for the behaviours that go with
 * them; from 1 on.
 */
public record FeatureLevel(int number) implements Comparable<FeatureLevel> {
  /** What there was before levels: no record says it. */
  public static final FeatureLevel FIRST = new FeatureLevel(1);

  /** The highest that this program can read and write. */
  public static final FeatureLevel NEWEST = new FeatureLevel(3);

  /** A record that names a higher one is damaged. */
  public static final int MOST = 10_000;

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
