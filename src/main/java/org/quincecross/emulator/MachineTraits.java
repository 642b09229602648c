package org.quincecross.emulator;

/**
 * The characteristics of a machine.
 *
 * @param speed relative to nominal speed 1
 * @param faulty whether every task that starts there fails
 * @param clockRate the rate of its monotonic clock
 */
record MachineTraits(double speed, boolean faulty, double clockRate) {
  static final MachineTraits ORDINARY = new MachineTraits(1, false, 1);
}
