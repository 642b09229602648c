package org.quincecross.wire;

/** Something that came in does not have the form it should have; the message names the field. */
public final class BadMessage extends Exception {
  private static final long serialVersionUID = 1L;

  public BadMessage(String what) {
    super(what, null, false, false);
  }
}
