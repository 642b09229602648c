package org.quincecross.rollout;

/**
 * A controller's build, as it announces it.
 *
 * @param name of the program
 * @param minLevel lowest feature level that it can read and write
 * @param maxLevel highest feature level that it can read and write
 */
public record Build(String name, FeatureLevel least, FeatureLevel most) {
  /** A build without announcements, from before feature levels. */
  public static final Build BEFORE_LEVELS =
      new Build("before levels", FeatureLevel.FIRST, FeatureLevel.FIRST);

  public Build {
    if (least.isAbove(most) || least.number() < 1 || most.number() > FeatureLevel.MOST) {
      throw new IllegalArgumentException("levels from " + least + " to " + most);
    }
  }

  /** The build of this program, which reads and writes every level up to {@code maxLevel}. */
  public static Build present(String name, int most) {
    return new Build(name, FeatureLevel.FIRST, new FeatureLevel(most));
  }

  public boolean can(FeatureLevel level) {
    return !least.isAbove(level) && !level.isAbove(most);
  }
}
