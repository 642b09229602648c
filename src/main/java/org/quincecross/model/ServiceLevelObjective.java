package org.quincecross.model;

/**
 * A service-level objective of a job: an event that should happen within a time.
 *
 * @param name as it is displayed
 * @param event the event that the objective is about
 * @param timeLimit counted from the acceptance of the job
 */
public record ServiceLevelObjective(String name, Event event, TimeSpan timeLimit) {
  /** The event that an objective is about. */
  public enum Event {
    EACH_START,
    END
  }
}
