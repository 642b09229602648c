package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.quincecross.accounting.JobAccounting;
import org.quincecross.accounting.LargestJobs;
import org.quincecross.accounting.ServiceLevels;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.Resources;
import org.quincecross.protocol.Features;

/**
 * A simulated day on which a fleet has more work than it can finish in time: one or two classes
 * arrive several times as often, machines are lost, the cloud refuses requests, controllers crash.
 * The seed determines which, when and how much.
 */
public final class OverloadDay {
  private static final double WORKLOAD_START_S = 15;
  private static final double INITIAL_JOBS_SPREAD_S = 20;
  private static final double DURATION_S = 420;
  private static final double SLICE_S = 15;

  /**
   * The result of a day.
   *
   * @param bound an upper bound, for any scheduler, on the smallest share of any class in time
   * @param usedShare the part of the processors not used by services that arrays and gangs used,
   *     from 0 to 1
   */
  public record Result(
      long seed,
      Map<JobAccounting.Group, ServiceLevels> groups,
      Map<String, ServiceLevels> teams,
      Map<String, ServiceLevels> classes,
      Map<String, List<LargestJobs>> largest,
      double bound,
      double usedShare,
      int rulesBroken,
      int starts) {

    /** The smallest share served of any class's largest tenth or quarter of jobs. */
    public double leastOfLargest() {
      return largest.values().stream()
          .flatMap(List::stream)
          .mapToDouble(LargestJobs::servedShare)
          .min()
          .orElse(1);
    }

    /** The smallest share of any class's largest tenth or quarter of jobs that started in time. */
    public double largestInTime() {
      return largest.values().stream()
          .flatMap(List::stream)
          .mapToDouble(LargestJobs::inTimeShare)
          .min()
          .orElse(1);
    }

    /** The longest start delay of any of these jobs, in seconds. */
    public double longestS() {
      return largest.values().stream()
          .flatMap(List::stream)
          .mapToDouble(LargestJobs::longestS)
          .max()
          .orElse(0);
    }

    /** The smallest share of due jobs that met an objective, or started, of any class. */
    public double leastOfClasses() {
      return classes.values().stream().mapToDouble(ServiceLevels::lowestShare).min().orElse(1);
    }

    /** The same by team. */
    public double leastOfTeams() {
      return teams.values().stream().mapToDouble(ServiceLevels::lowestShare).min().orElse(1);
    }

    /**
     * The share of a class with a deadline that finished in time, of the jobs whose first deadline
     * was due.
     */
    public double leastInTime() {
      double least = 1;
      for (ServiceLevels served : classes.values()) {
        for (ServiceLevels.ObjectiveCount met : served.objectives()) {
          if (met.objective().startsWith("deadline")) {
            least = Math.min(least, met.share());
            break;
          }
        }
      }
      return least;
    }
  }

  private final SimulatedCluster cluster;
  private final Random random;
  private final WorkloadGenerator load;
  private final List<Resources> capacity = new ArrayList<>();
  private final List<Resources> used = new ArrayList<>();
  private final long seed;

  public OverloadDay(Measurement.Kind kind, int machines, long seed, Features features) {
    ClusterSpec spec =
        kind == Measurement.Kind.FLEET ? ClusterSpec.fleet(machines) : ClusterSpec.mixed(machines);
    this.seed = seed;
    this.random = new Random(seed);
    this.cluster = new SimulatedCluster(spec, seed, Meter.OFF, features);
    this.load = new WorkloadGenerator(cluster.environment(), seed);
    cluster.time().at(WORKLOAD_START_S, () -> load.begin(INITIAL_JOBS_SPREAD_S));
    sample();
    int troubles = 1 + random.nextInt(3);
    for (int i = 0; i < troubles; i++) {
      ClusterSpec.JobClass burst = spec.classes().get(random.nextInt(spec.classes().size()));
      double factor = 2 + 3 * random.nextDouble();
      double lasts = 40 + 60 * random.nextDouble();
      cluster
          .time()
          .at(70 + 90 * random.nextDouble(), () -> load.burst(burst.name(), factor, lasts));
    }
    double share = 0.25 * random.nextDouble();
    cluster.time().at(90 + 80 * random.nextDouble(), () -> loseMachines(share));
    double outage = 60 * random.nextDouble();
    cluster.time().at(90 + 60 * random.nextDouble(), () -> cluster.cloud().outage(outage));
    int crashes = random.nextInt(4);
    for (int node = 0; node < Math.min(crashes, cluster.nodeCount()); node++) {
      int each = node;
      double at = crashes == cluster.nodeCount() ? 170 : 100 + 100 * random.nextDouble();
      cluster.time().at(at, () -> cluster.crash(each));
    }
  }

  private void loseMachines(double share) {
    for (MachineId machine : cluster.cloud().machines()) {
      if (random.nextDouble() < share) {
        cluster.cloud().terminate(machine, 0);
      }
    }
  }

  /** Samples the capacity that services leave free, in the middle of each slice. */
  private void sample() {
    cluster
        .time()
        .after(
            capacity.isEmpty() ? SLICE_S / 2 : SLICE_S,
            () -> {
              Resources up = Resources.NONE;
              for (AgentSimulator worker : cluster.cloud().workers()) {
                up = up.plus(worker.capacity());
              }
              capacity.add(up.minus(cluster.invariants().serviceResources()));
              Resources inUse = Resources.NONE;
              for (String team : cluster.spec().teams().keySet()) {
                inUse = inUse.plus(cluster.invariants().used(team));
              }
              used.add(inUse.minus(cluster.invariants().serviceResources()));
              sample();
            });
  }

  /** Runs the day to its end. */
  public Result play() {
    cluster.time().runUntil(DURATION_S);
    JobAccounting served = cluster.environment().accounting();
    return new Result(
        seed,
        served.groups(cluster.environment().now()),
        served.teams(cluster.environment().now()),
        served.classes(cluster.environment().now()),
        served.largest(cluster.environment().now()),
        upperBound(),
        cpus(used) / cpus(capacity),
        cluster.invariants().violations().size(),
        cluster.invariants().starts());
  }

  private static double cpus(List<Resources> all) {
    return all.stream().mapToDouble(Resources::cpus).sum();
  }

  /** For each job with a deadline: its work, and the interval in which it can be done. */
  private double upperBound() {
    List<UpperBound.WorkDemand> wanted = new ArrayList<>();
    for (Map.Entry<JobId, Double> submitted : cluster.users().submittedAt().entrySet()) {
      Job job = cluster.job(submitted.getKey());
      if (job.kind() == JobKind.SERVICE || job.deadline() == null) {
        continue;
      }
      double runs = cluster.environment().tasks().secondsOf(job);
      wanted.add(
          new UpperBound.WorkDemand(
              job.jobClass(),
              submitted.getValue(),
              submitted.getValue() + job.deadline().seconds(),
              job.taskResources().times(job.taskCount() * runs)));
    }
    return new UpperBound(SLICE_S, capacity, wanted).leastShare();
  }
}
