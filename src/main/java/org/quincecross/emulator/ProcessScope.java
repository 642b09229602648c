package org.quincecross.emulator;

/** Something that lives and dies: what it has put off dies with it. */
final class ProcessScope {
  private boolean alive = true;
  private double standsStillUntil;

  boolean isAlive() {
    return alive;
  }

  /** Nothing happens in it until then, though its clocks run on. */
  void standStill(double untilS) {
    standsStillUntil = untilS;
  }

  /** How long it still stands still, in seconds; 0 if it does not. */
  double standsStillFor(double now) {
    return Math.max(0, standsStillUntil - now);
  }

  void end() {
    alive = false;
  }
}
