package org.quincecross.leader;

import org.quincecross.model.ControllerId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerViews;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ShardLease;

/** What the controllers have told lately: older word of a block is no ground for a decision. */
final class CurrentPeerViews {
  private static final TimeSpan REPORT_FRESH = TimeSpan.ofSeconds(2.5);

  private final Timers timers;
  private final ClusterStateCache cache;
  private final PeerViews views;

  CurrentPeerViews(Timers timers, ClusterStateCache cache, PeerViews views) {
    this.timers = timers;
    this.cache = cache;
    this.views = views;
  }

  /** What a controller has told lately, or null. */
  PeerViews.View of(ControllerId member) {
    PeerViews.View view = views.of(member);
    return view == null
            || !cache.members().containsKey(member)
            || timers.now().since(view.at()).isLongerThan(REPORT_FRESH)
        ? null
        : view;
  }

  /** What the holder of a block last said of it, if that is recent and of the present lease. */
  PeerViews.BlockView of(ShardLease block) {
    PeerViews.View view = of(block.owner());
    PeerViews.BlockView known = view == null ? null : view.blocks().get(block.id());
    return known != null && known.token().equals(block.token()) ? known : null;
  }
}
