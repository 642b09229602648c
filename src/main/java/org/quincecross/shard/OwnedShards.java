package org.quincecross.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ShardLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The shards that this controller owns. */
public final class OwnedShards {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);
  private static final TimeSpan TICK = TimeSpan.ofMillis(150);

  private final ShardContext context;
  private final ControllerId self;
  private final Supplier<Incarnation> incarnation;
  private final Map<ShardId, ShardOwner> owners = new LinkedHashMap<>();

  /** Creates an empty set of shards. */
  public OwnedShards(ShardContext context, ControllerId self, Supplier<Incarnation> incarnation) {
    this.context = context;
    this.self = self;
    this.incarnation = incarnation;
  }

  /** Starts the periodic work of all owned shards. */
  public void start() {
    context.timers().every(TICK, () -> List.copyOf(owners.values()).forEach(ShardOwner::tick));
  }

  /** All owned shards. */
  public Collection<ShardOwner> all() {
    return owners.values();
  }

  /** The owner of a shard, or null if this controller does not own it. */
  public ShardOwner get(ShardId shard) {
    return owners.get(shard);
  }

  /** Applies changed leases, allocations and jobs. */
  public void cacheChanged(ClusterStateCache.Changes changes) {
    ClusterStateCache cache = context.cache();
    for (ShardId id : changes.reloaded() ? List.copyOf(owners.keySet()) : changes.shards()) {
      ShardLease lease = cache.shard(id);
      if (owners.containsKey(id) && (lease == null || !lease.owner().equals(self))) {
        LOG.info("shard {} is no longer owned", id);
        owners.remove(id).retire();
      }
    }
    for (ShardId id :
        changes.reloaded() ? List.copyOf(cache.shards().keySet()) : changes.shards()) {
      ShardLease lease = cache.shard(id);
      if (lease != null && lease.owner().equals(self)) {
        follow(lease);
      }
    }
    for (ShardOwner owner : owners.values()) {
      if (changes.reloaded()) {
        owner.jobsChanged(cache.jobs());
      } else if (!changes.jobs().isEmpty()) {
        owner.jobsChanged(changes.jobs());
      }
      if (changes.reloaded() || changes.shards().contains(owner.id())) {
        owner.sync();
      }
    }
  }

  /** Called when the set of blocked tasks of some jobs has changed. */
  public void startBlockChanged(Set<JobId> jobs) {
    owners.values().forEach(owner -> owner.jobsChanged(jobs));
  }

  private void follow(ShardLease lease) {
    ShardOwner owner = owners.get(lease.id());
    if (owner != null && owner.lease().token().equals(lease.token())) {
      if (!owner.lease().version().equals(lease.version())) {
        owner.renewed(lease);
      }
    } else if (lease.incarnation().equals(incarnation.get())) {
      // Owned from here on by this incarnation; what this process knew of the shard is outdated.
      LOG.info(
          "shard {} taken over, token {}, {} machines",
          lease.id(),
          lease.token(),
          lease.machines().size());
      if (owner != null) {
        owner.retire(); // its pending requests end with it
      }
      owners.put(lease.id(), new ShardOwner(context, lease));
      context.notifyLeader();
    }
  }

  /**
   * Called after a pause of this process. No machine could be heard during the pause, so its
   * silence proves nothing.
   */
  public void excusePause(TimeSpan gap) {
    owners.values().forEach(owner -> owner.excusePause(gap));
  }

  /** The number of a job's tasks that run in the owned shards it is allocated to. */
  public int running(JobId job) {
    int running = 0;
    for (ShardId shard : context.cache().shardsOf(job)) {
      ShardOwner owner = owners.get(shard);
      running += owner == null ? 0 : owner.running(job);
    }
    return running;
  }

  /**
   * Collects the changes for report {@code number}; {@code all}: including states that change with
   * time alone.
   */
  public void refresh(long number, boolean all) {
    owners.values().forEach(owner -> owner.reporter().refresh(number, all));
  }

  /** The changes in the owned shards after report {@code base}, as of the last {@link #refresh}. */
  public List<PeerHeartbeat.ShardStatus> since(long base) {
    List<PeerHeartbeat.ShardStatus> changed = new ArrayList<>();
    for (ShardOwner owner : owners.values()) {
      PeerHeartbeat.ShardStatus shardStatus = owner.reporter().since(base);
      if (shardStatus != null) {
        changed.add(shardStatus);
      }
    }
    return changed;
  }
}
