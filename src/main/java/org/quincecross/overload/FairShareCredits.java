package org.quincecross.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Credits of groups of jobs: each waiting group earns an equal share of capacity over time and pays
 * for what is admitted, by whichever rule. Deficit round robin (Shreedhar and Varghese, SIGCOMM
 * 1995), with elapsed time in place of rounds.
 */
final class FairShareCredits<K> {
  private final double share;
  private final double maxSavedS;
  private final Map<K, Double> credits = new HashMap<>();
  private double shareEach;

  /**
   * @param share share of all capacity that is divided equally among the waiting groups
   * @param maxSavedS for how many seconds of its share a group may save up credit or go into debt
   */
  FairShareCredits(double share, double maxSavedS) {
    this.share = share;
    this.maxSavedS = maxSavedS;
  }

  /**
   * Credits every waiting group for some elapsed seconds and drops the others.
   *
   * @param waiting the waiting groups, each with the age of its oldest job: a group that already
   *     waited under the previous leader starts with the credit it would have saved up
   */
  void earn(Map<K, Double> waiting, double seconds) {
    credits.keySet().retainAll(Set.copyOf(waiting.keySet()));
    shareEach = waiting.isEmpty() ? 0 : share / waiting.size();
    waiting.forEach(
        (key, ageS) ->
            credits.merge(
                key,
                Math.min(maxSavedS, ageS) * shareEach,
                (before, fresh) -> before + shareEach * seconds));
    credits.replaceAll((key, credit) -> Math.min(credit, maxSavedS * shareEach));
  }

  /** Charges a group for admitted work. */
  void pay(K key, double work) {
    credits.computeIfPresent(key, (k, credit) -> Math.max(-maxSavedS * shareEach, credit - work));
  }

  /**
   * Returns the credit of a group, in capacity share times seconds; negative if it received more
   * than its share.
   */
  double credit(K key) {
    return credits.getOrDefault(key, 0.0);
  }
}
