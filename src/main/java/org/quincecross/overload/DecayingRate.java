package org.quincecross.overload;

/** Exponentially decaying mean of work per second. */
final class DecayingRate {
  /**
   * Time constant of the decay: work of {@code MEMORY_S} seconds ago counts 1/e, about a third, of
   * work done now.
   */
  private static final double MEMORY_S = 20;

  private double recent;
  private double observedS;

  void advance(double seconds) {
    recent *= Math.exp(-seconds / MEMORY_S);
    observedS += seconds;
  }

  void add(double work) {
    recent += work;
  }

  /** Discards all observations. */
  void reset() {
    recent = 0;
    observedS = 0;
  }

  /**
   * Returns the work per second. The observed mean replaces {@code assumed} gradually, as
   * observation time grows.
   */
  double rate(double assumed) {
    // recent / (MEMORY_S * weight) is the observed mean; it counts with that same weight.
    return Math.exp(-observedS / MEMORY_S) * assumed + recent / MEMORY_S;
  }
}
