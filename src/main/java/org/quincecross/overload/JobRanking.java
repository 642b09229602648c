package org.quincecross.overload;

/**
 * Where a job stands in the order.
 *
 * @param standing whether it is served in time, after all that is, or now for once before others
 * @param dueS seconds until the goal that it is served for; of what is set aside, less the longer
 *     it has waited
 * @param order less is earlier, among those of the same priority and standing
 * @param turn how many of its tasks have their turn now
 */
public record JobRanking(Standing standing, double dueS, double order, int turn) {
  /** What becomes of a job in the order of admission. */
  public enum Standing {
    IN_TIME,
    SET_ASIDE
  }

  private static final double LATE = 1e6;

  /** The order of due times: the soonest first, and what is late after all that is not. */
  public static double byDue(double dueS) {
    return dueS < 0 ? LATE + dueS : dueS;
  }
}
