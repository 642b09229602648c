package org.quincecross.model;

/** A machine, identified by the name that the cloud gave it. */
public record MachineId(String text) implements Comparable<MachineId> {
  @Override
  public boolean equals(Object other) {
    return other instanceof MachineId id && id.text.equals(text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public int compareTo(MachineId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
