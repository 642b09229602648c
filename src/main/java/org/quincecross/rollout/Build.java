package org.quincecross.rollout;

/**
 * What a controller is, as it announces it.
 *
 * @param name of the program
 * @param least the lowest level that it can read and write
 * @param most the highest
 */
public record Build(String name, FeatureLevel least, FeatureLevel most) {
  /** One that announces nothing: it was built before levels. */
  public static final Build BEFORE_LEVELS =
      new Build("before levels", FeatureLevel.FIRST, FeatureLevel.FIRST);

  public Build {
    if (least.isAbove(most) || least.number() < 1 || most.number() > FeatureLevel.MOST) {
      throw new IllegalArgumentException("levels from " + least + " to " + most);
    }
  }

  /** This program, which reads and writes every level up to {@code most}. */
  public static Build present(String name, int most) {
    return new Build(name, FeatureLevel.FIRST, new FeatureLevel(most));
  }

  public boolean can(FeatureLevel level) {
    return !least.isAbove(level) && !level.isAbove(most);
  }
}
