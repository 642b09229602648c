package org.quincecross.emulator;

/**
 * What a machine is like.
 *
 * @param speed 1 is nominal
 * @param sick whether every task that starts there fails
 * @param clock how fast its steady clock runs
 */
record MachineTraits(double speed, boolean sick, double clock) {
  static final MachineTraits ORDINARY = new MachineTraits(1, false, 1);
}
