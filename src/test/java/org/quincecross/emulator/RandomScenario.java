package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Settings;
import org.quincecross.rollout.Build;

/** A day from a seed: jobs of all kinds, faults alone and combined, then a fault-free period. */
final class RandomScenario {
  private static final double FIRST_FAULT_S = 12;
  private static final double LAST_FAULT_S = 150;
  private static final double MAX_FAULT_DURATION_S = 33;

  /** After a fault-free period of this length, every job that can run does. */
  private static final double FAULT_FREE_S = 120;

  /**
   * Restarted machines are trusted long before their counters reach those of their former
   * processes.
   */
  private static final double FAULT_FREE_AFTER_COMBINED_FAULTS_S = 60;

  private static final int JOBS = 60;
  private static final int MISCONFIGURED_JOBS = 3;

  /**
   * One in this many days has a job with more tasks than a chunk of the completed-task records
   * holds.
   */
  private static final int DAYS_PER_LARGE_JOB = 40;

  private final long seed;
  private final SimulatedCluster cluster;
  private final Random random;
  private final LivenessInvariant liveness;
  private final CombinedFaults combinedFaults;
  private boolean upgrades;

  private static final Build OLD = Build.present("old", 1);
  private static final Build NEW = Build.present("new", 2);

  RandomScenario(long seed) {
    this(seed, new SimulatedCluster(seed));
  }

  /**
   * The same with controllers that are replaced by a newer build, with or without a rollback
   * halfway, during all kinds of faults.
   */
  static RandomScenario withUpgrade(long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(ClusterSpec.small(), seed, Meter.OFF, new Features(null, null, OLD));
    cluster.state().applyLate(60);
    RandomScenario day = new RandomScenario(seed, cluster);
    day.upgradeAll(10 + 40 * day.random.nextDouble(), NEW);
    if (day.random.nextBoolean()) {
      day.upgradeAll(30 + 40 * day.random.nextDouble(), OLD);
      // Controllers that the raised level excludes are out until they are replaced again.
      day.upgradeAll(70 + 60 * day.random.nextDouble(), NEW);
    }
    day.upgradeAll(LAST_FAULT_S + 1, NEW);
    day.upgrades = true;
    return day;
  }

  /**
   * A day with pipelines of dependent jobs: an ordinary one, one with upgrades that are over
   * before, or one with combined faults.
   */
  static RandomScenario withPipelines(long seed) {
    return (seed % 3 == 2 ? withCombinedFaults(seed) : new RandomScenario(seed))
        .with(DependencyFaults::inject);
  }

  /**
   * Replaces all controllers by another build, one after the other; some of them may run it
   * already.
   */
  private void upgradeAll(double fromS, Build build) {
    double at = fromS;
    for (int node = 0; node < cluster.nodeCount(); node++) {
      int each = node;
      cluster.time().at(at, () -> cluster.upgrade(each, build));
      at += 1 + random.nextDouble() * 12;
    }
  }

  private RandomScenario(long seed, SimulatedCluster cluster) {
    this(seed, cluster, null);
    for (int i = 0; i < JOBS; i++) {
      int number = 1000 + i;
      cluster.time().at(3 + i * 2.2, () -> cluster.users().submit(number));
    }
    if (seed % DAYS_PER_LARGE_JOB == 0) {
      cluster.time().at(5, () -> cluster.users().submitManyTasks(999));
    }
    for (double at = FIRST_FAULT_S; at < LAST_FAULT_S; at += 4 + random.nextDouble() * 14) {
      cluster.time().at(at, this::injectFault);
    }
  }

  private RandomScenario(long seed, SimulatedCluster cluster, CombinedFaults combinedFaults) {
    this.seed = seed;
    this.cluster = cluster;
    this.combinedFaults = combinedFaults;
    random = cluster.random();
    liveness = new LivenessInvariant(cluster);
  }

  /** A day with combined faults, in one of several deployments. */
  static RandomScenario withCombinedFaults(long seed) {
    return withCombinedFaults(seed, Set.of(), false);
  }

  /**
   * The same with lost answers, kept reports, machines that cannot send and fast boots, each
   * combined with any other fault.
   */
  static RandomScenario withFurtherCombinedFaults(long seed) {
    return withCombinedFaults(seed, Set.of(), true);
  }

  /** The same with only some of the fault pairs, by number; an empty set selects all. */
  static RandomScenario withCombinedFaults(long seed, Set<Integer> only, boolean further) {
    ClusterSpec spec = ClusterSpec.small();
    List<Settings.AgentTimeouts> workers =
        List.of(
            spec.workers(),
            ClusterSpec.tryOut(9, true).workers(),
            ClusterSpec.mixed(690).workers());
    SimulatedCluster cluster =
        new SimulatedCluster(
            spec.with(workers.get((int) Math.floorMod(seed, (long) workers.size()))),
            seed,
            Meter.OFF);
    RandomScenario day =
        new RandomScenario(seed, cluster, new CombinedFaults(cluster, seed, only, further));
    for (int i = 0; i < JOBS; i++) {
      int number = 1000 + i;
      cluster.time().at(3 + i * 2.2, () -> cluster.users().submit(number));
    }
    for (int i = 0; i < MISCONFIGURED_JOBS; i++) {
      cluster.time().at(FIRST_FAULT_S + 45 * i, day::submitMisconfigured);
    }
    return day;
  }

  /** Adds faults to those of the day. */
  RandomScenario with(BiConsumer<SimulatedCluster, Long> more) {
    more.accept(cluster, seed);
    return this;
  }

  /** Runs the day until all work must have ended; returns what went wrong. */
  List<String> run() {
    double over =
        combinedFaults == null ? LAST_FAULT_S + MAX_FAULT_DURATION_S : combinedFaults.overS();
    cluster.time().runUntil(combinedFaults == null ? over + FAULT_FREE_S - 80 : over);
    cluster.environment().onFaultsEnded();
    cluster
        .time()
        .runUntil(
            over + (combinedFaults == null ? FAULT_FREE_S : FAULT_FREE_AFTER_COMBINED_FAULTS_S));
    liveness.watch();
    List<String> wrong = new ArrayList<>(liveness.findings());
    wrong.addAll(cluster.invariants().violations());
    if (cluster.invariants().starts() <= JOBS) {
      wrong.add("little was started: " + cluster.invariants().starts());
    }
    if (upgrades
        && !(cluster.state().value("q/level") instanceof Map<?, ?> level
            && level.get("level").equals(2L))) {
      wrong.add("all have the new build, and the level is " + cluster.state().value("q/level"));
    }
    if (combinedFaults != null) {
      wrong.addAll(poorlyServedClasses());
      if (!wrong.isEmpty()) {
        wrong.addAll(combinedFaults.log());
      }
    }
    return wrong;
  }

  /**
   * The classes of which less than half was served, in total or of the largest jobs, or of which
   * the largest jobs started late.
   */
  private List<String> poorlyServedClasses() {
    List<String> unserved = new ArrayList<>();
    cluster
        .environment()
        .accounting()
        .largest(cluster.environment().now())
        .forEach(
            (name, parts) ->
                parts.forEach(
                    part -> {
                      if (part.servedShare() < 0.5 || part.inTimeShare() < 0.5) {
                        unserved.add("largest of " + name + ": " + part);
                      }
                    }));
    cluster
        .environment()
        .accounting()
        .classes(cluster.environment().now())
        .forEach(
            (name, served) -> {
              if (served.startedShare() < 0.5) {
                unserved.add("class " + name + ": " + served);
              }
            });
    cluster
        .environment()
        .accounting()
        .teams(cluster.environment().now())
        .forEach(
            (name, served) -> {
              if (served.startedShare() < 0.5) {
                unserved.add("team " + name + ": " + served);
              }
            });
    return unserved;
  }

  private void injectFault() {
    int node = random.nextInt(cluster.nodeCount());
    double length = 3 + random.nextDouble() * (MAX_FAULT_DURATION_S - 3);
    boolean lose = random.nextBoolean();
    List<MachineId> machines = cluster.cloud().machines();
    MachineId machine =
        machines.isEmpty() ? new MachineId("none") : machines.get(random.nextInt(machines.size()));
    switch (random.nextInt(20)) {
      case 0 -> cluster.crash(node);
      case 1 -> {
        for (int i = 0; i < cluster.nodeCount(); i++) {
          cluster.crash(i);
        }
      }
      case 2 -> cluster.state().outage(length);
      case 3 -> cluster.state().refuse(ClusterSpec.nodeName(node), length);
      case 4 -> cluster.cut(ClusterSpec.nodeName(node), "state", length, lose);
      case 5 ->
          machines.forEach(
              each ->
                  cluster.cut(
                      ClusterSpec.nodeName(node), each.text(), length, random.nextBoolean()));
      case 6 ->
          cluster.cut(
              ClusterSpec.nodeName(node),
              ClusterSpec.nodeName((node + 1) % cluster.nodeCount()),
              length,
              lose);
      case 7 -> {
        for (int i = 0; i < cluster.nodeCount(); i++) {
          cluster.cut(ClusterSpec.nodeName(i), machine.text(), length, random.nextBoolean());
        }
      }
      case 8 -> cluster.cloud().outage(length);
      case 9 ->
          machines.stream()
              .filter(each -> random.nextInt(4) == 0)
              .forEach(each -> cluster.cloud().terminate(each, 3 + random.nextDouble() * 15));
      case 10 ->
          new ZonePartitions(cluster).zone(node % cluster.spec().zones().size(), length, lose);
      case 11 ->
          machines.forEach(
              each ->
                  cluster.cut(
                      ClusterSpec.nodeName(random.nextInt(cluster.nodeCount())),
                      each.text(),
                      3 + random.nextDouble() * 5,
                      random.nextBoolean()));
      case 12 -> cluster.cloud().terminate(machine, 0);
      case 13 -> cluster.isolate(node, length, lose);
      case 14 -> cluster.suspend(node, length);
      case 15 -> {
        cluster.suspend(node, length / 3);
        cluster
            .time()
            .at(
                cluster.time().seconds() + length / 4,
                () -> cluster.suspend((node + 1) % cluster.nodeCount(), length / 2));
      }
      case 16 -> cluster.users().multiplyPolls(2 + random.nextInt(20), length);
      case 17 -> cluster.separate(node, length, lose);
      case 18 ->
          machines.stream()
              .filter(each -> random.nextInt(4) == 0)
              .forEach(each -> cluster.dropInbound(each, length));
      default -> submitMisconfigured();
    }
  }

  /** A job that fails on every machine until its user cancels it. */
  private void submitMisconfigured() {
    JobKind kind = JobKind.values()[random.nextInt(JobKind.values().length)];
    Job job =
        Job.builder(new JobId("job-" + (5000 + cluster.users().misconfiguredAttempts().size())))
            .jobClass("mistake")
            .team(random.nextBoolean() ? "blue" : "red")
            .kind(kind)
            .priority(kind == JobKind.SERVICE ? Priority.PRODUCTION : Priority.NORMAL)
            .taskCount(1 + random.nextInt(kind == JobKind.ARRAY ? 20 : 2))
            .taskResources(new Resources(1 + random.nextInt(2), 0, 2))
            .singleZone(kind == JobKind.GANG)
            .image("img-" + random.nextInt(3))
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(10))
            .build();
    cluster.users().submitMisconfigured(job);
    cluster
        .time()
        .at(
            cluster.time().seconds() + 20 + random.nextDouble() * 60,
            () -> cluster.users().cancel(job.id()));
  }
}
