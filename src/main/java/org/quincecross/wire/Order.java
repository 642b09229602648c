package org.quincecross.wire;

import org.quincecross.model.Attempt;
import org.quincecross.model.TimeSpan;
import org.quincecross.model.TaskId;

/**
 * A command to a worker.
 *
 * @param grace how long a stopped task may take to save
 */
public record Order(Verb verb, TaskId task, Attempt attempt, TimeSpan grace) {
  /** What is to be done. */
  public enum Verb {
    START,
    STOP,
    FORGET
  }

  public static Order start(TaskId task, Attempt attempt) {
    return new Order(Verb.START, task, attempt, TimeSpan.ZERO);
  }

  public static Order stop(TaskId task, Attempt attempt, TimeSpan grace) {
    return new Order(Verb.STOP, task, attempt, grace);
  }

  public static Order forget(TaskId task, Attempt attempt) {
    return new Order(Verb.FORGET, task, attempt, TimeSpan.ZERO);
  }
}
