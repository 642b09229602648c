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
 * Remembers when each open job last made progress. Progress is a completed task; of a service, that
 * all replicas run. A task that is started again and again and never completes is none, so work
 * that fails wherever it is tried shows here as well as work that nobody works on.
 */
public final class ProgressWatch {
  /**
   * Estimates are often wrong by half, machines may be slow, and a task may be stopped once for
   * more urgent work.
   */
  private static final double EXPLAINED = 3;

  /** What fetches, renting and a change of holder take on top. */
  private static final TimeSpan SLACK = TimeSpan.ofSeconds(60);

  /**
   * An open job as it is now.
   *
   * @param service whether its tasks run until it is cancelled
   * @param estimate of the run time of a task
   * @param tasks how many it has; {@code done}, {@code running}: how many of them are done and run
   */
  public record Standing(
      JobId job, boolean service, TimeSpan estimate, int tasks, int done, int running) {
    boolean isWhole() {
      return service && running >= tasks;
    }
  }

  /** A job without progress since {@code since}, which its estimate does not explain. */
  public record Stall(JobId job, MonotonicTime since) {}

  private record Mark(int done, MonotonicTime at) {}

  private final Map<JobId, Mark> marks = new HashMap<>();

  /**
   * Takes note of all open jobs that are to be watched; returns those that have stalled, the
   * longest first.
   */
  public List<Stall> look(Collection<Standing> jobs, MonotonicTime now) {
    Set<JobId> seen = new HashSet<>();
    List<Stall> stalls = new ArrayList<>();
    for (Standing job : jobs) {
      seen.add(job.job());
      Mark before = marks.get(job.job());
      if (before == null || job.done() > before.done() || job.isWhole()) {
        marks.put(job.job(), new Mark(job.done(), now));
      } else if (now.since(before.at()).isLongerThan(job.estimate().times(EXPLAINED).plus(SLACK))) {
        stalls.add(new Stall(job.job(), before.at()));
      }
    }
    marks.keySet().retainAll(seen);
    stalls.sort((one, other) -> one.since().compareTo(other.since()));
    return stalls;
  }
}
