package org.quincecross.emulator;

import java.util.Random;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/**
 * Many jobs of one class with one short task each; some are cancelled at a random time of their
 * lives.
 */
final class SmallJobs {
  private static final int FIRST_NUMBER = 700_000;
  private static final double MAX_RUN_S = 16;

  private SmallJobs() {}

  /**
   * Submits the jobs one after the other.
   *
   * @param perSecond the number per second
   * @param cancelShare the share that is cancelled within some seconds, 0 to 1
   */
  static void begin(
      SimulatedCluster cluster,
      double perSecond,
      double cancelShare,
      double fromS,
      double seconds,
      Random random) {
    String team = cluster.spec().teams().keySet().stream().sorted().findFirst().orElseThrow();
    for (int i = 0; i < perSecond * seconds; i++) {
      Job job =
          Job.builder(new JobId("job-" + (FIRST_NUMBER + i)))
              .jobClass("small")
              .team(team)
              .kind(JobKind.ARRAY)
              .priority(Priority.NORMAL)
              .taskCount(1)
              .taskResources(new Resources(1, 0, 1))
              .allowsSpot(true)
              .image("img-" + random.nextInt(3))
              .imageGb(0.5)
              .estimate(TimeSpan.ofSeconds(1 + random.nextDouble() * MAX_RUN_S / 2))
              .build();
      double at = fromS + (i + random.nextDouble()) / perSecond;
      cluster.time().at(at, () -> cluster.users().submit(job));
      if (random.nextDouble() < cancelShare) {
        cluster
            .time()
            .at(
                at + MAX_RUN_S * random.nextDouble() * random.nextDouble(),
                () -> cluster.users().cancel(job.id()));
      }
    }
  }
}
