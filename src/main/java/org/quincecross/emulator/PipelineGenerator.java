package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/**
 * Generates pipelines with random sizes: two to four stages of one to three jobs, each of which
 * depends on some jobs of the stage before, and sometimes on one of the stage before that. Some
 * pipelines depend on a job of another team. One final job depends on the whole last stage; it
 * alone has a deadline and the priority that the user needs.
 */
final class PipelineGenerator {
  private static final int MAX_JOBS_PER_STAGE = 3;
  private static final int MAX_TASKS = 8;

  /** One in this many final jobs is submitted only when all of its dependencies are over. */
  private static final int LATE_SUBMISSION_ONE_IN = 3;

  private static final double DEADLINE_S = 240;

  private final Random random;
  private final List<String> teams;
  private final Resources taskResources;
  private int number;

  /**
   * @param firstNumber the first number of the generated job ids
   * @param taskResources the resources of a task
   */
  PipelineGenerator(Random random, List<String> teams, Resources taskResources, int firstNumber) {
    this.random = random;
    this.teams = teams;
    this.taskResources = taskResources;
    this.number = firstNumber;
  }

  /**
   * The jobs of one pipeline, dependencies first; {@code earlier} are jobs of other pipelines that
   * its first jobs may depend on.
   */
  List<DependentJobs.PipelineJob> nextPipeline(List<JobId> earlier) {
    String team = teams.get(random.nextInt(teams.size()));
    List<DependentJobs.PipelineJob> steps = new ArrayList<>();
    List<JobId> stage = List.of();
    List<JobId> before =
        earlier.isEmpty() || random.nextBoolean()
            ? List.of()
            : List.of(earlier.get(random.nextInt(earlier.size())));
    int stages = 2 + random.nextInt(3);
    for (int i = 0; i < stages - 1; i++) {
      List<JobId> next = new ArrayList<>();
      for (int jobs = 1 + random.nextInt(MAX_JOBS_PER_STAGE); jobs > 0; jobs--) {
        Job job =
            job(team, i % 2 == 0 ? Priority.LOW : Priority.NORMAL, null, someOf(stage, before));
        next.add(job.id());
        steps.add(new DependentJobs.PipelineJob(job, DependentJobs.SubmitCondition.ONCE_ACCEPTED));
      }
      before = stage;
      stage = next;
    }
    steps.add(
        new DependentJobs.PipelineJob(
            job(team, Priority.HIGH, TimeSpan.ofSeconds(DEADLINE_S), stage),
            random.nextInt(LATE_SUBMISSION_ONE_IN) == 0
                ? DependentJobs.SubmitCondition.ONCE_OVER
                : DependentJobs.SubmitCondition.ONCE_ACCEPTED));
    return steps;
  }

  /** A job that depends on another, outside any pipeline. */
  Job dependentOf(JobId named) {
    return job(teams.get(random.nextInt(teams.size())), Priority.NORMAL, null, List.of(named));
  }

  private List<JobId> someOf(List<JobId> stage, List<JobId> before) {
    List<JobId> some = new ArrayList<>();
    stage.forEach(
        id -> {
          if (some.isEmpty() || random.nextBoolean()) {
            some.add(id);
          }
        });
    if (!before.isEmpty() && (stage.isEmpty() || random.nextInt(3) == 0)) {
      some.add(before.get(0));
    }
    return some;
  }

  private Job job(String team, Priority priority, TimeSpan due, List<JobId> waitsOn) {
    JobKind kind = random.nextInt(4) == 0 ? JobKind.GANG : JobKind.ARRAY;
    boolean saves = random.nextInt(3) == 0;
    return Job.builder(new JobId("job-" + number++))
        .jobClass("pipeline")
        .team(team)
        .kind(kind)
        .priority(priority)
        .taskCount(1 + random.nextInt(kind == JobKind.GANG ? 2 : MAX_TASKS))
        .taskResources(taskResources)
        .allowsSpot(kind == JobKind.ARRAY && random.nextBoolean())
        .image("img-" + random.nextInt(3))
        .imageGb(1)
        .estimate(TimeSpan.ofSeconds(2 + random.nextInt(10)))
        .checkpointInterval(saves ? TimeSpan.ofSeconds(3) : TimeSpan.ZERO)
        .checkpointCost(saves ? TimeSpan.ofSeconds(1) : TimeSpan.ZERO)
        .deadline(due)
        .dependencies(Set.copyOf(waitsOn))
        .build();
  }
}
