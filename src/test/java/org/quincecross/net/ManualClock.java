package org.quincecross.net;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/** A manually advanced clock, for code that only reads the time. */
public final class ManualClock implements Timers {
  private long nanos;

  public long nanos() {
    return nanos;
  }

  public void advance(double seconds) {
    nanos += TimeSpan.ofSeconds(seconds).nanos();
  }

  @Override
  public MonotonicTime now() {
    return new MonotonicTime(nanos);
  }

  @Override
  public void after(TimeSpan delay, Runnable action) {
    throw new UnsupportedOperationException();
  }
}
