package org.quincecross.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;

/**
 * Tracks jobs that have been allocated nothing for so long that they may use headroom kept for
 * other work. The wait is counted from when a job became runnable, as far as this controller has
 * seen.
 */
final class StarvationTracker {
  /**
   * Leaves half a minute from plan to start of the 90 s in which no job may wait beside free
   * capacity.
   */
  private static final TimeSpan THRESHOLD = TimeSpan.ofSeconds(60);

  /**
   * A job's wait.
   *
   * @param given the number of tasks allocated or completed
   * @param since when that number last rose
   * @param before when it rose the time before
   * @param lent when it last rose after starving, or null
   */
  private record Wait(int given, MonotonicTime since, MonotonicTime before, MonotonicTime lent) {}

  private final ClusterStateCache cache;
  private final Map<JobId, Wait> waitByJob = new HashMap<>();
  private final Set<JobId> seen = new HashSet<>();

  StarvationTracker(ClusterStateCache cache) {
    this.cache = cache;
  }

  /** Observes an open, runnable job. */
  void observe(JobId job, MonotonicTime now) {
    int given = allocatedOrCompleted(job);
    Wait wait = waitByJob.get(job);
    if (wait == null) {
      waitByJob.put(job, new Wait(given, now, now, null));
    } else if (given > wait.given) {
      waitByJob.put(
          job, new Wait(given, now, wait.since, isLong(wait.since, now) ? now : wait.lent));
    } else if (given < wait.given) {
      waitByJob.put(
          job,
          new Wait(
              given,
              wait.before,
              wait.before,
              wait.lent)); // tasks that return to the pool have waited already
    }
    seen.add(job);
  }

  /**
   * The number of a job's tasks that are allocated or completed. A completed task may still be
   * allocated for a moment and then counts once.
   */
  private int allocatedOrCompleted(JobId job) {
    TaskSet done = cache.completedTasks(job);
    int given = done.size();
    for (ShardId shard : cache.shardsOf(job)) {
      TaskSet allocated = cache.allocation(shard).tasks().get(job);
      given += allocated == null ? 0 : allocated.size() - allocated.intersectionSize(done);
    }
    return given;
  }

  /** Forgets all jobs that were not observed since the last call. */
  void forgetUnobserved() {
    waitByJob.keySet().retainAll(seen);
    seen.clear();
  }

  /**
   * The jobs that are starving: a plan may place one task, or a whole gang, of each into headroom.
   */
  Set<JobId> starvingForPlan(MonotonicTime now) {
    return jobsWhere(wait -> isLong(wait.since, now));
  }

  /**
   * The jobs whose tasks may start in headroom once they are allocated, even if the job was
   * allocated more since.
   */
  Set<JobId> starvingForStart(MonotonicTime now) {
    return jobsWhere(wait -> wait.lent != null && !isLong(wait.lent, now));
  }

  private static boolean isLong(MonotonicTime since, MonotonicTime now) {
    return now.since(since).isLongerThan(THRESHOLD);
  }

  private Set<JobId> jobsWhere(Predicate<Wait> which) {
    Set<JobId> jobs = new HashSet<>();
    waitByJob.forEach(
        (job, wait) -> {
          if (which.test(wait)) {
            jobs.add(job);
          }
        });
    return Set.copyOf(jobs);
  }
}
