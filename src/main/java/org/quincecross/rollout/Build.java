package org.quincecross.rollout;

/**
 * A controller's build, as it announces it.
 *
 * @param name of the program
 * @param minLevel lowest feature level that it can read and write
 * @param maxLevel highest feature level that it can read and write
 */
public record Build(String name, FeatureLevel minLevel, FeatureLevel maxLevel) {
  /** A build without announcements, from before feature levels. */
  public static final Build BEFORE_LEVELS =
      new Build("before levels", FeatureLevel.FIRST, FeatureLevel.FIRST);

  public Build {
    if (minLevel.isAbove(maxLevel)
        || minLevel.number() < 1
        || maxLevel.number() > FeatureLevel.MAX_NUMBER) {
      throw new IllegalArgumentException("levels from " + minLevel + " to " + maxLevel);
    }
  }

  /** The build of this program, which reads and writes every level up to {@code maxLevel}. */
  public static Build present(String name, int maxLevel) {
    return new Build(name, FeatureLevel.FIRST, new FeatureLevel(maxLevel));
  }

  public boolean supports(FeatureLevel level) {
    return !minLevel.isAbove(level) && !level.isAbove(maxLevel);
  }
}
