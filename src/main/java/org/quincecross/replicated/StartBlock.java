package org.quincecross.replicated;

import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.TaskSet;

/**
 * Tasks of accepted jobs that may not run now, by an agreed record (a hold, a model at zero). They
 * are not allocated, not started and cause no renting; what runs of them is stopped in order.
 */
public interface StartBlock {
  /** Nothing is kept back. */
  StartBlock NONE =
      new StartBlock() {
        private final TaskSet none = new TaskSet();

        @Override
        public TaskSet of(Job job) {
          return none;
        }

        @Override
        public String reason(JobId job) {
          return null;
        }
      };

  /**
   * The tasks of a job that may not run; the caller does not change the set. Asked for often: kept,
   * not made anew.
   */
  TaskSet of(Job job);

  /** Why, in words, for operators; null where nothing of the job is kept back. */
  String reason(JobId job);

  /**
   * Whether a task may not run; a gang, which runs whole, may not where one of its tasks may not.
   */
  default boolean has(Job job, int index) {
    TaskSet withheld = of(job);
    return !withheld.isEmpty() && (withheld.contains(index) || job.kind() == JobKind.GANG);
  }
}
