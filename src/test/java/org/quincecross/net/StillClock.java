package org.quincecross.net;

import org.quincecross.model.Span;
import org.quincecross.model.SteadyTime;

/** A clock that a test moves by hand, for what asks for the time alone. */
public final class StillClock implements Timers {
  private long nanos;

  public long nanos() {
    return nanos;
  }

  public void advance(double seconds) {
    nanos += Span.ofSeconds(seconds).nanos();
  }

  @Override
  public SteadyTime now() {
    return new SteadyTime(nanos);
  }

  @Override
  public void after(Span delay, Runnable action) {
    throw new UnsupportedOperationException();
  }
}
