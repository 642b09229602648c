package org.quincecross.leader;

import org.quincecross.model.JobId;

/** Notified of tasks that were allocated. */
public interface AllocationListener {
  /**
   * Called when {@code more} tasks of a job were allocated, so that {@code reached} of them are now
   * allocated or completed.
   */
  void tasksAllocated(JobId job, int more, int reached);
}
