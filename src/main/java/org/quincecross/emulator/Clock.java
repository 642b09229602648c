package org.quincecross.emulator;

/** The clock of the simulators: virtual, or that of an event loop. Seconds since its start. */
interface Clock {
  double seconds();

  /** Runs {@code action} once, {@code seconds} from now; at once if negative. */
  void after(double seconds, Runnable action);

  default void at(double seconds, Runnable action) {
    after(seconds - seconds(), action);
  }
}
