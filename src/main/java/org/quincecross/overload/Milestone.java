package org.quincecross.overload;

/**
 * A time by which a job should have come so far.
 *
 * @param leftS seconds until then; below 0 once it is past
 * @param start whether all of its tasks should have started by then, rather than ended
 */
public record Milestone(double leftS, boolean start) {}
