package org.quincecross.overload;

/**
 * A time by which a job should have started or ended.
 *
 * @param remainingS seconds until then; negative once it has passed
 * @param forStart whether all tasks should have started by then, rather than ended
 */
public record JobDeadline(double remainingS, boolean forStart) {}
