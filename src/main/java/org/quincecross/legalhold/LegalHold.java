package org.quincecross.legalhold;

import java.util.List;
import org.quincecross.replicated.CommandOrigin;

/**
 * A hold under the reference of a magistrate's request.
 *
 * @param opening which opening of the reference this is, counted from 1; 0 where there was none
 * @param records that are held
 * @param fromMs from when, in ms since 1970; 0: from its opening on
 * @param reviewMs when somebody is to look at it again, in ms since 1970; 0: never. It only reminds
 * @param by who opened it, or who closed it
 * @param scope how often it was found, after it had been pinned, that more tasks touch its records
 *     than was known
 * @param provenAt the revision of the records by which it was last found that no task that touches
 *     its records runs; 0 where not yet
 * @param notes how many notes of its trail were made in this opening
 * @param kept stands for what the last note of tasks kept back said: another one is made only of
 *     something else
 */
public record LegalHold(
    State state,
    int opening,
    List<Records> records,
    long fromMs,
    long reviewMs,
    String by,
    int scope,
    long provenAt,
    int notes,
    long kept) {
  /** The states of a hold. */
  public enum State {
    /** Never opened. */
    NONE,
    /** Opened for a later time. */
    FUTURE,
    /** In force; a task that touches its records may still run. */
    PINNING,
    /** In force, and proven: no such task runs or can start anywhere. */
    PINNED,
    /** Closed; may be opened again. */
    CLOSED
  }

  static final LegalHold NONE = new LegalHold(State.NONE, 0, List.of(), 0, 0, "", 0, 0, 0, 0);

  /** Whether it keeps tasks back whatever the time of day. */
  public boolean isInForce() {
    return state == State.PINNING || state == State.PINNED;
  }

  public boolean isOpen() {
    return isInForce() || state == State.FUTURE;
  }

  /** Whether it may be in force by a clock: the bound of the clocks counts against the sweep. */
  public boolean isDue(CommandOrigin at) {
    return state == State.FUTURE && at.latestMs() >= fromMs;
  }

  /** Whether its review date may have passed. */
  public boolean isToBeReviewed(CommandOrigin at) {
    return isOpen() && reviewMs > 0 && at.latestMs() >= reviewMs;
  }

  /** The one function that changes the state; all else of a hold changes with it or stays. */
  LegalHold enter(State next, String who) {
    return new LegalHold(
        next, opening, records, fromMs, reviewMs, who, scope, provenAt, notes, kept);
  }

  LegalHold proven(long revision, long what) {
    return new LegalHold(
        state, opening, records, fromMs, reviewMs, by, scope, revision, notes, what);
  }

  LegalHold widened() {
    return new LegalHold(
        state, opening, records, fromMs, reviewMs, by, scope + 1, provenAt, notes, kept);
  }

  LegalHold noted(long what) {
    return new LegalHold(
        state, opening, records, fromMs, reviewMs, by, scope, provenAt, notes + 1, what);
  }

  LegalHold reviewedAt(long ms) {
    return new LegalHold(state, opening, records, fromMs, ms, by, scope, provenAt, notes, kept);
  }
}
