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
  private static final TimeSpan CHECK_INTERVAL = TimeSpan.ofSeconds(5);
  private static final TimeSpan LOG_INTERVAL = TimeSpan.ofSeconds(300);
  private static final int MAX_SHOWN = 50;

  private final Timers timers;
  private final ClusterStateCache cache;
  private final OwnedShards ownedShards;
  private final Leader leader;
  private final ToIntFunction<JobId> running;
  private final StartBlock startBlock;
  private final ProgressWatch watch = new ProgressWatch();
  private final Map<JobId, MonotonicTime> loggedAt = new HashMap<>();
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
    timers.every(CHECK_INTERVAL, this::check);
  }

  private void check() {
    MonotonicTime now = timers.now();
    stalls = watch.update(watched(), now);
    loggedAt.keySet().retainAll(stalls.stream().map(ProgressWatch.Stall::job).toList());
    for (ProgressWatch.Stall stall : stalls) {
      MonotonicTime before = loggedAt.get(stall.job());
      if (before == null || now.since(before).isLongerThan(LOG_INTERVAL)) {
        loggedAt.put(stall.job(), now);
        LOG.info(
            "{} has made no progress for {}: {}",
            stall.job(),
            now.since(stall.since()),
            waitReasons(stall.job()));
      }
    }
  }

  private Collection<ProgressWatch.JobStatus> watched() {
    Map<JobId, ProgressWatch.JobStatus> statuses = new TreeMap<>();
    if (leader.isLeading()) {
      cache.openJobs().forEach(record -> watch(record, statuses));
    } else {
      for (ShardOwner owner : ownedShards.all()) {
        for (JobId job : owner.jobs()) {
          JobRecord record = cache.job(job);
          if (record != null && record.phase() == JobPhase.OPEN && !statuses.containsKey(job)) {
            watch(record, statuses);
          }
        }
      }
    }
    return statuses.values();
  }

  /** A job whose remaining tasks are all blocked is not watched until one may run. */
  private void watch(JobRecord record, Map<JobId, ProgressWatch.JobStatus> statuses) {
    if (cache.dependencyGraph().isWaiting(record.id())) {
      return; // the jobs that it depends on are watched
    }
    boolean service = record.job().kind() == JobKind.SERVICE;
    int mayRun = record.job().taskCount() - startBlock.blockedTasks(record.job()).size();
    int done = service ? 0 : cache.completedCount(record.id());
    if (mayRun > done) {
      statuses.put(
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
  private List<String> waitReasons(JobId job) {
    List<String> reasons = new ArrayList<>();
    String blockReason = startBlock.reason(job);
    if (blockReason != null) {
      reasons.add(blockReason);
    }
    String pendingReason = leader.pendingReason(job);
    if (pendingReason != null) {
      reasons.add(pendingReason);
    }
    for (ShardId shard : cache.allocatedShards()) {
      if (!cache.allocation(shard).tasks().containsKey(job)) {
        continue;
      }
      ShardOwner owner = ownedShards.get(shard);
      ShardLease lease = cache.shard(shard);
      if (owner != null) {
        reasons.addAll(owner.unplacedReasons(job));
      } else {
        reasons.add(
            lease == null
                ? "tasks in block " + shard + ", which has no lease"
                : "tasks in block " + shard + ": ask " + lease.owner());
      }
    }
    int count = running.applyAsInt(job);
    if (count > 0) {
      reasons.add(count + " tasks run");
    }
    return reasons;
  }

  /** Returns the stalled jobs for the status. */
  Object write() {
    MonotonicTime now = timers.now();
    List<Object> list = new ArrayList<>();
    for (ProgressWatch.Stall stall : stalls.subList(0, Math.min(MAX_SHOWN, stalls.size()))) {
      list.add(
          Json.object(
              "job",
              stall.job().text(),
              "for_s",
              Math.floor(now.since(stall.since()).seconds()),
              "waits_for",
              waitReasons(stall.job())));
    }
    return list;
  }
}
