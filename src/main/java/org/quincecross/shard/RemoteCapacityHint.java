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
 * Whether work that waits in one block would most likely start at once in another, as far as the
 * controllers have told. A hint alone, by which work goes back to the pool: where it may go and
 * start is decided by the leader.
 */
public final class RemoteCapacityHint {
  private final ClusterStateCache cache;
  private final PeerViews views;
  private final Function<ShardId, List<Headroom>> reserves;

  /**
   * @param reserves what a block keeps free
   */
  public RemoteCapacityHint(
      ClusterStateCache cache, PeerViews views, Function<ShardId, List<Headroom>> reserves) {
    this.cache = cache;
    this.views = views;
    this.reserves = reserves;
  }

  /**
   * Whether another block than {@code here} has room for a task of a job, and nothing in its queues
   * that would take it first.
   */
  public boolean isFor(Job job, ShardId here) {
    ShardLease own = cache.shard(here);
    for (ShardLease block : cache.shards().values()) {
      // The other tasks of a job bound to one zone are most likely here.
      boolean mayGo =
          !block.id().equals(here)
              && job.allows(block.type(), block.zone(), block.spot())
              && (!job.singleZone()
                  || job.taskCount() == 1
                  || (own != null && block.zone().equals(own.zone())));
      if (mayGo && hasRoom(job, block)) {
        return true;
      }
    }
    return false;
  }

  private boolean hasRoom(Job job, ShardLease block) {
    PeerViews.View holder = views.of(block.owner());
    PeerViews.BlockView view = holder == null ? null : holder.blocks().get(block.id());
    MachineType type = cache.machineTypes().get(block.type());
    if (view == null
        || type == null
        || !view.token().equals(block.token())
        || view.declined().contains(job.id())) {
      return false;
    }
    Resources free = Resources.NONE;
    boolean fits = false;
    for (MachineId id : block.machines().keySet()) {
      PeerHeartbeat.MachineState machine = view.machines().get(id);
      if (machine == null || !machine.open() || block.leaving().contains(id)) {
        continue;
      }
      if (machine.queued() > 0) {
        return false;
      }
      free = free.plus(machine.free());
      fits |= job.taskResources().fitsIn(machine.free());
    }
    for (Headroom reserve : reserves.apply(block.id())) {
      free = reserve.keepsOut(job, type.capacity()) ? free.minus(reserve.total()) : free;
    }
    return fits && job.taskResources().fitsIn(free);
  }
}
