package org.quincecross.accounting;

import java.util.List;

/**
 * How the jobs of a group were served: a class of a team, a team, or a class.
 *
 * @param jobs accepted and not cancelled
 * @param ended of these jobs
 * @param tasks of these jobs; {@code started}: allocated at least once
 * @param startable tasks that limits and replicated records allowed to start
 * @param objectives how often each service-level objective was met and missed
 * @param starvedS longest time in seconds during which work waited while nothing was started or
 *     ended, including the current wait
 */
public record ServiceLevels(
    int jobs,
    int ended,
    int tasks,
    int started,
    int startable,
    List<ObjectiveCount> objectives,
    double starvedS) {
  /**
   * How often an objective was met and missed so far. Jobs whose time is not over count in neither.
   */
  public record ObjectiveCount(String objective, int met, int missed) {
    /** Returns the fraction met, from 0 to 1; 1 if nothing was due. */
    public double share() {
      return met + missed == 0 ? 1 : (double) met / (met + missed);
    }
  }

  /** Returns the fraction of startable tasks that were started, from 0 to 1. */
  public double startedShare() {
    return startable == 0 ? 1 : Math.min(1, (double) started / startable);
  }

  /** Returns the lowest of its fractions: started tasks, and each objective. */
  public double lowestShare() {
    double lowest = startedShare();
    for (ObjectiveCount objective : objectives) {
      lowest = Math.min(lowest, objective.share());
    }
    return lowest;
  }
}
