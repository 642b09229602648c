package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Resources;

/**
 * Pipelines in addition to the jobs of a {@link RandomScenario}, from a random source of their own:
 * half of them have one job cancelled, at any time or as its last task ends; some jobs depend on an
 * unknown job.
 */
final class DependencyFaults {
  private static final int PIPELINES = 9;
  private static final int JOBS_WITH_UNKNOWN_DEPENDENCY = 3;
  private static final int FIRST_NUMBER = 700_000;
  private static final double CHECK_INTERVAL_S = 0.02;

  private final SimulatedCluster cluster;
  private final Random random;
  private final double fromS;
  private final double untilS;
  private final PipelineGenerator generator;
  private final List<JobId> submittedJobs = new ArrayList<>();

  private DependencyFaults(SimulatedCluster cluster, long seed, double fromS, double untilS) {
    this.cluster = cluster;
    this.random = new Random(seed * 37 + 11);
    this.fromS = fromS;
    this.untilS = untilS;
    this.generator =
        new PipelineGenerator(
            random,
            List.copyOf(cluster.spec().teams().keySet()),
            new Resources(1, 0, 2),
            FIRST_NUMBER);
  }

  /** For {@link RandomScenario#with}. */
  static void inject(SimulatedCluster cluster, long seed) {
    injectBetween(cluster, seed, 5, 140);
  }

  /** Submits pipelines in this interval, in seconds. */
  static void injectBetween(SimulatedCluster cluster, long seed, double fromS, double untilS) {
    DependencyFaults days = new DependencyFaults(cluster, seed, fromS, untilS);
    for (int i = 0; i < PIPELINES; i++) {
      cluster.time().at(days.randomTimeS(), days::submitPipeline);
    }
    for (int i = 0; i < JOBS_WITH_UNKNOWN_DEPENDENCY; i++) {
      cluster
          .time()
          .at(
              days.randomTimeS(),
              () ->
                  cluster
                      .users()
                      .submit(
                          days.generator.dependentOf(
                              new JobId("job-9" + days.random.nextInt(99)))));
    }
  }

  private double randomTimeS() {
    return fromS + random.nextDouble() * (untilS - fromS);
  }

  private void submitPipeline() {
    List<JobId> earlier = new ArrayList<>(submittedJobs);
    cluster.users().reportedStates().keySet().stream()
        .filter(
            id -> cluster.job(id).kind() != JobKind.SERVICE && !cluster.users().isMisconfigured(id))
        .forEach(earlier::add);
    List<DependentJobs.PipelineJob> steps = generator.nextPipeline(earlier);
    for (DependentJobs.PipelineJob step : steps) {
      submittedJobs.add(step.job().id());
      cluster.environment().pipelines().submit(step);
    }
    JobId cancelled = steps.get(random.nextInt(steps.size())).job().id();
    double later = 1 + random.nextDouble() * 50;
    switch (random.nextInt(4)) {
      case 0 -> cluster.time().after(later, () -> cluster.users().cancel(cancelled));
      case 1 -> cancelAsItEnds(cancelled);
      default -> {}
    }
  }

  private void cancelAsItEnds(JobId id) {
    if (cluster.invariants().isComplete(id)) {
      cluster.users().cancel(id);
    } else if (cluster.invariants().cancelledAt(id) == null
        && cluster.time().seconds() < untilS + 60) {
      cluster.time().after(CHECK_INTERVAL_S, () -> cancelAsItEnds(id));
    }
  }
}
