package org.quincecross.replicated;

import java.util.List;

/** What becomes of a record by a command. */
public sealed interface Transition<S> {
  /** The record changes; each entry of {@code trail} gets the revision of this change. */
  record Changed<S>(S next, List<AuditEvent> trail) implements Transition<S> {}

  /** The record is so already: the caller is answered as if it had been changed now. */
  record Same<S>(String why) implements Transition<S> {}

  /**
   * The command cannot be followed in this state; {@code status} as HTTP has it, from 400 to 499.
   */
  record Refused<S>(int status, String why) implements Transition<S> {}
}
