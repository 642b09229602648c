package org.quincecross.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.quincecross.model.Attempt;
import org.quincecross.model.TaskId;
import org.quincecross.protocol.Heartbeat;

/**
 * The starts sent to an agent that it may still execute: for the first time, or again, because a
 * copy of a direct command may arrive minutes after it was answered. An agent refuses a direct
 * command once it has shown a higher token or another session, and a start of an attempt that it
 * has, exited or not, does nothing. Starts in the response to a heartbeat cannot arrive twice.
 */
final class StartTracker {
  /** More exits that cannot be cleared make heartbeats long. */
  private static final int MAX_KEPT_EXITS = 100;

  /** The maximum number of attempts on the machine that were started directly. */
  private static final int MAX_DIRECT_STARTS = 200;

  private final BooleanSupplier hasRestarted;
  private final Map<Attempt, TaskId> inFlight = new HashMap<>();
  private final Map<Attempt, TaskId> unanswered = new HashMap<>();

  /** Direct starts of attempts that the machine has; a copy of the command may arrive later. */
  private final Map<Attempt, TaskId> answered = new HashMap<>();

  private final Set<Attempt> inResponse = new HashSet<>();

  /**
   * Creates a tracker without starts.
   *
   * @param hasRestarted whether the agent has restarted under this owner: it has forgotten its
   *     attempts and the token, so nothing sent before is over until it shows a new token
   */
  StartTracker(BooleanSupplier hasRestarted) {
    this.hasRestarted = hasRestarted;
  }

  /** Records that a direct command contains these starts. */
  void sentDirectly(Map<Attempt, TaskId> starts) {
    inFlight.putAll(starts);
  }

  /** Records that the agent has responded to a direct command with these starts. */
  void answered(Map<Attempt, TaskId> starts) {
    inFlight.keySet().removeAll(starts.keySet());
    answered.putAll(starts);
  }

  /** Records that a direct command with these starts got no response. */
  void failed(Map<Attempt, TaskId> starts, boolean mayHaveArrived) {
    inFlight.keySet().removeAll(starts.keySet());
    if (mayHaveArrived) {
      unanswered.putAll(starts);
    }
  }

  /** Records that the response to the last heartbeat contains these starts. */
  void sentInResponse(Set<Attempt> starts) {
    inResponse.addAll(starts);
  }

  /** Called when the agent shows the shard's token: it refuses commands with a former one. */
  void tokenShown() {
    if (!hasRestarted.getAsBoolean()) {
      unanswered.clear();
      answered.clear();
    }
  }

  /**
   * Called when the agent shows another session. A restarted agent may reach the session that an
   * earlier command was sent to.
   */
  void sessionChanged() {
    if (!hasRestarted.getAsBoolean()) {
      unanswered.clear();
      answered.clear();
      inFlight.clear();
    }
  }

  /**
   * Called with the attempts in a new heartbeat.
   *
   * @param beat whether the agent sent it on its own, so that the response to the previous one has
   *     been executed or will be dropped
   */
  void reported(Set<Attempt> attempts, boolean beat) {
    if (beat) {
      inResponse.clear();
    }
    if (!hasRestarted.getAsBoolean()) {
      answered.keySet().retainAll(attempts);
    }
  }

  /**
   * Whether a start of this attempt may still be executed although the machine does not have it.
   * After a restart that is every start that was sent directly, answered or not.
   */
  boolean mayStillBeExecuted(Attempt attempt) {
    return inFlight.containsKey(attempt)
        || unanswered.containsKey(attempt)
        || inResponse.contains(attempt)
        || (hasRestarted.getAsBoolean() && answered.containsKey(attempt));
  }

  /**
   * Whether one of some tasks may still be started by a command whose attempt the machine has not
   * shown.
   *
   * @param shown the attempts in its last heartbeat
   */
  boolean mayStillStartAny(Set<Attempt> shown, Predicate<TaskId> which) {
    for (Map<Attempt, TaskId> starts : List.of(unanswered, inFlight, answered)) {
      for (Map.Entry<Attempt, TaskId> start : starts.entrySet()) {
        if (!shown.contains(start.getKey()) && which.test(start.getValue())) {
          return true;
        }
      }
    }
    return false;
  }

  /**
   * Whether only a new token or session can resolve whether an attempt was started, because no
   * other evidence will arrive.
   */
  boolean needsTokenToResolve(Attempt attempt) {
    return unanswered.containsKey(attempt);
  }

  /**
   * Whether the machine must keep an exit, because a start of the attempt may still arrive, for the
   * first time or as a copy; without the exit it would start the attempt again.
   */
  boolean mustKeepExit(Heartbeat.TaskStatus exit) {
    return mayStillBeExecuted(exit.attempt()) || mayBeRepeated(exit);
  }

  /**
   * Whether a copy of the start would run an exited attempt again. A completed task is the
   * exception: the machine keeps its result, and a copy of the start ends at once.
   */
  private boolean mayBeRepeated(Heartbeat.TaskStatus exit) {
    return exit.exitReason() != Heartbeat.ExitReason.DONE && answered.containsKey(exit.attempt());
  }

  /**
   * Whether the machine keeps so many exits that its heartbeats become long. Only a new token lets
   * them be cleared.
   */
  boolean keepsManyExits(List<Heartbeat.TaskStatus> reported) {
    return reported.size() > MAX_KEPT_EXITS
        && reported.stream().filter(this::isKeptUntilNewToken).count() > MAX_KEPT_EXITS;
  }

  private boolean isKeptUntilNewToken(Heartbeat.TaskStatus status) {
    return status.state() == Heartbeat.TaskState.EXITED
        && (needsTokenToResolve(status.attempt()) || mayBeRepeated(status));
  }

  /**
   * How many more starts may be sent directly. The exits of such starts are kept, so their number
   * bounds the length of heartbeats.
   */
  int remainingDirectStarts() {
    int present = inFlight.size() + unanswered.size() + answered.size();
    return Math.max(0, MAX_DIRECT_STARTS - present);
  }
}
