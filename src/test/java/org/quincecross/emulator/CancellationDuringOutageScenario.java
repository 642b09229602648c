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
  private static final int FIRST = 2000;
  private static final int JOBS = 26;
  private static final double GAP_FROM_S = 45;
  private static final double LONGEST_GAP_S = 110;
  private static final double QUIET_S = 100;

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
      Job job = job(FIRST + i);
      jobs.add(job.id());
      cluster.time().at(3 + i * 0.4, () -> cluster.users().submit(job));
    }
    switch (random.nextInt(3)) {
      case 0 -> heldUp(10 + upTo(4));
      case 1 -> allLate(6 + upTo(10));
      default -> {}
    }
    cluster.time().at(GAP_FROM_S, this::gap);
  }

  /**
   * The change that cancels the largest job is sent long before the refusal, and becomes durable
   * just after it.
   */
  private void heldUp(double seconds) {
    double from = GAP_FROM_S - seconds + upTo(2);
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
    cancelAt(jobs.get(0), from + seconds + upTo(0.5));
  }

  /** For a while before the refusal, all changes are applied late without an answer. */
  private void allLate(double seconds) {
    cluster.time().at(GAP_FROM_S - seconds, () -> cluster.state().applyLate(1));
    cluster.time().at(GAP_FROM_S - upTo(1), () -> cluster.state().applyLate(0));
    jobs.stream()
        .filter(id -> oneIn(2))
        .forEach(id -> cancelAt(id, GAP_FROM_S - seconds + upTo(seconds)));
  }

  private void cancelAt(JobId id, double atS) {
    if (cancelAt.putIfAbsent(id, atS) == null) {
      cluster.time().at(atS, () -> cluster.users().cancel(id));
    }
  }

  SimulatedCluster world() {
    return cluster;
  }

  private Job job(int number) {
    JobKind kind =
        number == FIRST
            ? JobKind.ARRAY
            : random.nextInt(5) == 0
                ? JobKind.SERVICE
                : random.nextInt(8) == 0 ? JobKind.GANG : JobKind.ARRAY;
    int tasks =
        number == FIRST
            ? 18
            : kind == JobKind.ARRAY ? 1 + random.nextInt(5) : 1 + random.nextInt(2);
    return Job.builder(new JobId("job-" + number))
        .jobClass("gap")
        .team(number != FIRST && oneIn(3) ? "blue" : "red")
        .kind(kind)
        .priority(kind == JobKind.SERVICE ? Priority.PRODUCTION : Priority.NORMAL)
        .taskCount(tasks)
        .taskResources(new Resources(1, 0, 2))
        .image("img-" + random.nextInt(3))
        .imageGb(1)
        .estimate(TimeSpan.ofSeconds(90 + random.nextInt(200)))
        .build();
  }

  private double upTo(double seconds) {
    return random.nextDouble() * seconds;
  }

  private boolean oneIn(int n) {
    return random.nextInt(n) == 0;
  }

  private void after(double seconds, Runnable action) {
    cluster.time().after(seconds, action);
  }

  private void gap() {
    int leader = cluster.leader();
    int refused = leader >= 0 && !oneIn(4) ? leader : random.nextInt(cluster.nodeCount());
    double cancelS = cluster.site().workers().cancelTimeout().seconds();
    double refusal = 1 + upTo(17);
    after(0, () -> cluster.state().refuse(ClusterSpec.nodeName(refused), refusal));
    if (oneIn(4)) {
      after(
          refusal + upTo(1.5),
          () ->
              cluster
                  .state()
                  .refuse(
                      ClusterSpec.nodeName(
                          oneIn(3) ? random.nextInt(cluster.nodeCount()) : refused),
                      1 + upTo(12)));
    }
    double out = oneIn(6) ? upTo(20) - 4 : 0.5 + upTo(refusal);
    double length = oneIn(5) ? 1 + upTo(cancelS) : cancelS + upTo(20);
    after(out, () -> cluster.state().outage(length));
    if (oneIn(6)) {
      after(
          out + length + upTo(3),
          () -> cluster.state().refuse(ClusterSpec.nodeName(refused), 1 + upTo(15)));
    }
    for (JobId id : jobs) {
      if (!oneIn(5)) {
        double at = oneIn(6) ? upTo(LONGEST_GAP_S) : upTo(out + 2) - 1;
        cancelAt(id, GAP_FROM_S + Math.max(0, at));
      }
    }
    if (oneIn(2)) {
      after(upTo(3) - 2, () -> cluster.state().applyLate(2 + random.nextInt(4)));
      after(out + upTo(3), () -> cluster.state().applyLate(0));
    }
    if (oneIn(4)) {
      after(upTo(out + 10), () -> cluster.suspend(refused, oneIn(2) ? upTo(8) : upTo(50)));
    }
    if (oneIn(4)) {
      after(upTo(out + 30), () -> cluster.crash(random.nextInt(cluster.nodeCount())));
    }
    if (oneIn(3)) {
      after(
          upTo(out + 4),
          () -> machines(3).forEach(each -> cluster.dropInbound(each, 2 + upTo(25))));
    }
    if (oneIn(3)) {
      after(
          upTo(out + 4),
          () ->
              machines(3)
                  .forEach(
                      each -> {
                        boolean lose = random.nextBoolean();
                        for (int node = 0; node < cluster.nodeCount(); node++) {
                          // Either only the refused controller reaches these machines, or none
                          // does.
                          if (node != refused || lose) {
                            cluster.cut(
                                ClusterSpec.nodeName(node), each.text(), 2 + upTo(40), lose);
                          }
                        }
                      }));
    }
    if (oneIn(4)) {
      after(upTo(out + 4), () -> cluster.refuseLinks(refused, 1 + upTo(20)));
    }
    if (oneIn(5)) {
      after(
          upTo(out + 30),
          () ->
              cluster
                  .cloud()
                  .workers()
                  .forEach(
                      worker -> {
                        if (oneIn(4)) {
                          worker.restart(0.05 + upTo(0.8));
                        }
                      }));
    }
  }

  private List<MachineId> machines(int share) {
    return cluster.cloud().machines().stream().filter(each -> oneIn(share)).toList();
  }

  /** Runs the day; returns what went wrong. */
  List<String> play() {
    double end = GAP_FROM_S + LONGEST_GAP_S;
    cluster.time().runUntil(end);
    cluster.state().applyLate(0);
    cluster.environment().onFaultsEnded();
    cluster.time().runUntil(end + 30);
    jobs.forEach(id -> cluster.users().cancel(id));
    cluster.time().runUntil(end + QUIET_S);
    liveness.watch();
    List<String> wrong = new ArrayList<>(liveness.findings());
    wrong.addAll(cluster.invariants().violations());
    if (cluster.invariants().starts() < JOBS / 2) {
      wrong.add("little was started: " + cluster.invariants().starts());
    }
    return wrong;
  }

  /** The time from the first request of each cancellation until a user was told, in seconds. */
  Map<JobId, Double> toldAfter() {
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
