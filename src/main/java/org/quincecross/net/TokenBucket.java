package org.quincecross.net;

import org.quincecross.model.MonotonicTime;

/** A token bucket: a rate per second with bursts up to a capacity. */
public final class TokenBucket {
  private final double perSecond;
  private final double capacity;
  private double level;
  private MonotonicTime refilledAt;

  public TokenBucket(double perSecond, double burst, MonotonicTime now) {
    this.perSecond = perSecond;
    this.capacity = Math.max(1, burst);
    this.level = capacity;
    this.refilledAt = now;
  }

  private void refill(MonotonicTime now) {
    level = Math.min(capacity, level + now.since(refilledAt).seconds() * perSecond);
    refilledAt = now;
  }

  /** Takes {@code units} if available; a demand beyond the capacity needs a full bucket. */
  public boolean take(double units, MonotonicTime now) {
    refill(now);
    if (level < Math.min(units, capacity)) {
      return false;
    }
    level -= units;
    return true;
  }

  /**
   * Takes {@code units} even if not available, for what must not wait; later demands pay for it.
   */
  public void force(double units, MonotonicTime now) {
    refill(now);
    level -= units;
  }

  public double level(MonotonicTime now) {
    refill(now);
    return level;
  }

  /**
   * Called after the other side has rejected a request for its rate: others have used the budget,
   * so the bucket is emptied for a while.
   */
  public void drain(MonotonicTime now) {
    refill(now);
    level = Math.min(level, -0.2 * perSecond);
  }
}
