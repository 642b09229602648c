package org.quincecross.emulator;

/** The lifetime of a simulated process: actions that it scheduled are dropped when it ends. */
final class ProcessScope {
  private boolean alive = true;
  private double standsStillUntil;

  boolean isAlive() {
    return alive;
  }

  /** Suspends the process until then; its clocks keep running. */
  void standStill(double untilS) {
    standsStillUntil = untilS;
  }

  /** How long the process stays suspended, in seconds; 0 if it is not suspended. */
  double standsStillFor(double now) {
    return Math.max(0, standsStillUntil - now);
  }

  void end() {
    alive = false;
  }
}
