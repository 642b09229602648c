package org.quincecross.model;

/** The priority of a job, lowest first. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION;

  /** Whether this priority is strictly higher. */
  public boolean isHigherThan(Priority other) {
    return compareTo(other) > 0;
  }
}
