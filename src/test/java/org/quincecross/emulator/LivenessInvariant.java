package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Finds accepted jobs that hang. Once all faults have ended, each open job must have a task on a
 * machine, or its team must be at its limit, or a controller must report what the job waits for;
 * and all jobs must end within the time that their estimates and the limits of their teams permit.
 */
final class LivenessInvariant {
  /**
   * Between one task of a job and the next there may be a start, an image fetch and a write of the
   * result.
   */
  private static final int CHECKS = 15;

  /**
   * In this cluster estimates are wrong by up to a half, and machines are down to a fifth of the
   * nominal speed.
   */
  private static final double MAX_SLOWDOWN = 1.5 * 5;

  private static final double OVERHEAD_S = 4;
  private static final double LAST_S = 90;
  private static final double MAX_REMAINING_S = 1500;

  private final SimulatedCluster cluster;
  private final List<String> findings = new ArrayList<>();

  LivenessInvariant(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  List<String> findings() {
    return findings;
  }

  private Set<JobId> openJobs() {
    Set<JobId> open = new TreeSet<>();
    cluster
        .users()
        .reportedStates()
        .forEach(
            (id, state) -> {
              if (!state.equals("done") && !state.equals("cancelled")) {
                open.add(id);
              }
            });
    return open;
  }

  /** Advances the time, from a moment without faults, until all jobs must have ended. */
  void watch() {
    Map<JobId, Integer> idle = new TreeMap<>();
    double over = LAST_S;
    for (JobId id : openJobs()) {
      over = Math.max(over, secondsLeft(id));
    }
    double until = cluster.time().seconds() + Math.min(MAX_REMAINING_S, over);
    for (int look = 0; look < CHECKS; look++) {
      cluster.time().runUntil(cluster.time().seconds() + 1);
      for (JobId id : openJobs()) {
        if (!cluster.environment().pipelines().isWaiting(id)
            && cluster.invariants().onMachines(id) == 0
            && !isAtLimit(cluster.job(id))
            && cluster.invariants().cancelledAt(id) == null) {
          idle.merge(id, 1, Integer::sum);
        }
      }
    }
    Map<String, String> named = reportedAsStalled();
    idle.forEach(
        (id, looks) -> {
          if (looks == CHECKS && !named.containsKey(id.text())) {
            findings.add("idle and not named: " + cluster.job(id) + ", named are " + named);
          }
        });
    while (cluster.time().seconds() < until - 0.001 && !openJobs().isEmpty()) {
      cluster.time().runUntil(Math.min(until, cluster.time().seconds() + 10));
    }
    cluster
        .users()
        .polls()
        .forgotten(openJobs())
        .forEach(id -> findings.add("forgotten: " + cluster.job(id)));
    for (JobId id : openJobs()) {
      findings.add("hangs: " + cluster.job(id) + " " + reportedAsStalled().get(id.text()));
    }
  }

  /** The same with all dependencies. */
  private double secondsLeft(JobId id) {
    double before = 0;
    for (JobId each : cluster.environment().pipelines().allDependencies(id)) {
      before += openJobs().contains(each) ? secondsLeft(cluster.job(each)) : 0;
    }
    return before + secondsLeft(cluster.job(id));
  }

  /** An upper bound for the remaining time of a job, including the other work of its team. */
  private double secondsLeft(Job job) {
    if (job.kind() == JobKind.SERVICE) {
      return LAST_S; // its user cancels it
    }
    double sum = 0;
    for (JobId id : openJobs()) {
      Job other = cluster.job(id);
      if (other.team().equals(job.team()) && other.kind() != JobKind.SERVICE) {
        double each = MAX_SLOWDOWN * other.estimate().seconds() + OVERHEAD_S;
        double atOnce =
            Math.max(
                1,
                Math.floor(
                    cluster.team(job.team()).limit().cpus() / 2 / other.taskResources().cpus()));
        sum +=
            each
                * Math.ceil((other.taskCount() - cluster.invariants().completedTasks(id)) / atOnce);
      }
    }
    return LAST_S + sum;
  }

  private boolean isAtLimit(Job job) {
    int together = job.kind() == JobKind.GANG ? job.taskCount() : 1;
    return cluster
            .team(job.team())
            .limit()
            .minus(cluster.invariants().used(job.team()))
            .capacityFor(job.taskResources())
        < together;
  }

  /** The jobs that controllers report as stalled, with what they wait for. */
  private Map<String, String> reportedAsStalled() {
    Map<String, String> named = new TreeMap<>();
    try {
      for (int node = 0; node < cluster.nodeCount(); node++) {
        JsonFields status = cluster.status(node);
        for (JsonFields stall :
            status == null ? List.<JsonFields>of() : status.objects("stalled")) {
          if (!stall.strings("waits_for").isEmpty()) {
            named.merge(stall.string("job"), stall.strings("waits_for").toString(), String::concat);
          }
        }
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
    return named;
  }
}
