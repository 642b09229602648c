package org.quincecross.legalhold;

import java.util.List;
import org.quincecross.replicated.CommandOrigin;

/**
 * A legal hold, named by the reference of a magistrate's request.
 *
 * @param opening number of the current opening of this reference, counted from 1; 0 if it was never
 *     opened
 * @param records the records on hold
 * @param fromMs when it takes effect, in ms since 1970; 0 for immediately
 * @param reviewMs when it is due for review, in ms since 1970; 0 for never. A reminder only
 * @param by who opened or closed it
 * @param scope how often tasks that access its records were found after it had been pinned
 * @param provenAt revision of the state at which it was last proven that no task accessing its
 *     records runs; 0 if not yet
 * @param notes number of audit notes in this opening
 * @param notedDigest digest of the blocked tasks in the last note; another note is made only if
 *     they differ
 */
public record LegalHold(
    State state,
    int opening,
    List<RecordSelector> records,
    long fromMs,
    long reviewMs,
    String by,
    int scope,
    long provenAt,
    int notes,
    long notedDigest) {
  /** The states of a hold. */
  public enum State {
    /** Never opened. */
    NONE,
    /** Opened, to take effect later. */
    FUTURE,
    /** In effect; a task that accesses its records may still run. */
    PINNING,
    /** In effect, and proven: no such task runs or can start anywhere. */
    PINNED,
    /** Closed; may be opened again. */
    CLOSED
  }

  static final LegalHold NONE = new LegalHold(State.NONE, 0, List.of(), 0, 0, "", 0, 0, 0, 0);

  /** Whether it blocks tasks, regardless of the time of day. */
  public boolean isInEffect() {
    return state == State.PINNING || state == State.PINNED;
  }

  public boolean isOpen() {
    return isInEffect() || state == State.FUTURE;
  }

  /**
   * Whether its time may have come. The clock error counts against the sweep, so that a hold never
   * takes effect late.
   */
  public boolean isDue(CommandOrigin at) {
    return state == State.FUTURE && at.latestMs() >= fromMs;
  }

  /** Whether its review date may have passed. */
  public boolean isReviewDue(CommandOrigin at) {
    return isOpen() && reviewMs > 0 && at.latestMs() >= reviewMs;
  }

  /** The only method that changes the state; all other fields change with it or stay. */
  LegalHold inState(State next, String by) {
    return new LegalHold(
        next, opening, records, fromMs, reviewMs, by, scope, provenAt, notes, notedDigest);
  }

  LegalHold withProof(long revision, long digest) {
    return new LegalHold(
        state, opening, records, fromMs, reviewMs, by, scope, revision, notes, digest);
  }

  LegalHold withWidenedScope() {
    return new LegalHold(
        state, opening, records, fromMs, reviewMs, by, scope + 1, provenAt, notes, notedDigest);
  }

  LegalHold withNote(long digest) {
    return new LegalHold(
        state, opening, records, fromMs, reviewMs, by, scope, provenAt, notes + 1, digest);
  }

  LegalHold withReviewDate(long ms) {
    return new LegalHold(
        state, opening, records, fromMs, ms, by, scope, provenAt, notes, notedDigest);
  }
}
