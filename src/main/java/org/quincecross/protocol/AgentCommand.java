package org.quincecross.protocol;

import org.quincecross.model.Attempt;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;

/**
 * A command to an agent.
 *
 * @param gracePeriod how long a stopped task may take to save a checkpoint
 */
public record AgentCommand(Verb verb, TaskId task, Attempt attempt, TimeSpan gracePeriod) {
  /** The action that the agent is to take. */
  public enum Verb {
    START,
    STOP,
    FORGET
  }

  /** A command to start an attempt. */
  public static AgentCommand start(TaskId task, Attempt attempt) {
    return new AgentCommand(Verb.START, task, attempt, TimeSpan.ZERO);
  }

  /** A command to stop an attempt within a grace period. */
  public static AgentCommand stop(TaskId task, Attempt attempt, TimeSpan grace) {
    return new AgentCommand(Verb.STOP, task, attempt, grace);
  }

  /** A command to forget an attempt that has exited. */
  public static AgentCommand forget(TaskId task, Attempt attempt) {
    return new AgentCommand(Verb.FORGET, task, attempt, TimeSpan.ZERO);
  }
}
