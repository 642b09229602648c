package org.quincecross.model;

/** A shard: a set of machines that is leased to one controller at a time. */
public record ShardId(String text) implements Comparable<ShardId> {
  @Override
  public boolean equals(Object other) {
    return other instanceof ShardId id && id.text.equals(text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public int compareTo(ShardId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
