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
 * Answers, by the records and by what the other controllers report, since when all controllers know
 * of a change of an agreed record.
 */
public final class KnownRevisions {
  /**
   * Of changes that were seen later than this many others it is not known any more when; they count
   * as seen when asked for.
   */
  private static final int MOST_SEEN = 4096;

  private record Seen(Revision revision, MonotonicTime at) {}

  private final Timers timers;
  private final ClusterStateCache cache;
  private final PeerViews views;
  private final Settings settings;
  private final TimeSpan longest;
  private final ArrayDeque<Seen> seen = new ArrayDeque<>();

  /**
   * @param longest for how long a controller acts after it last heard from the state service,
   *     clocks' drift included
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

  /** Follows the records; costs nothing where no agreed record has changed. */
  public void ledgerChanged(ClusterStateCache.Changes changes) {
    if (!changes.replicatedRecords().isEmpty()) {
      seen.add(new Seen(cache.revision(), timers.now()));
      while (seen.size() > MOST_SEEN) {
        seen.poll();
      }
    }
  }

  /** Since when all know of a revision; asked for one that an agreed record was changed with. */
  public ReplicationBarrier.Answer of(Revision revision) {
    MonotonicTime now = timers.now();
    MonotonicTime at = null;
    for (Seen each : seen) {
      if (!revision.isAfter(each.revision())) {
        at = each.at();
        break;
      }
    }
    List<ReplicationBarrier.Told> expected = new ArrayList<>();
    List<ReplicationBarrier.Told> told = new ArrayList<>();
    expect(settings.self(), expected);
    settings.peers().forEach(sibling -> expect(sibling.id(), expected));
    for (ControllerRecord member : cache.members().values()) {
      if (expected.stream().noneMatch(each -> each.member().equals(member.id()))) {
        expect(member.id(), expected);
      }
    }
    for (ReplicationBarrier.Told each : expected) {
      PeerViews.View view = views.of(each.member());
      if (view != null) {
        told.add(new ReplicationBarrier.Told(each.member(), view.life(), view.ledger()));
      }
    }
    return ReplicationBarrier.of(revision, cache.revision(), at, expected, told, longest, now);
  }

  private void expect(ControllerId member, List<ReplicationBarrier.Told> expected) {
    ControllerRecord record = cache.members().get(member);
    expected.add(
        new ReplicationBarrier.Told(
            member, record == null ? Incarnation.NONE : record.incarnation(), Revision.NONE));
  }
}
