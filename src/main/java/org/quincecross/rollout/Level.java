package org.quincecross.rollout;

/**
 * A number for the formats of all records and of the peer link, and for the behaviours that go with
 * them; from 1 on.
 */
public record Level(int number) implements Comparable<Level> {
  /** What there was before levels: no record says it. */
  public static final Level FIRST = new Level(1);

  /** The highest that this program can read and write. */
  public static final Level NEWEST = new Level(3);

  /** A record that names a higher one is damaged. */
  public static final int MOST = 10_000;

  public boolean isAbove(Level other) {
    return number > other.number;
  }

  public Level next() {
    return new Level(number + 1);
  }

  public Level previous() {
    return new Level(number - 1);
  }

  @Override
  public int compareTo(Level other) {
    return Integer.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Integer.toString(number);
  }
}
