package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Resources;

/**
 * Pipelines drawn beside the jobs of a {@link RandomScenario}, from a source of their own: half of
 * them have one of their jobs cancelled, at any time or at the moment at which its last task ends;
 * and some jobs name one that nobody submitted.
 */
final class DependencyFaults {
  private static final int PIPELINES = 9;
  private static final int STRANGERS = 3;
  private static final int FIRST_NUMBER = 700_000;
  private static final double LOOK_S = 0.02;

  private final SimulatedCluster world;
  private final Random random;
  private final double fromS;
  private final double untilS;
  private final PipelineGenerator draws;
  private final List<JobId> drawn = new ArrayList<>();

  private DependencyFaults(SimulatedCluster world, long seed, double fromS, double untilS) {
    this.world = world;
    this.random = new Random(seed * 37 + 11);
    this.fromS = fromS;
    this.untilS = untilS;
    this.draws =
        new PipelineGenerator(
            random,
            List.copyOf(world.site().teams().keySet()),
            new Resources(1, 0, 2),
            FIRST_NUMBER);
  }

  /** For {@link RandomScenario#with}. */
  static void on(SimulatedCluster world, long seed) {
    between(world, seed, 5, 140);
  }

  /** Pipelines are submitted in that time, in seconds. */
  static void between(SimulatedCluster world, long seed, double fromS, double untilS) {
    DependencyFaults days = new DependencyFaults(world, seed, fromS, untilS);
    for (int i = 0; i < PIPELINES; i++) {
      world.time().at(days.moment(), days::pipeline);
    }
    for (int i = 0; i < STRANGERS; i++) {
      world
          .time()
          .at(
              days.moment(),
              () ->
                  world
                      .users()
                      .submit(
                          days.draws.dependentOf(new JobId("job-9" + days.random.nextInt(99)))));
    }
  }

  private double moment() {
    return fromS + random.nextDouble() * (untilS - fromS);
  }

  private void pipeline() {
    List<JobId> earlier = new ArrayList<>(drawn);
    world.users().told().keySet().stream()
        .filter(id -> world.job(id).kind() != JobKind.SERVICE && !world.users().isMistaken(id))
        .forEach(earlier::add);
    List<DependentJobs.PipelineJob> steps = draws.nextPipeline(earlier);
    for (DependentJobs.PipelineJob step : steps) {
      drawn.add(step.job().id());
      world.around().pipelines().submit(step);
    }
    JobId cancelled = steps.get(random.nextInt(steps.size())).job().id();
    double later = 1 + random.nextDouble() * 50;
    switch (random.nextInt(4)) {
      case 0 -> world.time().after(later, () -> world.users().cancel(cancelled));
      case 1 -> cancelAtItsEnd(cancelled);
      default -> {}
    }
  }

  private void cancelAtItsEnd(JobId id) {
    if (world.rules().isComplete(id)) {
      world.users().cancel(id);
    } else if (world.rules().cancelledAt(id) == null && world.time().seconds() < untilS + 60) {
      world.time().after(LOOK_S, () -> cancelAtItsEnd(id));
    }
  }
}
