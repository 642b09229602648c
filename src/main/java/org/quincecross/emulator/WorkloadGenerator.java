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

  private static final double ZIPF_EXPONENT = 0.9;

  private final ClusterEnvironment environment;
  private final UniformRandomProvider random;
  private final ContinuousSampler sizeFactor;
  private int number = FIRST_NUMBER;

  WorkloadGenerator(ClusterEnvironment environment, long seed) {
    this.environment = environment;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.sizeFactor = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random), 0, SIGMA);
  }

  /** Submits the initial jobs, spread over some seconds, and the later arrivals. */
  void begin(double overSeconds) {
    for (ClusterSpec.JobClass jobClass : environment.spec().classes()) {
      DiscreteSampler images =
          RejectionInversionZipfSampler.of(random, jobClass.images(), ZIPF_EXPONENT);
      for (int i = 0; i < jobClass.initial(); i++) {
        environment
            .clock()
            .after(
                random.nextDouble() * overSeconds,
                () -> environment.users().submit(randomJob(jobClass, images)));
      }
      if (jobClass.perMinute() > 0) {
        onArrival(
            jobClass,
            images,
            ZigguratSampler.Exponential.of(random, 60 / jobClass.perMinute()),
            overSeconds);
      }
    }
  }

  /**
   * From now on pipelines arrive in addition to the job classes, each without dependencies or
   * depending on a job of an earlier one.
   */
  void pipelines(double perMinute, Resources jobClass) {
    PipelineGenerator generator =
        new PipelineGenerator(
            new Random(random.nextLong()),
            List.copyOf(environment.spec().teams().keySet()),
            jobClass,
            FIRST_OF_PIPELINES);
    pipeline(generator, ZigguratSampler.Exponential.of(random, 60 / perMinute), new ArrayList<>());
  }

  private void pipeline(PipelineGenerator generator, ContinuousSampler gaps, List<JobId> earlier) {
    environment
        .clock()
        .after(
            gaps.sample(),
            () -> {
              for (DependentJobs.PipelineJob pipelineJob : generator.nextPipeline(earlier)) {
                earlier.add(pipelineJob.job().id());
                environment.pipelines().submit(pipelineJob);
              }
              pipeline(generator, gaps, earlier);
            });
  }

  /** For some time jobs of a class arrive several times as often. */
  void burst(String className, double factor, double seconds) {
    double until = environment.clock().seconds() + seconds;
    for (ClusterSpec.JobClass jobClass : environment.spec().classes()) {
      if (jobClass.name().equals(className) && jobClass.perMinute() > 0 && factor > 1) {
        scheduleArrivals(
            jobClass,
            RejectionInversionZipfSampler.of(random, jobClass.images(), ZIPF_EXPONENT),
            ZigguratSampler.Exponential.of(random, 60 / (jobClass.perMinute() * (factor - 1))),
            until);
      }
    }
  }

  private void scheduleArrivals(
      ClusterSpec.JobClass jobClass, DiscreteSampler images, ContinuousSampler gaps, double until) {
    double gap = gaps.sample();
    if (environment.clock().seconds() + gap < until) {
      environment
          .clock()
          .after(
              gap,
              () -> {
                submit(jobClass, images);
                scheduleArrivals(jobClass, images, gaps, until);
              });
    }
  }

  private void submit(ClusterSpec.JobClass jobClass, DiscreteSampler images) {
    Job job = randomJob(jobClass, images);
    environment.users().submit(job);
    if (job.kind() == JobKind.SERVICE) {
      environment
          .clock()
          .after(jobClass.runS() * sizeFactor.sample(), () -> environment.users().cancel(job.id()));
    }
  }

  private void onArrival(
      ClusterSpec.JobClass jobClass,
      DiscreteSampler images,
      ContinuousSampler gaps,
      double inSeconds) {
    environment
        .clock()
        .after(
            inSeconds + gaps.sample(),
            () -> {
              submit(jobClass, images);
              onArrival(jobClass, images, gaps, 0);
            });
  }

  private Job randomJob(ClusterSpec.JobClass jobClass, DiscreteSampler images) {
    String[] teams = environment.spec().teams().keySet().toArray(String[]::new);
    String team =
        environment.spec().teams().containsKey(jobClass.name())
            ? jobClass.name()
            : teams[random.nextInt(teams.length)];
    boolean varies = jobClass.kind() != JobKind.GANG;
    int tasks =
        varies
            ? (int)
                Math.max(
                    1,
                    Math.min(
                        4L * jobClass.meanTasks(),
                        Math.round(jobClass.meanTasks() * sizeFactor.sample())))
            : jobClass.meanTasks();
    int image = images.sample();
    return Job.builder(new JobId("job-" + number++))
        .jobClass(jobClass.name())
        .team(team)
        .kind(jobClass.kind())
        .priority(jobClass.priority())
        .taskCount(tasks)
        .taskResources(jobClass.taskResources())
        .singleZone(jobClass.kind() == JobKind.GANG)
        .spreadOverZones(jobClass.spread())
        .allowsSpot(jobClass.spot())
        .image(jobClass.name() + "-" + image)
        .imageGb(jobClass.imageGb() * (0.6 + 0.8 * image / jobClass.images()))
        .estimate(
            jobClass.kind() == JobKind.SERVICE
                ? TimeSpan.ZERO
                : TimeSpan.ofSeconds(jobClass.runS() * Math.min(4, sizeFactor.sample())))
        .checkpointInterval(TimeSpan.ofSeconds(jobClass.checkpointEveryS()))
        .checkpointCost(TimeSpan.ofSeconds(jobClass.checkpointEveryS() > 0 ? 3 : 0))
        .deadline(jobClass.deadlineS() > 0 ? TimeSpan.ofSeconds(jobClass.deadlineS()) : null)
        .build();
  }
}
