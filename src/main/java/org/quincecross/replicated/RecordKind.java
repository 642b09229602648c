package org.quincecross.replicated;

import java.util.List;
import java.util.Map;

/**
 * A kind of record that all controllers replicate. Every build that knows the kind makes the same
 * transition from the same state; changed behaviour of a later build requires a new feature level
 * (docs/design/rollout.md).
 *
 * @param <S> an immutable state
 * @param <C> a command
 */
public interface RecordKind<S, C> {
  /**
   * The name in lower-case letters; its records are stored under {@code q/agreed/<name>/<id>} and
   * served under {@code /admin/agreed/<name>/<id>}.
   */
  String name();

  /** The state of a record that does not exist yet. */
  S initial();

  /**
   * Reads a state from its record.
   *
   * @throws MalformedRecordException if the record is not of this kind
   */
  S read(Map<String, Object> value) throws MalformedRecordException;

  /**
   * Writes what {@link #read} reads: maps, lists, strings, longs, doubles and booleans. With its
   * audit trail it has to fit one stored value (4 KiB).
   */
  Map<String, Object> write(S state);

  /**
   * Reads an operator's command.
   *
   * @throws MalformedRecordException if it is invalid; the message names the field
   */
  C command(Map<String, Object> body) throws MalformedRecordException;

  /**
   * Applies a command to a state. Pure: it may be repeated on a newer state until the change is
   * durable.
   */
  Transition<S> step(S state, C command, CommandOrigin at);

  /** Returns the rows of a record in the operators' table; all rows have the same columns. */
  List<Map<String, Object>> rows(String id, S state, CommandOrigin at);

  /**
   * Whether records of this kind can block tasks. A controller that cannot read such a record, or
   * does not know the kind, must not take part, because it would start blocked tasks.
   */
  default boolean canBlockTasks() {
    return false;
  }

  /**
   * Whether a change blocks tasks that were not blocked before. Every allocation that was planned
   * without such a change fails.
   */
  default boolean blocksMoreTasks(S before, S next) {
    return false;
  }
}
