package org.quincecross.legalhold;

import java.util.List;

/**
 * What becomes of a hold. The first three are asked for by operators; the others a controller makes
 * itself, on what it has found.
 */
public sealed interface LegalHoldCommand {
  /**
   * Opens a hold.
   *
   * @param fromMs 0: from now on; {@code reviewMs} 0: never
   */
  record Open(List<Records> records, long fromMs, long reviewMs) implements LegalHoldCommand {}

  /** Ends one opening, and no other: a closing that is applied late does nothing to a later one. */
  record Close(int opening) implements LegalHoldCommand {}

  record Review(int opening, long reviewMs) implements LegalHoldCommand {}

  /** Its time may have come. */
  record Due(int opening) implements LegalHoldCommand {}

  /**
   * Records that no task touches the held records any more.
   *
   * @param revision of the records in which no task that touches the hold's records was out
   * @param kept the tasks that are kept back, as far as they fit
   * @param what stands for all that are kept back
   */
  record Pinned(int opening, int scope, long revision, String kept, long what)
      implements LegalHoldCommand {}

  /**
   * A task that touches the records is out though this was pinned: a claim or a lane was told after
   * it began.
   */
  record Widened(int opening, int scope, String tasks) implements LegalHoldCommand {}

  /**
   * A note for the trail.
   *
   * @param number of the note, counted from 0: the same is not made twice
   * @param what stands for all that is noted, of which this may be a part
   */
  record Note(int opening, int number, String event, String tasks, long what)
      implements LegalHoldCommand {}
}
