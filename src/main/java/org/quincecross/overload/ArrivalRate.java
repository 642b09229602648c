package org.quincecross.overload;

/** How much work comes or goes in a second, of late: a mean that forgets. */
final class ArrivalRate {
  /** What happened so long ago counts a third of what happens now, in seconds. */
  private static final double MEMORY_S = 20;

  private double recent;
  private double seenS;

  void pass(double seconds) {
    recent *= Math.exp(-seconds / MEMORY_S);
    seenS += seconds;
  }

  void add(double work) {
    recent += work;
  }

  /** Begins anew. */
  void forget() {
    recent = 0;
    seenS = 0;
  }

  /** How much there was in a second; {@code assumed} counts the less the longer it is seen. */
  double rate(double assumed) {
    // recent / (memory * weight) is the mean of what was seen, and counts with that weight.
    return Math.exp(-seenS / MEMORY_S) * assumed + recent / MEMORY_S;
  }
}
