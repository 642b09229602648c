package org.quincecross.model;

/** A controller, identified by the name that its settings give it. */
public record ControllerId(String text) implements Comparable<ControllerId> {
  @Override
  public boolean equals(Object other) {
    return other instanceof ControllerId id && id.text.equals(text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public int compareTo(ControllerId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
