package org.quincecross.protocol;

/** Something that came in does not have the form it should have; the message names the field. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String what) {
    super(what, null, false, false);
  }
}
