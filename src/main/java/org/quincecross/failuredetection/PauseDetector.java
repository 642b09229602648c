package org.quincecross.failuredetection;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Whether this process has stood still while its clocks ran on, and has not yet looked about since.
 *
 * <p>What it knew is then as old as it is, though nothing in the process has aged: others may lead,
 * hold its blocks and answer its machines. What was confirmed by a time is still bounded by that
 * time; what is taken for another's silence is not, for nobody was there to listen. While {@link
 * State#WAKING}, nothing is planned, rented, returned or answered for a block, until the state
 * service has confirmed the records once. It is not waited for that for ever: in an outage of the
 * state service the rules by what was last confirmed hold, as for any controller.
 */
public final class PauseDetector {
  /**
   * Something happens in a controller several times a second; a turn that comes so late was not
   * merely busy.
   */
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

  public PauseDetector(MonotonicTime now) {
    last = now;
  }

  /** The one place where the state changes. */
  private void enter(State next) {
    state = next;
  }

  /**
   * Something is about to be done. Returns for how long nothing was, where that is longer than
   * being busy explains; else zero.
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
   * Whether this process has stood still and not confirmed the records since.
   *
   * @param confirmed the records hold all that had happened by this time; null before they were
   *     read
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
