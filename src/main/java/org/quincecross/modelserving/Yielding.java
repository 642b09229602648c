package org.quincecross.modelserving;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Which idle model gives way to one that is wanted and finds no room: the one that costs least to
 * come back for the time that it has not been used; and not too many of them, so that two that are
 * both wanted now and then do not throw each other out for ever.
 */
public final class Yielding {
  /** One that was wanted more lately than this does not give way. */
  static final TimeSpan LEAST_QUIET = TimeSpan.ofSeconds(20);

  /** One that came up more lately than this does not. */
  static final TimeSpan LEAST_UP = TimeSpan.ofSeconds(60);

  private static final int MOST_SWAPS = 6;
  static final TimeSpan SWAPS_WITHIN = TimeSpan.ofSeconds(60);

  /**
   * A model that is warm and has nothing in flight.
   *
   * @param comeBackS seconds of boot and fetch that its return would cost
   * @param makesRoom whether the one that is wanted could go where it is
   */
  public record Idle(
      String name, TimeSpan quiet, TimeSpan up, double comeBackS, boolean makesRoom) {
    double price() {
      return comeBackS / Math.max(1, quiet.seconds());
    }
  }

  private final Deque<MonotonicTime> swaps = new ArrayDeque<>();

  /** The one to give way, or null. */
  public Idle choose(Collection<Idle> idle, MonotonicTime now) {
    while (!swaps.isEmpty() && now.since(swaps.peek()).isLongerThan(SWAPS_WITHIN)) {
      swaps.poll();
    }
    Idle best = null;
    for (Idle each : idle) {
      boolean may =
          each.makesRoom && each.quiet.isLongerThan(LEAST_QUIET) && each.up.isLongerThan(LEAST_UP);
      if (may
          && (best == null
              || each.price() < best.price()
              || (each.price() == best.price() && each.name.compareTo(best.name) < 0))) {
        best = each;
      }
    }
    if (best == null || swaps.size() >= MOST_SWAPS) {
      return null;
    }
    swaps.add(now);
    return best;
  }
}
