package org.quincecross.rollout;

/**
 * The features that come with a level. Callers check for a feature here and never for a level
 * number.
 */
public enum Feature {
  /**
   * The leadership record has another key, which builds without levels do not know, so that they
   * never lead.
   */
  LEADERSHIP_MOVED(2),
  /**
   * The changes of a shard's allocation are written, and the whole allocation only occasionally.
   */
  ALLOCATION_CHANGES(2),
  /** Replicated records exist, and what the leader writes is guarded by their fence. */
  AGREED_RECORDS(3);

  // A record of one int is immutable.
  @SuppressWarnings("ImmutableEnumChecker")
  private final FeatureLevel since;

  Feature(int since) {
    this.since = new FeatureLevel(since);
  }

  /** The level that introduces the feature. */
  public FeatureLevel since() {
    return since;
  }

  public boolean isEnabledAt(FeatureLevel level) {
    return !since.isAbove(level);
  }
}
