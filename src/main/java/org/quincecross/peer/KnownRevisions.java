package org.quincecross.peer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.protocol.Settings;
import org.quincecross.replicated.ReplicationBarrier;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ControllerRecord;

/**
 * Tells from the records and the other controllers' reports since when all controllers know of a
 * change of a replicated record.
 */
public final class KnownRevisions {
  /**
   * The number of changes whose time of arrival is remembered; older ones count as seen when they
   * are asked for.
   */
  private static final int MAX_REMEMBERED = 4096;

  private record Seen(Revision revision, MonotonicTime at) {}

  private final Timers timers;
  private final ClusterStateCache cache;
  private final PeerViews views;
  private final Settings settings;
  private final TimeSpan longest;
  private final ArrayDeque<Seen> seen = new ArrayDeque<>();

  /**
   * Creates an empty memory.
   *
   * @param longest how long a controller acts after its last contact with the store, including
   *     clock drift
   */
  public KnownRevisions(
      Timers timers,
      ClusterStateCache cache,
      PeerViews views,
      Settings settings,
      TimeSpan longest) {
    this.timers = timers;
    this.cache = cache;
    this.views = views;
    this.settings = settings;
    this.longest = longest;
  }

  /** Records arrivals; free if no replicated record has changed. */
  public void cacheChanged(ClusterStateCache.Changes changes) {
    if (!changes.replicatedRecords().isEmpty()) {
      seen.add(new Seen(cache.revision(), timers.now()));
      while (seen.size() > MAX_REMEMBERED) {
        seen.poll();
      }
    }
  }

  /** Since when all controllers know of the revision of a change of a replicated record. */
  public ReplicationBarrier.Status of(Revision revision) {
    MonotonicTime now = timers.now();
    MonotonicTime at = null;
    for (Seen each : seen) {
      if (!revision.isAfter(each.revision())) {
        at = each.at();
        break;
      }
    }
    List<ReplicationBarrier.ReportedRevision> expected = new ArrayList<>();
    List<ReplicationBarrier.ReportedRevision> reported = new ArrayList<>();
    expect(settings.self(), expected);
    settings.peers().forEach(peer -> expect(peer.id(), expected));
    for (ControllerRecord member : cache.members().values()) {
      if (expected.stream().noneMatch(each -> each.member().equals(member.id()))) {
        expect(member.id(), expected);
      }
    }
    for (ReplicationBarrier.ReportedRevision each : expected) {
      PeerViews.View view = views.of(each.member());
      if (view != null) {
        reported.add(
            new ReplicationBarrier.ReportedRevision(
                each.member(), view.incarnation(), view.cacheRevision()));
      }
    }
    return ReplicationBarrier.status(
        revision, cache.revision(), at, expected, reported, longest, now);
  }

  private void expect(ControllerId member, List<ReplicationBarrier.ReportedRevision> expected) {
    ControllerRecord record = cache.members().get(member);
    expected.add(
        new ReplicationBarrier.ReportedRevision(
            member, record == null ? Incarnation.NONE : record.incarnation(), Revision.NONE));
  }
}
