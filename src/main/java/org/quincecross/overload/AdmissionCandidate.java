package org.quincecross.overload;

import java.util.List;
import org.quincecross.model.JobId;
import org.quincecross.model.Priority;
import org.quincecross.model.Revision;

/**
 * The unallocated tasks of an open job and when the job is due.
 *
 * @param group the group whose floor the job counts towards: the jobs of one class of one team
 * @param guaranteed whether its team's guarantee covers it; such work goes before all work that is
 *     not covered
 * @param tasks number of unallocated tasks
 * @param divisible whether its tasks start one by one; a gang starts as a whole
 * @param taskWork work of one task: its share of the capacity of all machines, times its estimated
 *     run time in seconds
 * @param lastTaskDurationS seconds from the start of its last task to its end
 * @param ageS seconds since it was accepted
 * @param deadlines when it should have started or ended, earliest first; empty for work without
 *     deadlines
 */
public record AdmissionCandidate(
    JobId id,
    Group group,
    Priority priority,
    boolean guaranteed,
    Revision accepted,
    int tasks,
    boolean divisible,
    double taskWork,
    double lastTaskDurationS,
    double ageS,
    List<JobDeadline> deadlines) {

  /** The jobs of one class of one team. */
  public record Group(String team, String jobClass) {}

  private static final double NO_DEADLINE_S = 3600;

  /**
   * Returns the seconds until the first deadline that it can still meet. Past all deadlines the
   * value is negative, and lower the longer the job has waited. Jobs without deadlines rank like
   * jobs due about an hour after acceptance.
   */
  public double dueS() {
    for (JobDeadline deadline : deadlines) {
      if (latestLastStartS(deadline) > 0) {
        return deadline.remainingS();
      }
    }
    return deadlines.isEmpty()
        ? NO_DEADLINE_S - ageS
        : Math.min(-1, deadlines.get(deadlines.size() - 1).remainingS());
  }

  double work() {
    return tasks * taskWork;
  }

  /** Returns the seconds left for its last task to start in time for a deadline. */
  double latestLastStartS(JobDeadline deadline) {
    return deadline.forStart() ? deadline.remainingS() : deadline.remainingS() - lastTaskDurationS;
  }
}
