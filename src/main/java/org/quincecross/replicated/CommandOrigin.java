package org.quincecross.replicated;

/**
 * When and by whom a step is made.
 *
 * @param timeOfDayMs the time of day where the step is made, in ms since 1970
 * @param clockBoundMs how far that may be from the true time, in ms
 * @param by who asked, as they say; empty where a controller makes the step itself
 */
public record CommandOrigin(long timeOfDayMs, long clockBoundMs, String by) {
  /** The latest that it may be, in ms since 1970. */
  public long latestMs() {
    return timeOfDayMs + clockBoundMs;
  }
}
