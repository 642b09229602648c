package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.JobId;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Three controllers, 45 machines, services of 36 replicas and a temporary load of arrays, in
 * virtual time.
 */
class BusyCluster {
  static final int MACHINES = 45;

  static final String JOBS =
      """
            [[jobs]]
            name = "front"
            shape = "service"
            rank = "critical"
            team = "web"
            copies = 12
            tasks = 3
            cpus = 2
            memory_gb = 4
            spread = true

            [[jobs]]
            name = "rebuild"
            shape = "array"
            rank = "standard"
            team = "batch"
            copies = 12
            every_s = 1.5
            tasks = 24
            cpus = 1
            memory_gb = 2
            run_s = 6
            """;

  final ClusterSpec spec = ClusterSpec.tryOut(MACHINES, true);
  final SimulatedCluster cluster;
  final List<JobId> services = new ArrayList<>();
  final List<JobId> arrays = new ArrayList<>();

  BusyCluster() throws MalformedMessageException {
    this(5);
  }

  BusyCluster(long seed) throws MalformedMessageException {
    cluster = new SimulatedCluster(spec, seed, Meter.OFF);
    submit(cluster, services, arrays);
  }

  /** Submits the jobs to a cluster from its fourth second on, and records their ids. */
  static void submit(SimulatedCluster cluster, List<JobId> services, List<JobId> arrays)
      throws MalformedMessageException {
    for (WorkloadFile.ScheduledJob due : WorkloadFile.read(JOBS, cluster.spec())) {
      cluster.time().at(4 + due.atS(), () -> cluster.users().submit(due.job()));
      (due.job().jobClass().equals("rebuild") ? arrays : services).add(due.job().id());
    }
  }

  int replicas() {
    return services.stream().mapToInt(cluster.invariants()::onMachines).sum();
  }

  void assertWorkCompletesAndReplicasRun(double atS) {
    cluster.time().runUntil(atS);
    assertEquals(List.of(), cluster.invariants().violations());
    for (JobId id : arrays) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
    }
    assertEquals(36, replicas(), "replicas");
  }
}
