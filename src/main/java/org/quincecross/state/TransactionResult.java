package org.quincecross.state;

import java.util.List;
import org.quincecross.model.Revision;

/**
 * What became of a transaction.
 *
 * @param revision the revision it made, or at which its conditions failed
 * @param failed the keys whose conditions failed
 */
public record TransactionResult(Kind kind, Revision revision, List<String> failed) {
  /** The ways in which a transaction can end. */
  public enum Kind {
    COMMITTED,
    /** A condition failed. */
    CONFLICT,
    /** Surely not executed, for there were too many, and may be sent again. */
    REFUSED,
    /**
     * Surely not executed, for the state service does not serve or cannot be reached: not to be
     * sent again soon.
     */
    UNAVAILABLE,
    /**
     * Surely not executed, for what it says: a value or the transaction is larger than is allowed
     * now. The same would be refused again, however often it is sent.
     */
    TOO_LARGE,
    /** The lease in it has ended. */
    NO_LEASE,
    /** Not answered: executed, or executed later, or never. */
    UNKNOWN
  }

  static TransactionResult of(Kind kind) {
    return new TransactionResult(kind, Revision.NONE, List.of());
  }

  public boolean committed() {
    return kind == Kind.COMMITTED;
  }
}
