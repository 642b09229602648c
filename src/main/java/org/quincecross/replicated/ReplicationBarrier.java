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
 * Decides since when all controllers know a revision: each one that could act on an older state has
 * seen it, or can no longer act. A controller sends commands and renews leases only for a bounded
 * time after it last heard from the state service; one that has heard from it since the revision
 * became durable has seen it.
 */
public final class ReplicationBarrier {
  /** How far a revision has been replicated. */
  public enum State {
    /** This controller has not seen it. */
    UNKNOWN,
    /** Some controller may still act without it. */
    SPREADING,
    /** Every controller has reported, in its current incarnation, a state at least as new. */
    KNOWN_BY_REPORTS,
    /**
     * Any controller that has not seen it has been without the state service for so long that it
     * can no longer act.
     */
    KNOWN_BY_TIME
  }

  /**
   * The state revision that a controller reported.
   *
   * @param incarnation the incarnation that reported it
   * @param revision of its state
   */
  public record ReportedRevision(ControllerId member, Incarnation incarnation, Revision revision) {}

  /**
   * Whether all controllers know a revision.
   *
   * @param missing controllers that have not reported it
   * @param latest when all controllers know it at the latest; null if this controller has not seen
   *     it itself
   */
  public record Status(State state, List<ControllerId> missing, MonotonicTime latest) {
    public boolean isKnown() {
      return state == State.KNOWN_BY_REPORTS || state == State.KNOWN_BY_TIME;
    }
  }

  private ReplicationBarrier() {}

  /**
   * Decides whether all controllers know a revision.
   *
   * @param revision the revision in question
   * @param own revision of this controller's state
   * @param seenAt when this controller first saw the revision, or any later time; null if it has
   *     not
   * @param expected all controllers that may exist, with or without this one, with the incarnation
   *     that each has on record; {@link Incarnation#NONE} for one without a record, which may be
   *     partitioned and act on what it knows
   * @param reported what the others have reported; reports of a former incarnation do not count,
   *     because an old process may run beside its successor
   * @param longest how long a controller acts after it last heard from the state service, including
   *     clock drift
   */
  public static Status status(
      Revision revision,
      Revision own,
      MonotonicTime seenAt,
      Collection<ReportedRevision> expected,
      Collection<ReportedRevision> reported,
      TimeSpan longest,
      MonotonicTime now) {
    if (revision.isAfter(own) || seenAt == null) {
      return new Status(State.UNKNOWN, List.of(), null);
    }
    List<ControllerId> missing = new ArrayList<>();
    for (ReportedRevision member : expected) {
      boolean isReported =
          !member.incarnation().equals(Incarnation.NONE)
              && reported.stream()
                  .anyMatch(
                      report ->
                          report.member().equals(member.member())
                              && report.incarnation().equals(member.incarnation())
                              && !revision.isAfter(report.revision()));
      if (!isReported) {
        missing.add(member.member());
      }
    }
    MonotonicTime latest = seenAt.plus(longest);
    if (missing.isEmpty()) {
      return new Status(State.KNOWN_BY_REPORTS, List.of(), latest);
    }
    return new Status(
        latest.isBefore(now) ? State.KNOWN_BY_TIME : State.SPREADING, List.copyOf(missing), latest);
  }
}
