package org.quincecross.net;

import org.quincecross.model.Span;
import org.quincecross.model.SteadyTime;

/** The steady clock and what can be put off by it. Tests put a clock of their own here. */
public interface Timers {
  SteadyTime now();

  /** Runs {@code action} once, {@code delay} from now. */
  void after(Span delay, Runnable action);

  /** Runs {@code action} again and again, {@code period} after it last returned. */
  default void every(Span period, Runnable action) {
    after(
        period,
        () -> {
          action.run();
          every(period, action);
        });
  }
}
