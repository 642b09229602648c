package org.quincecross.model;

/** The priority of a job, the least urgent first. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION;

  public boolean isHigherThan(Priority other) {
    return compareTo(other) > 0;
  }
}
