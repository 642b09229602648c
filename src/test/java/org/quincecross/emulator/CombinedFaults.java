package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/**
 * Pairs of faults that overlap: the second one begins while the first lasts or within seconds of
 * its end. Each pair is drawn from a random source of its own, so a day without some of the pairs
 * has the others unchanged.
 */
final class CombinedFaults {
  private static final double START_S = 14;
  private static final double END_S = 150;
  private static final double MAX_GAP_S = 5;
  private static final int SMALL_JOBS = 24;
  private static final int POLLS = 60;

  /** The faults that are combined. */
  private enum Fault {
    LATE_WRITES,
    LATE_REPORTS,
    DEAF_MACHINES,
    SLOW_STATE,
    REFUSED_THEN_OUTAGE,
    LONE_LEADER,
    QUICK_CONTROLLERS,
    QUICK_MACHINES,
    ELECTION,
    HELD_MESSAGES,
    UNREACHED,
    STANDSTILL,
    SILENCE,
    HANGING_MACHINES,
    ZONE,
    CANCELLATIONS,
    LEADER_ENDS,
    ALL_END,
    LOST_ANSWERS,
    KEPT_REPORTS,
    MUTE_MACHINES,
    QUICK_BOOTS;

    /** Faults from here on are used only on days with the further faults. */
    private static final int FURTHER_FROM = LOST_ANSWERS.ordinal();
  }

  private final SimulatedCluster cluster;
  private final boolean further;
  private final List<String> log = new ArrayList<>();
  private double overS = END_S;
  private int count;

  /**
   * @param only the numbers of the pairs to inject; empty for all
   * @param further whether the first fault of each pair is one of the further faults
   */
  CombinedFaults(SimulatedCluster cluster, long seed, Set<Integer> only, boolean further) {
    this.cluster = cluster;
    this.further = further;
    double at = START_S + 10 * randomSource(seed, -2).nextDouble();
    for (; at < END_S; count++) {
      Random random = randomSource(seed, count);
      at =
          drawPair(random, at, only.isEmpty() || only.contains(count))
              + 2
              + 8 * random.nextDouble();
    }
    submitJobs(randomSource(seed, -1));
  }

  /** The seed is mixed, because random sources with consecutive seeds produce similar values. */
  private static Random randomSource(long seed, int number) {
    return new Random(new SplittableRandom(seed * 1009 + number).nextLong());
  }

  /**
   * When the last fault is over, including its after-effects: reports, writes and commands that are
   * still on their way.
   */
  double overS() {
    return overS;
  }

  /** The number of pairs, including those left out. */
  int count() {
    return count;
  }

  /** The faults and their times. */
  List<String> log() {
    return log;
  }

  /** Draws a pair of faults that begins at a time; returns when both are over. */
  private double drawPair(Random random, double atS, boolean takesPlace) {
    int all = Fault.values().length;
    int least = further ? Fault.FURTHER_FROM : 0;
    Fault first =
        Fault.values()[least + random.nextInt(further ? all - least : Fault.FURTHER_FROM)];
    Fault second = Fault.values()[random.nextInt(further ? all : Fault.FURTHER_FROM)];
    double length = length(first, random);
    double then =
        random.nextInt(10) < 7
            ? length * random.nextDouble()
            : length + MAX_GAP_S * random.nextDouble();
    double secondLength = length(second, random);
    if (takesPlace) {
      begin(first, random.nextLong(), atS, length);
      begin(second, random.nextLong(), atS + then, secondLength);
    }
    return Math.max(atS + length, atS + then + secondLength);
  }

  private double length(Fault fault, Random random) {
    double cancel = cluster.spec().workers().cancelTimeout().seconds();
    return switch (fault) {
      case REFUSED_THEN_OUTAGE -> cancel + 4 + 22 * random.nextDouble();
      case LONE_LEADER, UNREACHED, SILENCE -> 4 + 30 * random.nextDouble();
      case QUICK_CONTROLLERS, QUICK_MACHINES, LEADER_ENDS, ALL_END -> 1 + 7 * random.nextDouble();
      case STANDSTILL, HANGING_MACHINES -> 1 + 14 * random.nextDouble();
      default -> 5 + 25 * random.nextDouble();
    };
  }

  private void begin(Fault fault, long seed, double atS, double lengthS) {
    double lease = cluster.spec().workers().lease().seconds();
    // Duplicates of the last reports arrive leases later, the last writes and commands seconds
    // later; failed processes restart.
    overS = Math.max(overS, atS + lengthS + (fault == Fault.LATE_REPORTS ? 3 * lease : 13));
    cluster
        .time()
        .at(
            atS,
            () -> {
              Random random = new Random(seed);
              String what = begin(fault, random, lengthS);
              log.add(
                  String.format(Locale.ROOT, "%.2f for %.2f s: %s %s", atS, lengthS, fault, what));
            });
  }

  private void after(double seconds, Runnable action) {
    cluster.time().after(seconds, action);
  }

  private int leader(Random random) {
    int leader = cluster.leader();
    return leader < 0 ? random.nextInt(cluster.nodeCount()) : leader;
  }

  private List<MachineId> randomSubset(
      Collection<MachineId> machines, double share, Random random) {
    return machines.stream().filter(each -> random.nextDouble() < share).toList();
  }

  private String begin(Fault fault, Random random, double length) {
    int leader = leader(random);
    int node = random.nextInt(3) > 0 ? leader : random.nextInt(cluster.nodeCount());
    boolean lose = random.nextBoolean();
    double share = random.nextDouble();
    List<MachineId> machines = cluster.cloud().machines();
    switch (fault) {
      case LATE_WRITES -> {
        share = 0.05 + 0.45 * share * share;
        double until = cluster.time().seconds() + length;
        cluster
            .state()
            .delayTransactions(
                DelayedTransactions.share(
                    share, 2, 12, () -> cluster.time().seconds() < until, random));
      }
      case LATE_REPORTS -> {
        cluster.duplicateReports(0.02 + 0.3 * share, random);
        after(length, () -> cluster.duplicateReports(0, random));
      }
      case DEAF_MACHINES ->
          randomSubset(machines, 0.1 + 0.5 * share, random)
              .forEach(each -> cluster.dropInbound(each, length));
      case SLOW_STATE -> {
        double least = 1.5 * random.nextDouble();
        cluster.state().slowDown(least, least + 3 * share, length, random);
      }
      case REFUSED_THEN_OUTAGE -> {
        double outage = cluster.spec().workers().cancelTimeout().seconds() + 2 + 6 * share;
        double alone = Math.max(0.5, length - outage);
        cluster.state().refuse(ClusterSpec.nodeName(leader), alone + 0.2);
        after(alone, () -> cluster.state().outage(outage));
      }
      case LONE_LEADER -> {
        if (random.nextInt(3) == 0) {
          isolateHolding(node, length);
        } else {
          cluster.separate(node, length, lose);
        }
      }
      case QUICK_CONTROLLERS ->
          restartRepeatedly(
              random.nextInt(4) == 0 ? -1 : node, 1 + random.nextInt(3), random, length);
      case QUICK_MACHINES -> restartMachinesRepeatedly(0.05 + 0.3 * share, random, length);
      case ELECTION -> {
        cluster.crash(leader);
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
          int other = (leader + 1 + i % 2) % cluster.nodeCount();
          after(
              6 * random.nextDouble(),
              () -> cluster.stopFor(other, 0.05 + 0.4 * random.nextDouble()));
        }
      }
      case HELD_MESSAGES -> {
        cluster.delayMessages(0.02 + 0.3 * share, 9, random);
        after(length, () -> cluster.delayMessages(0, 0, random));
      }
      case UNREACHED -> {
        // The leader fails while some machines are unreachable, for all or for some controllers.
        for (MachineId each : randomSubset(machines, 0.2 + 0.5 * share, random)) {
          for (int other = 0; other < cluster.nodeCount(); other++) {
            if (lose || random.nextBoolean()) {
              cluster.cut(
                  ClusterSpec.nodeName(other),
                  each.text(),
                  length * random.nextDouble(),
                  random.nextBoolean());
            }
          }
        }
        after(length * random.nextDouble(), () -> cluster.crash(leader));
      }
      case STANDSTILL -> cluster.suspend(node, length);
      case SILENCE -> cluster.isolate(node, length, lose);
      case HANGING_MACHINES ->
          cluster
              .cloud()
              .workers()
              .forEach(
                  worker -> {
                    if (random.nextDouble() < 0.3) {
                      worker.suspend(length * random.nextDouble());
                    }
                  });
      case ZONE ->
          new ZonePartitions(cluster)
              .zone(random.nextInt(cluster.spec().zones().size()), length, lose);
      case CANCELLATIONS -> {
        for (JobId id : openJobs(random, 0.1 + 0.3 * share)) {
          after(length * random.nextDouble(), () -> cluster.users().cancel(id));
        }
      }
      case LEADER_ENDS -> cluster.stopFor(leader, lose ? length : 0.1 + 0.8 * share);
      case ALL_END -> {
        for (int each = 0; each < cluster.nodeCount(); each++) {
          int one = each;
          after(
              0.5 * random.nextDouble(),
              () -> cluster.stopFor(one, 0.1 + length * random.nextDouble()));
        }
      }
      case LOST_ANSWERS -> {
        double until = cluster.time().seconds() + length;
        cluster
            .state()
            .delayTransactions(
                DelayedTransactions.atOnce(
                    0.1 + 0.7 * share, () -> cluster.time().seconds() < until, random));
      }
      case KEPT_REPORTS -> {
        double down = 0.1 + 3 * share;
        cluster.duplicateReportsForNextLeader(0.05 + 0.5 * share, random);
        after(
            length,
            () -> {
              cluster.duplicateReportsForNextLeader(0, random);
              cluster.stopFor(leader(random), down);
            });
      }
      case MUTE_MACHINES ->
          randomSubset(machines, 0.1 + 0.6 * share, random)
              .forEach(each -> cluster.dropOutbound(each, length));
      case QUICK_BOOTS -> {
        cluster.cloud().bootWithin(2, length);
        machines.stream()
            .filter(each -> random.nextInt(4) == 0)
            .forEach(each -> cluster.cloud().terminate(each, 0));
        after(length * random.nextDouble(), () -> cluster.crash(leader(random)));
      }
      default -> throw new IllegalStateException(fault.toString());
    }
    return String.format(Locale.ROOT, "leader n%d node n%d %s %.2f", leader, node, lose, share);
  }

  /** Like {@link SimulatedCluster#separate}, but packets are held until the end. */
  private void isolateHolding(int node, double length) {
    cluster.cut(ClusterSpec.nodeName(node), "state", length, false);
    for (int other = 0; other < cluster.nodeCount(); other++) {
      if (other != node) {
        cluster.cut(ClusterSpec.nodeName(node), ClusterSpec.nodeName(other), length, false);
      }
    }
  }

  private void restartRepeatedly(int node, int times, Random random, double length) {
    for (int again = 0; again < times; again++) {
      double down = 0.05 + 0.7 * random.nextDouble();
      after(
          again == 0 ? 0 : length * random.nextDouble(),
          () -> {
            for (int each = 0; each < cluster.nodeCount(); each++) {
              if (node < 0 || node == each) {
                cluster.stopFor(each, down);
              }
            }
          });
    }
  }

  private void restartMachinesRepeatedly(double share, Random random, double length) {
    cluster
        .cloud()
        .workers()
        .forEach(
            worker -> {
              if (random.nextDouble() < share) {
                after(
                    length * random.nextDouble(),
                    () -> worker.restart(0.05 + 0.8 * random.nextDouble()));
              }
            });
  }

  private List<JobId> openJobs(Random random, double share) {
    return cluster.users().reportedStates().entrySet().stream()
        .filter(
            each ->
                !each.getValue().equals("done")
                    && !each.getValue().equals("cancelled")
                    && !cluster.users().isMisconfigured(each.getKey()))
        .filter(each -> random.nextDouble() < share)
        .map(each -> each.getKey())
        .toList();
  }

  // ---- user activity during the day ----

  private void submitJobs(Random random) {
    for (int i = 0; i < SMALL_JOBS; i++) {
      int number = 2000 + i;
      boolean isCancelled = random.nextInt(5) == 0;
      double at = 3 + (END_S - 10) * i / SMALL_JOBS;
      List<Double> seconds =
          new ArrayList<>(List.of(1 + 3 * random.nextDouble(), 20 + 35 * random.nextDouble()));
      if (random.nextBoolean()) {
        seconds.add(1, 5 + 10 * random.nextDouble());
      }
      Job job =
          Job.builder(new JobId("job-" + number))
              .jobClass("small")
              .team(random.nextInt(3) == 0 ? "blue" : "red")
              .kind(JobKind.ARRAY)
              .priority(Priority.NORMAL)
              .taskCount(seconds.size())
              .taskResources(new Resources(1, 0, 2))
              .allowsSpot(random.nextBoolean())
              .image("img-" + random.nextInt(3))
              .imageGb(1)
              .estimate(TimeSpan.ofSeconds(45))
              .build();
      cluster
          .time()
          .at(
              at,
              () -> {
                for (int task = 0; task < seconds.size(); task++) {
                  cluster
                      .environment()
                      .tasks()
                      .runsLonger(
                          job.id().task(task),
                          seconds.get(task) - cluster.environment().tasks().secondsOf(job));
                }
                cluster.users().submit(job);
              });
      if (isCancelled) {
        cluster
            .time()
            .at(at + 2 + 45 * random.nextDouble(), () -> cluster.users().cancel(job.id()));
      }
    }
    for (int i = 0; i < POLLS; i++) {
      cluster
          .time()
          .at(
              START_S + (END_S + 40) * random.nextDouble(),
              () -> {
                List<JobId> known = List.copyOf(cluster.users().reportedStates().keySet());
                if (!known.isEmpty()) {
                  cluster.users().submitAgain(known.get(random.nextInt(known.size())));
                }
              });
    }
  }
}
