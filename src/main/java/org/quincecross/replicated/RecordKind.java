package org.quincecross.replicated;

import java.util.List;
import java.util.Map;

/**
 * A kind of record that all controllers follow. Every build that has the kind makes the same step
 * of the same state: what a later build does otherwise comes with a level (docs/design/rollout.md).
 *
 * @param <S> an immutable state
 * @param <C> a command
 */
public interface RecordKind<S, C> {
  /**
   * Lower-case letters; where its records lie ({@code q/agreed/<name>/<id>}) and are asked for
   * ({@code /admin/agreed/<name>/<id>}).
   */
  String name();

  /** The state of a record that is not there yet. */
  S initial();

  /**
   * Reads a state from its record.
   *
   * @throws MalformedRecordException where the record is not one of this kind
   */
  S read(Map<String, Object> value) throws MalformedRecordException;

  /**
   * What {@link #read} reads: maps, lists, strings, longs, doubles and booleans. With its trail it
   * has to fit one value (4 KiB).
   */
  Map<String, Object> write(S state);

  /**
   * Reads what an operator sends.
   *
   * @throws MalformedRecordException where it is no command; the message names the field
   */
  C command(Map<String, Object> body) throws MalformedRecordException;

  /**
   * The one function that changes a state of this kind; pure: it may be made again, on a newer
   * state, until a change is durable.
   */
  Transition<S> step(S state, C command, CommandOrigin at);

  /**
   * What is shown of a record, as rows of one table: the names of the columns are the same in each
   * row.
   */
  List<Map<String, Object>> rows(String id, S state, CommandOrigin at);

  /**
   * Whether records of this kind keep tasks from running. Then a controller that cannot read one of
   * them, or does not know the kind, takes no part: it would let run what is to be kept back.
   */
  default boolean restrains() {
    return false;
  }

  /**
   * Whether a change keeps tasks back that were not kept back before it. Such a change makes every
   * allocation fail that was planned without it.
   */
  default boolean startsWithholding(S before, S next) {
    return false;
  }
}
