package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/**
 * A day from a seed on which the state service refuses one controller, users cancel through the
 * others, and then the service is down for all, for about the cancellation timeout. All times are
 * drawn relative to one another; late changes, machines that receive nothing, partitions, crashes
 * and a suspension are added.
 */
final class CancellationDuringOutageScenario {
  private static final int FIRST_NUMBER = 2000;
  private static final int JOBS = 26;
  private static final double REFUSAL_START_S = 45;
  private static final double MAX_REFUSAL_S = 110;
  private static final double FAULT_FREE_S = 100;

  private final SimulatedCluster cluster;
  private final Random random;
  private final LivenessInvariant liveness;
  private final List<JobId> jobs = new ArrayList<>();
  private final Map<JobId, Double> cancelAt = new TreeMap<>();

  CancellationDuringOutageScenario(long seed) {
    cluster = new SimulatedCluster(ClusterSpec.small(), seed, Meter.OFF);
    random = new Random(seed * 31 + 7);
    liveness = new LivenessInvariant(cluster);
    for (int i = 0; i < JOBS; i++) {
      Job job = job(FIRST_NUMBER + i);
      jobs.add(job.id());
      cluster.time().at(3 + i * 0.4, () -> cluster.users().submit(job));
    }
    switch (random.nextInt(3)) {
      case 0 -> delayLargestCancellation(10 + randomUpTo(4));
      case 1 -> delayAllChanges(6 + randomUpTo(10));
      default -> {}
    }
    cluster.time().at(REFUSAL_START_S, this::injectFaults);
  }

  /**
   * The change that cancels the largest job is sent long before the refusal, and becomes durable
   * just after it.
   */
  private void delayLargestCancellation(double seconds) {
    double from = REFUSAL_START_S - seconds + randomUpTo(2);
    int node = random.nextInt(cluster.nodeCount());
    cluster
        .time()
        .at(
            from - 0.1,
            () ->
                cluster.injectFaultAt(
                    request -> request.startsWith("POST /txn") && request.contains("\"cancelled\""),
                    seconds,
                    SimulatedCluster.SendFault.STILL_BEFORE));
    cluster
        .time()
        .at(
            from,
            () -> {
              cluster.users().noteCancel(jobs.get(0));
              cluster.sendDirectly(
                  node,
                  HttpRequest.post("/v2/runs/" + jobs.get(0) + "/cancel", new byte[0]),
                  answer -> {});
            });
    cancelAt(jobs.get(0), from + seconds + randomUpTo(0.5));
  }

  /** For a while before the refusal, all changes are applied late without an answer. */
  private void delayAllChanges(double seconds) {
    cluster.time().at(REFUSAL_START_S - seconds, () -> cluster.state().applyLate(1));
    cluster.time().at(REFUSAL_START_S - randomUpTo(1), () -> cluster.state().applyLate(0));
    jobs.stream()
        .filter(id -> oneIn(2))
        .forEach(id -> cancelAt(id, REFUSAL_START_S - seconds + randomUpTo(seconds)));
  }

  private void cancelAt(JobId id, double atS) {
    if (cancelAt.putIfAbsent(id, atS) == null) {
      cluster.time().at(atS, () -> cluster.users().cancel(id));
    }
  }

  SimulatedCluster cluster() {
    return cluster;
  }

  private Job job(int number) {
    JobKind kind =
        number == FIRST_NUMBER
            ? JobKind.ARRAY
            : random.nextInt(5) == 0
                ? JobKind.SERVICE
                : random.nextInt(8) == 0 ? JobKind.GANG : JobKind.ARRAY;
    int tasks =
        number == FIRST_NUMBER
            ? 18
            : kind == JobKind.ARRAY ? 1 + random.nextInt(5) : 1 + random.nextInt(2);
    return Job.builder(new JobId("job-" + number))
        .jobClass("gap")
        .team(number != FIRST_NUMBER && oneIn(3) ? "blue" : "red")
        .kind(kind)
        .priority(kind == JobKind.SERVICE ? Priority.PRODUCTION : Priority.NORMAL)
        .taskCount(tasks)
        .taskResources(new Resources(1, 0, 2))
        .image("img-" + random.nextInt(3))
        .imageGb(1)
        .estimate(TimeSpan.ofSeconds(90 + random.nextInt(200)))
        .build();
  }

  private double randomUpTo(double seconds) {
    return random.nextDouble() * seconds;
  }

  private boolean oneIn(int n) {
    return random.nextInt(n) == 0;
  }

  private void after(double seconds, Runnable action) {
    cluster.time().after(seconds, action);
  }

  private void injectFaults() {
    int leader = cluster.leader();
    int refused = leader >= 0 && !oneIn(4) ? leader : random.nextInt(cluster.nodeCount());
    double cancelS = cluster.spec().workers().cancelTimeout().seconds();
    double refusal = 1 + randomUpTo(17);
    after(0, () -> cluster.state().refuse(ClusterSpec.nodeName(refused), refusal));
    if (oneIn(4)) {
      after(
          refusal + randomUpTo(1.5),
          () ->
              cluster
                  .state()
                  .refuse(
                      ClusterSpec.nodeName(
                          oneIn(3) ? random.nextInt(cluster.nodeCount()) : refused),
                      1 + randomUpTo(12)));
    }
    double out = oneIn(6) ? randomUpTo(20) - 4 : 0.5 + randomUpTo(refusal);
    double length = oneIn(5) ? 1 + randomUpTo(cancelS) : cancelS + randomUpTo(20);
    after(out, () -> cluster.state().outage(length));
    if (oneIn(6)) {
      after(
          out + length + randomUpTo(3),
          () -> cluster.state().refuse(ClusterSpec.nodeName(refused), 1 + randomUpTo(15)));
    }
    for (JobId id : jobs) {
      if (!oneIn(5)) {
        double at = oneIn(6) ? randomUpTo(MAX_REFUSAL_S) : randomUpTo(out + 2) - 1;
        cancelAt(id, REFUSAL_START_S + Math.max(0, at));
      }
    }
    if (oneIn(2)) {
      after(randomUpTo(3) - 2, () -> cluster.state().applyLate(2 + random.nextInt(4)));
      after(out + randomUpTo(3), () -> cluster.state().applyLate(0));
    }
    if (oneIn(4)) {
      after(
          randomUpTo(out + 10),
          () -> cluster.suspend(refused, oneIn(2) ? randomUpTo(8) : randomUpTo(50)));
    }
    if (oneIn(4)) {
      after(randomUpTo(out + 30), () -> cluster.crash(random.nextInt(cluster.nodeCount())));
    }
    if (oneIn(3)) {
      after(
          randomUpTo(out + 4),
          () -> randomMachines(3).forEach(each -> cluster.dropInbound(each, 2 + randomUpTo(25))));
    }
    if (oneIn(3)) {
      after(
          randomUpTo(out + 4),
          () ->
              randomMachines(3)
                  .forEach(
                      each -> {
                        boolean lose = random.nextBoolean();
                        for (int node = 0; node < cluster.nodeCount(); node++) {
                          // Either only the refused controller reaches these machines, or none
                          // does.
                          if (node != refused || lose) {
                            cluster.cut(
                                ClusterSpec.nodeName(node), each.text(), 2 + randomUpTo(40), lose);
                          }
                        }
                      }));
    }
    if (oneIn(4)) {
      after(randomUpTo(out + 4), () -> cluster.refuseLinks(refused, 1 + randomUpTo(20)));
    }
    if (oneIn(5)) {
      after(
          randomUpTo(out + 30),
          () ->
              cluster
                  .cloud()
                  .workers()
                  .forEach(
                      worker -> {
                        if (oneIn(4)) {
                          worker.restart(0.05 + randomUpTo(0.8));
                        }
                      }));
    }
  }

  private List<MachineId> randomMachines(int share) {
    return cluster.cloud().machines().stream().filter(each -> oneIn(share)).toList();
  }

  /** Runs the day; returns what went wrong. */
  List<String> run() {
    double end = REFUSAL_START_S + MAX_REFUSAL_S;
    cluster.time().runUntil(end);
    cluster.state().applyLate(0);
    cluster.environment().onFaultsEnded();
    cluster.time().runUntil(end + 30);
    jobs.forEach(id -> cluster.users().cancel(id));
    cluster.time().runUntil(end + FAULT_FREE_S);
    liveness.watch();
    List<String> wrong = new ArrayList<>(liveness.findings());
    wrong.addAll(cluster.invariants().violations());
    if (cluster.invariants().starts() < JOBS / 2) {
      wrong.add("little was started: " + cluster.invariants().starts());
    }
    return wrong;
  }

  /** The time from the first request of each cancellation until a user was told, in seconds. */
  Map<JobId, Double> confirmedAfterS() {
    Map<JobId, Double> told = new TreeMap<>();
    cancelAt.forEach(
        (id, at) -> {
          if (cluster.invariants().cancelledAt(id) != null) {
            told.put(id, cluster.invariants().cancelledAt(id) - at);
          }
        });
    return told;
  }
}
