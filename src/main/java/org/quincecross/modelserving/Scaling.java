package org.quincecross.modelserving;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * How many replicas a model that is up should have: more at once, fewer only after it has been so
 * for a while.
 */
public final class Scaling {
  /** So much of what the replicas can serve may be in flight before there are to be more. */
  static final double FULL = 0.8;

  /** Fewer replicas have to do with so much of what they can serve. */
  static final double SPARE = 0.6;

  static final TimeSpan FEWER_AFTER = TimeSpan.ofSeconds(60);

  private MonotonicTime lowSince;

  /** What there should be now; {@code tasks}: how many the job has. */
  public int wanted(Model model, int tasks, int inFlight, MonotonicTime now) {
    Model.Terms terms = model.terms();
    int most = Math.min(terms.most(), tasks);
    int least = Math.min(most, Math.max(1, terms.least()));
    int up = bounded(Math.ceil(inFlight / (FULL * terms.perReplica())), least, most);
    if (up >= model.wanted()) {
      lowSince = null;
      return up;
    }
    int down = bounded(Math.ceil(inFlight / (SPARE * terms.perReplica())), least, most);
    if (down >= model.wanted()) {
      lowSince = null;
      return model.wanted();
    }
    lowSince = lowSince == null ? now : lowSince;
    if (!now.since(lowSince).isLongerThan(FEWER_AFTER)) {
      return model.wanted();
    }
    lowSince = null;
    return down;
  }

  private static int bounded(double replicas, int least, int most) {
    return (int) Math.max(least, Math.min(most, replicas));
  }
}
