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
 * Decides whether an owner may start its allocated tasks, that is, whether no user can have been
 * told yet of a cancellation that the owner has not seen.
 *
 * <p><b>Rule.</b> It may within D - M ({@link UnconfirmedOwnershipBound#maxUnconfirmedStarts}) of
 * its last contact with the store. It also may while each other controller in the settings has
 * shown, in a report made within the last D - M, a state revision no later than the owner's own.
 * The arrival time of a report proves nothing, because packets may be delayed for minutes. But a
 * report with a receipt for a report that left here at s was made after s, and s is a time of the
 * local clock (docs/incidents/started-without-word.md).
 *
 * <p><b>Proof</b> of the second part. A cancellation that the owner has not seen has a revision x
 * later than its own. Let the controller that confirms it have shown revision r, not later than the
 * owner's own and so before x, in a report made after s, with s &ge; now - (D - M).
 *
 * <ul>
 *   <li>The incarnation that made the report had not seen x when it made it, because revisions
 *       never decrease within an incarnation. So it saw x first after s, and confirms it by rule 3
 *       of {@link UnconfirmedOwnershipBound} after s + D &ge; now + M: the start has been sent
 *       before.
 *   <li>A later incarnation reads the records when it begins, after s, and waits for D from then.
 *   <li>A former incarnation cannot have confirmed it: what is confirmed is durable, and the
 *       incarnation that made the report read the records after that, so its r is x or later. An
 *       incarnation that has not read them yet shows no revision, and that proves nothing.
 *   <li>The owner's own process, which has not seen the cancellation, has not confirmed it either,
 *       nor has a former process of it, after which it read the records.
 *   <li>By rules 1 and 2 no one confirms while the owner may start any of the tasks: it has seen
 *       the cancellation or released the task, or another controller owns the shard under a later
 *       token and its machines are fenced and reject what the former owner sends.
 * </ul>
 *
 * M covers the difference of clocks and the time between decision and sending. Controllers that the
 * settings do not name are unknown here, so all controllers must be given the same list.
 */
public final class StartPermission {
  private record ReportId(Incarnation incarnation, long number) {}

  /** A report of another controller was made after {@code after}, and showed this revision. */
  private record ShownRevision(MonotonicTime after, Revision revision) {}

  private final Set<ControllerId> others;
  private final TimeSpan limit;
  private final Map<ReportId, MonotonicTime> sent = new LinkedHashMap<>();
  private final Map<ControllerId, ShownRevision> shown = new HashMap<>();

  /**
   * Creates a permission that is not granted.
   *
   * @param others all other controllers
   * @param limit D - M
   */
  public StartPermission(Set<ControllerId> others, TimeSpan limit) {
    this.others = Set.copyOf(others);
    this.limit = limit;
  }

  /**
   * Called when a report is about to be made here. Its time is kept for as long as a receipt for it
   * can prove something.
   */
  public void sent(Incarnation incarnation, long number, MonotonicTime now) {
    sent.values().removeIf(at -> now.since(at).isLongerThan(limit));
    // A process has no incarnation until it has its lease, so a receipt could be for a report of
    // the previous process.
    if (!incarnation.equals(Incarnation.NONE)) {
      sent.put(new ReportId(incarnation, number), now);
    }
  }

  /**
   * Called when a report of another controller arrived.
   *
   * @param incarnation the incarnation that it has received reports from, by its receipt
   * @param number the last report that it has received
   * @param revision the revision of the records that it shows
   */
  public void received(ControllerId from, Incarnation incarnation, long number, Revision revision) {
    MonotonicTime after = sent.get(new ReportId(incarnation, number));
    if (after == null || revision.equals(Revision.NONE)) {
      return;
    }
    ShownRevision known = shown.get(from);
    if (known == null || !after.isBefore(known.after)) {
      shown.put(from, new ShownRevision(after, revision));
    }
  }

  /**
   * Whether tasks may be started now.
   *
   * @param confirmed the owner has seen all changes up to this time
   * @param noted the revision up to which it has seen all changes
   */
  public boolean isGranted(MonotonicTime confirmed, Revision noted, MonotonicTime now) {
    return isRecent(confirmed, now)
        || others.stream()
            .allMatch(
                other -> {
                  ShownRevision last = shown.get(other);
                  return last != null && isRecent(last.after, now) && !last.revision.isAfter(noted);
                });
  }

  private boolean isRecent(MonotonicTime at, MonotonicTime now) {
    return !now.since(at).isLongerThan(limit);
  }
}
