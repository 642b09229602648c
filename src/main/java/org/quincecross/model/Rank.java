package org.quincecross.model;

/** The priority of a job, the least urgent first. */
public enum Rank {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION;

  public boolean isAbove(Rank other) {
    return compareTo(other) > 0;
  }
}
