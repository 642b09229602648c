package org.quincecross.model;

/** A controller, by the name its settings give it. */
public record MemberId(String text) implements Comparable<MemberId> {
  @Override
  public boolean equals(Object other) {
    return other instanceof MemberId id && id.text.equals(text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public int compareTo(MemberId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
