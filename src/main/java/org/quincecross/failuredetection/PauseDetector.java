package org.quincecross.failuredetection;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Detects that this process was paused while its clocks ran on, and whether it has confirmed its
 * state with the store since.
 *
 * <p>What it knew is then outdated, although nothing in the process has aged: other controllers may
 * lead, own its shards and respond to its machines. What was confirmed at some time is still valid
 * as of that time; the silence of others is not, because nothing was received during the pause.
 * While {@link State#WAKING}, nothing is planned, launched, terminated or responded to, until the
 * store has confirmed the state once. The wait is bounded: in an outage of the store, the rules for
 * the last confirmed state apply, as for any controller.
 */
public final class PauseDetector {
  /** A controller handles several events a second; a longer gap is not explained by load. */
  static final TimeSpan MIN_PAUSE = TimeSpan.ofSeconds(1.5);

  static final TimeSpan MAX_WAKING = TimeSpan.ofSeconds(2);

  /** The states of a process with regard to its clocks. */
  public enum State {
    AWAKE,
    WAKING
  }

  private State state = State.AWAKE;
  private MonotonicTime last;
  private MonotonicTime wokeAt;

  /** Creates a detector. */
  public PauseDetector(MonotonicTime now) {
    last = now;
  }

  /** The only method that changes the state. */
  private void enter(State next) {
    state = next;
  }

  /**
   * Called before any event is handled. Returns the length of the gap before it if load does not
   * explain it; else zero.
   */
  public TimeSpan tick(MonotonicTime now) {
    TimeSpan gap = now.since(last);
    last = now;
    if (!gap.isLongerThan(MIN_PAUSE)) {
      return TimeSpan.ZERO;
    }
    wokeAt = now;
    enter(State.WAKING);
    return gap;
  }

  /**
   * Whether this process was paused and has not confirmed its state since.
   *
   * @param confirmed the cache contains all changes up to this time; null before the first read
   */
  public boolean isWaking(MonotonicTime confirmed, MonotonicTime now) {
    if (state == State.WAKING
        && ((confirmed != null && !confirmed.isBefore(wokeAt))
            || now.since(wokeAt).isLongerThan(MAX_WAKING))) {
      enter(State.AWAKE);
    }
    return state == State.WAKING;
  }
}
