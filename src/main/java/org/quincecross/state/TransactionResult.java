package org.quincecross.state;

import java.util.List;
import org.quincecross.model.Revision;

/**
 * The outcome of a transaction.
 *
 * @param revision the revision of the commit, or at which the preconditions failed
 * @param failedKeys the keys whose preconditions failed
 */
public record TransactionResult(Kind kind, Revision revision, List<String> failedKeys) {
  /** The possible outcomes. */
  public enum Kind {
    COMMITTED,
    /** A precondition failed. */
    CONFLICT,
    /** Certainly not applied because of the rate limit; may be sent again. */
    THROTTLED,
    /** Certainly not applied because the store is unavailable; must not be sent again soon. */
    UNAVAILABLE,
    /**
     * Certainly not applied because a value or the transaction exceeds the current size limits;
     * sending it again is pointless.
     */
    TOO_LARGE,
    /** Certainly not applied because its lease has expired. */
    LEASE_EXPIRED,
    /** No response: applied, applied later, or never. */
    UNKNOWN
  }

  static TransactionResult of(Kind kind) {
    return new TransactionResult(kind, Revision.NONE, List.of());
  }

  /** Whether the transaction was committed. */
  public boolean committed() {
    return kind == Kind.COMMITTED;
  }
}
