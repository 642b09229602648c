package org.quincecross.api;

import java.util.List;
import org.quincecross.failuredetection.IsolationDetector;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerViews;
import org.quincecross.protocol.Settings;
import org.quincecross.state.StateWatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Updates the {@link IsolationDetector} with the store contact of this controller and of the
 * others.
 */
final class StoreConnectivity {
  private static final Logger LOG = LoggerFactory.getLogger(StoreConnectivity.class);

  private final Timers timers;
  private final StateWatcher watcher;
  private final PeerViews views;
  private final List<Settings.Peer> peers;
  private final IsolationDetector isolation;

  StoreConnectivity(
      Timers timers,
      StateWatcher watcher,
      PeerViews views,
      List<Settings.Peer> peers,
      IsolationDetector isolation) {
    this.timers = timers;
    this.watcher = watcher;
    this.views = views;
    this.peers = peers;
    this.isolation = isolation;
  }

  /** Evaluates the evidence as of now. */
  void update() {
    if (watcher.lastBarrierStart() == null) {
      return; // no record has been read yet
    }
    IsolationDetector.State before = isolation.state();
    isolation.evaluate(
        watcher.lastBarrierStart(), peers.stream().map(this::contact).toList(), timers.now());
    if (isolation.state() != before) {
      LOG.info("store connectivity: {}, was {}", isolation.state(), before);
    }
  }

  private IsolationDetector.PeerContact contact(Settings.Peer peer) {
    PeerViews.View view = views.of(peer.id());
    return view == null
        ? new IsolationDetector.PeerContact(null, TimeSpan.ZERO)
        : new IsolationDetector.PeerContact(view.at(), view.sinceStoreContact());
  }
}
