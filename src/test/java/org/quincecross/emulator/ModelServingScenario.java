package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.quincecross.model.MachineId;
import org.quincecross.protocol.MalformedMessageException;

/**
 * A day from a seed: models that are needed at intervals, faults alone and combined, then a
 * fault-free period.
 */
final class ModelServingScenario {
  private static final int MODELS = 5;
  private static final int MIN_REPLICAS = 2;

  /** The first model is a gang of this many tasks. */
  private static final int GANG_SIZE = 2;

  /**
   * A command may arrive after the record has changed; more of them would mean that controllers do
   * not follow the record.
   */
  private static final int MAX_LATE_STARTS = 3;

  private static final double FIRST_FAULT_S = 36;
  private static final double LAST_FAULT_S = 160;
  private static final double MAX_FAULT_DURATION_S = 30;
  private static final double FAULT_FREE_S = 75;

  private final ModelServingCluster testCluster;
  private final Random random;
  private final List<String> findings = new ArrayList<>();

  ModelServingScenario(long seed) throws MalformedMessageException {
    random = new Random(seed * 31 + 7);
    testCluster = new ModelServingCluster(ClusterSpec.tryOut(24, random.nextBoolean()), seed);
    for (int i = 0; i < MODELS; i++) {
      testCluster.submit(
          ModelServingCluster.job(
              100 + i,
              i == 0 ? GANG_SIZE : 4,
              3 + random.nextInt(4),
              2 + random.nextInt(9),
              i == 0));
    }
    testCluster.cluster.time().runUntil(ModelServingCluster.DEFINED_S);
    for (int i = 0; i < MODELS; i++) {
      testCluster.define(
          name(i), 100 + i, i == 0 ? GANG_SIZE : MIN_REPLICAS, i == 0 ? GANG_SIZE : 4);
    }
    testCluster.cluster.time().runUntil(FIRST_FAULT_S - 2);
    testCluster.cluster.state().applyLate(60);
    for (int i = 0; i < 60; i++) {
      testCluster.wakeAt(
          FIRST_FAULT_S + 130 * random.nextDouble(),
          random.nextInt(3),
          name(random.nextInt(MODELS)));
    }
    for (int i = 0; i < 4 + random.nextInt(6); i++) {
      double atS =
          FIRST_FAULT_S
              + (LAST_FAULT_S - MAX_FAULT_DURATION_S - FIRST_FAULT_S) * random.nextDouble();
      double seconds =
          0.2 + (MAX_FAULT_DURATION_S - 0.2) * random.nextDouble() * random.nextDouble();
      int node = random.nextInt(3);
      int kind = random.nextInt(8);
      testCluster.cluster.time().at(atS, () -> injectFault(kind, node, seconds));
    }
  }

  private static String name(int model) {
    return "m" + model;
  }

  private void injectFault(int kind, int node, double seconds) {
    SimulatedCluster cluster = testCluster.cluster;
    switch (kind) {
      case 0 -> cluster.crash(node);
      case 1 -> cluster.isolate(node, seconds, random.nextBoolean());
      case 2 -> cluster.suspend(node, seconds);
      case 3 -> cluster.state().outage(Math.min(seconds, 15));
      case 4 -> cluster.state().refuse(ClusterSpec.nodeName(node), seconds);
      case 5 ->
          cluster.cut(
              ClusterSpec.nodeName(node),
              ClusterSpec.nodeName((node + 1) % 3),
              seconds,
              random.nextBoolean());
      case 6 -> {
        List<MachineId> machines = cluster.cloud().machines();
        if (machines.size() > 8) {
          cluster
              .cloud()
              .terminate(machines.get(random.nextInt(machines.size())), random.nextInt(2) * 8);
        }
      }
      default -> {
        for (int each = 0; each < 3; each++) {
          cluster.crash(each);
        }
      }
    }
  }

  /**
   * Returns what went wrong: broken rules, placements started or fetched twice, and models that do
   * not come up when needed or do not scale back to zero.
   */
  List<String> run() {
    SimulatedCluster cluster = testCluster.cluster;
    cluster.time().runUntil(LAST_FAULT_S + FAULT_FREE_S);
    for (int i = 0; i < MODELS; i++) {
      expect(i, "ZERO", 0);
      testCluster.wakeAt(
          cluster.time().seconds() + random.nextDouble(), random.nextInt(3), name(i));
    }
    cluster.time().runUntil(cluster.time().seconds() + 15);
    for (int i = 0; i < MODELS; i++) {
      testCluster.send(
          random.nextInt(3),
          name(i) + "/load",
          Map.of("from", "gateway", "in_flight", 1),
          response -> {});
    }
    cluster.time().runUntil(cluster.time().seconds() + 25);
    for (int i = 0; i < MODELS; i++) {
      expect(i, "WARM", i == 0 ? GANG_SIZE : MIN_REPLICAS);
    }
    findings.addAll(cluster.invariants().violations());
    findings.addAll(cluster.environment().coldStarts().violations());
    if (cluster.environment().coldStarts().lateStarts() > MAX_LATE_STARTS) {
      findings.add(
          cluster.environment().coldStarts().lateStarts() + " starts where no record has a place");
    }
    return findings;
  }

  private void expect(int model, String phase, int replicas) {
    if (!testCluster.phase(name(model)).equals(phase)
        || testCluster.onMachines(100 + model) != replicas) {
      findings.add(
          name(model)
              + " is not "
              + phase
              + " with "
              + replicas
              + " but has "
              + testCluster.onMachines(100 + model)
              + ": "
              + ColdStartInvariant.state(testCluster.cluster.state(), name(model)));
    }
  }

  /**
   * The number of placements started, fetches, and starts that arrived after the placement had been
   * given up.
   */
  Map<String, Integer> counts() {
    ColdStartInvariant starts = testCluster.cluster.environment().coldStarts();
    return Map.of(
        "starts", starts.starts(), "fetches", starts.fetches(), "late", starts.lateStarts());
  }
}
