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
  static void isolate(SimulatedCluster cluster, int alone, double forS) {
    cluster.state().refuse(ClusterSpec.nodeName(alone), forS);
    String next = ClusterSpec.nodeName((alone + 1) % cluster.nodeCount());
    String other = ClusterSpec.nodeName((alone + 2) % cluster.nodeCount());
    for (MachineId machine : cluster.cloud().machines()) {
      cluster.cut(next, machine.text(), forS, true);
      cluster.cut(other, machine.text(), forS, true);
    }
  }
}
