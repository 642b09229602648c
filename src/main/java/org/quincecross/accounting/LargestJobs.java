package org.quincecross.accounting;

/**
 * How the largest jobs of a class were served, by the work that they asked for.
 *
 * @param part the largest tenth (0.1) or quarter (0.25) of the class's jobs, at least one; jobs of
 *     the size of the least of them are in it
 * @param jobs accepted, without those that were cancelled before they began
 * @param served of them: done, or of services those that began
 * @param due those whose time to begin has come or that have begun; {@code inTime} of them did so
 *     within {@link JobSizeHistogram#BEGIN_S}
 * @param longestS the longest that one of them took to begin, or has waited so far, in seconds
 */
public record LargestJobs(double part, int jobs, int served, int due, int inTime, double longestS) {
  /** The part that was served, from 0 to 1; 1 where there are none. */
  public double servedShare() {
    return jobs == 0 ? 1 : (double) served / jobs;
  }

  /** The part of those due that began in time, from 0 to 1; 1 where none are due. */
  public double inTimeShare() {
    return due == 0 ? 1 : (double) inTime / due;
  }
}
