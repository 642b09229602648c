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
  private final List<StartBlock> sources = new ArrayList<>();
  private final List<Consumer<Set<JobId>>> listeners = new ArrayList<>();

  /** Adds a source. */
  public void add(StartBlock source) {
    sources.add(source);
  }

  /** Adds a listener that is called with the jobs whose blocked tasks have changed. */
  public void addListener(Consumer<Set<JobId>> listener) {
    listeners.add(listener);
  }

  /** Reports that a source blocks other tasks of these jobs than before. */
  public void changed(Set<JobId> jobs) {
    if (!jobs.isEmpty()) {
      listeners.forEach(listener -> listener.accept(jobs));
    }
  }

  @Override
  public TaskSet blockedTasks(Job job) {
    TaskSet all = null;
    boolean isCopy = false;
    for (StartBlock source : sources) {
      TaskSet ofSource = source.blockedTasks(job);
      if (ofSource.isEmpty()) {
        continue;
      }
      if (all == null) {
        all = ofSource;
      } else {
        all = isCopy ? all : all.copy();
        isCopy = true;
        all.addAll(ofSource);
      }
    }
    if (all == null) {
      return NONE.blockedTasks(job);
    }
    // A gang runs as a whole or not at all.
    return job.kind() == JobKind.GANG ? TaskSet.range(job.taskCount()) : all;
  }

  @Override
  public String reason(JobId job) {
    String reasons = null;
    for (StartBlock source : sources) {
      String reason = source.reason(job);
      if (reason != null) {
        reasons = reasons == null ? reason : reasons + "; " + reason;
      }
    }
    return reasons;
  }
}
