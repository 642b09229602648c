package org.quincecross.accounting;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the jobs of a class by size, to tell at any time how the largest were served; which jobs
 * are the largest is known only after later ones have arrived. Sizes are bucketed in steps of about
 * a twelfth, so memory does not depend on the number of jobs.
 */
public final class JobSizeHistogram {
  /** A job has to start within this time, in seconds from its first submission. */
  public static final double MAX_START_DELAY_S = 240;

  static final List<Double> LARGEST_FRACTIONS = List.of(0.1, 0.25);

  /** Buckets per doubling of the size. */
  private static final int STEPS_PER_DOUBLING = 6;

  private static final int MAX_STEP = 40 * STEPS_PER_DOUBLING;

  /** The jobs of one size bucket. */
  static final class Tally {
    int jobs;
    int served;
    int inTime;
    int late;
    double longestS;

    void add(Tally other) {
      jobs += other.jobs;
      served += other.served;
      inTime += other.inTime;
      late += other.late;
      longestS = Math.max(longestS, other.longestS);
    }

    void recordStart(double afterS) {
      if (afterS <= MAX_START_DELAY_S) {
        inTime++;
      } else {
        late++;
      }
      longestS = Math.max(longestS, afterS);
    }

    /** Counts a job that has not started yet. */
    void recordWaiting(double sinceS) {
      late += sinceS > MAX_START_DELAY_S ? 1 : 0;
      longestS = Math.max(longestS, sinceS);
    }
  }

  private final TreeMap<Integer, Tally> tallies = new TreeMap<>();

  /** Returns the bucket of a size. */
  static int step(double size) {
    return (int)
        Math.max(
            0,
            Math.min(
                MAX_STEP,
                Math.round(STEPS_PER_DOUBLING * Math.log(Math.max(1, size)) / Math.log(2))));
  }

  Tally of(int step) {
    return tallies.computeIfAbsent(step, s -> new Tally());
  }

  Map<Integer, Tally> tallies() {
    return tallies;
  }

  void add(JobSizeHistogram other) {
    other.tallies.forEach((step, tally) -> of(step).add(tally));
  }

  /** Returns how the largest tenth and the largest quarter were served. */
  List<LargestJobs> largest() {
    int totalJobs = tallies.values().stream().mapToInt(tally -> tally.jobs).sum();
    List<LargestJobs> largest = new ArrayList<>();
    for (double fraction : LARGEST_FRACTIONS) {
      Tally sum = new Tally();
      for (Tally tally : tallies.descendingMap().values()) {
        if (sum.jobs >= Math.max(1, fraction * totalJobs)) {
          break;
        }
        sum.add(tally);
      }
      largest.add(
          new LargestJobs(
              fraction, sum.jobs, sum.served, sum.inTime + sum.late, sum.inTime, sum.longestS));
    }
    return largest;
  }
}
