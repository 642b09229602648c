package org.quincecross.protocol;

import org.quincecross.model.Attempt;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;

/**
 * A command to a worker.
 *
 * @param grace how long a stopped task may take to save
 */
public record AgentCommand(Verb verb, TaskId task, Attempt attempt, TimeSpan grace) {
  /** What is to be done. */
  public enum Verb {
    START,
    STOP,
    FORGET
  }

  public static AgentCommand start(TaskId task, Attempt attempt) {
    return new AgentCommand(Verb.START, task, attempt, TimeSpan.ZERO);
  }

  public static AgentCommand stop(TaskId task, Attempt attempt, TimeSpan grace) {
    return new AgentCommand(Verb.STOP, task, attempt, grace);
  }

  public static AgentCommand forget(TaskId task, Attempt attempt) {
    return new AgentCommand(Verb.FORGET, task, attempt, TimeSpan.ZERO);
  }
}
