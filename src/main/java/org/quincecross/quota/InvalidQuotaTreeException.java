package org.quincecross.quota;

/** An invalid quota tree; the message is one line that names the node and the fault. */
public final class InvalidQuotaTreeException extends Exception {
  private static final long serialVersionUID = 1;

  InvalidQuotaTreeException(NodePath at, String what) {
    super(at + ": " + what);
  }
}
