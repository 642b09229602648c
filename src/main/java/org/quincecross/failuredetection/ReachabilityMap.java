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

  static final TimeSpan MAX_PAUSE = TimeSpan.ofSeconds(96);

  /** A probe without an outcome for this long has failed. */
  static final TimeSpan TRIAL_TIMEOUT = TimeSpan.ofSeconds(12);

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

  private record MemberZone(ControllerId member, String zone) {}

  private static final class Reachability {
    private State state = State.HEARS;
    private MonotonicTime until;
    private TimeSpan pause = FIRST_PAUSE;
  }

  private final Map<MemberZone, Reachability> entries = new HashMap<>();

  /** The only method that changes the state. */
  private static void enter(Reachability entry, State next, MonotonicTime until) {
    entry.state = next;
    entry.until = until;
  }

  private static void pause(Reachability entry, MonotonicTime now) {
    enter(entry, State.DEAF, now.plus(entry.pause));
    entry.pause = entry.pause.times(2).isLongerThan(MAX_PAUSE) ? MAX_PAUSE : entry.pause.times(2);
  }

  /**
   * Called when a shard of a zone was moved away from a controller that does not reach its
   * machines, while others do.
   */
  public void unreachable(ControllerId member, String zone, MonotonicTime now) {
    Reachability entry =
        entries.computeIfAbsent(new MemberZone(member, zone), place -> new Reachability());
    if (entry.state != State.DEAF) { // several shards are detected at once
      pause(entry, now);
    }
  }

  /** Called when a shard of a zone was leased to a controller. */
  public void probeStarted(ControllerId member, String zone, MonotonicTime now) {
    if (state(member, zone, now) == State.TO_BE_TRIED) {
      enter(entries.get(new MemberZone(member, zone)), State.ON_TRIAL, now.plus(TRIAL_TIMEOUT));
    }
  }

  /**
   * Called when all machines of a shard of the zone are fenced for the controller and report to it.
   */
  public void reachable(ControllerId member, String zone, MonotonicTime now) {
    if (state(member, zone, now) == State.ON_TRIAL) {
      entries.remove(new MemberZone(member, zone));
    }
  }

  /** Whether a controller reaches the machines of a zone. */
  public State state(ControllerId member, String zone, MonotonicTime now) {
    Reachability entry = entries.get(new MemberZone(member, zone));
    if (entry == null) {
      return State.HEARS;
    }
    if (!now.isBefore(entry.until)) {
      switch (entry.state) {
        case DEAF -> enter(entry, State.TO_BE_TRIED, entry.until.plus(MAX_PAUSE));
        case ON_TRIAL -> pause(entry, now);
        case TO_BE_TRIED -> {
          // No shard was available for a probe for so long that the record is outdated.
          entries.remove(new MemberZone(member, zone));
          return State.HEARS;
        }
        default -> throw new IllegalStateException(entry.state.toString());
      }
    }
    return entry.state;
  }
}
