package org.quincecross.overload;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What is owed to groups of jobs: each that waits earns its minimum part with time and pays for
 * what it is given, however it is given. Deficit round robin (Shreedhar and Varghese, SIGCOMM
 * 1995), with time for its rounds.
 */
final class FairShareCredits<K> {
  private final double share;
  private final double mostS;
  private final Map<K, Double> credits = new HashMap<>();
  private double each;

  /**
   * @param share of all room that is divided among those that wait, in equal parts
   * @param mostS for how many seconds of its part a group may save up, and be in debt
   */
  FairShareCredits(double share, double mostS) {
    this.share = share;
    this.mostS = mostS;
  }

  /**
   * Gives each that waits its part for some seconds; forgets the others.
   *
   * @param waiting those that wait, each with how long its oldest job has: one that is new here,
   *     but waited under another leader, is not young again and begins with what it would have
   *     saved up
   */
  void earn(Map<K, Double> waiting, double seconds) {
    credits.keySet().retainAll(Set.copyOf(waiting.keySet()));
    each = waiting.isEmpty() ? 0 : share / waiting.size();
    waiting.forEach(
        (key, ageS) ->
            credits.merge(
                key, Math.min(mostS, ageS) * each, (before, fresh) -> before + each * seconds));
    credits.replaceAll((key, credit) -> Math.min(credit, mostS * each));
  }

  /** Takes what a group was given off what it is owed. */
  void pay(K key, double work) {
    credits.computeIfPresent(key, (k, credit) -> Math.max(-mostS * each, credit - work));
  }

  /**
   * What a group is owed: the part of all room, times seconds; below 0 if it had more than its
   * part.
   */
  double of(K key) {
    return credits.getOrDefault(key, 0.0);
  }
}
