package org.quincecross.quota;

/**
 * A tree that cannot be; the message is one line that names the node and says what is wrong with
 * it.
 */
public final class InvalidQuotaTreeException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidQuotaTreeException(NodePath at, String what) {
    super(at + ": " + what);
  }
}
