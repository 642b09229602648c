package org.quincecross.shard;

import java.util.HashSet;
import java.util.Set;
import org.quincecross.model.Attempt;

/**
 * The starts sent to an agent that it may still execute. Starts are sent in responses to heartbeats
 * alone. An agent has one heartbeat in flight, and drops the response to one that it has given up,
 * so its next heartbeat settles whether a start was executed; and no copy of a response is executed
 * later (docs/incidents/repeated-start.md).
 */
final class StartTracker {
  private final Set<Attempt> inResponse = new HashSet<>();

  /** Records that a response contains these starts. */
  void sentInResponse(Set<Attempt> starts) {
    inResponse.addAll(starts);
  }

  /** Called when the agent has sent a heartbeat on its own. */
  void heartbeatReceived() {
    inResponse.clear();
  }

  /** Whether a start of this attempt may still be executed although the machine lacks it. */
  boolean mayStillBeExecuted(Attempt attempt) {
    return inResponse.contains(attempt);
  }
}
