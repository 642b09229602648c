package org.quincecross.failuredetection;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Whether a machine that speaks also hears, as its reports tell the controller that answers them.
 *
 * <p>A worker whose report was answered stays with the controller that answered it and reports
 * there again soon, with the next number. One that has not got the answer gives up after {@link
 * #RESPONSE_TIMEOUT}, goes to the next controller a second later, and comes back only when it has
 * been round all of them; once its lease is over it has a new session. So a machine that speaks and
 * does not hear looks alive and empty, the best of all places for work, again at each round
 * (docs/incidents/deaf-machines.md). Nothing here proves that anything is gone: what is bound to
 * the machine is freed by its sessions and leases, as ever. This says only whether to give it more.
 */
public final class OneWayPartitionDetector {
  /** A worker waits so long for the answer to a report. */
  static final TimeSpan RESPONSE_TIMEOUT = TimeSpan.ofSeconds(4);

  /** Direct commands without an answer, one after the other, that count as a sign. */
  static final int MAX_UNANSWERED_COMMANDS = 2;

  /** A machine that is deaf again so soon is believed less easily than before. */
  static final TimeSpan RELAPSE_WINDOW = TimeSpan.ofSeconds(60);

  static final int MAX_TRIALS = 16;

  /** The states of a machine that speaks. */
  public enum State {
    /** As far as is known: it takes work. */
    RECEIVING,
    /**
     * One sign that an answer or a command did not arrive. Ends with the first sign that one did,
     * or with the second that not.
     */
    SUSPECTED,
    /**
     * Several signs, or a session that ended within a lease of an answer. Each answer to a report
     * tries it, without work.
     */
    PARTITIONED,
    /**
     * It has heard, and has been deaf again and again before: it has to hear for some more reports
     * in a row.
     */
    TRIED
  }

  private State state = State.RECEIVING;
  private MonotonicTime heardAt;
  private MonotonicTime deafAt;
  private MonotonicTime answeredAt;
  private long answeredSession;
  private long known;
  private int unanswered;
  private int trials = 1;
  private int trialsLeft;

  /**
   * @param now until now nothing speaks against the machine
   */
  public OneWayPartitionDetector(MonotonicTime now) {
    heardAt = now;
  }

  /** The one place where the state changes. */
  private void enter(State next) {
    state = next;
  }

  public State state() {
    return state;
  }

  /** Whether it may be given work. */
  public boolean isReceiving() {
    return state == State.RECEIVING;
  }

  /**
   * For how long nothing has shown that it hears, while something shows that it does not; else
   * zero.
   */
  public TimeSpan partitionedFor(MonotonicTime now) {
    return state == State.RECEIVING ? TimeSpan.ZERO : now.since(heardAt);
  }

  /**
   * A report came that is newer than all before it.
   *
   * @param session the worker's session
   * @param number the report's number
   * @param lease how long a lease lasts
   */
  public void heartbeatReceived(long session, long number, TimeSpan lease, MonotonicTime now) {
    if (answeredAt != null) {
      boolean late = !RESPONSE_TIMEOUT.isLongerThan(now.since(answeredAt));
      if (session != answeredSession) {
        // Had it taken the answer, its lease would have begun anew with the report that was
        // answered.
        if (now.since(answeredAt).isLongerThan(lease)) {
          recordMiss(now);
        } else {
          relapse(now);
        }
      } else if (number == known + 1) {
        // However late it is: a worker that has not got an answer has reported to the others before
        // it is here again. Where
        // reports are due every five seconds, each comes later than an answer is waited for.
        recordReception(now);
      } else if (late) {
        recordMiss(now);
      }
    }
    known = number;
  }

  /** Its last report was answered. */
  public void responseSent(long session, MonotonicTime now) {
    answeredAt = now;
    answeredSession = session;
  }

  /** A direct command was answered; {@code number}: that of the answer. */
  public void commandAcknowledged(long number, MonotonicTime now) {
    unanswered = 0;
    known = Math.max(known, number);
    recordReception(now);
  }

  /** A direct command was sent and not answered in time. */
  public void commandTimedOut() {
    if (++unanswered >= MAX_UNANSWERED_COMMANDS && state == State.RECEIVING) {
      enter(State.SUSPECTED);
    }
  }

  /**
   * It has shown a token that it had not seen before it was told it: it hears, whatever was known.
   */
  public void tokenConfirmed(MonotonicTime now) {
    heardAt = now;
    unanswered = 0;
    enter(State.RECEIVING);
  }

  /** A report proves that an answer was not taken that was sent long enough before to arrive. */
  public void noResponseAccepted(MonotonicTime now) {
    if (answeredAt != null && !RESPONSE_TIMEOUT.isLongerThan(now.since(answeredAt))) {
      relapse(now);
    }
  }

  private void recordReception(MonotonicTime now) {
    heardAt = now;
    switch (state) {
      case RECEIVING -> {
        if (trials > 1 && now.since(deafAt).isLongerThan(RELAPSE_WINDOW)) {
          trials = 1;
        }
      }
      case SUSPECTED -> enter(State.RECEIVING);
      case PARTITIONED -> {
        trialsLeft = trials - 1;
        trials = Math.min(MAX_TRIALS, 2 * trials);
        enter(trialsLeft == 0 ? State.RECEIVING : State.TRIED);
      }
      case TRIED -> {
        if (--trialsLeft <= 0) {
          enter(State.RECEIVING);
        }
      }
      default -> throw new IllegalStateException(state.toString());
    }
  }

  private void recordMiss(MonotonicTime now) {
    if (state == State.RECEIVING) {
      enter(State.SUSPECTED);
    } else {
      relapse(now);
    }
  }

  private void relapse(MonotonicTime now) {
    deafAt = now;
    enter(State.PARTITIONED);
  }
}
