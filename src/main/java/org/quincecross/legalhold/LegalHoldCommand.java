package org.quincecross.legalhold;

import java.util.List;

/**
 * Commands on a hold. The first three are sent by operators; controllers issue the others
 * themselves, from what they have found.
 */
public sealed interface LegalHoldCommand {
  /**
   * Opens a hold.
   *
   * @param fromMs 0 for immediately; {@code reviewMs}: 0 for never
   */
  record Open(List<RecordSelector> records, long fromMs, long reviewMs)
      implements LegalHoldCommand {}

  /**
   * Closes one opening only, so that a close that is applied late does not affect a later opening.
   */
  record Close(int opening) implements LegalHoldCommand {}

  record Review(int opening, long reviewMs) implements LegalHoldCommand {}

  /** The time of a future hold may have come. */
  record Due(int opening) implements LegalHoldCommand {}

  /**
   * No task accesses the held records any more.
   *
   * @param revision the revision of the state in which no task accessing the records was allocated
   * @param blocked the blocked tasks, as far as they fit
   * @param digest digest of all blocked tasks
   */
  record Pinned(int opening, int scope, long revision, String blocked, long digest)
      implements LegalHoldCommand {}

  /**
   * A task that accesses the records is allocated although the hold was pinned: a claim or sweep
   * class was recorded after the task started.
   */
  record Widened(int opening, int scope, String tasks) implements LegalHoldCommand {}

  /**
   * An audit note.
   *
   * @param number of the note, counted from 0, so that the same note is not made twice
   * @param digest digest of everything noted, of which this may be a part
   */
  record Note(int opening, int number, String event, String tasks, long digest)
      implements LegalHoldCommand {}
}
