package org.quincecross.emulator;

/** The lifetime of a simulated process: actions that it scheduled are dropped when it ends. */
final class ProcessScope {
  private boolean alive = true;
  private double suspendedUntil;

  boolean isAlive() {
    return alive;
  }

  /** Suspends the process until then; its clocks keep running. */
  void suspendUntil(double untilS) {
    suspendedUntil = untilS;
  }

  /** How long the process stays suspended, in seconds; 0 if it is not suspended. */
  double suspendedFor(double now) {
    return Math.max(0, suspendedUntil - now);
  }

  void end() {
    alive = false;
  }
}
