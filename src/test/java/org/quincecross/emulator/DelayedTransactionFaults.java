package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.quincecross.model.JobId;

/**
 * Troubles drawn beside those of a {@link RandomScenario}, from a source of their own: a fifth to a
 * third of all transactions are not answered and carried out 2 to 12 s later, some of them minutes
 * later, while jobs come together, are cancelled as soon as they are accepted or at any time, and
 * controllers are back at once.
 */
final class DelayedTransactionFaults {
  private static final double FROM_S = 12;
  private static final double UNTIL_S = 150;
  private static final double MINUTES_SHARE = 0.15;

  private final SimulatedCluster world;
  private final Random random;

  private DelayedTransactionFaults(SimulatedCluster world, long seed) {
    this.world = world;
    this.random = new Random(seed * 31 + 7);
  }

  /** For {@link RandomScenario#with}. */
  static void on(SimulatedCluster world, long seed) {
    DelayedTransactionFaults days = new DelayedTransactionFaults(world, seed);
    days.lateWrites(0.2 + 0.1 * days.random.nextDouble());
    days.bundles(6, 7);
    days.cancellations(12);
    new FastRestartFaults(world, seed).controllers(3);
  }

  private boolean isTrouble() {
    return world.time().seconds() >= FROM_S && world.time().seconds() < UNTIL_S;
  }

  private void lateWrites(double share) {
    DelayedTransactions soon = DelayedTransactions.share(share, 2, 12, this::isTrouble, random);
    DelayedTransactions minutes =
        DelayedTransactions.share(MINUTES_SHARE * share, 12, 150, this::isTrouble, random);
    world
        .state()
        .delayTransactions(
            transaction -> {
              double after = minutes.afterS(transaction);
              return after == DelayedTransactions.PROMPT ? soon.afterS(transaction) : after;
            });
  }

  private double moment() {
    return FROM_S + random.nextDouble() * (UNTIL_S - FROM_S);
  }

  /**
   * Jobs that come in the same moment share a record; some are cancelled at once, when nothing but
   * that record names them.
   */
  private void bundles(int times, int jobs) {
    for (int i = 0; i < times; i++) {
      double at = moment();
      for (int each = 0; each < jobs; each++) {
        int number = 3000 + i * jobs + each;
        world.time().at(at, () -> world.users().submit(number));
        if (random.nextInt(4) == 0) {
          world.time().at(at + 0.1, () -> world.users().cancel(new JobId("job-" + number)));
        }
      }
    }
  }

  private void cancellations(int times) {
    for (int i = 0; i < times; i++) {
      world
          .time()
          .at(
              moment(),
              () -> {
                List<JobId> told = new ArrayList<>(world.users().told().keySet());
                if (!told.isEmpty()) {
                  world.users().cancel(told.get(random.nextInt(told.size())));
                }
              });
    }
  }
}
