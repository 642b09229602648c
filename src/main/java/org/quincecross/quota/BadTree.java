package org.quincecross.quota;

/**
 * A tree that cannot be; the message is one line that names the node and says what is wrong with
 * it.
 */
public final class BadTree extends Exception {
  private static final long serialVersionUID = 1;

  BadTree(NodePath at, String what) {
    super(at + ": " + what);
  }
}
