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

/** Which machines of a block are heard and hear, and which have surely lost their leases. */
final class MachineLivenessMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(MachineLivenessMonitor.class);

  /** Beyond the clocks' drift: what a worker and this process may take to notice. */
  private static final TimeSpan LEASE_MARGIN = TimeSpan.ofSeconds(0.7);

  private static final double CLOCK_DRIFT = 1.001;
  private static final TimeSpan LONGEST_UNLOOKED = TimeSpan.ofSeconds(1);

  /** A machine that has not heard anything for so much longer than a lease is to be replaced. */
  private static final TimeSpan LASTING = TimeSpan.ofSeconds(75);

  /**
   * Of so many machines of a block one may be replaced for being deaf; where more are, it is the
   * network.
   */
  private static final int MACHINES_PER_DEAF = 5;

  private final ShardContext context;
  private final ShardOwner owner;
  private final HeartbeatProcessor intake;
  private final Map<MachineId, AgentSession> sessions;

  /**
   * Before this no machine loses anything by its silence; what is heard meanwhile only puts it off.
   */
  private MonotonicTime silentAt;

  private boolean formerHaveEnded;

  MachineLivenessMonitor(
      ShardContext context,
      ShardOwner owner,
      HeartbeatProcessor intake,
      Map<MachineId, AgentSession> sessions) {
    this.context = context;
    this.owner = owner;
    this.intake = intake;
    this.sessions = sessions;
  }

  private TimeSpan lease() {
    return context.workers().lease().times(CLOCK_DRIFT).plus(LEASE_MARGIN);
  }

  /** Looks for machines whose silence has ended their leases. Returns whether one was found. */
  boolean tick() {
    MonotonicTime now = context.now();
    if (!formerHaveEnded && context.allHaveNoted(new Revision(owner.lease().token().value()))) {
      // Whoever held the block before this lease knows by now that it does not, and answers no
      // machine of it any more.
      formerHaveEnded = true;
      sessions.values().forEach(session -> session.answeredByOthersUntil(now));
      silentAt = null;
    }
    if (silentAt != null && now.isBefore(silentAt)) {
      return false;
    }
    silentAt = now.plus(LONGEST_UNLOOKED);
    boolean found = false;
    for (AgentSession session : List.copyOf(sessions.values())) {
      found |= lookAtSilence(session, now);
    }
    return found;
  }

  /** For so long no machine was listened to. Their leases ran on all the same. */
  void excuse(TimeSpan gap) {
    MonotonicTime now = context.now();
    for (AgentSession session : sessions.values()) {
      MonotonicTime heard = session.heard().plus(gap);
      session.hear(now.isBefore(heard) ? now : heard);
    }
  }

  /** What a machine that is not heard loses with time, and when that is to be looked at again. */
  private boolean lookAtSilence(AgentSession session, MonotonicTime now) {
    boolean lost = loseIfOver(session, now);
    boolean open = owner.isOpen(session);
    if (session.wasOpen() != open) {
      owner.stir(session); // by falling silent
    }
    MonotonicTime next = open ? session.heard().plus(openFor()) : session.leaseEnds(lease());
    if (session.state() != AgentSession.State.LOST && next.isBefore(silentAt)) {
      silentAt = next;
    }
    return lost;
  }

  /**
   * That a lease is over counts only as of the last word from the state service: until then nobody
   * else held the block, so nobody else can have renewed it. After that another controller may
   * have, and what runs there goes on, while the other machines may still obey this holder
   * (docs/incidents/lost-by-a-former-holder.md).
   */
  private boolean loseIfOver(AgentSession session, MonotonicTime now) {
    MonotonicTime confirmed = context.confirmed();
    if (session.state() == AgentSession.State.LOST
        || confirmed == null
        || !session.leaseIsOver(lease(), confirmed)) {
      return false;
    }
    LOG.info(
        "block {}: machine {} has not taken an answer for a lease, which is over",
        owner.id(),
        session.machine().id());
    session.enter(AgentSession.State.LOST);
    intake.freeAll(session.machine().id(), now);
    owner.stir(session);
    return true;
  }

  private TimeSpan openFor() {
    return context.workers().heartbeatInterval().times(2).plus(TimeSpan.ofSeconds(2));
  }

  /** Whether it is heard and hears. */
  boolean isInTouch(AgentSession session) {
    return session.hearing().hears()
        && !context.now().since(session.heard()).isLongerThan(openFor());
  }

  /**
   * What a newer report says of whether the machine hears, before it is taken. Returns whether it
   * proves that the machine's lease is over, or that the session is in which a former holder may
   * have commanded.
   */
  boolean reported(AgentSession session, Heartbeat heartbeat, boolean beat) {
    MonotonicTime now = context.now();
    if (!beat) {
      session.hearing().commandAnswered(heartbeat.sequence(), now);
      return false;
    }
    boolean hadHeard = session.hearing().hears();
    session
        .hearing()
        .reported(heartbeat.session(), heartbeat.sequence(), context.workers().lease(), now);
    if (hadHeard != session.hearing().hears()) {
      if (session.hearing().state() == OneWayPartitionDetector.State.DEAF) {
        LOG.info(
            "block {}: machine {} speaks and does not hear", owner.id(), session.machine().id());
      }
      owner.stir(session);
    }
    if (!session.provesNoneTaken(heartbeat, owner.lease().token())) {
      return false;
    }
    session.hearing().noneTaken(now);
    boolean isCleared =
        context.confirmed() != null && session.clearByTime(lease(), context.confirmed());
    return loseIfOver(session, now) || isCleared;
  }

  /**
   * Whether a machine has been deaf for so long that another should take its place, and the others
   * are not deaf as well.
   */
  boolean isToBeReplaced(AgentSession session, MonotonicTime now) {
    if (!isLastingDeaf(session, now)) {
      return false;
    }
    long deaf = sessions.values().stream().filter(other -> !other.hearing().hears()).count();
    return deaf <= Math.max(1, sessions.size() / MACHINES_PER_DEAF);
  }

  private boolean isLastingDeaf(AgentSession session, MonotonicTime now) {
    return session.hearing().deafFor(now).isLongerThan(context.workers().lease().plus(LASTING));
  }
}
