package org.quincecross.accounting;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the jobs of a class by size, so that it can be said at any time how the largest fared:
 * which those are is known only as others come. Sizes are counted in steps of a twelfth or so, so
 * the books are as large for a million jobs as for a hundred.
 */
public final class JobSizeHistogram {
  /** A job has to begin so soon, in seconds from its first submission. */
  public static final double BEGIN_S = 240;

  static final List<Double> PARTS = List.of(0.1, 0.25);

  /** Steps for each doubling. */
  private static final int STEPS = 6;

  private static final int MOST_STEP = 40 * STEPS;

  /** The jobs of about one size. */
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

    void began(double afterS) {
      if (afterS <= BEGIN_S) {
        inTime++;
      } else {
        late++;
      }
      longestS = Math.max(longestS, afterS);
    }

    /** One is not begun yet. */
    void waits(double sinceS) {
      late += sinceS > BEGIN_S ? 1 : 0;
      longestS = Math.max(longestS, sinceS);
    }
  }

  private final TreeMap<Integer, Tally> tallies = new TreeMap<>();

  /** The step that a size belongs to. */
  static int step(double size) {
    return (int)
        Math.max(
            0, Math.min(MOST_STEP, Math.round(STEPS * Math.log(Math.max(1, size)) / Math.log(2))));
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

  /** How the largest tenth and the largest quarter fared. */
  List<LargestJobs> largest() {
    int all = tallies.values().stream().mapToInt(tally -> tally.jobs).sum();
    List<LargestJobs> parts = new ArrayList<>();
    for (double part : PARTS) {
      Tally sum = new Tally();
      for (Tally tally : tallies.descendingMap().values()) {
        if (sum.jobs >= Math.max(1, part * all)) {
          break;
        }
        sum.add(tally);
      }
      parts.add(
          new LargestJobs(
              part, sum.jobs, sum.served, sum.inTime + sum.late, sum.inTime, sum.longestS));
    }
    return parts;
  }
}
