package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.replicated.StartBlock;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ShardLease;

/**
 * An index of the allocations for admission: the unfinished tasks of each shard, the outstanding
 * and pending tasks of each job, and each team's usage. Updated incrementally, at a cost
 * proportional to the tasks of the changed jobs and shards.
 */
final class AllocationIndex {
  private static final int RECOMPUTE_INTERVAL = 10_000;

  /**
   * The allocation of a job that is not done.
   *
   * @param completed tasks whose completion is durable
   * @param outstanding allocated tasks that are not completed; each may be on a machine
   * @param pending tasks that wait for an allocation; none if the job is cancelled or has
   *     unfinished dependencies
   * @param outstandingByZone the number of outstanding tasks in each zone
   */
  record JobAllocation(
      Job job,
      TaskSet completed,
      TaskSet outstanding,
      TaskSet pending,
      Map<String, Integer> outstandingByZone) {}

  private final ClusterStateCache cache;
  private final StartBlock startBlock;
  private final Map<ShardId, Map<JobId, TaskSet>> allocated = new HashMap<>();
  private final Map<JobId, Map<ShardId, TaskSet>> where = new HashMap<>();
  private final Map<JobId, JobAllocation> accounts = new HashMap<>();
  private final Map<JobId, JobRecord> openRecords = new HashMap<>();
  private final Map<JobRecord, JobAllocation> open =
      new TreeMap<>(Comparator.comparing(JobRecord::version).thenComparing(JobRecord::id));
  private final Set<ShardId> leased = new HashSet<>();
  private final Set<JobId> waiting = new LinkedHashSet<>();
  private final Map<String, Use> use = new HashMap<>();
  private final Set<ShardId> toRead = new LinkedHashSet<>();
  private final Set<JobId> toCount = new LinkedHashSet<>();
  private final Set<ShardId> changedShards = new HashSet<>();
  private long countedItems;
  private final List<AllocationListener> listeners = new ArrayList<>();

  /** Adds a listener for tasks that are allocated from now on. */
  void addListener(AllocationListener listener) {
    listeners.add(listener);
  }

  AllocationIndex(ClusterStateCache cache) {
    this(cache, StartBlock.NONE);
  }

  /**
   * Creates an empty index.
   *
   * @param startBlock tasks that may not run now and so are not pending
   */
  AllocationIndex(ClusterStateCache cache, StartBlock startBlock) {
    this.cache = cache;
    this.startBlock = startBlock;
  }

  /** Called when the set of blocked tasks of some jobs has changed. */
  void startBlockChanged(Set<JobId> jobs) {
    toCount.addAll(jobs);
  }

  /** The resources of a team's outstanding tasks, and the number of its jobs that have any. */
  private static final class Use {
    private Resources sum = Resources.NONE;
    private int jobs;
    private int changes;
  }

  /** Records changes; they are applied when the index is next queried. */
  void cacheChanged(ClusterStateCache.Changes changes) {
    toRead.addAll(changes.shards());
    toCount.addAll(changes.jobs());
    if (changes.reloaded()) {
      toRead.addAll(allocated.keySet());
      toRead.addAll(cache.allocatedShards());
      toRead.addAll(cache.shards().keySet());
      toCount.addAll(cache.jobs());
    }
  }

  /** The only method that changes the index. */
  private void refresh() {
    for (ShardId shard : toRead) {
      read(shard);
    }
    toRead.clear();
    for (JobId job : toCount) {
      count(job);
    }
    toCount.clear();
  }

  private void read(ShardId shard) {
    Map<JobId, TaskSet> next = cache.allocation(shard).tasks();
    Map<JobId, TaskSet> before =
        next.isEmpty() ? allocated.remove(shard) : allocated.put(shard, next);
    changedShards.add(shard);
    boolean isLeased = cache.shard(shard) != null;
    if (isLeased ? leased.add(shard) : leased.remove(shard)) {
      toCount.addAll(
          next.keySet()); // a shard's tasks move between a zone and none when the shard appears or
      // disappears
    }
    if (before != null) {
      for (JobId job : before.keySet()) {
        if (!next.containsKey(job)) {
          Map<ShardId, TaskSet> byShard = where.get(job);
          byShard.remove(shard);
          if (byShard.isEmpty()) {
            where.remove(job);
          }
          toCount.add(job);
        }
      }
    }
    next.forEach(
        (job, tasks) -> {
          TaskSet known = where.computeIfAbsent(job, id -> new TreeMap<>()).put(shard, tasks);
          if (!tasks.equals(known)) {
            toCount.add(job);
          }
        });
  }

  private void count(JobId id) {
    changedShards.addAll(where.getOrDefault(id, Map.of()).keySet());
    waiting.remove(id);
    JobRecord wasOpen = openRecords.remove(id);
    if (wasOpen != null) {
      open.remove(wasOpen);
    }
    JobRecord record = cache.job(id);
    if (record == null || record.job() == null) {
      updateUsage(accounts.remove(id), null);
      return;
    }
    JobAllocation now = allocationOf(record);
    JobAllocation before = accounts.put(id, now);
    updateUsage(before, now);
    notifyIfAllocated(id, before, now);
    if (record.phase() == JobPhase.OPEN) {
      openRecords.put(id, record);
      open.put(record, now);
    }
    if (!now.pending().isEmpty()) {
      waiting.add(id);
    }
  }

  private JobAllocation allocationOf(JobRecord record) {
    TaskSet completed = cache.completedTasks(record.id());
    TaskSet outstanding = new TaskSet();
    Map<String, Integer> outstandingByZone = new TreeMap<>();
    where
        .getOrDefault(record.id(), Map.of())
        .forEach(
            (shard, tasks) -> {
              int open = tasks.size() - tasks.intersectionSize(completed);
              ShardLease lease = cache.shard(shard);
              if (open > 0 && lease != null) {
                outstandingByZone.merge(lease.zone(), open, Integer::sum);
              }
              outstanding.addAll(tasks);
              countedItems++;
            });
    outstanding.removeAll(completed);
    TaskSet pending = pendingTasks(record, completed, outstanding);
    return new JobAllocation(record.job(), completed, outstanding, pending, outstandingByZone);
  }

  private TaskSet pendingTasks(JobRecord record, TaskSet completed, TaskSet outstanding) {
    if (record.phase() != JobPhase.OPEN || cache.dependencyGraph().isWaiting(record.id())) {
      return new TaskSet();
    }
    TaskSet pending = TaskSet.range(record.job().taskCount());
    pending.removeAll(completed);
    pending.removeAll(outstanding);
    pending.removeAll(startBlock.blockedTasks(record.job()));
    return pending;
  }

  private void notifyIfAllocated(JobId id, JobAllocation before, JobAllocation now) {
    int reached = now.completed().size() + now.outstanding().size();
    int reachedBefore =
        before == null ? 0 : before.completed().size() + before.outstanding().size();
    if (reached > reachedBefore) {
      listeners.forEach(listener -> listener.tasksAllocated(id, reached - reachedBefore, reached));
    }
  }

  /** Replaces what a job contributes to its team's usage. */
  private void updateUsage(JobAllocation before, JobAllocation now) {
    if (before != null && !before.outstanding().isEmpty()) {
      addUsage(before, -1);
    }
    if (now != null && !now.outstanding().isEmpty()) {
      addUsage(now, 1);
    }
  }

  private void addUsage(JobAllocation account, int sign) {
    String team = account.job().team();
    Use sum = use.computeIfAbsent(team, name -> new Use());
    sum.jobs += sign;
    sum.sum =
        sum.sum.plus(account.job().taskResources().times(sign * account.outstanding().size()));
    if (sum.jobs == 0) {
      use.remove(team);
    } else {
      sum.changes++;
    }
  }

  /**
   * Recomputes a sum from its terms, because repeated additions accumulate rounding errors and a
   * team's limit must hold regardless of their order.
   */
  private void recomputeUsage(String team, Use sum) {
    sum.changes = 0;
    sum.sum = Resources.NONE;
    for (JobAllocation account : accounts.values()) {
      if (account.job().team().equals(team)) {
        sum.sum = sum.sum.plus(account.job().taskResources().times(account.outstanding().size()));
      }
    }
  }

  /** The number of allocation items processed so far, as a measure of work. */
  long countedItems() {
    return countedItems;
  }

  /** The allocation of a job that is not done, or null. */
  JobAllocation get(JobId job) {
    refresh();
    return accounts.get(job);
  }

  /** The open jobs in the order of their acceptance. */
  Map<JobRecord, JobAllocation> openJobs() {
    refresh();
    return open;
  }

  /** The ids of the open jobs. */
  Set<JobId> openJobIds() {
    refresh();
    return openRecords.keySet();
  }

  /** The jobs with pending tasks. */
  Collection<JobId> jobsWithPendingTasks() {
    refresh();
    return waiting;
  }

  /** Receives the tasks of one job in a shard. */
  interface HeldTasks {
    /**
     * Called with the tasks that the shard's record contains, of which {@code open} are not
     * completed.
     */
    void of(Job job, TaskSet tasks, int open);
  }

  /** Iterates over the jobs of a shard that have uncompleted tasks. */
  void forEachUnfinished(ShardId shard, HeldTasks action) {
    refresh();
    allocated
        .getOrDefault(shard, Map.of())
        .forEach(
            (id, tasks) -> {
              JobAllocation account = accounts.get(id);
              int open =
                  account == null ? 0 : tasks.size() - tasks.intersectionSize(account.completed());
              if (open > 0) {
                action.of(account.job(), tasks, open);
              }
            });
  }

  /** The uncompleted tasks of a shard. */
  Map<JobId, TaskSet> unfinishedTasks(ShardId shard) {
    refresh();
    Map<JobId, TaskSet> tasksByJob = new LinkedHashMap<>();
    allocated
        .getOrDefault(shard, Map.of())
        .forEach(
            (job, tasks) -> {
              JobAllocation account = accounts.get(job);
              if (account != null) {
                TaskSet open = tasks.copy();
                open.removeAll(account.completed());
                if (!open.isEmpty()) {
                  tasksByJob.put(job, open);
                }
              }
            });
    return tasksByJob;
  }

  /** The number of completed tasks that a shard's record still contains. */
  int completedButAllocated(ShardId shard) {
    refresh();
    int stale = 0;
    for (Map.Entry<JobId, TaskSet> entry : allocated.getOrDefault(shard, Map.of()).entrySet()) {
      JobAllocation account = accounts.get(entry.getKey());
      stale +=
          account == null
              ? entry.getValue().size()
              : entry.getValue().intersectionSize(account.completed());
    }
    return stale;
  }

  /**
   * The resources of each team's tasks that are not proven gone, completed or not. A completed task
   * counts, because a completion that is lost with its owner and machine before it is durable is
   * repeated under the same allocation.
   */
  Map<String, Resources> teamUsage() {
    refresh();
    Map<String, Resources> sums = new HashMap<>();
    use.forEach(
        (team, sum) -> {
          if (sum.changes > RECOMPUTE_INTERVAL) {
            recomputeUsage(team, sum);
          }
          sums.put(team, sum.sum);
        });
    return sums;
  }

  /** The shards that have changed since the last call. */
  List<ShardId> takeChangedShards() {
    refresh();
    List<ShardId> changes = new ArrayList<>(changedShards);
    changedShards.clear();
    return changes;
  }
}
