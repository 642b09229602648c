package org.quincecross.protocol;

import java.util.List;
import org.quincecross.model.Attempt;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Machine;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;

/**
 * A worker's report.
 *
 * @param session rises each time the worker's lease has run out
 * @param order rises with every message of the worker
 * @param token the highest that the worker has seen
 * @param notice until the cloud takes the machine away, or null
 */
public record Heartbeat(
    Machine machine,
    long session,
    long order,
    FencingToken token,
    TimeSpan notice,
    List<Piece> pieces) {

  /** What a task on a machine is doing. */
  public enum TaskState {
    FETCHING,
    WAITING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task has exited. */
  public enum Cause {
    DONE,
    STOPPED,
    PEERS,
    ALONE,
    ERROR,
    FULL,
    IN_USE,
    NO_SUCH
  }

  /**
   * A task on the machine.
   *
   * @param cause null unless it has exited
   * @param saved whether its progress was saved when it was stopped
   */
  public record Piece(TaskId task, Attempt attempt, TaskState state, Cause cause, boolean saved) {}

  /** Whether this message was made after {@code other}, a message of the same worker. */
  public boolean isNewerThan(Heartbeat other) {
    int bySession = Long.compareUnsigned(session, other.session);
    return bySession != 0 ? bySession > 0 : Long.compareUnsigned(order, other.order) > 0;
  }
}
