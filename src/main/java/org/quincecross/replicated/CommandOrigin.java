package org.quincecross.replicated;

/**
 * When and by whom a command is applied.
 *
 * @param timeOfDayMs time of day of the controller that applies it, in ms since 1970
 * @param clockBoundMs maximum error of that clock, in ms
 * @param by who requested it, as stated; empty for a controller's own step
 */
public record CommandOrigin(long timeOfDayMs, long clockBoundMs, String by) {
  /** Returns the latest possible true time, in ms since 1970. */
  public long latestMs() {
    return timeOfDayMs + clockBoundMs;
  }
}
