package org.quincecross.overload;

/**
 * How the capacity for arrays, beyond services, is divided during an overload.
 *
 * @param usable share of the capacity that runs tasks; the rest is fetching images, booting, or
 *     left over
 * @param earlierDue share of arriving work that is due before work that already waits
 * @param floor share guaranteed to all groups with waiting work, in equal parts
 * @param deferred share for deferred work, oldest first
 * @param startGuaranteeS age in seconds from which a job that has not started goes before all
 *     others, in an overload or not; 0 disables the guarantee
 */
public record Shares(
    double usable, double earlierDue, double floor, double deferred, double startGuaranteeS) {
  /** Upper limit of the start guarantee, in seconds. */
  public static final double MAX_START_GUARANTEE_S = 200;

  public static final Shares DEFAULTS = new Shares(0.85, 1, 0.05, 0.05);

  public Shares(double usable, double earlierDue, double floor, double deferred) {
    this(usable, earlierDue, floor, deferred, MAX_START_GUARANTEE_S);
  }
}
