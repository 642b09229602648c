package org.quincecross.replicated;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;

/**
 * Since when all controllers know of a revision: each one that could act by an older view of the
 * records has seen it, or can act no more. A controller gives commands and renews leases only for a
 * bounded time after it last heard from the state service; one that has heard from it since the
 * revision was durable has seen it.
 */
public final class ReplicationBarrier {
  /** How far a revision has come. */
  public enum State {
    /** This controller has not seen it. */
    UNKNOWN,
    /** Some controller may act without it. */
    SPREADING,
    /** Every controller has said, in its present life, that its records are as new. */
    KNOWN_BY_REPORTS,
    /**
     * Whoever has not seen it has not heard from the state service for so long that it can act no
     * more.
     */
    KNOWN_BY_TIME
  }

  /**
   * What a controller has told of its records.
   *
   * @param incarnation in which it told it
   * @param revision of its records
   */
  public record Told(ControllerId member, Incarnation incarnation, Revision revision) {}

  /**
   * Whether all controllers know a revision.
   *
   * @param missing the controllers that have not told of it
   * @param latest when it is known by all at the latest; null where this controller has not seen it
   *     itself
   */
  public record Answer(State state, List<ControllerId> missing, MonotonicTime latest) {
    public boolean isKnown() {
      return state == State.KNOWN_BY_REPORTS || state == State.KNOWN_BY_TIME;
    }
  }

  private ReplicationBarrier() {}

  /**
   * Decides whether all controllers know a revision.
   *
   * @param revision that is asked for
   * @param own the revision of this controller's records
   * @param seenAt when this controller first saw the revision, or any time after; null where it has
   *     not
   * @param expected all controllers that there may be, this one among them or not, with the life
   *     that each has by the records; {@link Incarnation#NONE} for one that has none: it may be cut
   *     off and act by what it knows
   * @param told what the others have told; what they told in a former life does not count, for a
   *     process may go on beside its successor
   * @param longest for how long a controller acts after it last heard from the state service,
   *     clocks' drift included
   */
  public static Answer of(
      Revision revision,
      Revision own,
      MonotonicTime seenAt,
      Collection<Told> expected,
      Collection<Told> told,
      TimeSpan longest,
      MonotonicTime now) {
    if (revision.isAfter(own) || seenAt == null) {
      return new Answer(State.UNKNOWN, List.of(), null);
    }
    List<ControllerId> missing = new ArrayList<>();
    for (Told member : expected) {
      boolean has =
          !member.incarnation().equals(Incarnation.NONE)
              && told.stream()
                  .anyMatch(
                      each ->
                          each.member().equals(member.member())
                              && each.incarnation().equals(member.incarnation())
                              && !revision.isAfter(each.revision()));
      if (!has) {
        missing.add(member.member());
      }
    }
    MonotonicTime latest = seenAt.plus(longest);
    if (missing.isEmpty()) {
      return new Answer(State.KNOWN_BY_REPORTS, List.of(), latest);
    }
    return new Answer(
        latest.isBefore(now) ? State.KNOWN_BY_TIME : State.SPREADING, List.copyOf(missing), latest);
  }
}
