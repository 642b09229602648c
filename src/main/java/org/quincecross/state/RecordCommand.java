package org.quincecross.state;

/**
 * A command for a replicated record.
 *
 * @param requestId the caller's idempotency key: commands with the same id are one; null for a
 *     controller's own commands
 * @param expectedChange the last change of the record that the caller has seen, or -1 for any
 * @param issuer the person or system that issued the command, as the caller states it
 */
public record RecordCommand<C>(String requestId, long expectedChange, C command, String issuer) {
  private static final long ANY_CHANGE = -1;

  /** A command of a controller itself, repeated only if the record's state requires it. */
  public static <C> RecordCommand<C> internal(C command) {
    return new RecordCommand<>(null, ANY_CHANGE, command, "");
  }
}
