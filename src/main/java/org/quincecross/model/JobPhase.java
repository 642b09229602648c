package org.quincecross.model;

/** The stored phase of a job. Done and cancelled are final. */
public enum JobPhase {
  OPEN,
  DONE,
  CANCELLED;

  /** Whether the phase can no longer change. */
  public boolean isTerminal() {
    return this != OPEN;
  }
}
