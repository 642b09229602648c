package org.quincecross.model;

/** Where a job stands, as the state service has it. The last two are final. */
public enum JobPhase {
  OPEN,
  DONE,
  CANCELLED;

  public boolean isFinal() {
    return this != OPEN;
  }
}
