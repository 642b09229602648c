package org.quincecross.emulator;

import java.util.Random;

/**
 * Troubles drawn beside those of a {@link RandomScenario}, from a source of their own: late copies,
 * messages held up, machines and processes back at once.
 */
final class FastRestartFaults {
  private static final double FROM_S = 12;
  private static final double UNTIL_S = 150;

  private final SimulatedCluster world;
  private final Random random;

  FastRestartFaults(SimulatedCluster world, long seed) {
    this.world = world;
    this.random = new Random(~seed);
  }

  private double moment() {
    return FROM_S + random.nextDouble() * (UNTIL_S - FROM_S);
  }

  /** A share of all reports comes a second time, 1 s to three leases later. */
  FastRestartFaults copies(double share) {
    world.time().at(FROM_S, () -> world.copyLate(share, random));
    world.time().at(UNTIL_S, () -> world.copyLate(0, random));
    return this;
  }

  /**
   * Between these seconds of the day a share of commands, reports and answers to either is held up
   * for up to so long.
   */
  FastRestartFaults held(double share, double longestS) {
    Random draws = new Random(random.nextLong());
    world.time().at(FROM_S, () -> world.holdMessages(share, longestS, draws));
    world.time().at(UNTIL_S, () -> world.holdMessages(0, 0, draws));
    return this;
  }

  /**
   * Now and then each machine with this chance is restarted: it is back in a fraction of a second,
   * its counts begun anew.
   */
  FastRestartFaults machines(double share, int times) {
    for (int i = 0; i < times; i++) {
      world
          .time()
          .at(
              moment(),
              () ->
                  world
                      .cloud()
                      .workers()
                      .forEach(
                          worker -> {
                            if (random.nextDouble() < share) {
                              world
                                  .time()
                                  .after(
                                      random.nextDouble(),
                                      () -> worker.restart(0.05 + 0.8 * random.nextDouble()));
                            }
                          }));
    }
    return this;
  }

  /** A controller, or all, is back in 0.1 to 0.5 s, up to three times within six seconds. */
  FastRestartFaults controllers(int times) {
    for (int i = 0; i < times; i++) {
      double at = moment();
      int node = random.nextInt(world.nodeCount() + 1);
      for (int again = random.nextInt(3); again >= 0; again--) {
        double length = 0.1 + 0.4 * random.nextDouble();
        world
            .time()
            .at(
                at + 6 * random.nextDouble(),
                () -> {
                  for (int each = 0; each < world.nodeCount(); each++) {
                    if (node == world.nodeCount() || node == each) {
                      world.down(each, length);
                    }
                  }
                });
      }
    }
    return this;
  }
}
