package org.quincecross.emulator;

import org.quincecross.model.MachineId;

/**
 * Isolates one controller from the key-value store, while its machines reach no other controller.
 */
final class OwnerWithoutStore {
  private OwnerWithoutStore() {}

  /**
   * Cuts one of three controllers off from the store, and all machines off from the other two.
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
