package org.quincecross.emulator;

/**
 * The time that the stand-ins live in: virtual, or that of a selector loop. Seconds since it began.
 */
interface Clock {
  double seconds();

  /** Runs {@code action} once, so many seconds from now; at once if that is negative. */
  void after(double seconds, Runnable action);

  default void at(double seconds, Runnable action) {
    after(seconds - seconds(), action);
  }
}
