package org.quincecross.replicated;

import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.TaskSet;

/**
 * Tasks of accepted jobs that must not run now because of a replicated record (a legal hold, a
 * model at zero). They are not allocated, not started, and cause no scale-out; those that run are
 * stopped gracefully.
 */
public interface StartBlock {
  /** Blocks nothing. */
  StartBlock NONE =
      new StartBlock() {
        private final TaskSet none = new TaskSet();

        @Override
        public TaskSet blockedTasks(Job job) {
          return none;
        }

        @Override
        public String reason(JobId job) {
          return null;
        }
      };

  /**
   * Returns the blocked tasks of a job; callers must not change the set. Called often, so
   * implementations cache the set.
   */
  TaskSet blockedTasks(Job job);

  /** Returns the reason as text for operators; null if nothing of the job is blocked. */
  String reason(JobId job);

  /**
   * Whether a task is blocked. All tasks of a gang are blocked if one of them is, because a gang
   * runs as a whole.
   */
  default boolean isBlocked(Job job, int index) {
    TaskSet blocked = blockedTasks(job);
    return !blocked.isEmpty() && (blocked.contains(index) || job.kind() == JobKind.GANG);
  }
}
