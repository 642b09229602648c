package org.quincecross.net;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/** Clocks and callers that do something first, whatever it is that they call back for. */
public final class InstrumentedTimers {
  private InstrumentedTimers() {}

  /** What is done at a callback. */
  public record Step(Runnable first, Runnable action) implements Runnable {
    @Override
    public void run() {
      first.run();
      action.run();
    }
  }

  /** The same clock; {@code first} is run before each action that it was asked to run. */
  public static Timers timers(Timers clock, Runnable first) {
    return new Timers() {
      @Override
      public MonotonicTime now() {
        return clock.now();
      }

      @Override
      public void after(TimeSpan delay, Runnable action) {
        clock.after(delay, new Step(first, action));
      }

      @Override
      public void every(TimeSpan period, Runnable action) {
        clock.every(period, new Step(first, action));
      }
    };
  }

  /** The same caller; {@code first} is run before each answer is taken. */
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
