package org.quincecross.emulator;

import java.util.PriorityQueue;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;

/** A clock that advances only to the next scheduled action. */
final class VirtualTime implements Clock {
  private record Due(long at, long order, Runnable action) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** Timers fire in steps of this size, slightly late. */
  private static final double STEP_S = 1e-4;

  private final PriorityQueue<Due> due = new PriorityQueue<>();
  private long now;
  private long order;

  @Override
  public double seconds() {
    return now / 1e9;
  }

  @Override
  public void after(double seconds, Runnable action) {
    due.add(new Due(now + Math.max(0, (long) (seconds * 1e9)), order++, action));
  }

  void runUntil(double seconds) {
    while (!due.isEmpty() && due.peek().at() <= seconds * 1e9) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      next.action().run();
    }
    now = (long) (seconds * 1e9);
  }

  /**
   * Runs an action in a process: dropped once the process has ended, postponed while it is
   * suspended.
   */
  void whenAwake(ProcessScope life, Runnable action) {
    double still = life.suspendedFor(seconds());
    if (still > 0) {
      // A shorter delay would be rescheduled forever without the clock advancing.
      after(Math.max(still, 1e-9), () -> whenAwake(life, action));
    } else if (life.isAlive()) {
      action.run();
    }
  }

  /** The timers of a process; its clock has an offset of its own and runs at {@code rate}. */
  Timers timersOf(ProcessScope life, long offset, double rate, Meter meter) {
    return new Timers() {
      @Override
      public MonotonicTime now() {
        return new MonotonicTime((long) (now * rate) + offset);
      }

      @Override
      public void after(TimeSpan delay, Runnable action) {
        VirtualTime.this.after(
            delay.seconds() / rate + STEP_S, () -> whenAwake(life, () -> meter.run(action)));
      }

      @Override
      public void every(TimeSpan period, Runnable action) {
        VirtualTime.this.after(
            period.seconds() / rate + STEP_S,
            () ->
                whenAwake(
                    life,
                    () -> {
                      meter.run(action);
                      every(period, action);
                    }));
      }
    };
  }
}
