package org.quincecross.leader;

import org.quincecross.model.JobId;

/** Told of tasks that left the pool. */
public interface AllocationListener {
  /**
   * So many more of a job's tasks have been given to blocks; with those that are done, so many are
   * out of the pool now.
   */
  void given(JobId job, int more, int reached);
}
