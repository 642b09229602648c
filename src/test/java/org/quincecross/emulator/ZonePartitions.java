package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;

/** Partitions that cut many links at once. */
final class ZonePartitions {
  private final SimulatedCluster cluster;

  ZonePartitions(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Cuts a zone off from everything outside; its machines and controllers still reach one another.
   */
  void zone(int zone, double length, boolean lose) {
    String name = cluster.spec().zones().get(zone);
    List<String> inside = new ArrayList<>();
    List<String> outside = new ArrayList<>(List.of("state", "cloud", "users"));
    for (int i = 0; i < cluster.nodeCount(); i++) {
      (name.equals(cluster.spec().zones().get(i % cluster.spec().zones().size()))
              ? inside
              : outside)
          .add(ClusterSpec.nodeName(i));
    }
    for (AgentSimulator worker : cluster.cloud().workers()) {
      (name.equals(worker.machine().zone()) ? inside : outside).add(worker.machine().id().text());
    }
    inside.forEach(in -> outside.forEach(out -> cluster.cut(in, out, length, lose)));
  }
}
