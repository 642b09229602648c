package org.quincecross.net;

import org.quincecross.model.MonotonicTime;

/** A token bucket: so many units a second, with bursts worth some seconds. */
public final class TokenBucket {
  private final double perSecond;
  private final double most;
  private double level;
  private MonotonicTime at;

  public TokenBucket(double perSecond, double burst, MonotonicTime now) {
    this.perSecond = perSecond;
    this.most = Math.max(1, burst);
    this.level = most;
    this.at = now;
  }

  private void refill(MonotonicTime now) {
    level = Math.min(most, level + now.since(at).seconds() * perSecond);
    at = now;
  }

  /**
   * Takes {@code units} if there are so many; a larger bite than the bucket holds waits for a full
   * bucket.
   */
  public boolean take(double units, MonotonicTime now) {
    refill(now);
    if (level < Math.min(units, most)) {
      return false;
    }
    level -= units;
    return true;
  }

  /**
   * Takes {@code units} whatever is there: for what must not wait, and is paid for by what follows.
   */
  public void force(double units, MonotonicTime now) {
    refill(now);
    level -= units;
  }

  public double level(MonotonicTime now) {
    refill(now);
    return level;
  }

  /** After a refusal by the other side: others have used the budget, so stand back for a while. */
  public void drain(MonotonicTime now) {
    refill(now);
    level = Math.min(level, -0.2 * perSecond);
  }
}
