package org.quincecross.failuredetection;

import org.quincecross.model.FencingToken;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Distinguishes new messages of a machine from late copies of earlier ones, for the owner of its
 * shard.
 *
 * <p>A heartbeat may arrive again seconds or several leases later, and a machine may be back within
 * a fraction of a second with a restarted agent whose counts start afresh: its first heartbeat and
 * a copy of an old one may be identical. So counts alone never prove a restart. Four things prove
 * something:
 *
 * <ul>
 *   <li><b>The token.</b> An agent never shows a lower token than before. Of two messages, the one
 *       with the lower token was therefore made first, whether or not the agent restarted in
 *       between. The token ranks before the counts, so once the machine has shown a higher token,
 *       nothing sent under a lower one counts as new
 *       (docs/incidents/copies-of-a-life-before-the-last.md).
 *   <li><b>The counts.</b> Without a restart, the larger (session, number) is the later one.
 *   <li><b>A lease that has certainly expired.</b> Its agent has moved on to the next session, so a
 *       heartbeat of the same session was made before.
 *   <li><b>A response.</b> A response to a request sent now was made now. If its counts are not
 *       above everything known when the request was sent, it comes from a restarted agent, and
 *       everything the agent had before is gone.
 * </ul>
 *
 * A doubtful heartbeat is neither accepted nor responded to. If the machine is alive, its next
 * heartbeat is due soon and resolves the doubt at no cost; if that does not arrive, the machine is
 * queried. Until the shard has a new token, only responses of a restarted agent are accepted:
 * heartbeats from before the restart may still arrive, with larger counts.
 */
public final class StaleHeartbeatFilter {
  /** Agents discard a response that arrives after this time. */
  static final TimeSpan RESPONSE_DROPPED_AFTER = TimeSpan.ofSeconds(4);

  /** The tolerance beyond the heartbeat that was due. */
  static final TimeSpan DUE_MARGIN = TimeSpan.ofSeconds(0.5);

  /** What is known about the order of a machine's messages. */
  public enum State {
    /** Its messages are in order. */
    TRUSTED,
    /**
     * A message arrived that is a late copy, unless the agent has restarted. Ends with a new
     * message or a response.
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
     * Made shortly before an accepted one, and not seen yet: its sender may wait for a response,
     * but its content is outdated.
     */
    OVERTAKEN,
    /** A late copy or a late message, unless the agent has restarted. It has no effect. */
    LATE,
    /** From a restarted agent, as proven by a response. */
    RESTARTED
  }

  /**
   * What a message shows about when it was made.
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
  private Position latestHeartbeat;
  private Position latestAtRequest;
  private MonotonicTime latestAt;

  /** The only method that changes the state. */
  private void enter(State next) {
    if (state != State.BEGUN_ANEW) {
      state = next;
    }
  }

  /** The current state. */
  public State state() {
    return state;
  }

  private void recordAccepted(Position shown, MonotonicTime now) {
    latest = shown;
    latestAt = now;
  }

  /**
   * Classifies a heartbeat that the machine sent on its own, or a copy of one.
   *
   * @param leaseExpired whether the lease of the agent that was last heard has certainly expired
   */
  public Classification classifyHeartbeat(Position shown, boolean leaseExpired, MonotonicTime now) {
    boolean isLater = latest == null || shown.isAfter(latest);
    if (state != State.BEGUN_ANEW
        && isLater
        && !(leaseExpired && latest != null && latest.session == shown.session)) {
      recordAccepted(shown, now);
      latestHeartbeat = shown;
      enter(State.TRUSTED);
      return Classification.NEW;
    }
    // Its sender no longer accepts a response after that time, and the message is older than what
    // was accepted since.
    if (state != State.BEGUN_ANEW
        && !leaseExpired
        && (latestHeartbeat == null || shown.isAfter(latestHeartbeat))
        && latest.session == shown.session
        && !now.since(latestAt).isLongerThan(RESPONSE_DROPPED_AFTER)) {
      latestHeartbeat = shown;
      return Classification.OVERTAKEN;
    }
    enter(State.DOUBTED);
    return Classification.LATE;
  }

  /** Called when a request is sent directly to the machine; there is one at a time. */
  public void statusRequested() {
    latestAtRequest = latest;
  }

  /** Classifies the response to the last request. */
  public Classification classifyCommandResponse(Position shown, MonotonicTime now) {
    if (latestAtRequest != null && !shown.isAfter(latestAtRequest)) {
      recordAccepted(shown, now);
      latestHeartbeat = null;
      enter(State.BEGUN_ANEW);
      return Classification.RESTARTED;
    }
    if (latest != null && !shown.isAfter(latest)) {
      return Classification.OVERTAKEN;
    }
    recordAccepted(shown, now);
    enter(State.TRUSTED);
    return Classification.NEW;
  }

  /**
   * Whether the machine has to be queried: while a doubt is unresolved and its next heartbeat,
   * which would resolve it, is overdue; and at intervals once its agent has restarted.
   *
   * @param report the heartbeat interval; heartbeats come up to a quarter later
   */
  public boolean needsStatusRequest(TimeSpan report, MonotonicTime now) {
    return state != State.TRUSTED
        && now.since(latestAt).isLongerThan(report.times(1.25).plus(DUE_MARGIN));
  }

  /** Called when the last request got no response; the next message may raise the doubt again. */
  public void statusRequestFailed() {
    enter(State.TRUSTED);
  }
}
