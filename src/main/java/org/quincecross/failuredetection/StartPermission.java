package org.quincecross.failuredetection;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;

/**
 * Whether a holder may start what is allocated to it: whether nobody can have been told yet of a
 * cancellation that it has not noted.
 *
 * <p><b>Rule.</b> It may within D - M ({@link UnconfirmedOwnershipBound#maxUnconfirmedStarts}) of
 * its last word from the state service, and as well while each other controller that the settings
 * name has shown, in a report that was made within the last D - M, a revision of the records no
 * later than the holder's own. When a report came proves nothing, packets may be held back for
 * minutes. But one with a receipt for a report that left here at s was made after s, by any clock,
 * and s is a time of the clock here (docs/incidents/started-without-word.md).
 *
 * <p><b>Proof</b> of the second part. A cancellation that the holder has not noted is of a revision
 * x later than its own. Let the controller that tells it have shown revision r, not later than the
 * holder's own and so before x, in a report made after s, with s &ge; now - (D - M).
 *
 * <ul>
 *   <li>The life that made the report had not seen x when it made it, for revisions never fall in a
 *       life. So it saw x first after s, and tells it by rule 3 of {@link
 *       UnconfirmedOwnershipBound} after s + D &ge; now + M: the start has left before.
 *   <li>A later life reads the records when it begins, after s, and waits for D from then.
 *   <li>A former life cannot have told it: what is told is durable, and the life that made the
 *       report read the records after that, so its r is x or later. A life that has not read them
 *       yet shows none at all, and that proves nothing.
 *   <li>Nor has the holder's own process told it, which has not noted it, nor a former one, after
 *       which it read the records.
 *   <li>By rules 1 and 2 nobody tells while the holder may start any of it: it has noted the
 *       cancellation or given the task back, or another one has the block under a later token and
 *       its machines are fenced, which refuse what the former holder sends.
 * </ul>
 *
 * M is what clocks differ by, and what goes by between decision and sending. Controllers that the
 * settings do not name are not known here: all are to be given the same ones.
 */
public final class StartPermission {
  private record Numbered(Incarnation incarnation, long number) {}

  /** A report of another controller was made after {@code after}, and showed this revision. */
  private record Shown(MonotonicTime after, Revision revision) {}

  private final Set<ControllerId> others;
  private final TimeSpan limit;
  private final Map<Numbered, MonotonicTime> sent = new LinkedHashMap<>();
  private final Map<ControllerId, Shown> shown = new HashMap<>();

  /**
   * @param others all other controllers
   * @param limit D - M
   */
  public StartPermission(Set<ControllerId> others, TimeSpan limit) {
    this.others = Set.copyOf(others);
    this.limit = limit;
  }

  /**
   * A report is about to be made here. Of each the time is kept for as long as a receipt of it can
   * prove something.
   */
  public void sent(Incarnation incarnation, long number, MonotonicTime now) {
    sent.values().removeIf(at -> now.since(at).isLongerThan(limit));
    // Every process has that name until it has its lease: a receipt could be one of a report of the
    // process before.
    if (!incarnation.equals(Incarnation.NONE)) {
      sent.put(new Numbered(incarnation, number), now);
    }
  }

  /**
   * A report of another controller came.
   *
   * @param incarnation the life from which it has received, by its receipt
   * @param number the last report of it that it has received
   * @param revision that of the records that it shows
   */
  public void received(ControllerId from, Incarnation incarnation, long number, Revision revision) {
    MonotonicTime after = sent.get(new Numbered(incarnation, number));
    if (after == null || revision.equals(Revision.NONE)) {
      return;
    }
    Shown known = shown.get(from);
    if (known == null || !after.isBefore(known.after)) {
      shown.put(from, new Shown(after, revision));
    }
  }

  /**
   * Whether tasks may be started now.
   *
   * @param confirmed the holder has noted all that had happened by then
   * @param noted the revision up to which it has noted all
   */
  public boolean isGranted(MonotonicTime confirmed, Revision noted, MonotonicTime now) {
    return isRecent(confirmed, now)
        || others.stream()
            .allMatch(
                other -> {
                  Shown last = shown.get(other);
                  return last != null && isRecent(last.after, now) && !last.revision.isAfter(noted);
                });
  }

  private boolean isRecent(MonotonicTime at, MonotonicTime now) {
    return !now.since(at).isLongerThan(limit);
  }
}
