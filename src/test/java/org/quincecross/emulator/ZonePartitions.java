package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;

/** Cuts of many links at once. */
final class ZonePartitions {
  private final SimulatedCluster world;

  ZonePartitions(SimulatedCluster world) {
    this.world = world;
  }

  /**
   * Cuts a zone off from everything outside: its machines and controllers still hear one another.
   */
  void zone(int zone, double length, boolean lose) {
    String name = world.site().zones().get(zone);
    List<String> inside = new ArrayList<>();
    List<String> outside = new ArrayList<>(List.of("state", "cloud", "users"));
    for (int i = 0; i < world.nodeCount(); i++) {
      (name.equals(world.site().zones().get(i % world.site().zones().size())) ? inside : outside)
          .add(ClusterSpec.nodeName(i));
    }
    for (AgentSimulator worker : world.cloud().workers()) {
      (name.equals(worker.machine().zone()) ? inside : outside).add(worker.machine().id().text());
    }
    inside.forEach(in -> outside.forEach(out -> world.cut(in, out, length, lose)));
  }
}
