package org.quincecross.shard;

import java.util.Map;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Detects shards in which pending work cannot finish under the current fencing token, so that the
 * leader renews the lease.
 */
final class TokenRenewal {
  /** A stop that has waited this long for a start without a response needs a new token. */
  private static final TimeSpan DOUBT_TIMEOUT = TimeSpan.ofSeconds(8);

  private TokenRenewal() {}

  /**
   * Whether a task is to be stopped whose start was sent, got no response and was never seen; it
   * may arrive minutes late, and is rejected only once its machine has seen a higher token. Or
   * whether a machine has restarted, whose heartbeats can be distinguished from late ones only by a
   * higher token.
   */
  static boolean isNeeded(
      Placements placements, Map<MachineId, AgentSession> sessions, MonotonicTime now) {
    for (Placement placement : placements.in(Placement.State.STOPPING)) {
      AgentSession session = sessions.get(placement.machine());
      // A machine that receives nothing will not show a new token either; the end of its session
      // resolves the doubt.
      if (session.reachability().isReceiving()
          && session.starts().needsTokenToResolve(placement.attempt())
          && now.since(placement.since()).isLongerThan(DOUBT_TIMEOUT)
          && !session.reportedAttempts().contains(placement.attempt())) {
        return true;
      }
    }
    return sessions.values().stream()
        .anyMatch(session -> session.hasRestarted() || session.keepsManyExits());
  }
}
