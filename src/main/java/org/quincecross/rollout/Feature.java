package org.quincecross.rollout;

/** What comes with a level. Whether it is there is asked for here and nowhere else. */
public enum Feature {
  /**
   * The leadership has a place that builds without levels don't know of, so that they never lead.
   */
  LEADERSHIP_MOVED(2),
  /** Of a block's allocation what changed is written, and the whole only now and then. */
  ALLOCATION_CHANGES(2),
  /**
   * There are records that all controllers follow, and what the leader writes is guarded by their
   * fence.
   */
  AGREED_RECORDS(3);

  // A record of one int is immutable.
  @SuppressWarnings("ImmutableEnumChecker")
  private final FeatureLevel since;

  Feature(int since) {
    this.since = new FeatureLevel(since);
  }

  /** The level that it comes with. */
  public FeatureLevel since() {
    return since;
  }

  public boolean isIn(FeatureLevel level) {
    return !since.isAbove(level);
  }
}
