package org.quincecross.overload;

/**
 * How much of what is there for arrays, beyond services, goes to whom while there is too little.
 *
 * @param usable the part of the room that is really at work: the rest is fetching images, booting,
 *     or left over
 * @param coming the part of the work that comes that is due before what waits
 * @param floor the part that all groups with waiting work are sure of, in equal parts
 * @param turns the part for what was set aside, oldest first
 * @param beginS the age, in seconds, from which a job that has not begun goes before all others, in
 *     an overload or not; 0: none does
 */
public record Shares(double usable, double coming, double floor, double turns, double beginS) {
  /** The longest that a beginning may be put off, in seconds. */
  public static final double MOST_BEGIN_S = 200;

  public static final Shares DEFAULTS = new Shares(0.85, 1, 0.05, 0.05);

  public Shares(double usable, double coming, double floor, double turns) {
    this(usable, coming, floor, turns, MOST_BEGIN_S);
  }
}
