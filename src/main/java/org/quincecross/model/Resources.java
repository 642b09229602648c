package org.quincecross.model;

/** An amount of what machines have and tasks take. */
public record Resources(double cpus, double gpus, double memoryGb) {
  public static final Resources NONE = new Resources(0, 0, 0);
  private static final double SLACK = 1e-6;

  public Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb);
  }

  public Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb);
  }

  public Resources times(double factor) {
    return new Resources(cpus * factor, gpus * factor, memoryGb * factor);
  }

  /** Of each resource the lesser amount. */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(cpus, other.cpus), Math.min(gpus, other.gpus), Math.min(memoryGb, other.memoryGb));
  }

  /** Of each resource the greater amount. */
  public Resources max(Resources other) {
    return new Resources(
        Math.max(cpus, other.cpus), Math.max(gpus, other.gpus), Math.max(memoryGb, other.memoryGb));
  }

  /** Whether this much fits into {@code room}, but for rounding. */
  public boolean fitsIn(Resources room) {
    return cpus <= room.cpus + SLACK
        && gpus <= room.gpus + SLACK
        && memoryGb <= room.memoryGb + SLACK;
  }

  /** How many of {@code each} fit in here, side by side. */
  public int capacityFor(Resources each) {
    double n = Integer.MAX_VALUE;
    n = each.cpus > 0 ? Math.min(n, (cpus + SLACK) / each.cpus) : n;
    n = each.gpus > 0 ? Math.min(n, (gpus + SLACK) / each.gpus) : n;
    n = each.memoryGb > 0 ? Math.min(n, (memoryGb + SLACK) / each.memoryGb) : n;
    return (int) Math.max(0, n);
  }

  /** The largest share that this takes of any resource {@code capacity} has. */
  public double dominantShareOf(Resources capacity) {
    double share = 0;
    share = capacity.cpus > 0 ? Math.max(share, cpus / capacity.cpus) : share;
    share = capacity.gpus > 0 ? Math.max(share, gpus / capacity.gpus) : share;
    share = capacity.memoryGb > 0 ? Math.max(share, memoryGb / capacity.memoryGb) : share;
    return share;
  }
}
