package org.quincecross.model;

/** An amount of CPUs, GPUs and memory. */
public record Resources(double cpus, double gpus, double memoryGb) {
  public static final Resources NONE = new Resources(0, 0, 0);
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /** The sum of both amounts. */
  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  /** The difference of both amounts. */
  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  /** This amount multiplied by a factor. */
  public Resources times(double factor) {
    return new Resources(cpus * factor, gpus * factor, memoryGb * factor);
  }

  /** The minimum of each resource. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(cpus, other.cpus), Math.min(gpus, other.gpus), Math.min(memoryGb, other.memoryGb));
  }

  /** The maximum of each resource. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(cpus, other.cpus), Math.max(gpus, other.gpus), Math.max(memoryGb, other.memoryGb));
  }

  /** Whether this amount fits into {@code room}, up to rounding errors. */
  public boolean fitsIn(Resources room) {
    return cpus <= room.cpus + ROUNDING_TOLERANCE
        && gpus <= room.gpus + ROUNDING_TOLERANCE
        && memoryGb <= room.memoryGb + ROUNDING_TOLERANCE;
  }

  /** How many times {@code each} fits into this amount. */
  public int capacityFor(Resources each) {
    double n = Integer.MAX_VALUE;
    n = each.cpus > 0 ? Math.min(n, (cpus + ROUNDING_TOLERANCE) / each.cpus) : n;
    n = each.gpus > 0 ? Math.min(n, (gpus + ROUNDING_TOLERANCE) / each.gpus) : n;
    n = each.memoryGb > 0 ? Math.min(n, (memoryGb + ROUNDING_TOLERANCE) / each.memoryGb) : n;
    return (int) Math.max(0, n);
  }

  /**
   * The dominant share: the largest fraction that this amount takes of any resource of {@code
   * capacity}.
   */
  public double dominantShareOf(Resources capacity) {
    double share = 0;
    share = capacity.cpus > 0 ? Math.max(share, cpus / capacity.cpus) : share;
    share = capacity.gpus > 0 ? Math.max(share, gpus / capacity.gpus) : share;
    share = capacity.memoryGb > 0 ? Math.max(share, memoryGb / capacity.memoryGb) : share;
    return share;
  }
}
