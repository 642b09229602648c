package org.quincecross.scheduling;

import org.quincecross.model.Resources;

/** The paper's measures of how well a task fits a machine (bin packing). */
public final class FitScore {
  private FitScore() {}

  /**
   * BM times FM (the paper's equations 1 and 2) of a machine that uses {@code used} and would take
   * {@code need} as well. Only resources that the machine has are counted: a machine without GPUs
   * is not less balanced for it.
   */
  public static double product(Resources capacity, Resources used, Resources need) {
    double max = 0;
    double sum = 0;
    int kinds = 0;
    double[][] each = {
      {capacity.cpus(), used.cpus() + need.cpus()},
      {capacity.gpus(), used.gpus() + need.gpus()},
      {capacity.memoryGb(), used.memoryGb() + need.memoryGb()}
    };
    for (double[] resource : each) {
      if (resource[0] > 0) {
        double share = resource[1] / resource[0];
        max = Math.max(max, share);
        sum += share;
        kinds++;
      }
    }
    if (kinds == 0 || sum == 0) {
      return 1;
    }
    double balance = max / sum;
    double fullness = 1 - sum / kinds;
    return balance * fullness;
  }
}
