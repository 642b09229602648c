package org.quincecross.replicated;

import java.util.List;

/** The result of applying a command to a state. */
public sealed interface Transition<S> {
  /** The state changes; each event of {@code trail} receives the revision of this change. */
  record Changed<S>(S next, List<AuditEvent> trail) implements Transition<S> {}

  /** The state already is as requested; the caller receives the same answer as for a change. */
  record Unchanged<S>(String reason) implements Transition<S> {}

  /** The command is not allowed in this state; {@code status} is an HTTP status from 400 to 499. */
  record Refused<S>(int status, String reason) implements Transition<S> {}
}
