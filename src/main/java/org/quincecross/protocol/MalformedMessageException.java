package org.quincecross.protocol;

/** A message or file does not have the required form; the exception's message names the field. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names what is malformed. */
  public MalformedMessageException(String what) {
    super(what, null, false, false);
  }
}
