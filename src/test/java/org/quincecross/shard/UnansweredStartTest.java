package org.quincecross.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Attempt;
import org.quincecross.model.TaskSet;
import org.quincecross.net.HttpOutcome;
import org.quincecross.protocol.Heartbeat.ExitReason;
import org.quincecross.protocol.Heartbeat.TaskState;
import org.quincecross.protocol.Heartbeat.TaskStatus;

/**
 * A direct start was sent and got no response; the task must not wait for that response
 * (docs/incidents/unanswered-start.md).
 */
class UnansweredStartTest extends ShardOwnerHarness {
  @Test
  void stoppedTaskEndsWithReportedExit() {
    Attempt attempt = attempt();
    lastCommandTimesOut();
    heartbeat(List.of(taskStatus(attempt, TaskState.RUNNING, null)));
    allocate(new TaskSet());
    String stop = responseTo(List.of(taskStatus(attempt, TaskState.RUNNING, null)));
    assertTrue(stop.contains("halt"), stop);
    String after = responseTo(List.of(taskStatus(attempt, TaskState.EXITED, ExitReason.STOPPED)));
    assertEquals(0, owner.completed().size() + owner.machine(MACHINE.id()).tasks());
    // The reported exit makes the late start harmless, so it must not be cleared.
    assertFalse(after.contains("clear"), after);
    assertFalse(owner.needsTokenRenewal());
  }

  @Test
  void failedTaskIsReleased() {
    Attempt attempt = attempt();
    lastCommandTimesOut();
    heartbeat(List.of(taskStatus(attempt, TaskState.RUNNING, null)));
    String after = responseTo(List.of(taskStatus(attempt, TaskState.EXITED, ExitReason.ERROR)));
    assertEquals(List.of(TASK), owner.released());
    assertFalse(after.contains("clear"), after);
  }

  /**
   * The machine may still receive the start, so its task counts as running there; only a higher
   * token can end that.
   */
  @Test
  void unseenStartRequiresNewToken() {
    lastCommandTimesOut();
    allocate(new TaskSet());
    for (int i = 0; i < 30; i++) {
      assertEquals(i > 8, owner.needsTokenRenewal(), "after " + i + " s");
      heartbeat(List.of());
    }
    assertEquals(1, owner.machine(MACHINE.id()).tasks());
  }

  /**
   * A machine that keeps an exit reports it beside the next attempt of the same task; the exit does
   * not apply to the next attempt.
   */
  @Test
  void exitOfEarlierAttemptDoesNotApplyToNext() {
    Attempt first = attempt();
    lastCommandTimesOut();
    List<TaskStatus> exit = List.of(taskStatus(first, TaskState.EXITED, ExitReason.STOPPED));
    String again = responseTo(exit);
    assertTrue(
        again.contains("start") && !again.contains(":" + first.value() + "}"),
        again); // and it gets lost
    allocate(new TaskSet());
    heartbeat(exit);
    assertEquals(0, owner.machine(MACHINE.id()).tasks());
  }

  /**
   * A start sent in the response to a heartbeat may arrive after a direct command that was sent
   * later. What it started must not be cleared before the agent's next heartbeat, or it would start
   * again.
   */
  @Test
  void doesNotClearWhileResponseWithStartMayBeInFlight() {
    Attempt attempt = attempt();
    calls.remove(calls.size() - 1).accept(HttpOutcome.failed(false));
    assertTrue(responseTo(List.of()).contains("start"));
    allocate(only(1));
    TaskStatus exit = taskStatus(attempt, TaskState.EXITED, ExitReason.STOPPED);
    respondToLastCommand(List.of(exit));
    allocate(only(2));
    String command = sent.get(sent.size() - 1);
    assertTrue(command.contains("start") && !command.contains("clear"), command);
    assertTrue(responseTo(List.of(exit)).contains("clear"));
  }
}
