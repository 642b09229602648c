package org.quincecross.net;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/** A manually advanced clock whose timers fire as it passes them. */
public final class ManualTimers implements Timers {
  private record ScheduledAction(long at, long order, Runnable action) {}

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::at).thenComparingLong(ScheduledAction::order));
  private long nanos;
  private long order;

  public void advance(double seconds) {
    long until = nanos + TimeSpan.ofSeconds(seconds).nanos();
    while (!queue.isEmpty() && queue.peek().at() <= until) {
      ScheduledAction next = queue.poll();
      nanos = Math.max(nanos, next.at());
      next.action().run();
    }
    nanos = until;
  }

  @Override
  public MonotonicTime now() {
    return new MonotonicTime(nanos);
  }

  @Override
  public void after(TimeSpan delay, Runnable action) {
    queue.add(new ScheduledAction(nanos + delay.nanos(), order++, action));
  }
}
