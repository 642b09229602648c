package org.quincecross.failuredetection;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Monitors by receipts whether reports reach another controller.
 *
 * <p>If the other side was silent for a minute, TCP retries on an open connection after a pause
 * that has grown to the length of that silence. The receiver then hears nothing for another minute
 * after the other side is back, and no error indicates it (docs/incidents/blind-after-silence.md).
 * A new connection works at once.
 */
public final class LinkMonitor {
  /**
   * Reports are sent twice a second, and each is acknowledged by the receipt in the next report
   * that comes back.
   */
  static final TimeSpan RECEIPT_TIMEOUT = TimeSpan.ofSeconds(3);

  /** The states of a link. */
  public enum State {
    /** No report waits for a receipt. */
    ACKNOWLEDGED,
    /**
     * A report was sent, and no receipt has come since. Ends with a receipt, or after {@link
     * #RECEIPT_TIMEOUT}.
     */
    WAITING
  }

  private State state = State.ACKNOWLEDGED;
  private MonotonicTime since;
  private long received = -1;

  /** The only method that changes the state. */
  private void enter(State next, MonotonicTime now) {
    state = next;
    since = now;
  }

  /** Called when a report was sent. */
  public void sent(MonotonicTime now) {
    if (state == State.ACKNOWLEDGED) {
      enter(State.WAITING, now);
    }
  }

  /**
   * Called when a receipt arrived.
   *
   * @param number the last report that the other side has, with all before it
   * @param gap whether a report arrived there that builds on one that did not
   */
  public void receipt(long number, boolean gap, MonotonicTime now) {
    if (number != received || gap) {
      received = number;
      enter(State.ACKNOWLEDGED, now);
    }
  }

  /**
   * Whether to reconnect. Once it has returned true, it returns false until {@link
   * #RECEIPT_TIMEOUT} has passed.
   */
  public boolean takeReconnectNeeded(MonotonicTime now) {
    if (state != State.WAITING || !now.since(since).isLongerThan(RECEIPT_TIMEOUT)) {
      return false;
    }
    enter(State.WAITING, now);
    return true;
  }
}
