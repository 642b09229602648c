package org.quincecross.overload;

/**
 * The position of a job in the admission order.
 *
 * @param standing whether the job can be served in time or is deferred
 * @param dueS seconds until the deadline that it is served for; for a deferred job negative, and
 *     lower the longer it has waited
 * @param order sort key among jobs of the same priority and standing, lowest first
 * @param turn number of tasks that are admitted ahead of the order now
 */
public record JobRanking(Standing standing, double dueS, double order, int turn) {
  /** How the job is treated in the admission order. */
  public enum Standing {
    IN_TIME,
    SET_ASIDE
  }

  private static final double LATE_OFFSET_S = 1e6;

  /** Sort key by due time: soonest first, late jobs after all others. */
  public static double byDue(double dueS) {
    return dueS < 0 ? LATE_OFFSET_S + dueS : dueS;
  }
}
