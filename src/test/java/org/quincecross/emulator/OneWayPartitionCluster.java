package org.quincecross.emulator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Three controllers, 61 machines and services of 80 replicas on them, in virtual time; some
 * machines receive nothing for a while.
 */
final class OneWayPartitionCluster {
  static final double LEASE_S = 12;
  static final int REPLICAS = 80;
  private static final double PARTITION_START_S = 35;
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
            copies = 80
            every_s = 9
            tasks = 60
            cpus = 1
            memory_gb = 2
            run_s = 40
            """;

  final SimulatedCluster cluster;
  final List<JobId> services = new ArrayList<>();
  final List<MachineId> partitioned = new ArrayList<>();

  OneWayPartitionCluster(long seed) throws MalformedMessageException {
    ClusterSpec spec = ClusterSpec.tryOut(60, true);
    cluster = new SimulatedCluster(spec, seed, Meter.OFF);
    for (WorkloadFile.ScheduledJob due : WorkloadFile.read(JOBS, spec)) {
      cluster.time().at(6 + due.atS(), () -> cluster.users().submit(due.job()));
      if (due.job().jobClass().equals("front")) {
        services.add(due.job().id());
      }
    }
    cluster.time().runUntil(PARTITION_START_S);
  }

  /** This percentage of the machines receives nothing for a while. */
  void partition(int percent, double seconds, long seed) {
    List<MachineId> machines = new ArrayList<>(cluster.cloud().machines());
    Collections.shuffle(machines, new Random(seed));
    partitioned.addAll(
        machines.subList(0, Math.max(1, Math.round(machines.size() * percent / 100f))));
    partitioned.forEach(machine -> cluster.dropInbound(machine, seconds));
  }

  int replicas() {
    return services.stream().mapToInt(cluster.invariants()::onMachines).sum();
  }

  /** The number of these machines that run tasks. */
  int partitionedInUse() {
    return (int)
        partitioned.stream().filter(machine -> cluster.invariants().onMachine(machine) > 0).count();
  }

  /** Those of these machines that their owners give no work. */
  List<String> closed() {
    List<String> closed = new ArrayList<>();
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.sendDirectly(
          node,
          HttpRequest.get("/admin/machines"),
          response -> {
            for (String machine :
                new String(response.body(), StandardCharsets.UTF_8).split("\\{")) {
              if (machine.contains("\"open\":false")
                  && partitioned.stream().anyMatch(id -> machine.contains("\"" + id + "\""))) {
                closed.add(machine);
              }
            }
          });
    }
    return closed;
  }

  /**
   * How long after the partition began the last replica was still missing, within the given
   * seconds.
   */
  double missingUntil(double seconds) {
    double last = 0;
    for (double at = 0.5; at <= seconds; at += 0.5) {
      cluster.time().runUntil(PARTITION_START_S + at);
      last = replicas() < REPLICAS ? at : last;
    }
    return last;
  }

  /** Produces the table of docs/incidents/deaf-machines.md. */
  public static void main(String[] args) throws MalformedMessageException {
    System.out.println("deaf %  for s  seed  all again after s  starts unheard  rules broken");
    for (int percent : new int[] {33, 20, 5}) {
      for (double seconds : new double[] {30, 150, 600}) {
        for (long seed = 1; seed <= 3; seed++) {
          OneWayPartitionCluster testCluster = new OneWayPartitionCluster(seed);
          testCluster.partition(percent, seconds, seed);
          double missing = testCluster.missingUntil(seconds + 60);
          System.out.printf(
              "%6d %6.0f %5d %18.1f %15d  %s%n",
              percent,
              seconds,
              seed,
              missing,
              testCluster.cluster.undeliveredStarts(),
              testCluster.cluster.invariants().violations());
        }
      }
    }
  }
}
