package org.quincecross.accounting;

/**
 * How the largest jobs of a class were served, by requested work.
 *
 * @param fraction the largest tenth (0.1) or quarter (0.25) of the class's jobs, at least one;
 *     includes all jobs of the smallest bucket reached
 * @param jobs accepted, without those cancelled before they started
 * @param served jobs that are done; for services, jobs that started
 * @param due jobs that have started or should have by now; {@code inTime} of them started within
 *     {@link JobSizeHistogram#MAX_START_DELAY_S}
 * @param longestS longest time that one of them took to start, or has waited so far, in seconds
 */
public record LargestJobs(
    double fraction, int jobs, int served, int due, int inTime, double longestS) {
  /** Returns the fraction that was served, from 0 to 1; 1 if there are no jobs. */
  public double servedShare() {
    return jobs == 0 ? 1 : (double) served / jobs;
  }

  /** Returns the fraction of due jobs that started in time, from 0 to 1; 1 if none are due. */
  public double inTimeShare() {
    return due == 0 ? 1 : (double) inTime / due;
  }
}
