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

/** The blocks that this controller holds. */
public final class OwnedShards {
  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);
  private static final TimeSpan TICK = TimeSpan.ofMillis(150);

  private final ShardContext context;
  private final ControllerId self;
  private final Supplier<Incarnation> life;
  private final Map<ShardId, ShardOwner> holders = new LinkedHashMap<>();

  public OwnedShards(ShardContext context, ControllerId self, Supplier<Incarnation> life) {
    this.context = context;
    this.self = self;
    this.life = life;
  }

  public void start() {
    context.timers().every(TICK, () -> List.copyOf(holders.values()).forEach(ShardOwner::tick));
  }

  public Collection<ShardOwner> all() {
    return holders.values();
  }

  public ShardOwner get(ShardId shard) {
    return holders.get(shard);
  }

  /** Follows the leases, allocations and jobs that have changed. */
  public void ledgerChanged(ClusterStateCache.Changes changes) {
    ClusterStateCache cache = context.ledger();
    for (ShardId id : changes.reloaded() ? List.copyOf(holders.keySet()) : changes.shards()) {
      ShardLease lease = cache.shard(id);
      if (holders.containsKey(id) && (lease == null || !lease.owner().equals(self))) {
        LOG.info("block {} is no longer held here", id);
        holders.remove(id).retire();
      }
    }
    for (ShardId id :
        changes.reloaded() ? List.copyOf(cache.shards().keySet()) : changes.shards()) {
      ShardLease lease = cache.shard(id);
      if (lease != null && lease.owner().equals(self)) {
        follow(lease);
      }
    }
    for (ShardOwner owner : holders.values()) {
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

  /** Other tasks of some jobs are kept back than before. */
  public void withheldChanged(Set<JobId> jobs) {
    holders.values().forEach(owner -> owner.jobsChanged(jobs));
  }

  private void follow(ShardLease lease) {
    ShardOwner owner = holders.get(lease.id());
    if (owner != null && owner.lease().token().equals(lease.token())) {
      if (!owner.lease().version().equals(lease.version())) {
        owner.renewed(lease);
      }
    } else if (lease.incarnation().equals(life.get())) {
      // Held from here on, by this life: whatever this process knew of the block is out of date.
      LOG.info(
          "block {} taken over, token {}, {} machines",
          lease.id(),
          lease.token(),
          lease.machines().size());
      if (owner != null) {
        owner.retire(); // what it has under way ends with it
      }
      holders.put(lease.id(), new ShardOwner(context, lease));
      context.newsForLeader();
    }
  }

  /** For so long no machine was listened to here: that nothing came is no sign of its silence. */
  public void excuse(TimeSpan gap) {
    holders.values().forEach(owner -> owner.excuse(gap));
  }

  /** How many tasks of a job run in the blocks held here that it is allocated to. */
  public int running(JobId job) {
    int running = 0;
    for (ShardId shard : context.ledger().shardsOf(job)) {
      ShardOwner owner = holders.get(shard);
      running += owner == null ? 0 : owner.running(job);
    }
    return running;
  }

  /**
   * Notes what is new for report {@code number}; {@code all}: looks also at what changes with time
   * alone.
   */
  public void refresh(long number, boolean all) {
    holders.values().forEach(owner -> owner.reporter().refresh(number, all));
  }

  /**
   * What has changed after report {@code base} in the blocks held here, as of the last {@link
   * #refresh}.
   */
  public List<PeerHeartbeat.Block> since(long base) {
    List<PeerHeartbeat.Block> changed = new ArrayList<>();
    for (ShardOwner owner : holders.values()) {
      PeerHeartbeat.Block block = owner.reporter().since(base);
      if (block != null) {
        changed.add(block);
      }
    }
    return changed;
  }
}
