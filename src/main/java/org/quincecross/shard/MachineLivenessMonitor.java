package org.quincecross.shard;

import java.util.List;
import java.util.Map;
import org.quincecross.failuredetection.OneWayPartitionDetector;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors which machines of a shard can be reached, and which have certainly lost their leases.
 */
final class MachineLivenessMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(MachineLivenessMonitor.class);

  /** What an agent and this process may take to notice, beyond clock drift. */
  private static final TimeSpan LEASE_MARGIN = TimeSpan.ofSeconds(0.7);

  private static final double CLOCK_DRIFT = 1.001;
  private static final TimeSpan MAX_CHECK_INTERVAL = TimeSpan.ofSeconds(1);

  /**
   * A machine that has received nothing for this long after its lease has expired is to be
   * replaced.
   */
  private static final TimeSpan REPLACEMENT_TIMEOUT = TimeSpan.ofSeconds(75);

  /**
   * One of this many machines of a shard may be replaced for a one-way partition; if more are
   * affected, the network is the cause.
   */
  private static final int MACHINES_PER_REPLACEMENT = 5;

  private final ShardContext context;
  private final ShardState state;
  private final TaskStatusProcessor taskStatuses;
  private final Map<MachineId, AgentSession> sessions;

  /** No lease expires by silence before this time; contact in the meantime only postpones it. */
  private MonotonicTime nextCheck;

  private boolean formerOwnersEnded;

  MachineLivenessMonitor(ShardState state, TaskStatusProcessor taskStatuses) {
    this.state = state;
    this.context = state.context();
    this.taskStatuses = taskStatuses;
    this.sessions = state.sessions();
  }

  private TimeSpan lease() {
    return context.agentTimeouts().lease().times(CLOCK_DRIFT).plus(LEASE_MARGIN);
  }

  /** Checks for machines whose leases have expired by silence. Returns whether one was found. */
  boolean tick() {
    MonotonicTime now = context.now();
    if (!formerOwnersEnded
        && context.allControllersHaveSeen(new Revision(state.lease().token().value()))) {
      // By now every former owner of the shard knows that it no longer owns it, and responds to
      // none of its machines.
      formerOwnersEnded = true;
      sessions.values().forEach(session -> session.formerOwnersSilentSince(now));
      nextCheck = null;
    }
    if (nextCheck != null && now.isBefore(nextCheck)) {
      return false;
    }
    nextCheck = now.plus(MAX_CHECK_INTERVAL);
    boolean found = false;
    for (AgentSession session : List.copyOf(sessions.values())) {
      found |= check(session, now);
    }
    return found;
  }

  /**
   * Called after a pause of this process, during which no machine could be heard. Their leases ran
   * on all the same.
   */
  void excusePause(TimeSpan gap) {
    MonotonicTime now = context.now();
    for (AgentSession session : sessions.values()) {
      MonotonicTime heard = session.lastContact().plus(gap);
      session.recordContact(now.isBefore(heard) ? now : heard);
    }
  }

  /** Checks what an unreachable machine loses as time passes, and when to check it again. */
  private boolean check(AgentSession session, MonotonicTime now) {
    boolean lost = loseIfLeaseExpired(session, now);
    boolean open = isOpen(session);
    if (session.isOpen() != open) {
      state.markDirty(session); // it became unreachable
    }
    MonotonicTime next =
        open ? session.lastContact().plus(openTimeout()) : session.leaseExpiry(lease());
    if (session.state() != AgentSession.State.LOST && next.isBefore(nextCheck)) {
      nextCheck = next;
    }
    return lost;
  }

  /**
   * An expired lease counts only as of the last confirmation by the store: until then no other
   * controller owned the shard, so none can have renewed the lease. Afterwards another controller
   * may have; then the machine's tasks continue, and the other machines may still obey this owner
   * (docs/incidents/lost-by-a-former-holder.md).
   */
  private boolean loseIfLeaseExpired(AgentSession session, MonotonicTime now) {
    MonotonicTime confirmed = context.confirmedAt();
    if (session.state() == AgentSession.State.LOST
        || confirmed == null
        || !session.isLeaseExpired(lease(), confirmed)) {
      return false;
    }
    LOG.info(
        "shard {}: machine {} has accepted no response for the length of its lease, which has expired",
        state.id(),
        session.machine().id());
    session.enter(AgentSession.State.LOST);
    taskStatuses.freeAll(session.machine().id(), now);
    state.markDirty(session);
    return true;
  }

  private TimeSpan openTimeout() {
    return context.agentTimeouts().heartbeatInterval().times(2).plus(TimeSpan.ofSeconds(2));
  }

  /** Whether the machine accepts tasks now. */
  boolean isOpen(AgentSession session) {
    return session.acceptsTasks()
        && !state.lease().leaving().contains(session.machine().id())
        && isReachable(session);
  }

  /** Whether heartbeats from the machine arrive and responses reach it. */
  private boolean isReachable(AgentSession session) {
    return session.reachability().isReceiving()
        && !context.now().since(session.lastContact()).isLongerThan(openTimeout());
  }

  /**
   * Evaluates a new heartbeat for reachability before it is accepted. Returns whether it proves
   * that the machine's lease has expired, or that the session has ended in which a former owner may
   * have sent commands.
   */
  boolean heartbeatReceived(AgentSession session, Heartbeat heartbeat, boolean beat) {
    MonotonicTime now = context.now();
    if (!beat) {
      session.reachability().commandAcknowledged(heartbeat.sequence(), now);
      return false;
    }
    boolean hadHeard = session.reachability().isReceiving();
    session
        .reachability()
        .heartbeatReceived(
            heartbeat.session(), heartbeat.sequence(), context.agentTimeouts().lease(), now);
    if (hadHeard != session.reachability().isReceiving()) {
      if (session.reachability().state() == OneWayPartitionDetector.State.PARTITIONED) {
        LOG.info(
            "shard {}: machine {} sends heartbeats but receives no responses (one-way partition)",
            state.id(),
            session.machine().id());
      }
      state.markDirty(session);
    }
    if (!session.provesNoneTaken(heartbeat, state.lease().token())) {
      return false;
    }
    session.reachability().noResponseAccepted(now);
    boolean isCleared =
        context.confirmedAt() != null && session.clearAfterLease(lease(), context.confirmedAt());
    return loseIfLeaseExpired(session, now) || isCleared;
  }

  /**
   * Whether a machine has been in a one-way partition for so long that another should replace it,
   * while the others are not.
   */
  boolean needsReplacement(AgentSession session, MonotonicTime now) {
    if (!isPartitionedForLong(session, now)) {
      return false;
    }
    long unreachableCount =
        sessions.values().stream().filter(other -> !other.reachability().isReceiving()).count();
    return unreachableCount <= Math.max(1, sessions.size() / MACHINES_PER_REPLACEMENT);
  }

  private boolean isPartitionedForLong(AgentSession session, MonotonicTime now) {
    return session
        .reachability()
        .partitionedFor(now)
        .isLongerThan(context.agentTimeouts().lease().plus(REPLACEMENT_TIMEOUT));
  }
}
