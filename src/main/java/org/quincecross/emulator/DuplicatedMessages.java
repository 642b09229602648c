package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;

/**
 * Duplicates some of the reports of machines: the copies arrive seconds to several leases later, or
 * just after the next leader takes over.
 */
final class DuplicatedMessages {
  static final DuplicatedMessages NONE =
      new DuplicatedMessages(0, 0, List.of(), new Random(0), null);
  private static final double LEAST_LATE_S = 1;
  private static final double LOOK_EVERY_S = 0.05;

  /**
   * The longest delay of a copy after the next leader has begun. Some arrive at once, others after
   * the leader has acted.
   */
  private static final double LONGEST_AFTER_S = 6;

  /** Copies are discarded if no new leader appears within this time. */
  private static final double LONGEST_KEPT_S = 120;

  private static final int MOST_KEPT = 3000;

  /** Sends a copy of a request to an address, after a delay in seconds. */
  interface PutOff {
    void send(double seconds, Endpoint there);
  }

  private final double share;
  private final double latestS;
  private final List<Endpoint> nodes;
  private final Random random;
  private final Supplier<Object> leadership;

  /** Copies that wait for the next leader. */
  private final List<PutOff> kept = new ArrayList<>();

  private boolean looking;
  private Object before;

  private DuplicatedMessages(
      double share,
      double latestS,
      List<Endpoint> nodes,
      Random random,
      Supplier<Object> leadership) {
    this.share = share;
    this.latestS = latestS;
    this.nodes = nodes;
    this.random = random;
    this.leadership = leadership;
  }

  /**
   * Copies that arrive after a delay.
   *
   * @param share of the reports, 0 to 1
   * @param latestS copies arrive between 1 s and this much later
   * @param nodes where a copy may arrive; most arrive where the report went
   */
  static DuplicatedMessages inTime(
      double share, double latestS, List<Endpoint> nodes, Random random) {
    return new DuplicatedMessages(share, latestS, nodes, random, null);
  }

  /**
   * Copies that are kept until there is a new leader and then arrive at all controllers.
   *
   * @param share of the reports, 0 to 1
   * @param leadership the current leader and its process; null if there is no leader
   */
  static DuplicatedMessages forNext(
      double share, List<Endpoint> nodes, Random random, Supplier<Object> leadership) {
    return new DuplicatedMessages(share, 0, nodes, random, leadership);
  }

  /** Schedules copies of a request, if it is drawn. */
  void perhaps(HttpRequest request, Endpoint to, Clock clock, PutOff putOff) {
    if (share == 0 || !request.path().equals("/agent/beat") || random.nextDouble() >= share) {
      return;
    }
    if (leadership == null) {
      Endpoint there = random.nextInt(3) == 0 ? nodes.get(random.nextInt(nodes.size())) : to;
      putOff.send(LEAST_LATE_S + random.nextDouble() * (latestS - LEAST_LATE_S), there);
      return;
    }
    kept.add(putOff);
    if (kept.size() > MOST_KEPT) {
      kept.remove(0);
    }
    if (!looking) {
      looking = true;
      before = leadership.get();
      look(clock, clock.seconds() + LONGEST_KEPT_S);
    }
  }

  private void look(Clock clock, double untilS) {
    Object now = leadership.get();
    if (now == null || now.equals(before)) {
      if (clock.seconds() < untilS) {
        clock.after(LOOK_EVERY_S, () -> look(clock, untilS));
      } else {
        kept.clear();
        looking = false;
      }
      return;
    }
    for (PutOff copy : kept) {
      double after = random.nextInt(3) == 0 ? 0 : random.nextDouble() * LONGEST_AFTER_S;
      nodes.forEach(node -> copy.send(after, node));
    }
    kept.clear();
    looking = false;
  }
}
