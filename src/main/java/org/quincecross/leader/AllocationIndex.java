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
 * What the ledger comes to for admission: which tasks each block holds, what each job has out and
 * in the pool, what each team uses. Kept current as the ledger changes, at a cost in proportion to
 * what changed: the tasks of the jobs and blocks concerned.
 */
final class AllocationIndex {
  private static final int SUM_ANEW_AFTER = 10_000;

  /**
   * A job that is not done.
   *
   * @param done tasks whose completion is durable
   * @param out allocated tasks that are not done: each may be on a machine
   * @param pool tasks that wait to be allocated; none once the job is cancelled, or while it waits
   *     for other jobs
   * @param perZone how many tasks are out in each zone
   */
  record Account(Job job, TaskSet done, TaskSet out, TaskSet pool, Map<String, Integer> perZone) {}

  private final ClusterStateCache cache;
  private final StartBlock startBlock;
  private final Map<ShardId, Map<JobId, TaskSet>> allocated = new HashMap<>();
  private final Map<JobId, Map<ShardId, TaskSet>> where = new HashMap<>();
  private final Map<JobId, Account> accounts = new HashMap<>();
  private final Map<JobId, JobRecord> openRecords = new HashMap<>();
  private final Map<JobRecord, Account> open =
      new TreeMap<>(Comparator.comparing(JobRecord::version).thenComparing(JobRecord::id));
  private final Set<ShardId> leased = new HashSet<>();
  private final Set<JobId> waiting = new LinkedHashSet<>();
  private final Map<String, Use> use = new HashMap<>();
  private final Set<ShardId> toRead = new LinkedHashSet<>();
  private final Set<JobId> toCount = new LinkedHashSet<>();
  private final Set<ShardId> changedBlocks = new HashSet<>();
  private long counted;
  private final List<AllocationListener> listeners = new ArrayList<>();

  /** Has {@code listener} told of tasks that leave the pool from now on. */
  void listen(AllocationListener listener) {
    listeners.add(listener);
  }

  AllocationIndex(ClusterStateCache cache) {
    this(cache, StartBlock.NONE);
  }

  /**
   * @param startBlock tasks that are in no pool, for they may not run now
   */
  AllocationIndex(ClusterStateCache cache, StartBlock startBlock) {
    this.cache = cache;
    this.startBlock = startBlock;
  }

  /** Other tasks of some jobs are kept back than before. */
  void withheldChanged(Set<JobId> jobs) {
    toCount.addAll(jobs);
  }

  /** What the tasks of a team take that are out, and how many of its jobs have such tasks. */
  private static final class Use {
    private Resources sum = Resources.NONE;
    private int jobs;
    private int changes;
  }

  /** Notes what has changed; it is looked at when the books are next asked. */
  void changed(ClusterStateCache.Changes changes) {
    toRead.addAll(changes.shards());
    toCount.addAll(changes.jobs());
    if (changes.reloaded()) {
      toRead.addAll(allocated.keySet());
      toRead.addAll(cache.allocatedShards());
      toRead.addAll(cache.shards().keySet());
      toCount.addAll(cache.jobs());
    }
  }

  /** The one place where the books change. */
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
    changedBlocks.add(shard);
    boolean isLeased = cache.shard(shard) != null;
    if (isLeased ? leased.add(shard) : leased.remove(shard)) {
      toCount.addAll(next.keySet()); // what is in no zone now is in one, or the reverse
    }
    if (before != null) {
      for (JobId job : before.keySet()) {
        if (!next.containsKey(job)) {
          Map<ShardId, TaskSet> there = where.get(job);
          there.remove(shard);
          if (there.isEmpty()) {
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
    Map<ShardId, TaskSet> there = where.getOrDefault(id, Map.of());
    changedBlocks.addAll(there.keySet());
    JobRecord record = cache.job(id);
    waiting.remove(id);
    JobRecord wasOpen = openRecords.remove(id);
    if (wasOpen != null) {
      open.remove(wasOpen);
    }
    if (record == null || record.job() == null) {
      used(accounts.remove(id), null);
      return;
    }
    Job job = record.job();
    TaskSet done = cache.completedTasks(id);
    TaskSet allOut = new TaskSet();
    Map<String, Integer> perZone = new TreeMap<>();
    there.forEach(
        (shard, tasks) -> {
          int open = tasks.size() - tasks.intersectionSize(done);
          ShardLease lease = cache.shard(shard);
          if (open > 0 && lease != null) {
            perZone.merge(lease.zone(), open, Integer::sum);
          }
          allOut.addAll(tasks);
          counted++;
        });
    allOut.removeAll(done);
    TaskSet pool = new TaskSet();
    if (record.phase() == JobPhase.OPEN && !cache.dependencyGraph().waits(id)) {
      pool = TaskSet.range(job.taskCount());
      pool.removeAll(done);
      pool.removeAll(allOut);
      pool.removeAll(startBlock.of(job));
    }
    Account account = new Account(job, done, allOut, pool, perZone);
    Account before = accounts.put(id, account);
    used(before, account);
    int reached = done.size() + allOut.size();
    int more = reached - (before == null ? 0 : before.done().size() + before.out().size());
    if (more > 0) {
      listeners.forEach(listener -> listener.given(id, more, reached));
    }
    if (record.phase() == JobPhase.OPEN) {
      openRecords.put(id, record);
      open.put(record, account);
    }
    if (!pool.isEmpty()) {
      waiting.add(id);
    }
  }

  /** Counts what a job has out now in place of what it had. */
  private void used(Account before, Account now) {
    if (before != null && !before.out().isEmpty()) {
      add(before, -1);
    }
    if (now != null && !now.out().isEmpty()) {
      add(now, 1);
    }
  }

  private void add(Account account, int sign) {
    String team = account.job().team();
    Use sum = use.computeIfAbsent(team, name -> new Use());
    sum.jobs += sign;
    sum.sum = sum.sum.plus(account.job().taskResources().times(sign * account.out().size()));
    if (sum.jobs == 0) {
      use.remove(team);
    } else {
      sum.changes++;
    }
  }

  /**
   * Sums up anew what many changes may have rounded: a team's limit holds whatever the order of
   * additions was.
   */
  private void sumAnew(String team, Use sum) {
    sum.changes = 0;
    sum.sum = Resources.NONE;
    for (Account account : accounts.values()) {
      if (account.job().team().equals(team)) {
        sum.sum = sum.sum.plus(account.job().taskResources().times(account.out().size()));
      }
    }
  }

  /** How many items of allocations have been counted so far: the work that was done. */
  long counted() {
    return counted;
  }

  /** What is known of a job that is not done, or null. */
  Account account(JobId job) {
    refresh();
    return accounts.get(job);
  }

  /** The open jobs, first accepted first. */
  Map<JobRecord, Account> open() {
    refresh();
    return open;
  }

  /** The ids of the open jobs. */
  Set<JobId> openIds() {
    refresh();
    return openRecords.keySet();
  }

  /** The jobs with tasks in the pool. */
  Collection<JobId> waiting() {
    refresh();
    return waiting;
  }

  /** Takes the tasks of one job that a block has. */
  interface HeldTasks {
    /** {@code tasks}: those that its record names, {@code open} of which are not done. */
    void of(Job job, TaskSet tasks, int open);
  }

  /** Goes through the jobs of a block of which some task is not done. */
  void eachHeld(ShardId shard, HeldTasks action) {
    refresh();
    allocated
        .getOrDefault(shard, Map.of())
        .forEach(
            (id, tasks) -> {
              Account account = accounts.get(id);
              int open =
                  account == null ? 0 : tasks.size() - tasks.intersectionSize(account.done());
              if (open > 0) {
                action.of(account.job(), tasks, open);
              }
            });
  }

  /** The tasks of a block that are not done. */
  Map<JobId, TaskSet> held(ShardId shard) {
    refresh();
    Map<JobId, TaskSet> held = new LinkedHashMap<>();
    allocated
        .getOrDefault(shard, Map.of())
        .forEach(
            (job, tasks) -> {
              Account account = accounts.get(job);
              if (account != null) {
                TaskSet open = tasks.copy();
                open.removeAll(account.done());
                if (!open.isEmpty()) {
                  held.put(job, open);
                }
              }
            });
    return held;
  }

  /** How many tasks a block's record names that are done. */
  int stale(ShardId shard) {
    refresh();
    int stale = 0;
    for (Map.Entry<JobId, TaskSet> entry : allocated.getOrDefault(shard, Map.of()).entrySet()) {
      Account account = accounts.get(entry.getKey());
      stale +=
          account == null
              ? entry.getValue().size()
              : entry.getValue().intersectionSize(account.done());
    }
    return stale;
  }

  /**
   * What the tasks of each team take that are not proven gone, completed or not: a completion that
   * is lost with its holder and its machine before it is durable is run again under its allocation.
   */
  Map<String, Resources> teamUse() {
    refresh();
    Map<String, Resources> sums = new HashMap<>();
    use.forEach(
        (team, sum) -> {
          if (sum.changes > SUM_ANEW_AFTER) {
            sumAnew(team, sum);
          }
          sums.put(team, sum.sum);
        });
    return sums;
  }

  /** The blocks of which something has changed since this was last asked. */
  List<ShardId> takeChangedBlocks() {
    refresh();
    List<ShardId> taken = new ArrayList<>(changedBlocks);
    changedBlocks.clear();
    return taken;
  }
}
