package org.quincecross.api;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.quincecross.failuredetection.LinkMonitor;
import org.quincecross.failuredetection.StartPermission;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerCodec;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.shard.OwnedShards;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ShardLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges reports with the other controllers: periodically, and at once if something happened.
 */
final class PeerReporter {
  private static final Logger LOG = LoggerFactory.getLogger(PeerReporter.class);
  private static final TimeSpan REPORT_INTERVAL = TimeSpan.ofMillis(500);
  private static final TimeSpan NOTIFICATION_DELAY = TimeSpan.ofMillis(100);

  /** States that change with time alone are included in every second periodic report. */
  private static final int FULL_REPORT_EVERY = 2;

  /** Creates this controller's reports. */
  interface ReportFactory {
    /** Creates report {@code number}, with what has changed after report {@code base}. */
    PeerHeartbeat create(long number, long base);
  }

  private final Timers timers;
  private final ClusterStateCache cache;
  private final ControllerId self;
  private final List<ControllerId> peers;
  private final PeerSender sender;
  private final PeerViews views;
  private final OwnedShards ownedShards;
  private final StartPermission startPermission;
  private final Runnable updateIsolation;
  private final Supplier<Incarnation> incarnation;
  private final ReportFactory reports;
  private final Map<ControllerId, Long> sent = new HashMap<>();
  private final Map<ControllerId, LinkMonitor> links = new HashMap<>();
  private long count;
  private long periodicCount;
  private boolean notificationPlanned;
  private boolean notifyAll;

  PeerReporter(
      Timers timers,
      ClusterStateCache cache,
      ControllerId self,
      List<ControllerId> peers,
      PeerSender sender,
      PeerViews views,
      OwnedShards ownedShards,
      StartPermission startPermission,
      Runnable updateIsolation,
      Supplier<Incarnation> incarnation,
      ReportFactory reports) {
    this.timers = timers;
    this.cache = cache;
    this.self = self;
    this.peers = peers;
    this.sender = sender;
    this.views = views;
    this.ownedShards = ownedShards;
    this.startPermission = startPermission;
    this.updateIsolation = updateIsolation;
    this.incarnation = incarnation;
    this.reports = reports;
  }

  /** Starts the periodic reports. */
  void start() {
    timers.every(REPORT_INTERVAL, () -> report(true, ++periodicCount % FULL_REPORT_EVERY == 0));
  }

  private void report(boolean everyone, boolean refreshAll) {
    count++;
    startPermission.sent(incarnation.get(), count, timers.now());
    updateIsolation.run();
    ownedShards.refresh(count, refreshAll);
    PeerViews.View ownView = views.of(self);
    views.apply(
        reports.create(
            count,
            ownView == null || !ownView.incarnation().equals(incarnation.get())
                ? 0
                : ownView.number()),
        timers.now());
    for (ControllerId member : peers) {
      LinkMonitor link = links.computeIfAbsent(member, m -> new LinkMonitor());
      if (link.takeReconnectNeeded(timers.now())) {
        LOG.debug("peer {} receives nothing: reconnecting", member);
        sender.renew(member);
      }
      boolean leads = cache.leader() != null && cache.leader().id().equals(member);
      if ((everyone || leads)
          && sender.send(
              member, PeerCodec.write(reports.create(count, sent.getOrDefault(member, 0L))))) {
        // A connection loses no frames; if the connection itself is lost, the receiver will report
        // a gap.
        sent.put(member, count);
        link.sent(timers.now());
      }
    }
  }

  /** Applies a frame from another controller; false if it cannot be read. */
  boolean receive(byte[] frame) {
    try {
      PeerHeartbeat heartbeat = PeerCodec.read(frame);
      PeerHeartbeat.Receipt receipt = heartbeat.receipts().get(self);
      if (receipt != null) {
        startPermission.received(
            heartbeat.member(), receipt.incarnation(), receipt.number(), heartbeat.cacheRevision());
      }
      if (receipt != null && receipt.incarnation().equals(incarnation.get())) {
        links
            .computeIfAbsent(heartbeat.member(), member -> new LinkMonitor())
            .receipt(receipt.number(), receipt.gap(), timers.now());
      }
      if (receipt != null && receipt.gap() && receipt.incarnation().equals(incarnation.get())) {
        sent.merge(heartbeat.member(), receipt.number(), Math::min);
      }
      if (!views.apply(heartbeat, timers.now())) {
        notifyAll = true; // sends the receipt that reports the gap
        notifyLeader();
      }
      return true;
    } catch (MalformedMessageException e) {
      LOG.info("peer report cannot be read: {}", e.getMessage());
      return false;
    }
  }

  /** Forgets what a controller reported of a shard that another one owns now. */
  void forgetFormerOwners(ClusterStateCache.Changes changes) {
    for (ShardId id : changes.shards()) {
      ShardLease lease = cache.shard(id);
      for (ControllerId member : peers) {
        forgetIfFormer(member, id, lease);
      }
      forgetIfFormer(self, id, lease);
    }
  }

  private void forgetIfFormer(ControllerId member, ShardId id, ShardLease lease) {
    PeerViews.View view = views.of(member);
    PeerViews.ShardView shardView = view == null ? null : view.shards().get(id);
    // A report may be newer than this cache: what it says of a later lease is kept.
    if (shardView != null
        && (lease == null
            || (!lease.owner().equals(member) && !shardView.token().isAfter(lease.token())))) {
      views.forget(member, id);
    }
  }

  /** Sends a report to the leader soon, once for all events until then. */
  void notifyLeader() {
    if (!notificationPlanned) {
      notificationPlanned = true;
      timers.after(
          NOTIFICATION_DELAY,
          () -> {
            notificationPlanned = false;
            boolean everyone = notifyAll;
            notifyAll = false;
            report(everyone, false);
          });
    }
  }
}
