package org.quincecross.replicated;

/** A record or a command that cannot be read; the message names the field and the fault. */
public final class MalformedRecordException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedRecordException(String message) {
    super(message);
  }
}
