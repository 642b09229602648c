package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Half of all machines fail without notice in a cluster whose other half is full of arrays. Lost
 * replicas that their shard cannot restart return to the pool, so all replicas run again soon after
 * the leases of the lost machines have expired.
 */
class MachineLossTest {
  private static final int MACHINES = 60;
  private static final double LEASE_S = 12;
  private static final double MAX_AFTER_LEASE_S = 25;
  private static final String JOBS =
      """
            [[jobs]]
            name = "front"
            shape = "service"
            rank = "critical"
            team = "web"
            copies = 20
            tasks = 4
            cpus = 2
            memory_gb = 4
            spread = true

            [[jobs]]
            name = "rebuild"
            shape = "array"
            rank = "standard"
            team = "batch"
            copies = 12
            tasks = 60
            cpus = 1
            memory_gb = 2
            run_s = 40
            """;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void allReplicasRunAgainSoonAfterLeaseExpiry(long seed) throws MalformedMessageException {
    ClusterSpec spec = ClusterSpec.tryOut(MACHINES, true);
    SimulatedCluster cluster = new SimulatedCluster(spec, seed, Meter.OFF);
    List<JobId> services = new ArrayList<>();
    for (WorkloadFile.ScheduledJob due : WorkloadFile.read(JOBS, spec)) {
      cluster.time().at(6 + due.atS(), () -> cluster.users().submit(due.job()));
      if (due.job().jobClass().equals("front")) {
        services.add(due.job().id());
      }
    }
    cluster.time().runUntil(35);
    assertEquals(80, replicas(cluster, services));
    List<MachineId> machines = cluster.cloud().machines();
    for (int i = 0; i < machines.size(); i += 2) {
      cluster.cloud().terminate(machines.get(i), 0);
    }
    assertTrue(replicas(cluster, services) < 80);
    double at = 35;
    while (replicas(cluster, services) < 80 && at < 200) {
      at += 0.5;
      cluster.time().runUntil(at);
    }
    assertTrue(
        at - 35 < LEASE_S + MAX_AFTER_LEASE_S, "all replicas run again after " + (at - 35) + " s");
    cluster.time().runUntil(at + 60);
    assertEquals(List.of(), cluster.invariants().violations());
  }

  private static int replicas(SimulatedCluster cluster, List<JobId> services) {
    return services.stream().mapToInt(cluster.invariants()::onMachines).sum();
  }
}
