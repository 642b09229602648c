package org.quincecross.emulator;

import java.util.PriorityQueue;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;

/** Time that passes only when something is to happen. */
final class VirtualTime implements Clock {
  private record Due(long at, long order, Runnable action) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** Timers fire in steps, a little late. */
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

  /** Runs something in a process: not once it is dead, and later while it stands still. */
  void whenAwake(ProcessScope life, Runnable action) {
    double still = life.suspendedFor(seconds());
    if (still > 0) {
      // A rest of less than the clock's step would be waited for without the time moving on.
      after(Math.max(still, 1e-9), () -> whenAwake(life, action));
    } else if (life.isAlive()) {
      action.run();
    }
  }

  /** The timers of a process; its clock starts somewhere of its own and runs at {@code rate}. */
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
