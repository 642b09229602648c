package org.quincecross.net;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/** Timers and callers that run an action before each of their callbacks. */
public final class InstrumentedTimers {
  private InstrumentedTimers() {}

  /** A callback with the action that runs before it. */
  public record InstrumentedAction(Runnable first, Runnable action) implements Runnable {
    @Override
    public void run() {
      first.run();
      action.run();
    }
  }

  /** Returns timers that run {@code first} before each scheduled action. */
  public static Timers timers(Timers clock, Runnable first) {
    return new Timers() {
      @Override
      public MonotonicTime now() {
        return clock.now();
      }

      @Override
      public void after(TimeSpan delay, Runnable action) {
        clock.after(delay, new InstrumentedAction(first, action));
      }

      @Override
      public void every(TimeSpan period, Runnable action) {
        clock.every(period, new InstrumentedAction(first, action));
      }
    };
  }

  /** Returns a caller that runs {@code first} before each outcome is handled. */
  public static HttpCaller caller(HttpCaller caller, Runnable first) {
    return (to, request, timeout, done) ->
        caller.call(
            to,
            request,
            timeout,
            outcome -> {
              first.run();
              done.accept(outcome);
            });
  }
}
