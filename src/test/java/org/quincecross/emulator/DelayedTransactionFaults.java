package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.quincecross.model.JobId;

/**
 * Faults drawn in addition to those of a {@link RandomScenario}, from a random source of their own:
 * a fifth to a third of all transactions are not answered and applied 2 to 12 s later, some of them
 * minutes later, while jobs arrive together, are cancelled as soon as they are accepted or at any
 * time, and controllers restart at once.
 */
final class DelayedTransactionFaults {
  private static final double START_S = 12;
  private static final double END_S = 150;
  private static final double DELAYED_BY_MINUTES_SHARE = 0.15;

  private final SimulatedCluster cluster;
  private final Random random;

  private DelayedTransactionFaults(SimulatedCluster cluster, long seed) {
    this.cluster = cluster;
    this.random = new Random(seed * 31 + 7);
  }

  /** For {@link RandomScenario#with}. */
  static void inject(SimulatedCluster cluster, long seed) {
    DelayedTransactionFaults days = new DelayedTransactionFaults(cluster, seed);
    days.delayTransactions(0.2 + 0.1 * days.random.nextDouble());
    days.submitTogether(6, 7);
    days.cancelAtRandomTimes(12);
    new FastRestartFaults(cluster, seed).restartControllers(3);
  }

  private boolean isFaultActive() {
    return cluster.time().seconds() >= START_S && cluster.time().seconds() < END_S;
  }

  private void delayTransactions(double share) {
    DelayedTransactions soon = DelayedTransactions.share(share, 2, 12, this::isFaultActive, random);
    DelayedTransactions minutes =
        DelayedTransactions.share(
            DELAYED_BY_MINUTES_SHARE * share, 12, 150, this::isFaultActive, random);
    cluster
        .state()
        .delayTransactions(
            transaction -> {
              double after = minutes.afterS(transaction);
              return after == DelayedTransactions.PROMPT ? soon.afterS(transaction) : after;
            });
  }

  private double randomTimeS() {
    return START_S + random.nextDouble() * (END_S - START_S);
  }

  /**
   * Jobs submitted at the same time share a record; some are cancelled at once, when only that
   * record names them.
   */
  private void submitTogether(int times, int jobs) {
    for (int i = 0; i < times; i++) {
      double at = randomTimeS();
      for (int each = 0; each < jobs; each++) {
        int number = 3000 + i * jobs + each;
        cluster.time().at(at, () -> cluster.users().submit(number));
        if (random.nextInt(4) == 0) {
          cluster.time().at(at + 0.1, () -> cluster.users().cancel(new JobId("job-" + number)));
        }
      }
    }
  }

  private void cancelAtRandomTimes(int times) {
    for (int i = 0; i < times; i++) {
      cluster
          .time()
          .at(
              randomTimeS(),
              () -> {
                List<JobId> told = new ArrayList<>(cluster.users().reportedStates().keySet());
                if (!told.isEmpty()) {
                  cluster.users().cancel(told.get(random.nextInt(told.size())));
                }
              });
    }
  }
}
