package org.quincecross.modelserving;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Chooses which idle model to evict when a requested model finds no room: the one with the lowest
 * cost of coming back in relation to its idle time. The number of evictions is limited, so that two
 * models that are both requested now and then do not keep evicting each other.
 */
public final class ModelEvictionPolicy {
  /** A model with more recent demand is not evicted. */
  static final TimeSpan MIN_IDLE_TIME = TimeSpan.ofSeconds(20);

  /** A model that came up more recently is not evicted. */
  static final TimeSpan MIN_UP_TIME = TimeSpan.ofSeconds(60);

  private static final int MAX_EVICTIONS = 6;
  static final TimeSpan EVICTION_WINDOW = TimeSpan.ofSeconds(60);

  /**
   * A warm model without requests in flight.
   *
   * @param restartCostS seconds of boot and fetch that bringing it back would cost
   * @param makesRoom whether the requested model could be placed where this one is
   */
  public record IdleModel(
      String name, TimeSpan idleTime, TimeSpan upTime, double restartCostS, boolean makesRoom) {
    double costPerIdleSecond() {
      return restartCostS / Math.max(1, idleTime.seconds());
    }
  }

  private final Deque<MonotonicTime> evictions = new ArrayDeque<>();

  /** Returns the model to evict, or null if none may be. */
  public IdleModel choose(Collection<IdleModel> idleModels, MonotonicTime now) {
    while (!evictions.isEmpty() && now.since(evictions.peek()).isLongerThan(EVICTION_WINDOW)) {
      evictions.poll();
    }
    IdleModel best = null;
    for (IdleModel candidate : idleModels) {
      boolean allowed =
          candidate.makesRoom
              && candidate.idleTime.isLongerThan(MIN_IDLE_TIME)
              && candidate.upTime.isLongerThan(MIN_UP_TIME);
      if (allowed
          && (best == null
              || candidate.costPerIdleSecond() < best.costPerIdleSecond()
              || (candidate.costPerIdleSecond() == best.costPerIdleSecond()
                  && candidate.name.compareTo(best.name) < 0))) {
        best = candidate;
      }
    }
    if (best == null || evictions.size() >= MAX_EVICTIONS) {
      return null;
    }
    evictions.add(now);
    return best;
  }
}
