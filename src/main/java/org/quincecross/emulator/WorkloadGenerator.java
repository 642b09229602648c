package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/**
 * Submits the jobs of a deployment's job classes over time: Poisson arrivals, log-normal sizes and
 * run times, images by Zipf's law. The load is open-loop: users do not wait for one another.
 */
final class WorkloadGenerator {
  private static final int FIRST_NUMBER = 100_000;
  private static final int FIRST_OF_PIPELINES = 10_000_000;

  /**
   * The standard deviation of the logarithm of sizes and run times: a twentieth of them exceed two
   * and a half times the median.
   */
  private static final double SIGMA = 0.55;

  private static final double ZIPF = 0.9;

  private final ClusterEnvironment around;
  private final UniformRandomProvider random;
  private final ContinuousSampler nearOne;
  private int number = FIRST_NUMBER;

  WorkloadGenerator(ClusterEnvironment around, long seed) {
    this.around = around;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.nearOne = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random), 0, SIGMA);
  }

  /** Submits the initial jobs, spread over some seconds, and the later arrivals. */
  void begin(double overSeconds) {
    for (ClusterSpec.JobClass each : around.site().classes()) {
      DiscreteSampler images = RejectionInversionZipfSampler.of(random, each.images(), ZIPF);
      for (int i = 0; i < each.initial(); i++) {
        around
            .clock()
            .after(
                random.nextDouble() * overSeconds, () -> around.users().submit(draw(each, images)));
      }
      if (each.perMinute() > 0) {
        arrive(
            each,
            images,
            ZigguratSampler.Exponential.of(random, 60 / each.perMinute()),
            overSeconds);
      }
    }
  }

  /**
   * From now on pipelines arrive in addition to the job classes, each without dependencies or
   * depending on a job of an earlier one.
   */
  void pipelines(double perMinute, Resources each) {
    PipelineGenerator draws =
        new PipelineGenerator(
            new Random(random.nextLong()),
            List.copyOf(around.site().teams().keySet()),
            each,
            FIRST_OF_PIPELINES);
    pipeline(draws, ZigguratSampler.Exponential.of(random, 60 / perMinute), new ArrayList<>());
  }

  private void pipeline(PipelineGenerator draws, ContinuousSampler gaps, List<JobId> earlier) {
    around
        .clock()
        .after(
            gaps.sample(),
            () -> {
              for (DependentJobs.PipelineJob step : draws.nextPipeline(earlier)) {
                earlier.add(step.job().id());
                around.pipelines().submit(step);
              }
              pipeline(draws, gaps, earlier);
            });
  }

  /** For some time jobs of a class arrive several times as often. */
  void burst(String jobClass, double factor, double seconds) {
    double until = around.clock().seconds() + seconds;
    for (ClusterSpec.JobClass each : around.site().classes()) {
      if (each.name().equals(jobClass) && each.perMinute() > 0 && factor > 1) {
        more(
            each,
            RejectionInversionZipfSampler.of(random, each.images(), ZIPF),
            ZigguratSampler.Exponential.of(random, 60 / (each.perMinute() * (factor - 1))),
            until);
      }
    }
  }

  private void more(
      ClusterSpec.JobClass each, DiscreteSampler images, ContinuousSampler gaps, double until) {
    double gap = gaps.sample();
    if (around.clock().seconds() + gap < until) {
      around
          .clock()
          .after(
              gap,
              () -> {
                submit(each, images);
                more(each, images, gaps, until);
              });
    }
  }

  private void submit(ClusterSpec.JobClass each, DiscreteSampler images) {
    Job job = draw(each, images);
    around.users().submit(job);
    if (job.kind() == JobKind.SERVICE) {
      around.clock().after(each.runS() * nearOne.sample(), () -> around.users().cancel(job.id()));
    }
  }

  private void arrive(
      ClusterSpec.JobClass each, DiscreteSampler images, ContinuousSampler gaps, double inSeconds) {
    around
        .clock()
        .after(
            inSeconds + gaps.sample(),
            () -> {
              submit(each, images);
              arrive(each, images, gaps, 0);
            });
  }

  private Job draw(ClusterSpec.JobClass each, DiscreteSampler images) {
    String[] teams = around.site().teams().keySet().toArray(String[]::new);
    String team =
        around.site().teams().containsKey(each.name())
            ? each.name()
            : teams[random.nextInt(teams.length)];
    boolean varies = each.kind() != JobKind.GANG;
    int tasks =
        varies
            ? (int)
                Math.max(
                    1,
                    Math.min(
                        4L * each.meanTasks(), Math.round(each.meanTasks() * nearOne.sample())))
            : each.meanTasks();
    int image = images.sample();
    return Job.builder(new JobId("job-" + number++))
        .jobClass(each.name())
        .team(team)
        .kind(each.kind())
        .priority(each.priority())
        .taskCount(tasks)
        .taskResources(each.taskResources())
        .singleZone(each.kind() == JobKind.GANG)
        .spreadOverZones(each.spread())
        .allowsSpot(each.spot())
        .image(each.name() + "-" + image)
        .imageGb(each.imageGb() * (0.6 + 0.8 * image / each.images()))
        .estimate(
            each.kind() == JobKind.SERVICE
                ? TimeSpan.ZERO
                : TimeSpan.ofSeconds(each.runS() * Math.min(4, nearOne.sample())))
        .checkpointInterval(TimeSpan.ofSeconds(each.checkpointEveryS()))
        .checkpointCost(TimeSpan.ofSeconds(each.checkpointEveryS() > 0 ? 3 : 0))
        .deadline(each.deadlineS() > 0 ? TimeSpan.ofSeconds(each.deadlineS()) : null)
        .build();
  }
}
