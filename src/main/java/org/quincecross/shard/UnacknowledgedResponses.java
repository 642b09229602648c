package org.quincecross.shard;

import org.quincecross.model.TaskId;

/**
 * Decides until when a machine gets responses on which a cancelled task may be that the response
 * does not stop. A response renews the machine's lease, so what it leaves there may stay for a
 * lease; and of a cancelled task nothing may stay for longer than a cancellation may take
 * (docs/incidents/start-after-cancel.md).
 *
 * <p>Proof. A response to a fenced machine stops everything that the machine has shown, if it is
 * accepted; if it is not, it renews nothing. What an earlier response has started, the machine has
 * shown: it sends no heartbeat before it has executed that response or given it up. One thing
 * remains. A machine that is not fenced gets no more than the token, although a former owner's
 * tasks are there, or a direct start of that owner, if it runs an earlier build, arrives before the
 * response. Such a machine gets responses for so long after the cancellation that a lease from then
 * on ends in time, also if the user was told at once. An owner that has not seen the cancellation
 * is bounded by {@link ShardContext#maxUnconfirmedOwnership}.
 */
final class UnacknowledgedResponses {
  private final ShardContext context;
  private final Placements placements;

  UnacknowledgedResponses(ShardContext context, Placements placements) {
    this.context = context;
    this.placements = placements;
  }

  boolean mayRespond(AgentSession session) {
    return session.wasCleared()
        || placements.viewIn(Placement.State.UNSETTLED).stream()
            .noneMatch(placement -> isLongCancelled(placement.task()));
  }

  private boolean isLongCancelled(TaskId task) {
    return context.isCancellationExpiring(task.job());
  }
}
