package org.quincecross.failuredetection;

import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Detects from a machine's heartbeats whether responses reach it, for the controller that responds.
 *
 * <p>An agent that received a response stays with that controller and soon sends the next heartbeat
 * there, with the next number. An agent that did not gives up after {@link #RESPONSE_TIMEOUT}, goes
 * to the next controller a second later, and returns only after trying all of them; once its lease
 * has expired it has a new session. So a machine that sends but does not receive looks alive and
 * empty, the best candidate for tasks, at each such round (docs/incidents/deaf-machines.md).
 * Nothing here proves that tasks are gone: what is bound to the machine is released through its
 * sessions and leases as usual. The detector only decides whether to allocate more to it.
 */
public final class OneWayPartitionDetector {
  /** How long an agent waits for the response to a heartbeat. */
  static final TimeSpan RESPONSE_TIMEOUT = TimeSpan.ofSeconds(4);

  /**
   * The number of direct commands without a response, one after the other, that count as a sign.
   */
  static final int MAX_UNANSWERED_COMMANDS = 2;

  /** A machine that is partitioned again within this time has to give more evidence than before. */
  static final TimeSpan RELAPSE_WINDOW = TimeSpan.ofSeconds(60);

  static final int MAX_TRIALS = 16;

  /** The states of a machine that sends heartbeats. */
  public enum State {
    /** As far as known, it receives responses and accepts tasks. */
    RECEIVING,
    /**
     * One sign that a response or command did not arrive. Ends with the first sign that one did, or
     * the second that one did not.
     */
    SUSPECTED,
    /**
     * Several signs, or a session that ended within a lease of a response. Each response to a
     * heartbeat is a probe, without tasks.
     */
    PARTITIONED,
    /**
     * It has received something after repeated partitions, and has to do so for some more
     * heartbeats in a row.
     */
    TRIED
  }

  private State state = State.RECEIVING;
  private MonotonicTime receivedAt;
  private MonotonicTime partitionedAt;
  private MonotonicTime answeredAt;
  private long answeredSession;
  private long lastNumber;
  private int unanswered;
  private int trials = 1;
  private int trialsLeft;

  /** Creates a detector; up to {@code now} there is no evidence against the machine. */
  public OneWayPartitionDetector(MonotonicTime now) {
    receivedAt = now;
  }

  /** The only method that changes the state. */
  private void enter(State next) {
    state = next;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** Whether it may be given tasks. */
  public boolean isReceiving() {
    return state == State.RECEIVING;
  }

  /**
   * How long there has been evidence that it does not receive and none that it does; zero if there
   * is no such evidence.
   */
  public TimeSpan partitionedFor(MonotonicTime now) {
    return state == State.RECEIVING ? TimeSpan.ZERO : now.since(receivedAt);
  }

  /**
   * Called with a heartbeat that is newer than all before.
   *
   * @param session the agent's session
   * @param number the heartbeat's sequence number
   * @param lease the length of a lease
   */
  public void heartbeatReceived(long session, long number, TimeSpan lease, MonotonicTime now) {
    if (answeredAt != null) {
      boolean late = !RESPONSE_TIMEOUT.isLongerThan(now.since(answeredAt));
      if (session != answeredSession) {
        // Had the agent accepted the response, its lease would have restarted with the heartbeat
        // that was answered.
        if (now.since(answeredAt).isLongerThan(lease)) {
          recordMiss(now);
        } else {
          relapse(now);
        }
      } else if (number == lastNumber + 1) {
        // Regardless of the delay: an agent without a response sends heartbeats to the other
        // controllers before it returns here. At an interval of five seconds every heartbeat
        // arrives later than the response timeout.
        recordReception(now);
      } else if (late) {
        recordMiss(now);
      }
    }
    lastNumber = number;
  }

  /** Called when its last heartbeat got a response. */
  public void responseSent(long session, MonotonicTime now) {
    answeredAt = now;
    answeredSession = session;
  }

  /** Called when it responded to a direct command with this sequence number. */
  public void commandAcknowledged(long number, MonotonicTime now) {
    unanswered = 0;
    lastNumber = Math.max(lastNumber, number);
    recordReception(now);
  }

  /** Called when a direct command got no response in time. */
  public void commandTimedOut() {
    if (++unanswered >= MAX_UNANSWERED_COMMANDS && state == State.RECEIVING) {
      enter(State.SUSPECTED);
    }
  }

  /**
   * Called when it showed a token that it had not seen when the token was sent, which proves that
   * it receives.
   */
  public void tokenConfirmed(MonotonicTime now) {
    receivedAt = now;
    unanswered = 0;
    enter(State.RECEIVING);
  }

  /**
   * Called when a heartbeat proves that a response was not accepted although it was sent early
   * enough.
   */
  public void noResponseAccepted(MonotonicTime now) {
    if (answeredAt != null && !RESPONSE_TIMEOUT.isLongerThan(now.since(answeredAt))) {
      relapse(now);
    }
  }

  private void recordReception(MonotonicTime now) {
    receivedAt = now;
    switch (state) {
      case RECEIVING -> {
        if (trials > 1 && now.since(partitionedAt).isLongerThan(RELAPSE_WINDOW)) {
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
    partitionedAt = now;
    enter(State.PARTITIONED);
  }
}
