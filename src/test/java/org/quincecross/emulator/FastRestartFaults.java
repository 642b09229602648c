package org.quincecross.emulator;

import java.util.Random;

/**
 * Faults drawn in addition to those of a {@link RandomScenario}, from a random source of their own:
 * late duplicates, delayed messages, machines and processes that restart at once.
 */
final class FastRestartFaults {
  private static final double START_S = 12;
  private static final double END_S = 150;

  private final SimulatedCluster cluster;
  private final Random random;

  FastRestartFaults(SimulatedCluster cluster, long seed) {
    this.cluster = cluster;
    this.random = new Random(~seed);
  }

  private double randomTimeS() {
    return START_S + random.nextDouble() * (END_S - START_S);
  }

  /** A share of all reports arrives a second time, 1 s to three leases later. */
  FastRestartFaults duplicateReports(double share) {
    cluster.time().at(START_S, () -> cluster.duplicateReports(share, random));
    cluster.time().at(END_S, () -> cluster.duplicateReports(0, random));
    return this;
  }

  /** A share of all direct commands is executed a second time, 1 s to three leases later. */
  FastRestartFaults duplicateCommands(double share) {
    Random draws = new Random(random.nextLong());
    cluster.time().at(START_S, () -> cluster.duplicateCommands(share, draws));
    cluster.time().at(END_S, () -> cluster.duplicateCommands(0, draws));
    return this;
  }

  /**
   * Between these seconds of the day a share of commands, reports and answers to both is delayed by
   * up to {@code longestS}.
   */
  FastRestartFaults delayMessages(double share, double longestS) {
    Random draws = new Random(random.nextLong());
    cluster.time().at(START_S, () -> cluster.delayMessages(share, longestS, draws));
    cluster.time().at(END_S, () -> cluster.delayMessages(0, 0, draws));
    return this;
  }

  /**
   * Sometimes each machine restarts with this probability; it is back in a fraction of a second
   * with its counters reset.
   */
  FastRestartFaults restartMachines(double share, int times) {
    for (int i = 0; i < times; i++) {
      cluster
          .time()
          .at(
              randomTimeS(),
              () ->
                  cluster
                      .cloud()
                      .workers()
                      .forEach(
                          worker -> {
                            if (random.nextDouble() < share) {
                              cluster
                                  .time()
                                  .after(
                                      random.nextDouble(),
                                      () -> worker.restart(0.05 + 0.8 * random.nextDouble()));
                            }
                          }));
    }
    return this;
  }

  /** One controller, or all, restart within 0.1 to 0.5 s, up to three times within six seconds. */
  FastRestartFaults restartControllers(int times) {
    for (int i = 0; i < times; i++) {
      double at = randomTimeS();
      int node = random.nextInt(cluster.nodeCount() + 1);
      for (int again = random.nextInt(3); again >= 0; again--) {
        double length = 0.1 + 0.4 * random.nextDouble();
        cluster
            .time()
            .at(
                at + 6 * random.nextDouble(),
                () -> {
                  for (int each = 0; each < cluster.nodeCount(); each++) {
                    if (node == cluster.nodeCount() || node == each) {
                      cluster.stopFor(each, length);
                    }
                  }
                });
      }
    }
    return this;
  }
}
