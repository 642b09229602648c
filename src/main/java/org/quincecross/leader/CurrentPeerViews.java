package org.quincecross.leader;

import org.quincecross.model.ControllerId;
import org.quincecross.model.JobId;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerViews;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ShardLease;

/** The recent views of controllers and shards; decisions must not be based on older ones. */
final class CurrentPeerViews {
  private static final TimeSpan MAX_AGE = TimeSpan.ofSeconds(2.5);

  private final Timers timers;
  private final ClusterStateCache cache;
  private final PeerViews views;

  CurrentPeerViews(Timers timers, ClusterStateCache cache, PeerViews views) {
    this.timers = timers;
    this.cache = cache;
    this.views = views;
  }

  /** The view of a controller if it is recent, else null. */
  PeerViews.View of(ControllerId member) {
    PeerViews.View view = views.of(member);
    return view == null
            || !cache.members().containsKey(member)
            || timers.now().since(view.at()).isLongerThan(MAX_AGE)
        ? null
        : view;
  }

  /** The view of a shard if it is recent and belongs to the present lease, else null. */
  PeerViews.ShardView of(ShardLease shard) {
    PeerViews.View view = of(shard.owner());
    PeerViews.ShardView known = view == null ? null : view.shards().get(shard.id());
    return known != null && known.token().equals(shard.token()) ? known : null;
  }

  /** The number of a job's running tasks, according to recent views of their shards. */
  int running(JobId job) {
    int running = 0;
    for (ShardId id : cache.shardsOf(job)) {
      ShardLease lease = cache.shard(id);
      PeerViews.ShardView view = lease == null ? null : of(lease);
      running += view == null ? 0 : view.running().getOrDefault(job, 0);
    }
    return running;
  }
}
