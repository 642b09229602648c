package org.quincecross.emulator;

import java.util.PriorityQueue;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;

/** A clock that advances only to the next scheduled action. */
final class VirtualTime implements Clock {
  private record ScheduledAction(long at, long order, Runnable action)
      implements Comparable<ScheduledAction> {
    @Override
    public int compareTo(ScheduledAction other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** Timers fire in steps of this size, slightly late. */
  private static final double STEP_S = 1e-4;

  private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
  private long now;
  private long order;

  @Override
  public double seconds() {
    return now / 1e9;
  }

  @Override
  public void after(double seconds, Runnable action) {
    queue.add(new ScheduledAction(now + Math.max(0, (long) (seconds * 1e9)), order++, action));
  }

  void runUntil(double seconds) {
    while (!queue.isEmpty() && queue.peek().at() <= seconds * 1e9) {
      ScheduledAction next = queue.poll();
      now = Math.max(now, next.at());
      next.action().run();
    }
    now = (long) (seconds * 1e9);
  }

  /**
   * Runs an action in a process: dropped once the process has ended, postponed while it is
   * suspended.
   */
  void whenAwake(ProcessScope process, Runnable action) {
    double suspendedS = process.suspendedFor(seconds());
    if (suspendedS > 0) {
      // A shorter delay would be rescheduled forever without the clock advancing.
      after(Math.max(suspendedS, 1e-9), () -> whenAwake(process, action));
    } else if (process.isAlive()) {
      action.run();
    }
  }

  /** The timers of a process; its clock has an offset of its own and runs at {@code rate}. */
  Timers timersOf(ProcessScope process, long offset, double rate, Meter meter) {
    return new Timers() {
      @Override
      public MonotonicTime now() {
        return new MonotonicTime((long) (now * rate) + offset);
      }

      @Override
      public void after(TimeSpan delay, Runnable action) {
        VirtualTime.this.after(
            delay.seconds() / rate + STEP_S, () -> whenAwake(process, () -> meter.run(action)));
      }

      @Override
      public void every(TimeSpan period, Runnable action) {
        VirtualTime.this.after(
            period.seconds() / rate + STEP_S,
            () ->
                whenAwake(
                    process,
                    () -> {
                      meter.run(action);
                      every(period, action);
                    }));
      }
    };
  }
}
