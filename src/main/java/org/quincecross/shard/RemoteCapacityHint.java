package org.quincecross.shard;

import java.util.List;
import java.util.function.Function;
import org.quincecross.model.Job;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.scheduling.Headroom;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ShardLease;

/**
 * Estimates from the controllers' reports whether work that waits in one shard would start at once
 * in another. Only a hint for returning work to the pool; the leader decides where it may go.
 */
public final class RemoteCapacityHint {
  private final ClusterStateCache cache;
  private final PeerViews views;
  private final Function<ShardId, List<Headroom>> reserves;

  /**
   * Creates a hint.
   *
   * @param reserves the headroom that a shard keeps
   */
  public RemoteCapacityHint(
      ClusterStateCache cache, PeerViews views, Function<ShardId, List<Headroom>> reserves) {
    this.cache = cache;
    this.views = views;
    this.reserves = reserves;
  }

  /**
   * Whether another shard than {@code ownShard} has capacity for a task of a job, and nothing
   * queued that would take it first.
   */
  public boolean exists(Job job, ShardId ownShard) {
    ShardLease ownLease = cache.shard(ownShard);
    for (ShardLease shard : cache.shards().values()) {
      // The other tasks of a job bound to one zone are most likely in this one.
      boolean mayGo =
          !shard.id().equals(ownShard)
              && job.allows(shard.type(), shard.zone(), shard.spot())
              && (!job.singleZone()
                  || job.taskCount() == 1
                  || (ownLease != null && shard.zone().equals(ownLease.zone())));
      if (mayGo && hasRoom(job, shard)) {
        return true;
      }
    }
    return false;
  }

  private boolean hasRoom(Job job, ShardLease shard) {
    PeerViews.View owner = views.of(shard.owner());
    PeerViews.ShardView view = owner == null ? null : owner.shards().get(shard.id());
    MachineType type = cache.machineTypes().get(shard.type());
    if (view == null
        || type == null
        || !view.token().equals(shard.token())
        || view.declinedJobs().contains(job.id())) {
      return false;
    }
    Resources free = Resources.NONE;
    boolean fits = false;
    for (MachineId id : shard.machines().keySet()) {
      PeerHeartbeat.MachineState machine = view.machines().get(id);
      if (machine == null || !machine.open() || shard.leaving().contains(id)) {
        continue;
      }
      if (machine.queued() > 0) {
        return false;
      }
      free = free.plus(machine.free());
      fits |= job.taskResources().fitsIn(machine.free());
    }
    for (Headroom headroom : reserves.apply(shard.id())) {
      free = headroom.isWithheldFrom(job, type.capacity()) ? free.minus(headroom.total()) : free;
    }
    return fits && job.taskResources().fitsIn(free);
  }
}
