package org.quincecross.net;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/** The steady clock and what can be put off by it. Tests put a clock of their own here. */
public interface Timers {
  MonotonicTime now();

  /** Runs {@code action} once, {@code delay} from now. */
  void after(TimeSpan delay, Runnable action);

  /** Runs {@code action} again and again, {@code period} after it last returned. */
  default void every(TimeSpan period, Runnable action) {
    after(
        period,
        () -> {
          action.run();
          every(period, action);
        });
  }
}
