package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;

/**
 * Duplicates some of the reports of machines, or of the commands that are sent to them directly:
 * the copies arrive seconds to several leases later, or just after the next leader takes over.
 */
final class DuplicatedMessages {
  static final DuplicatedMessages NONE =
      new DuplicatedMessages("", 0, 0, List.of(), new Random(0), null);
  private static final String REPORTS = "/agent/beat";
  private static final String COMMANDS = "/orders";
  private static final double MIN_DELAY_S = 1;
  private static final double LEADER_CHECK_INTERVAL_S = 0.05;

  /**
   * The longest delay of a copy after the next leader has begun. Some arrive at once, others after
   * the leader has acted.
   */
  private static final double MAX_DELAY_AFTER_TAKEOVER_S = 6;

  /** Copies are discarded if no new leader appears within this time. */
  private static final double MAX_KEPT_S = 120;

  private static final int MAX_KEPT_COPIES = 3000;

  /** Sends a copy of a request to an address, after a delay in seconds. */
  interface DelayedSender {
    void send(double seconds, Endpoint there);
  }

  private final String path;
  private final double share;
  private final double latestS;
  private final List<Endpoint> nodes;
  private final Random random;
  private final Supplier<Object> leadership;

  /** Copies that wait for the next leader. */
  private final List<DelayedSender> kept = new ArrayList<>();

  private boolean watchingLeader;
  private Object leaderBefore;

  private DuplicatedMessages(
      String path,
      double share,
      double latestS,
      List<Endpoint> nodes,
      Random random,
      Supplier<Object> leadership) {
    this.path = path;
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
  static DuplicatedMessages delayed(
      double share, double latestS, List<Endpoint> nodes, Random random) {
    return new DuplicatedMessages(REPORTS, share, latestS, nodes, random, null);
  }

  /**
   * Copies of commands that were executed; each arrives at the machine that the command went to.
   *
   * @param share of the commands, 0 to 1
   * @param latestS copies arrive between 1 s and this much later
   */
  static DuplicatedMessages delayedCommands(double share, double latestS, Random random) {
    return new DuplicatedMessages(COMMANDS, share, latestS, List.of(), random, null);
  }

  /**
   * Copies that are kept until there is a new leader and then arrive at all controllers.
   *
   * @param share of the reports, 0 to 1
   * @param leadership the current leader and its process; null if there is no leader
   */
  static DuplicatedMessages forNextLeader(
      double share, List<Endpoint> nodes, Random random, Supplier<Object> leadership) {
    return new DuplicatedMessages(REPORTS, share, 0, nodes, random, leadership);
  }

  /** Schedules copies of a request, if it is drawn. */
  void maybeDuplicate(HttpRequest request, Endpoint to, Clock clock, DelayedSender sender) {
    if (share == 0 || !request.path().equals(path) || random.nextDouble() >= share) {
      return;
    }
    if (leadership == null) {
      Endpoint target =
          !nodes.isEmpty() && random.nextInt(3) == 0 ? nodes.get(random.nextInt(nodes.size())) : to;
      sender.send(MIN_DELAY_S + random.nextDouble() * (latestS - MIN_DELAY_S), target);
      return;
    }
    kept.add(sender);
    if (kept.size() > MAX_KEPT_COPIES) {
      kept.remove(0);
    }
    if (!watchingLeader) {
      watchingLeader = true;
      leaderBefore = leadership.get();
      checkLeader(clock, clock.seconds() + MAX_KEPT_S);
    }
  }

  private void checkLeader(Clock clock, double untilS) {
    Object now = leadership.get();
    if (now == null || now.equals(leaderBefore)) {
      if (clock.seconds() < untilS) {
        clock.after(LEADER_CHECK_INTERVAL_S, () -> checkLeader(clock, untilS));
      } else {
        kept.clear();
        watchingLeader = false;
      }
      return;
    }
    for (DelayedSender copy : kept) {
      double after = random.nextInt(3) == 0 ? 0 : random.nextDouble() * MAX_DELAY_AFTER_TAKEOVER_S;
      nodes.forEach(node -> copy.send(after, node));
    }
    kept.clear();
    watchingLeader = false;
  }
}
