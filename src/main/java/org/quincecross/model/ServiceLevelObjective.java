package org.quincecross.model;

/**
 * What is expected of each job of a class, or of each of its tasks.
 *
 * @param name as it is shown
 * @param of whether it says when each task should start, or when the whole job should end
 * @param within from the acceptance of the job
 */
public record ServiceLevelObjective(String name, Event event, TimeSpan within) {
  /** What an aim is about. */
  public enum Event {
    EACH_START,
    END
  }
}
