package org.quincecross.agreed;

/**
 * A record or a command that cannot be read; the message names the field and says what is wrong
 * with it.
 */
public final class Unreadable extends Exception {
  private static final long serialVersionUID = 1L;

  public Unreadable(String message) {
    super(message);
  }
}
