package org.quincecross.failuredetection;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Whether what is sent to another controller arrives there, as its receipts tell.
 *
 * <p>A connection that was open while the other side was silent for a minute is tried again by TCP
 * after a pause that has grown to the length of that silence: whoever waits for it is not heard for
 * another minute after the other side is back, and nothing says so
 * (docs/incidents/blind-after-silence.md). A new connection is heard at once.
 */
public final class LinkMonitor {
  /**
   * Reports go out twice a second, and each is answered by the receipt in the next one that comes
   * back.
   */
  static final TimeSpan RECEIPT_TIMEOUT = TimeSpan.ofSeconds(3);

  /** The states of a link. */
  public enum State {
    /** Nothing that was sent waits for a receipt. */
    ACKNOWLEDGED,
    /**
     * Something was sent, and no receipt has come since. Ends with a receipt, or after {@link
     * #RECEIPT_TIMEOUT}.
     */
    WAITING
  }

  private State state = State.ACKNOWLEDGED;
  private MonotonicTime since;
  private long received = -1;

  /** The one place where a link changes its state. */
  private void enter(State next, MonotonicTime now) {
    state = next;
    since = now;
  }

  /** A report went out. */
  public void sent(MonotonicTime now) {
    if (state == State.ACKNOWLEDGED) {
      enter(State.WAITING, now);
    }
  }

  /**
   * A receipt came.
   *
   * @param number the last report that the other side has, with all before it
   * @param gap whether a report came there that builds on one that did not
   */
  public void receipt(long number, boolean gap, MonotonicTime now) {
    if (number != received || gap) {
      received = number;
      enter(State.ACKNOWLEDGED, now);
    }
  }

  /**
   * Whether the connection is to be made anew. If it is said so, it is not said again before {@link
   * #RECEIPT_TIMEOUT} is over.
   */
  public boolean takeReconnectNeeded(MonotonicTime now) {
    if (state != State.WAITING || !now.since(since).isLongerThan(RECEIPT_TIMEOUT)) {
      return false;
    }
    enter(State.WAITING, now);
    return true;
  }
}
