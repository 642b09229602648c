package org.quincecross.protocol;

import java.util.List;
import org.quincecross.model.Attempt;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Machine;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;

/**
 * A heartbeat of an agent with the status of its machine.
 *
 * @param session the agent's session; rises each time the agent's lease has expired
 * @param sequence rises with every message of the agent
 * @param token the highest fencing token that the agent has seen
 * @param terminationNotice the time until the cloud takes the machine away, or null
 */
public record Heartbeat(
    Machine machine,
    long session,
    long sequence,
    FencingToken token,
    TimeSpan terminationNotice,
    List<TaskStatus> tasks) {

  /** The state of a task on a machine. */
  public enum TaskState {
    PULLING_IMAGE,
    WAITING_FOR_GANG,
    RUNNING,
    CHECKPOINTING,
    EXITED
  }

  /** The reason why a task has exited. */
  public enum ExitReason {
    DONE,
    STOPPED,
    GANG_MEMBER_LOST,
    GANG_INCOMPLETE,
    ERROR,
    INSUFFICIENT_RESOURCES,
    TASK_ALREADY_PRESENT,
    UNKNOWN_TASK
  }

  /**
   * The status of a task on the machine.
   *
   * @param exitReason null unless the task has exited
   * @param checkpointed whether the task saved a checkpoint when it was stopped
   */
  public record TaskStatus(
      TaskId task, Attempt attempt, TaskState state, ExitReason exitReason, boolean checkpointed) {}

  /** Whether this message was sent after {@code other}, a message of the same agent. */
  public boolean isNewerThan(Heartbeat other) {
    int bySession = Long.compareUnsigned(session, other.session);
    return bySession != 0 ? bySession > 0 : Long.compareUnsigned(sequence, other.sequence) > 0;
  }
}
