package org.quincecross.failuredetection;

import org.quincecross.model.FencingToken;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Tells new messages of one machine from late copies of earlier ones, for the owner of its shard.
 *
 * <p>A heartbeat may arrive again, seconds to leases later, and a machine may be back within a
 * fraction of a second with a restarted agent, whose counts begin anew: its first heartbeat and a
 * copy of an old one may be the same bytes. So counts alone never prove a restart; four things
 * prove something:
 *
 * <ul>
 *   <li><b>The token.</b> An agent never shows a lower token than it has shown before. So of two
 *       messages the one with the lower token was made before the other, by the same agent, or by
 *       one that has restarted: the token ranks before the counts, the present one and those of
 *       former owners, and nothing that was said under lower ones can pass for new once the machine
 *       has shown a higher one (docs/incidents/copies-of-a-life-before-the-last.md).
 *   <li><b>The counts.</b> Without a restart the larger (session, number) is the later one.
 *   <li><b>A lease that has certainly expired.</b> Its agent has gone on to the next session, so a
 *       heartbeat of the same session was made before.
 *   <li><b>A response.</b> A response to a request that was sent now was made now. One with counts
 *       that are not above everything known when the request was sent comes from a restarted agent;
 *       what it had before is gone.
 * </ul>
 *
 * A doubtful heartbeat is neither accepted nor responded to. If the machine goes on, its next
 * heartbeat is due soon and resolves the doubt for free; if that does not come, the machine is
 * asked. Until the shard has a new token, only responses are believed of a restarted agent:
 * heartbeats from before the restart may still come, with larger counts.
 */
public final class StaleHeartbeatFilter {
  /** Agents drop a response after this time. */
  static final TimeSpan RESPONSE_DROPPED_AFTER = TimeSpan.ofSeconds(4);

  /** The tolerance beyond the heartbeat that was due. */
  static final TimeSpan DUE_MARGIN = TimeSpan.ofSeconds(0.5);

  /** The states of what is known of a machine. */
  public enum State {
    /** Its messages are in order. */
    TRUSTED,
    /**
     * A message came that is a late copy, unless the agent has restarted. Ends with a new message,
     * or with a response.
     */
    DOUBTED,
    /** A response has proven that the agent has restarted. Ends with the shard's next token. */
    BEGUN_ANEW
  }

  /** The classification of a message. */
  public enum Classification {
    /** Made after all that were accepted. */
    NEW,
    /**
     * Made shortly before one that was accepted, and not seen yet: its sender may wait for a
     * response, its content is outdated.
     */
    OVERTAKEN,
    /** A late copy or a late message, unless the agent has restarted: nothing follows from it. */
    LATE,
    /** From a restarted agent, by proof. */
    RESTARTED
  }

  /**
   * What a message shows of when it was made.
   *
   * @param token the highest that its agent had seen
   * @param session unsigned
   * @param order unsigned
   */
  public record Position(FencingToken token, long session, long order) {
    /** Whether this message was made later, by the same agent. */
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

  /** The only method that changes the state. */
  private void enter(State next) {
    if (state != State.BEGUN_ANEW) {
      state = next;
    }
  }

  /** The present state. */
  public State state() {
    return state;
  }

  private void taken(Position shown, MonotonicTime now) {
    latest = shown;
    latestAt = now;
  }

  /**
   * Classifies a heartbeat that the machine sent on its own, or a copy of one.
   *
   * @param leaseOver whether the lease of the agent that was last heard has certainly expired
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
    // Its sender drops a response that is older than that, and the message is older than what was
    // accepted since.
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

  /** Called when a request is sent directly to the machine; there is one at a time. */
  public void statusRequested() {
    asked = latest;
  }

  /** Classifies the response to the last request. */
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
   * Whether the machine has to be asked: if it is doubted and its next heartbeat, which would
   * resolve the doubt, is overdue; and at intervals once its agent has restarted.
   *
   * @param report the heartbeat interval; heartbeats come up to a quarter later
   */
  public boolean needsStatusRequest(TimeSpan report, MonotonicTime now) {
    return state != State.TRUSTED
        && now.since(latestAt).isLongerThan(report.times(1.25).plus(DUE_MARGIN));
  }

  /** Called when the last request got no response: the next message may raise the doubt again. */
  public void statusRequestFailed() {
    enter(State.TRUSTED);
  }
}
