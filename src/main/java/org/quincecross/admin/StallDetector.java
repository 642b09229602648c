package org.quincecross.admin;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.quincecross.leader.Leader;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.progress.ProgressWatch;
import org.quincecross.protocol.Json;
import org.quincecross.replicated.StartBlock;
import org.quincecross.shard.OwnedShards;
import org.quincecross.shard.ShardOwner;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ShardLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports jobs without progress, with what they wait for, to operators in the log and in the
 * status. The leader watches all open jobs, every other controller those with tasks in its shards.
 */
public final class StallDetector {
  private static final Logger LOG = LoggerFactory.getLogger(StallDetector.class);
  private static final TimeSpan LOOK_EVERY = TimeSpan.ofSeconds(5);
  private static final TimeSpan SAY_AGAIN = TimeSpan.ofSeconds(300);
  private static final int MOST_SHOWN = 50;

  private final Timers timers;
  private final ClusterStateCache cache;
  private final OwnedShards ownedShards;
  private final Leader leader;
  private final ToIntFunction<JobId> running;
  private final StartBlock startBlock;
  private final ProgressWatch watch = new ProgressWatch();
  private final Map<JobId, MonotonicTime> said = new HashMap<>();
  private List<ProgressWatch.Stall> stalls = List.of();

  /**
   * @param running how many tasks of a job run, as far as known here
   * @param startBlock tasks that must not run now, which do not count as stalled
   */
  public StallDetector(
      Timers timers,
      ClusterStateCache cache,
      OwnedShards ownedShards,
      Leader leader,
      ToIntFunction<JobId> running,
      StartBlock startBlock) {
    this.timers = timers;
    this.cache = cache;
    this.ownedShards = ownedShards;
    this.leader = leader;
    this.running = running;
    this.startBlock = startBlock;
  }

  public void start() {
    timers.every(LOOK_EVERY, this::look);
  }

  private void look() {
    MonotonicTime now = timers.now();
    stalls = watch.update(watched(), now);
    said.keySet().retainAll(stalls.stream().map(ProgressWatch.Stall::job).toList());
    for (ProgressWatch.Stall stall : stalls) {
      MonotonicTime before = said.get(stall.job());
      if (before == null || now.since(before).isLongerThan(SAY_AGAIN)) {
        said.put(stall.job(), now);
        LOG.info(
            "{} has made no progress for {}: {}",
            stall.job(),
            now.since(stall.since()),
            waits(stall.job()));
      }
    }
  }

  private Collection<ProgressWatch.JobStatus> watched() {
    Map<JobId, ProgressWatch.JobStatus> standings = new TreeMap<>();
    if (leader.isLeading()) {
      cache.openJobs().forEach(record -> watch(record, standings));
    } else {
      for (ShardOwner owner : ownedShards.all()) {
        for (JobId job : owner.jobs()) {
          JobRecord record = cache.job(job);
          if (record != null && record.phase() == JobPhase.OPEN && !standings.containsKey(job)) {
            watch(record, standings);
          }
        }
      }
    }
    return standings.values();
  }

  /** A job whose remaining tasks are all blocked is not watched until one may run. */
  private void watch(JobRecord record, Map<JobId, ProgressWatch.JobStatus> standings) {
    if (cache.dependencyGraph().isWaiting(record.id())) {
      return; // the jobs that it depends on are watched
    }
    boolean service = record.job().kind() == JobKind.SERVICE;
    int mayRun = record.job().taskCount() - startBlock.blockedTasks(record.job()).size();
    int done = service ? 0 : cache.completedCount(record.id());
    if (mayRun > done) {
      standings.put(
          record.id(),
          new ProgressWatch.JobStatus(
              record.id(),
              service,
              record.job().estimate(),
              mayRun,
              done,
              running.applyAsInt(record.id())));
    }
  }

  /** Returns what a job's tasks wait for, as far as this controller knows. */
  private List<String> waits(JobId job) {
    List<String> waits = new ArrayList<>();
    String kept = startBlock.reason(job);
    if (kept != null) {
      waits.add(kept);
    }
    String pool = leader.pendingReason(job);
    if (pool != null) {
      waits.add(pool);
    }
    for (ShardId shard : cache.allocatedShards()) {
      if (!cache.allocation(shard).tasks().containsKey(job)) {
        continue;
      }
      ShardOwner owner = ownedShards.get(shard);
      ShardLease lease = cache.shard(shard);
      if (owner != null) {
        waits.addAll(owner.unplacedReasons(job));
      } else {
        waits.add(
            lease == null
                ? "tasks in block " + shard + ", which has no lease"
                : "tasks in block " + shard + ": ask " + lease.owner());
      }
    }
    int count = running.applyAsInt(job);
    if (count > 0) {
      waits.add(count + " tasks run");
    }
    return waits;
  }

  /** Returns the stalled jobs for the status. */
  Object write() {
    MonotonicTime now = timers.now();
    List<Object> list = new ArrayList<>();
    for (ProgressWatch.Stall stall : stalls.subList(0, Math.min(MOST_SHOWN, stalls.size()))) {
      list.add(
          Json.object(
              "job",
              stall.job().text(),
              "for_s",
              Math.floor(now.since(stall.since()).seconds()),
              "waits_for",
              waits(stall.job())));
    }
    return list;
  }
}
