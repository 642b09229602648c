package org.quincecross.emulator;

import org.quincecross.model.MachineId;

/** A controller that alone has lost the key-value store, while its machines reach no other one. */
final class OwnerWithoutStore {
  private OwnerWithoutStore() {}

  /**
   * Cuts one of three controllers from the store, and all machines from the other two.
   *
   * @param alone the number of the controller that the machines still reach
   * @param forS how long, in seconds
   */
  static void isolate(SimulatedCluster world, int alone, double forS) {
    world.state().refuse(ClusterSpec.nodeName(alone), forS);
    String next = ClusterSpec.nodeName((alone + 1) % world.nodeCount());
    String other = ClusterSpec.nodeName((alone + 2) % world.nodeCount());
    for (MachineId machine : world.cloud().machines()) {
      world.cut(next, machine.text(), forS, true);
      world.cut(other, machine.text(), forS, true);
    }
  }
}
