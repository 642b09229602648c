package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;

/**
 * Some of the machines' reports come a second time: seconds to leases later, or just as the next
 * leader begins.
 */
final class DuplicatedMessages {
  static final DuplicatedMessages NONE =
      new DuplicatedMessages(0, 0, List.of(), new Random(0), null);
  private static final double LEAST_LATE_S = 1;
  private static final double LOOK_EVERY_S = 0.05;

  /**
   * Of the copies that wait for the next leader: the longest after it has begun. Some come at once,
   * others when it has acted.
   */
  private static final double LONGEST_AFTER_S = 6;

  /** Nobody leads for longer than this. */
  private static final double LONGEST_KEPT_S = 120;

  private static final int MOST_KEPT = 3000;

  /** Sends a copy of a request to a place, some seconds from now. */
  interface PutOff {
    void send(double seconds, Endpoint there);
  }

  private final double share;
  private final double latestS;
  private final List<Endpoint> nodes;
  private final Random random;
  private final Supplier<Object> leadership;

  /** Those that wait for the next leader. */
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
   * @param share of the reports, 0 to 1
   * @param latestS copies come 1 s to this much later
   * @param nodes where a copy may come; most come where the report went
   */
  static DuplicatedMessages inTime(
      double share, double latestS, List<Endpoint> nodes, Random random) {
    return new DuplicatedMessages(share, latestS, nodes, random, null);
  }

  /**
   * Copies that are kept until there is a new leader, and then come to all controllers.
   *
   * @param share of the reports, 0 to 1
   * @param leadership says who leads, in which life; null where nobody does
   */
  static DuplicatedMessages forNext(
      double share, List<Endpoint> nodes, Random random, Supplier<Object> leadership) {
    return new DuplicatedMessages(share, 0, nodes, random, leadership);
  }

  /** Has copies of a request put off, if it is to have any. */
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
