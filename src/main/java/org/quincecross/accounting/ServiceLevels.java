package org.quincecross.accounting;

import java.util.List;

/**
 * How the jobs of a group were served: of one class of one team, of a team, or of a class.
 *
 * @param jobs accepted and not cancelled
 * @param ended of them
 * @param tasks of them; {@code started}: those that were given a place at least once
 * @param startable how many tasks could have been, for all that limits say
 * @param aims each with what it was met by
 * @param starvedS the longest time, in seconds, for which some work waited and nothing was started
 *     or ended; with what goes on now
 */
public record ServiceLevels(
    int jobs, int ended, int tasks, int started, int startable, List<Met> aims, double starvedS) {
  /**
   * How many met an aim, and how many missed it or have missed it by now; those whose time is not
   * over are in neither.
   */
  public record Met(String aim, int met, int missed) {
    /** From 0 to 1; 1 where nothing was due. */
    public double share() {
      return met + missed == 0 ? 1 : (double) met / (met + missed);
    }
  }

  /** The part of the tasks that could have been started which were, from 0 to 1. */
  public double startedShare() {
    return startable == 0 ? 1 : Math.min(1, (double) started / startable);
  }

  /** The least of its shares, by the strictest reading: starts, and each aim. */
  public double least() {
    double least = startedShare();
    for (Met met : aims) {
      least = Math.min(least, met.share());
    }
    return least;
  }
}
