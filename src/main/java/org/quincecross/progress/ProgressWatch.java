package org.quincecross.progress;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Tracks when each open job last made progress. For a job progress is a completed task; for a
 * service, that all replicas run. A task that is started repeatedly and never completes is no
 * progress, so this also detects work that fails wherever it is tried.
 */
public final class ProgressWatch {
  /**
   * Multiple of the estimate that is allowed: estimates are often off by half, machines may be
   * slow, and a task may be preempted once.
   */
  private static final double ESTIMATE_FACTOR = 3;

  /** Additional time allowed for image fetches, scale-out and a change of shard owner. */
  private static final TimeSpan SLACK = TimeSpan.ofSeconds(60);

  /**
   * The current status of an open job.
   *
   * @param service whether its tasks run until it is cancelled
   * @param estimate estimated run time of a task
   * @param tasks how many it has; {@code done}, {@code running}: how many of them are done or
   *     running
   */
  public record JobStatus(
      JobId job, boolean service, TimeSpan estimate, int tasks, int done, int running) {
    boolean allReplicasRun() {
      return service && running >= tasks;
    }
  }

  /** A job without progress since {@code since}, for longer than its estimate explains. */
  public record Stall(JobId job, MonotonicTime since) {}

  private record Progress(int done, MonotonicTime at) {}

  private final Map<JobId, Progress> lastProgress = new HashMap<>();

  /** Updates all open jobs to be watched; returns the stalled ones, longest first. */
  public List<Stall> update(Collection<JobStatus> jobs, MonotonicTime now) {
    Set<JobId> seen = new HashSet<>();
    List<Stall> stalls = new ArrayList<>();
    for (JobStatus job : jobs) {
      seen.add(job.job());
      Progress before = lastProgress.get(job.job());
      if (before == null || job.done() > before.done() || job.allReplicasRun()) {
        lastProgress.put(job.job(), new Progress(job.done(), now));
      } else if (now.since(before.at())
          .isLongerThan(job.estimate().times(ESTIMATE_FACTOR).plus(SLACK))) {
        stalls.add(new Stall(job.job(), before.at()));
      }
    }
    lastProgress.keySet().retainAll(seen);
    stalls.sort((one, other) -> one.since().compareTo(other.since()));
    return stalls;
  }
}
