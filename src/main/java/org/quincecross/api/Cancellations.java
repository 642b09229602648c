package org.quincecross.api;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.failuredetection.UnconfirmedOwnershipBound;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.shard.OwnedShards;
import org.quincecross.shard.ShardOwner;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ShardLease;

/**
 * Decides when users may be told that a job is cancelled, by the rule of {@link
 * UnconfirmedOwnershipBound}, which has the proof.
 *
 * <p>The delay runs from when the record was first seen here, never from the time of day in it.
 * That is when the change was created; one that waited, or got no response and is applied late, may
 * have become durable only now (docs/incidents/told-by-an-old-time.md). Cancellations from before
 * the records were read are delayed as well, while any of their tasks are allocated.
 */
final class Cancellations {
  private static final TimeSpan RECHECK_INTERVAL = TimeSpan.ofMillis(100);
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(1.2);

  private final Timers timers;
  private final ClusterStateCache cache;
  private final OwnedShards ownedShards;
  private final PeerViews views;
  private final UnconfirmedOwnershipBound bound;

  /**
   * When cancellations that may not be confirmed without a check were first seen, oldest first;
   * entries past the delay are removed.
   */
  private final Map<JobId, MonotonicTime> unconfirmed = new LinkedHashMap<>();

  private Revision cacheRevision = Revision.NONE;
  private boolean sweepPlanned;

  Cancellations(
      Timers timers,
      ClusterStateCache cache,
      OwnedShards ownedShards,
      PeerViews views,
      UnconfirmedOwnershipBound bound) {
    this.timers = timers;
    this.cache = cache;
    this.ownedShards = ownedShards;
    this.views = views;
    this.bound = bound;
  }

  void cacheChanged(ClusterStateCache.Changes changes) {
    if (changes.reloaded()) {
      for (ShardId shard : cache.allocatedShards()) {
        cache.allocation(shard).tasks().keySet().forEach(this::seen);
      }
    } else {
      for (JobId id : changes.jobs()) {
        JobRecord record = cache.job(id);
        if (record != null && record.version().isAfter(cacheRevision)) {
          seen(id); // otherwise another property of the job has changed
        }
      }
    }
    cacheRevision = cache.revision();
  }

  private void seen(JobId id) {
    JobRecord record = cache.job(id);
    if (record != null && record.phase() == JobPhase.CANCELLED) {
      unconfirmed.putIfAbsent(id, timers.now());
      planSweep();
    }
  }

  private void planSweep() {
    if (!sweepPlanned && !unconfirmed.isEmpty()) {
      sweepPlanned = true;
      timers.after(
          bound.confirmCancellationAfter(),
          () -> {
            sweepPlanned = false;
            for (Iterator<MonotonicTime> oldest = unconfirmed.values().iterator();
                oldest.hasNext() && isDelayOver(oldest.next()); ) {
              oldest.remove();
            }
            planSweep();
          });
    }
  }

  /** The number of remembered cancellations. */
  int remembered() {
    return unconfirmed.size();
  }

  /** Reports soon whether a user may be told what the record says. */
  void whenSafe(JobRecord record, Consumer<Boolean> safe) {
    whenSafe(record, timers.now().plus(TIMEOUT), safe);
  }

  private void whenSafe(JobRecord record, MonotonicTime until, Consumer<Boolean> safe) {
    if (record.phase() != JobPhase.CANCELLED || mayConfirm(record)) {
      safe.accept(true);
    } else if (until.isBefore(timers.now())) {
      safe.accept(false);
    } else {
      timers.after(RECHECK_INTERVAL, () -> whenSafe(record, until, safe));
    }
  }

  private boolean mayConfirm(JobRecord record) {
    MonotonicTime since = unconfirmed.get(record.id());
    if (since == null) {
      return true;
    }
    if (isDelayOver(since)
        || cache.shardsOf(record.id()).isEmpty()
        || (bound.acknowledgementSuffices() && allOwnersHaveSeen(record))) {
      unconfirmed.remove(record.id());
      return true;
    }
    return false;
  }

  private boolean isDelayOver(MonotonicTime since) {
    return timers.now().since(since).isLongerThan(bound.confirmCancellationAfter());
  }

  private boolean allOwnersHaveSeen(JobRecord record) {
    for (ShardId id : cache.shardsOf(record.id())) {
      ShardLease lease = cache.shard(id);
      if (lease == null || !hasSeen(lease, record)) {
        return false;
      }
    }
    return true;
  }

  private boolean hasSeen(ShardLease lease, JobRecord record) {
    ShardOwner owner = ownedShards.get(lease.id());
    if (owner != null) {
      return owner.hasAllFenced();
    }
    PeerViews.View view = views.of(lease.owner());
    PeerViews.ShardView shardView = view == null ? null : view.shards().get(lease.id());
    if (shardView == null
        || !shardView.token().equals(lease.token())
        || record.version().isAfter(view.cacheRevision())) {
      return false;
    }
    for (MachineId machine : lease.machines().keySet()) {
      PeerHeartbeat.MachineState state = shardView.machines().get(machine);
      if (state == null || !state.fenced()) {
        return false;
      }
    }
    return true;
  }
}
