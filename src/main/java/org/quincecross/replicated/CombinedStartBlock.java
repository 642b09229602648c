package org.quincecross.replicated;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.TaskSet;

/**
 * The union of the tasks that several sources block. Each source reports the jobs whose blocked
 * tasks have changed, and listeners are notified.
 */
public final class CombinedStartBlock implements StartBlock {
  private final List<StartBlock> parts = new ArrayList<>();
  private final List<Consumer<Set<JobId>>> listeners = new ArrayList<>();

  /** Adds a source. */
  public void add(StartBlock part) {
    parts.add(part);
  }

  /** Adds a listener that is called with the jobs whose blocked tasks have changed. */
  public void listen(Consumer<Set<JobId>> listener) {
    listeners.add(listener);
  }

  /** Reports that a source blocks other tasks of these jobs than before. */
  public void changed(Set<JobId> jobs) {
    if (!jobs.isEmpty()) {
      listeners.forEach(listener -> listener.accept(jobs));
    }
  }

  @Override
  public TaskSet of(Job job) {
    TaskSet all = null;
    boolean mine = false;
    for (StartBlock part : parts) {
      TaskSet one = part.of(job);
      if (one.isEmpty()) {
        continue;
      }
      if (all == null) {
        all = one;
      } else {
        all = mine ? all : all.copy();
        mine = true;
        all.addAll(one);
      }
    }
    if (all == null) {
      return NONE.of(job);
    }
    // A gang runs as a whole or not at all.
    return job.kind() == JobKind.GANG ? TaskSet.range(job.taskCount()) : all;
  }

  @Override
  public String reason(JobId job) {
    String reasons = null;
    for (StartBlock part : parts) {
      String reason = part.reason(job);
      if (reason != null) {
        reasons = reasons == null ? reason : reasons + "; " + reason;
      }
    }
    return reasons;
  }
}
