package org.quincecross.overload;

import java.util.List;
import org.quincecross.model.JobId;
import org.quincecross.model.Priority;
import org.quincecross.model.Revision;

/**
 * What an open job asks for that has tasks in the pool.
 *
 * @param group whose minimum part it counts in: the jobs of one class of one team
 * @param first whether its team's guarantee covers it: such work goes before all that is not
 *     covered
 * @param tasks in the pool
 * @param divisible whether its tasks start one by one; a gang starts whole
 * @param taskWork what a task takes: the part of the room of all machines, times the seconds that
 *     it is estimated to run
 * @param tailS seconds from the start of its last task to its end
 * @param ageS seconds since it was accepted
 * @param goals when it should be over or started, the earliest first; none for work that nobody
 *     waits for
 */
public record DemandClaim(
    JobId id,
    Group group,
    Priority priority,
    boolean first,
    Revision accepted,
    int tasks,
    boolean divisible,
    double taskWork,
    double tailS,
    double ageS,
    List<Milestone> goals) {

  /** The jobs of one class of one team. */
  public record Group(String team, String jobClass) {}

  private static final double NO_GOAL_S = 3600;

  /**
   * Seconds until the first of its goals that it can still meet; of what can meet none, less the
   * longer it has waited. What nobody waits for comes after those of about an hour's patience.
   */
  public double dueS() {
    for (Milestone goal : goals) {
      if (startsIn(goal) > 0) {
        return goal.leftS();
      }
    }
    return goals.isEmpty() ? NO_GOAL_S - ageS : Math.min(-1, goals.get(goals.size() - 1).leftS());
  }

  double work() {
    return tasks * taskWork;
  }

  /** Seconds until its last task has to start for a goal. */
  double startsIn(Milestone goal) {
    return goal.start() ? goal.leftS() : goal.leftS() - tailS;
  }
}
