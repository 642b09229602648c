package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/**
 * A day from a seed: jobs of two and three tasks that end 30 to 100 s apart. At their ends the
 * leader, a shard owner or all controllers fail, are partitioned or restart at once, the state
 * service is down or applies changes late, or machines are unreachable; some jobs are cancelled
 * meanwhile. Then a fault-free period.
 */
final class LeaderFailureScenario {
  private static final double LAST_FAULT_S = 210;
  private static final double FAULT_FREE_S = 60;
  private static final int LONG_JOBS = 16;
  private static final int SERVICES = 5;
  private static final double CHECK_INTERVAL_S = 0.1;

  private final SimulatedCluster cluster;
  private final Random random;
  private final Map<JobId, Integer> endedTasks = new LinkedHashMap<>();
  private final List<JobId> allJobs = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();
  private double noFaultUntil;

  LeaderFailureScenario(long seed) {
    cluster = new SimulatedCluster(ClusterSpec.small(), seed, Meter.OFF);
    random = new Random(~seed);
    for (int i = 0; i < LONG_JOBS; i++) {
      Job job = longJob(100 + i);
      endedTasks.put(job.id(), 0);
      submit(job, 4 + 70 * random.nextDouble());
    }
    for (int i = 0; i < SERVICES; i++) {
      submit(
          Job.builder(new JobId("job-" + (200 + i)))
              .jobClass("service")
              .team("blue")
              .kind(JobKind.SERVICE)
              .priority(Priority.PRODUCTION)
              .taskCount(1 + random.nextInt(3))
              .taskResources(new Resources(1, 0, 2))
              .spreadOverZones(random.nextBoolean())
              .image("img-0")
              .imageGb(1)
              .estimate(TimeSpan.ZERO)
              .build(),
          4 + 20 * random.nextDouble());
      cancelAt(new JobId("job-" + (200 + i)), LAST_FAULT_S * random.nextDouble());
    }
    for (double at = 10; at < LAST_FAULT_S; at += CHECK_INTERVAL_S) {
      cluster.time().at(at, this::checkTasks);
    }
    for (double at = 20 + 20 * random.nextDouble();
        at < LAST_FAULT_S;
        at += 15 + 30 * random.nextDouble()) {
      cluster.time().at(at, this::injectFault);
    }
  }

  private Job longJob(int number) {
    int tasks = 2 + random.nextInt(2);
    boolean gang = random.nextInt(5) == 0;
    boolean saves = random.nextInt(4) == 0;
    Job job =
        Job.builder(new JobId("job-" + number))
            .jobClass("long")
            .team(random.nextInt(3) == 0 ? "blue" : "red")
            .kind(gang ? JobKind.GANG : JobKind.ARRAY)
            .priority(random.nextBoolean() ? Priority.NORMAL : Priority.LOW)
            .taskCount(tasks)
            .taskResources(new Resources(1 + random.nextInt(3), 0, 2))
            .singleZone(gang || random.nextInt(4) == 0)
            .allowsSpot(random.nextBoolean())
            .image("img-" + random.nextInt(3))
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(gang ? 40 : 90 + random.nextInt(40)))
            .checkpointInterval(saves ? TimeSpan.ofSeconds(8) : TimeSpan.ZERO)
            .checkpointCost(saves ? TimeSpan.ofSeconds(1) : TimeSpan.ZERO)
            .build();
    Job spread =
        random.nextInt(3) != 0 || job.singleZone()
            ? job
            : Job.builder(job.id())
                .jobClass(job.jobClass())
                .team(job.team())
                .kind(job.kind())
                .priority(job.priority())
                .taskCount(job.taskCount())
                .taskResources(job.taskResources())
                .spreadOverZones(true)
                .allowsSpot(job.allowsSpot())
                .image(job.image())
                .imageGb(1)
                .estimate(job.estimate())
                .checkpointInterval(job.checkpointInterval())
                .checkpointCost(job.checkpointCost())
                .build();
    for (int i = 1; i < tasks && !gang; i++) {
      cluster
          .environment()
          .tasks()
          .runsLonger(job.id().task(i), -i * (30 + 20 * random.nextDouble()));
    }
    return spread;
  }

  private void submit(Job job, double atS) {
    allJobs.add(job.id());
    cluster.time().at(atS, () -> cluster.users().submit(job));
  }

  private void cancelAt(JobId id, double atS) {
    cluster
        .time()
        .at(
            atS,
            () -> {
              if (cluster.users().submittedAt().containsKey(id)) {
                cluster.users().cancel(id);
              } else {
                cancelAt(id, atS + 5);
              }
            });
  }

  /** Finds tasks that have ended; some of these ends trigger a fault. */
  private void checkTasks() {
    for (Map.Entry<JobId, Integer> job : endedTasks.entrySet()) {
      int now = cluster.invariants().completedTasks(job.getKey());
      if (now > job.getValue()) {
        job.setValue(now);
        if (cluster.time().seconds() >= noFaultUntil && random.nextInt(3) != 0) {
          noFaultUntil = cluster.time().seconds() + 12 * random.nextDouble();
          cluster.time().after(2.5 * random.nextDouble(), this::injectFault);
        }
      }
    }
  }

  private int leader() {
    int leader = cluster.leader();
    return leader >= 0 ? leader : random.nextInt(cluster.nodeCount());
  }

  private void injectFault() {
    int leader = leader();
    int other = (leader + 1 + random.nextInt(cluster.nodeCount() - 1)) % cluster.nodeCount();
    double seconds = 3 + 25 * random.nextDouble();
    double longer = 30 + 20 * random.nextDouble();
    int kind = random.nextInt(13);
    faults.add(
        String.format(
            "%.1f: %d, leader %d, other %d, %.1f or %.1f s",
            cluster.time().seconds(), kind, leader, other, seconds, longer));
    switch (kind) {
      case 0 -> cluster.crash(leader);
      case 1 -> cluster.crash(other);
      case 2 -> cluster.stopFor(leader, 0.1 + 0.8 * random.nextDouble());
      case 3 -> {
        for (int node = 0; node < cluster.nodeCount(); node++) {
          cluster.stopFor(node, 0.1 + (random.nextBoolean() ? 0.8 : 6) * random.nextDouble());
        }
      }
      case 4 -> cluster.state().outage(seconds);
      case 5 -> {
        cluster.state().outage(seconds);
        cluster.time().after(seconds * random.nextDouble(), () -> cluster.crash(leader));
      }
      case 6, 7 -> separate(leader, longer);
      case 8 -> {
        cluster.state().applyLate(3 + random.nextInt(8));
        cluster.time().after(seconds, () -> cluster.state().applyLate(0));
      }
      case 9 -> {
        cluster.crash(leader);
        makeMachinesUnreachable(leader, longer);
      }
      case 10 -> {
        dropInbound(longer);
        cluster
            .time()
            .after(
                2 * random.nextDouble(),
                () -> cluster.stopFor(leader, 0.2 + 10 * random.nextDouble()));
      }
      case 11 -> cluster.suspend(leader, longer * random.nextDouble());
      default -> {
        cluster.state().refuse(ClusterSpec.nodeName(leader), longer);
        cluster.time().after(longer * random.nextDouble(), () -> cluster.state().outage(seconds));
      }
    }
    cancelSome(longer);
  }

  /**
   * Separates a controller from the state service and the other controllers: requests are refused,
   * lost or held back until the end.
   */
  private void separate(int node, double seconds) {
    if (random.nextInt(3) != 0) {
      cluster.separate(node, seconds, random.nextBoolean());
      return;
    }
    cluster.cut(ClusterSpec.nodeName(node), "state", seconds, false);
    for (int other = 0; other < cluster.nodeCount(); other++) {
      if (other != node) {
        cluster.cut(ClusterSpec.nodeName(node), ClusterSpec.nodeName(other), seconds, false);
      }
    }
  }

  /** Half of the machines are unreachable for all controllers except the one that fails. */
  private void makeMachinesUnreachable(int ending, double seconds) {
    boolean lose = random.nextBoolean();
    for (MachineId machine : cluster.cloud().machines()) {
      for (int node = 0; random.nextBoolean() && node < cluster.nodeCount(); node++) {
        if (node != ending) {
          cluster.cut(ClusterSpec.nodeName(node), machine.text(), seconds, lose);
        }
      }
    }
  }

  private void dropInbound(double seconds) {
    cluster.cloud().machines().stream()
        .filter(machine -> random.nextInt(3) == 0)
        .forEach(machine -> cluster.dropInbound(machine, seconds));
  }

  private void cancelSome(double withinS) {
    for (JobId id : allJobs) {
      if (random.nextInt(14) == 0) {
        cancelAt(id, cluster.time().seconds() + withinS * random.nextDouble());
      }
    }
  }

  /** Runs the day until all work must have ended; returns what went wrong. */
  List<String> run() {
    cluster.time().runUntil(LAST_FAULT_S + FAULT_FREE_S);
    cluster.environment().onFaultsEnded();
    LivenessInvariant liveness = new LivenessInvariant(cluster);
    liveness.watch();
    List<String> wrong = new ArrayList<>(liveness.findings());
    wrong.addAll(cluster.invariants().violations());
    if (cluster.invariants().starts() <= LONG_JOBS) {
      wrong.add("little was started: " + cluster.invariants().starts());
    }
    if (!wrong.isEmpty()) {
      wrong.add(faults.toString());
    }
    return wrong;
  }
}
