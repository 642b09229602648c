package org.quincecross.shard;

import org.quincecross.failuredetection.StaleHeartbeatFilter.Classification;
import org.quincecross.model.MonotonicTime;
import org.quincecross.protocol.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies heartbeats to the sessions of their machines, and the task states in them. */
final class HeartbeatProcessor {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatProcessor.class);

  private final ShardState state;
  private final MachineLivenessMonitor monitor;
  private final TaskStatusProcessor taskStatuses;

  HeartbeatProcessor(
      ShardState state, MachineLivenessMonitor monitor, TaskStatusProcessor taskStatuses) {
    this.state = state;
    this.monitor = monitor;
    this.taskStatuses = taskStatuses;
  }

  /**
   * Applies a heartbeat if it is new.
   *
   * @param beat whether the agent sent it on its own, rather than in response to a command
   * @return false if the sender has no right to a response, or most likely does not wait for one
   */
  boolean process(AgentSession session, Heartbeat heartbeat, boolean beat) {
    if (heartbeat.token().isAfter(state.token())) {
      // Another controller has leased the shard; the cache will show it soon.
      LOG.info(
          "shard {}: machine {} has a higher token, so another controller owns the shard",
          state.id(),
          session.machine().id());
      state.supersede();
      return false;
    }
    MonotonicTime now = state.context().now();
    Classification verdict = session.classify(heartbeat, beat, now);
    if (verdict == Classification.LATE || verdict == Classification.OVERTAKEN) {
      return verdict == Classification.OVERTAKEN;
    }
    if (verdict == Classification.NEW && monitor.heartbeatReceived(session, heartbeat, beat)) {
      state.settleIfAllCleared();
    }
    Heartbeat before = session.lastHeartbeat();
    updateSession(session, heartbeat, beat, verdict, now);
    if (!heartbeat.token().equals(state.token())) {
      return true; // the tasks of a machine that is not fenced may still change
    }
    fence(session, before, now);
    heartbeat.tasks().forEach(status -> taskStatuses.process(session, status, now));
    taskStatuses.freeMissing(session, beat, now);
    state.settleIfAllCleared();
    return true;
  }

  private void updateSession(
      AgentSession session,
      Heartbeat heartbeat,
      boolean beat,
      Classification verdict,
      MonotonicTime now) {
    Heartbeat before = session.lastHeartbeat();
    boolean restarted = verdict == Classification.RESTARTED;
    boolean newSession = restarted || (before != null && before.session() != heartbeat.session());
    if (restarted) {
      LOG.info(
          "shard {}: the agent of machine {} has restarted", state.id(), session.machine().id());
      session.enter(AgentSession.State.UNFENCED); // it has forgotten the token
      session.responseSent(heartbeat, now); // its lease runs from its start
    }
    session.accept(heartbeat, beat, now);
    if (before == null
        || newSession
        || heartbeat.terminationNotice() != null
        || !before.tasks().equals(heartbeat.tasks())) {
      state.markDirty(session);
    }
    if (newSession || session.state() == AgentSession.State.LOST) {
      // The agent has killed and forgotten all former tasks; those it has now are in the heartbeat.
      taskStatuses.freeUnreported(session, now);
      if (session.state() == AgentSession.State.LOST) {
        session.enter(AgentSession.State.UNFENCED);
        state.markDirty(session);
      }
    }
  }

  private void fence(AgentSession session, Heartbeat before, MonotonicTime now) {
    if (session.state() == AgentSession.State.FENCED) {
      return;
    }
    session.enter(AgentSession.State.FENCED);
    if (before != null && state.token().isAfter(before.token())) {
      // Only a token that has risen proves that a message arrived.
      session.reachability().tokenConfirmed(now);
    }
    state.markDirty(session);
    LOG.debug("shard {}: machine {} is fenced", state.id(), session.machine().id());
  }
}
