package org.quincecross.failuredetection;

import java.util.HashMap;
import java.util.Map;
import org.quincecross.model.ControllerId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Remembers which controllers reach the machines of which zones, as far as shards that were taken
 * from them tell.
 *
 * <p>A controller that is cut off from the machines alone is as live as any and, once its shards
 * have gone to others, has the lowest load of all. Without this memory it is given shards again at
 * once, the machines are stuck with it until their leases nearly expire, and so on every few
 * seconds for as long as the partition lasts (docs/incidents/inc-6ced.md). Kept by the leader
 * alone: the next one finds out anew.
 */
public final class ReachabilityMap {
  /** The pause before the first probe; each failure doubles it. */
  static final TimeSpan FIRST_PAUSE = TimeSpan.ofSeconds(12);

  static final TimeSpan LONGEST_PAUSE = TimeSpan.ofSeconds(96);

  /** A probe without an outcome for this long has failed. */
  static final TimeSpan TRIAL = TimeSpan.ofSeconds(12);

  /** The states of a controller with regard to the machines of a zone. */
  public enum State {
    /** As far as is known, it reaches them. */
    HEARS,
    /** It gets no shard of the zone before the pause is over. */
    DEAF,
    /** The pause is over: it may be given one shard, the smallest. */
    TO_BE_TRIED,
    /**
     * It has been given that shard. Ends when the machines are fenced for it, when the shard is
     * taken away again, or with time.
     */
    ON_TRIAL
  }

  private record Place(ControllerId member, String zone) {}

  private static final class Ear {
    private State state = State.HEARS;
    private MonotonicTime until;
    private TimeSpan pause = FIRST_PAUSE;
  }

  private final Map<Place, Ear> ears = new HashMap<>();

  /** The only method that changes the state. */
  private static void enter(Ear ear, State next, MonotonicTime until) {
    ear.state = next;
    ear.until = until;
  }

  private static void pause(Ear ear, MonotonicTime now) {
    enter(ear, State.DEAF, now.plus(ear.pause));
    ear.pause = ear.pause.times(2).isLongerThan(LONGEST_PAUSE) ? LONGEST_PAUSE : ear.pause.times(2);
  }

  /**
   * Called when a shard of a zone was taken from a controller that does not reach its machines,
   * while others do.
   */
  public void unreachable(ControllerId member, String zone, MonotonicTime now) {
    Ear ear = ears.computeIfAbsent(new Place(member, zone), place -> new Ear());
    if (ear.state != State.DEAF) { // several shards are found at once
      pause(ear, now);
    }
  }

  /** Called when a shard of a zone was leased to a controller. */
  public void probeStarted(ControllerId member, String zone, MonotonicTime now) {
    if (of(member, zone, now) == State.TO_BE_TRIED) {
      enter(ears.get(new Place(member, zone)), State.ON_TRIAL, now.plus(TRIAL));
    }
  }

  /**
   * Called when all machines of a shard of the zone are fenced for the controller and report to it.
   */
  public void reachable(ControllerId member, String zone, MonotonicTime now) {
    if (of(member, zone, now) == State.ON_TRIAL) {
      ears.remove(new Place(member, zone));
    }
  }

  /** Whether a controller reaches the machines of a zone. */
  public State of(ControllerId member, String zone, MonotonicTime now) {
    Ear ear = ears.get(new Place(member, zone));
    if (ear == null) {
      return State.HEARS;
    }
    if (!now.isBefore(ear.until)) {
      switch (ear.state) {
        case DEAF -> enter(ear, State.TO_BE_TRIED, ear.until.plus(LONGEST_PAUSE));
        case ON_TRIAL -> pause(ear, now);
        case TO_BE_TRIED -> {
          // No shard was available for a probe for so long that what is known proves nothing any
          // more.
          ears.remove(new Place(member, zone));
          return State.HEARS;
        }
        default -> throw new IllegalStateException(ear.state.toString());
      }
    }
    return ear.state;
  }
}
