package org.quincecross.emulator;

import java.util.Random;
import java.util.SplittableRandom;

/**
 * Faults caused by users, drawn in addition to those of a {@link RandomScenario} from a random
 * source of their own: they read from all controllers at once, cancel at the end of jobs and many
 * at once, send malformed requests, and on some days submit four one-task jobs of one class per
 * second, a quarter of which are cancelled.
 */
final class UserErrorFaults {
  private static final double START_S = 14;
  private static final double END_S = 150;

  private UserErrorFaults() {}

  /** For {@link RandomScenario#with}. */
  static void inject(SimulatedCluster cluster, long seed) {
    Random random = new Random(new SplittableRandom(seed * 3011 + 5).nextLong());
    double seconds = 20 + 60 * random.nextDouble();
    at(
        cluster,
        random,
        () ->
            ConcurrentReaders.begin(
                cluster.environment(),
                0.3 + 0.7 * random.nextDouble(),
                0.2 * random.nextDouble(),
                seconds,
                random));
    at(
        cluster,
        random,
        () ->
            LateCancellations.atEnd(
                cluster.environment(),
                0.5 * random.nextDouble(),
                random.nextBoolean() ? 0 : 2,
                seconds,
                random));
    at(
        cluster,
        random,
        () ->
            MalformedRequests.begin(
                cluster.environment(), 0.2 + random.nextDouble(), seconds, random));
    for (int i = 0; i < 3; i++) {
      at(
          cluster,
          random,
          () ->
              LateCancellations.cancelLongRunning(
                  cluster.environment(),
                  2 + random.nextInt(8),
                  random.nextBoolean() ? 0 : 2 + 8 * random.nextDouble(),
                  random));
    }
    if (random.nextInt(4) == 0) {
      SmallJobs.begin(cluster, 4, 0.25, START_S, END_S - START_S, random);
    }
  }

  private static void at(SimulatedCluster cluster, Random random, Runnable trouble) {
    cluster.time().at(START_S + (END_S - START_S - 10) * random.nextDouble(), trouble);
  }
}
