package org.quincecross.net;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/** The monotonic clock and the actions scheduled on it; tests provide a simulated clock. */
public interface Timers {
  MonotonicTime now();

  /** Runs {@code action} once, after {@code delay}. */
  void after(TimeSpan delay, Runnable action);

  /** Runs {@code action} repeatedly, {@code period} after it last returned. */
  default void every(TimeSpan period, Runnable action) {
    after(
        period,
        () -> {
          action.run();
          every(period, action);
        });
  }
}
