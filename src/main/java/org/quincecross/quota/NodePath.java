package org.quincecross.quota;

/**
 * The path of a node in the tree: the names from the root down, separated by slashes; the root's is
 * empty. Ordered by its text, so that a node sorts before its descendants.
 */
public record NodePath(String text) implements Comparable<NodePath> {
  public static final NodePath ROOT = new NodePath("");

  public NodePath child(String name) {
    return new NodePath(text.isEmpty() ? name : text + "/" + name);
  }

  @Override
  public int compareTo(NodePath other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text.isEmpty() ? "(root)" : text;
  }
}
