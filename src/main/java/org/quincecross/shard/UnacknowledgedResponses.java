package org.quincecross.shard;

import org.quincecross.model.TaskId;

/**
 * Until when a machine is answered on which a cancelled task may be that the answer does not stop.
 * An answer renews the machine's lease, so what it leaves there may stay for a lease; and of a
 * cancelled task nothing may stay for longer than a cancellation has
 * (docs/incidents/start-after-cancel.md).
 *
 * <p>Proof. An answer to a machine that obeys this holder stops all that the machine has shown, if
 * it is taken; if it is not, it renews nothing. Two things remain. A start that was sent and never
 * answered may be executed at any time in the session, and the session lasts while it is answered.
 * And a machine that does not obey yet is told no more than the token, though a former holder's
 * tasks are there, or a start of that one gets there before the answer. Such a machine is answered
 * for so long after the cancellation that a lease from then on ends in time, also where the user
 * was told as soon as it was made. A holder that has not noted the cancellation is bounded by
 * {@link ShardContext#longestUnconfirmed}.
 */
final class UnacknowledgedResponses {
  private final ShardContext context;
  private final Placements placements;

  UnacknowledgedResponses(ShardContext context, Placements placements) {
    this.context = context;
    this.placements = placements;
  }

  boolean mayAnswer(AgentSession session) {
    if (session.mayYetStart(this::isLongCancelled)) {
      return false;
    }
    return session.wasCleared()
        || placements.seenIn(Placement.State.UNSETTLED).stream()
            .noneMatch(placement -> isLongCancelled(placement.task()));
  }

  private boolean isLongCancelled(TaskId task) {
    return context.isLongCancelled(task.job());
  }
}
