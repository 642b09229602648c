package org.quincecross.failuredetection;

import java.util.HashMap;
import java.util.Map;
import org.quincecross.model.ControllerId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Records which controllers reach the machines of which zones, as far as shards that were taken
 * from them show.
 *
 * <p>A controller that is cut off from the machines alone appears live and, once its shards have
 * moved, has the lowest load of all. Without this record it would be given shards again at once,
 * the machines would be stuck with it until their leases nearly expire, and this would repeat every
 * few seconds during the partition (docs/incidents/inc-6ced.md). Kept by the leader only; a new
 * leader starts without it.
 */
public final class ReachabilityMap {
  /** The pause before the first probe; doubled by each failure. */
  static final TimeSpan FIRST_PAUSE = TimeSpan.ofSeconds(12);

  static final TimeSpan LONGEST_PAUSE = TimeSpan.ofSeconds(96);

  /** A probe without an outcome for this long has failed. */
  static final TimeSpan TRIAL = TimeSpan.ofSeconds(12);

  /** The states of a controller with regard to the machines of a zone. */
  public enum State {
    /** As far as known, it reaches them. */
    HEARS,
    /** It is given no shard of the zone until the pause is over. */
    DEAF,
    /** The pause is over: it may be given one shard, the smallest, as a probe. */
    TO_BE_TRIED,
    /**
     * It has been given that shard. Ends when the machines are fenced for it, when the shard is
     * moved away again, or by timeout.
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
   * Called when a shard of a zone was moved away from a controller that does not reach its
   * machines, while others do.
   */
  public void unreachable(ControllerId member, String zone, MonotonicTime now) {
    Ear ear = ears.computeIfAbsent(new Place(member, zone), place -> new Ear());
    if (ear.state != State.DEAF) { // several shards are detected at once
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
          // No shard was available for a probe for so long that the record is outdated.
          ears.remove(new Place(member, zone));
          return State.HEARS;
        }
        default -> throw new IllegalStateException(ear.state.toString());
      }
    }
    return ear.state;
  }
}
