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

  public ShardOwner get(ShardId block) {
    return holders.get(block);
  }

  /** Follows the leases, allocations and jobs that have changed. */
  public void ledgerChanged(ClusterStateCache.Changes changes) {
    ClusterStateCache ledger = context.ledger();
    for (ShardId id : changes.reloaded() ? List.copyOf(holders.keySet()) : changes.blocks()) {
      ShardLease lease = ledger.block(id);
      if (holders.containsKey(id) && (lease == null || !lease.holder().equals(self))) {
        LOG.info("block {} is no longer held here", id);
        holders.remove(id).retire();
      }
    }
    for (ShardId id :
        changes.reloaded() ? List.copyOf(ledger.blocks().keySet()) : changes.blocks()) {
      ShardLease lease = ledger.block(id);
      if (lease != null && lease.holder().equals(self)) {
        follow(lease);
      }
    }
    for (ShardOwner holder : holders.values()) {
      if (changes.reloaded()) {
        holder.jobsChanged(ledger.jobs());
      } else if (!changes.jobs().isEmpty()) {
        holder.jobsChanged(changes.jobs());
      }
      if (changes.reloaded() || changes.blocks().contains(holder.id())) {
        holder.sync();
      }
    }
  }

  /** Other tasks of some jobs are kept back than before. */
  public void withheldChanged(Set<JobId> jobs) {
    holders.values().forEach(holder -> holder.jobsChanged(jobs));
  }

  private void follow(ShardLease lease) {
    ShardOwner holder = holders.get(lease.id());
    if (holder != null && holder.lease().token().equals(lease.token())) {
      if (!holder.lease().version().equals(lease.version())) {
        holder.renewed(lease);
      }
    } else if (lease.life().equals(life.get())) {
      // Held from here on, by this life: whatever this process knew of the block is out of date.
      LOG.info(
          "block {} taken over, token {}, {} machines",
          lease.id(),
          lease.token(),
          lease.machines().size());
      if (holder != null) {
        holder.retire(); // what it has under way ends with it
      }
      holders.put(lease.id(), new ShardOwner(context, lease));
      context.newsForLeader();
    }
  }

  /** For so long no machine was listened to here: that nothing came is no sign of its silence. */
  public void excuse(TimeSpan gap) {
    holders.values().forEach(holder -> holder.excuse(gap));
  }

  /** How many tasks of a job run in the blocks held here that it is allocated to. */
  public int running(JobId job) {
    int running = 0;
    for (ShardId block : context.ledger().blocksOf(job)) {
      ShardOwner holder = holders.get(block);
      running += holder == null ? 0 : holder.running(job);
    }
    return running;
  }

  /**
   * Notes what is new for report {@code number}; {@code all}: looks also at what changes with time
   * alone.
   */
  public void refresh(long number, boolean all) {
    holders.values().forEach(holder -> holder.reporter().refresh(number, all));
  }

  /**
   * What has changed after report {@code base} in the blocks held here, as of the last {@link
   * #refresh}.
   */
  public List<PeerHeartbeat.Block> since(long base) {
    List<PeerHeartbeat.Block> changed = new ArrayList<>();
    for (ShardOwner holder : holders.values()) {
      PeerHeartbeat.Block block = holder.reporter().since(base);
      if (block != null) {
        changed.add(block);
      }
    }
    return changed;
  }
}
