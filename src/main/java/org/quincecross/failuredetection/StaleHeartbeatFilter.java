package org.quincecross.failuredetection;

import org.quincecross.model.FencingToken;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Tells news of one machine from late copies of what it said before, for the holder of its block.
 *
 * <p>A report may come again, seconds to leases later, and a machine may be back within a fraction
 * of a second as a new worker, whose counts begin anew: the first report of that one and a copy of
 * an old report may be the same bytes. So counts alone never prove that a machine has begun anew;
 * four things prove something:
 *
 * <ul>
 *   <li><b>The token.</b> A worker never shows a lower token than it has shown before. So of two
 *       messages that with the lower token was made before the other, by the same worker, or by one
 *       that has begun anew: the token ranks before the counts, the present one and those of former
 *       holders, and nothing that was said under lower ones can pass for news once the machine has
 *       shown a higher (docs/incidents/copies-of-a-life-before-the-last.md).
 *   <li><b>The counts.</b> Within the life of a worker the larger (session, number) is the later
 *       one.
 *   <li><b>A lease that is surely over.</b> Its worker has gone on to the next session, so that a
 *       report of the same session was made before.
 *   <li><b>An answer.</b> An answer to a request that was sent now was made now. One with counts
 *       that are not above all that was known when the request was sent is of a worker that has
 *       begun anew; what the one before had is gone.
 * </ul>
 *
 * A doubtful report is neither taken nor answered. Where the machine goes on, its next report is
 * due soon and says so for nothing; where that does not come, the machine is asked. Until the block
 * has a new token, only answers are believed of a machine that has begun anew: what its former life
 * said may still come, with larger counts.
 */
public final class StaleHeartbeatFilter {
  /** Workers drop an answer after this time. */
  static final TimeSpan RESPONSE_DROPPED_AFTER = TimeSpan.ofSeconds(4);

  /** Beyond the report that was due. */
  static final TimeSpan DUE_MARGIN = TimeSpan.ofSeconds(0.5);

  /** The states of what is known of a machine. */
  public enum State {
    /** What came is in order. */
    TRUSTED,
    /**
     * Something came that is a late copy, unless the machine has begun anew. Ends with news, or
     * with an answer.
     */
    DOUBTED,
    /**
     * An answer has proven that it has begun anew. Ends with the holder: the block is leased anew.
     */
    BEGUN_ANEW
  }

  /** What a message is. */
  public enum Classification {
    /** Made after all that was taken. */
    NEW,
    /**
     * Made shortly before something that was taken, and not seen yet: its sender may wait for an
     * answer, its content is old.
     */
    OVERTAKEN,
    /**
     * A late copy or a late message, unless the machine has begun anew: nothing follows from it.
     */
    LATE,
    /** Of a worker that has begun anew, by proof. */
    RESTARTED
  }

  /**
   * What a message shows of when it was made.
   *
   * @param token the highest that its worker had seen
   * @param session unsigned
   * @param order unsigned
   */
  public record Position(FencingToken token, long session, long order) {
    public boolean isAfter(Position other) {
      int byToken = token.compareTo(other.token);
      if (byToken != 0) {
        return byToken > 0;
      }
      int bySession = Long.compareUnsigned(session, other.session);
      return bySession != 0 ? bySession > 0 : Long.compareUnsigned(order, other.order) > 0;
    }
  }

  private State state = State.TRUSTED;
  private Position latest;
  private Position latestReport;
  private Position asked;
  private MonotonicTime latestAt;

  /** The one place where the state changes. */
  private void enter(State next) {
    if (state != State.BEGUN_ANEW) {
      state = next;
    }
  }

  public State state() {
    return state;
  }

  private void taken(Position shown, MonotonicTime now) {
    latest = shown;
    latestAt = now;
  }

  /**
   * A report came that the machine sent by itself, or a copy of one.
   *
   * @param leaseOver whether the lease of the worker that was last heard is surely over
   */
  public Classification classifyHeartbeat(Position shown, boolean leaseOver, MonotonicTime now) {
    boolean after = latest == null || shown.isAfter(latest);
    if (state != State.BEGUN_ANEW
        && after
        && !(leaseOver && latest != null && latest.session == shown.session)) {
      taken(shown, now);
      latestReport = shown;
      enter(State.TRUSTED);
      return Classification.NEW;
    }
    // Its answer is dropped by its sender once it is older than that; and it is older than what was
    // taken since.
    if (state != State.BEGUN_ANEW
        && !leaseOver
        && (latestReport == null || shown.isAfter(latestReport))
        && latest.session == shown.session
        && !now.since(latestAt).isLongerThan(RESPONSE_DROPPED_AFTER)) {
      latestReport = shown;
      return Classification.OVERTAKEN;
    }
    enter(State.DOUBTED);
    return Classification.LATE;
  }

  /** A request is sent straight to the machine. One is under way at a time. */
  public void statusRequested() {
    asked = latest;
  }

  /** The machine has answered the request that was sent last. */
  public Classification classifyCommandResponse(Position shown, MonotonicTime now) {
    if (asked != null && !shown.isAfter(asked)) {
      taken(shown, now);
      latestReport = null;
      enter(State.BEGUN_ANEW);
      return Classification.RESTARTED;
    }
    if (latest != null && !shown.isAfter(latest)) {
      return Classification.OVERTAKEN;
    }
    taken(shown, now);
    enter(State.TRUSTED);
    return Classification.NEW;
  }

  /**
   * Whether the machine is to be asked: where it is doubted and its next report, which would end
   * the doubt, is overdue; and now and then once it has begun anew.
   *
   * @param report how often machines report; they do so up to a quarter later
   */
  public boolean needsStatusRequest(TimeSpan report, MonotonicTime now) {
    return state != State.TRUSTED
        && now.since(latestAt).isLongerThan(report.times(1.25).plus(DUE_MARGIN));
  }

  /** The request that was sent last had no answer: what comes next may raise the doubt again. */
  public void statusRequestFailed() {
    enter(State.TRUSTED);
  }
}
