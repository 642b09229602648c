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
 * Which jobs have been given nothing for so long that they may have room that is kept for others.
 * Counted from when a job could run, as far as this controller has seen.
 */
final class StarvationTracker {
  /**
   * Leaves half a minute for the way from a plan to a start, of the 90 s that nothing waits beside
   * room.
   */
  private static final TimeSpan LONG = TimeSpan.ofSeconds(60);

  /**
   * How many of a job's tasks blocks have or are done, when that rose last, when before, and when
   * last after a long wait, or null.
   */
  private record Wait(int given, MonotonicTime since, MonotonicTime before, MonotonicTime lent) {}

  private final ClusterStateCache ledger;
  private final Map<JobId, Wait> waits = new HashMap<>();
  private final Set<JobId> seen = new HashSet<>();

  StarvationTracker(ClusterStateCache ledger) {
    this.ledger = ledger;
  }

  /** A job that may run is open. */
  void look(JobId job, MonotonicTime now) {
    int given = given(job);
    Wait wait = waits.get(job);
    if (wait == null) {
      waits.put(job, new Wait(given, now, now, null));
    } else if (given > wait.given) {
      waits.put(job, new Wait(given, now, wait.since, isLong(wait.since, now) ? now : wait.lent));
    } else if (given < wait.given) {
      waits.put(
          job,
          new Wait(
              given,
              wait.before,
              wait.before,
              wait.lent)); // what comes back to the pool has waited already
    }
    seen.add(job);
  }

  /**
   * A task that is done may still be named by a block for a moment: that is nothing more that was
   * given.
   */
  private int given(JobId job) {
    TaskSet done = ledger.doneTasks(job);
    int given = done.size();
    for (ShardId block : ledger.blocksOf(job)) {
      TaskSet there = ledger.allocation(block).tasks().get(job);
      given += there == null ? 0 : there.size() - there.intersectionSize(done);
    }
    return given;
  }

  /** All open jobs were looked at: others are forgotten. */
  void lookedAtAll() {
    waits.keySet().retainAll(seen);
    seen.clear();
  }

  /**
   * Those that were given nothing for long: a plan may give each one task, or a whole gang, into
   * room kept for others.
   */
  Set<JobId> toPlan(MonotonicTime now) {
    return those(wait -> isLong(wait.since, now));
  }

  /**
   * Those that are to start in that room where they have been given to a block, whatever else of
   * them has been given since.
   */
  Set<JobId> toStart(MonotonicTime now) {
    return those(wait -> wait.lent != null && !isLong(wait.lent, now));
  }

  private static boolean isLong(MonotonicTime since, MonotonicTime now) {
    return now.since(since).isLongerThan(LONG);
  }

  private Set<JobId> those(Predicate<Wait> which) {
    Set<JobId> jobs = new HashSet<>();
    waits.forEach(
        (job, wait) -> {
          if (which.test(wait)) {
            jobs.add(job);
          }
        });
    return Set.copyOf(jobs);
  }
}
