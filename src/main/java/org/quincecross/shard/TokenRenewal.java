package org.quincecross.shard;

import java.util.Map;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * What of a block no message under its present token will end: the leader is asked to lease it
 * anew.
 */
final class TokenRenewal {
  /**
   * Where a stop has waited so long for a start that was never answered, a new token is asked for.
   */
  private static final TimeSpan DOUBT_PATIENCE = TimeSpan.ofSeconds(8);

  /**
   * So many exits that cannot be cleared make a machine's reports long enough to ask for a new
   * token.
   */
  private static final int MOST_KEPT_EXITS = 100;

  private TokenRenewal() {}

  /**
   * Whether there is a task that is to be stopped whose start was sent, never answered and never
   * seen (it may arrive minutes late, and is refused only once its machine has seen a higher
   * token), or a machine that has begun anew, whose reports are told from late ones of before only
   * by a higher token.
   */
  static boolean any(
      Placements placements, Map<MachineId, AgentSession> sessions, MonotonicTime now) {
    for (Placement placement : placements.in(Placement.State.STOPPING)) {
      AgentSession session = sessions.get(placement.machine());
      // A machine that hears nothing does not show a new token either; the end of its session ends
      // the doubt.
      if (session.hearing().hears()
          && session.isInDoubt(placement.attempt())
          && now.since(placement.since()).isLongerThan(DOUBT_PATIENCE)
          && !session.reportedAttempts().contains(placement.attempt())) {
        return true;
      }
    }
    return sessions.values().stream()
        .anyMatch(session -> session.hasBegunAnew() || session.keptExits() > MOST_KEPT_EXITS);
  }
}
