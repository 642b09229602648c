package org.quincecross.model;

import java.util.Set;

/**
 * A submitted job.
 *
 * @param taskResources the resources that each task occupies
 * @param machineTypes the allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param singleZone whether all tasks have to run in one zone
 * @param spreadOverZones whether at most half of the tasks may run in one zone
 * @param allowsSpot whether tasks may run on spot machines
 * @param estimate the user's estimate of a task's run time
 * @param checkpointInterval how often a task saves a checkpoint; zero if it never does
 * @param checkpointCost how long saving a checkpoint takes
 * @param deadline counted from the submission, or null
 * @param dependencies the jobs that have to be done before any task of this one starts
 */
public record Job(
    JobId id,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int taskCount,
    Resources taskResources,
    Set<String> machineTypes,
    String zone,
    boolean singleZone,
    boolean spreadOverZones,
    boolean allowsSpot,
    String image,
    double imageGb,
    TimeSpan estimate,
    TimeSpan checkpointInterval,
    TimeSpan checkpointCost,
    TimeSpan deadline,
    Set<JobId> dependencies) {

  /** Starts building a job. */
  public static Builder builder(JobId id) {
    return new Builder(id);
  }

  /** Weights of GPUs and memory against CPUs, used only to order jobs by size. */
  private static final double GPU_IN_CPUS = 10;

  private static final double GB_PER_CPU = 4;

  /** Returns the same job with these dependencies. */
  public Job withDependencies(Set<JobId> jobs) {
    return toBuilder().dependencies(jobs).build();
  }

  /** Returns the same job with another priority and deadline. */
  public Job withUrgency(Priority otherPriority, TimeSpan otherDeadline) {
    return toBuilder().priority(otherPriority).deadline(otherDeadline).build();
  }

  private Builder toBuilder() {
    return new Builder(id)
        .jobClass(jobClass)
        .team(team)
        .kind(kind)
        .priority(priority)
        .taskCount(taskCount)
        .taskResources(taskResources)
        .machineTypes(machineTypes)
        .zone(zone)
        .singleZone(singleZone)
        .spreadOverZones(spreadOverZones)
        .allowsSpot(allowsSpot)
        .image(image)
        .imageGb(imageGb)
        .estimate(estimate)
        .checkpointInterval(checkpointInterval)
        .checkpointCost(checkpointCost)
        .deadline(deadline)
        .dependencies(dependencies);
  }

  /** Whether the job's tasks save checkpoints. */
  public boolean hasCheckpoints() {
    return checkpointInterval.nanos() > 0;
  }

  /**
   * Whether the job may run on a machine of this type, zone and purchase kind, regardless of where
   * its other tasks are.
   */
  public boolean allows(String type, String machineZone, boolean machineSpot) {
    return (machineTypes == null || machineTypes.contains(type))
        && (zone == null || zone.equals(machineZone))
        && (allowsSpot || !machineSpot);
  }

  /** The maximum number of tasks that may run in one zone. */
  public int maxTasksPerZone() {
    return spreadOverZones ? (taskCount + 1) / 2 : taskCount;
  }

  /**
   * The number of tasks that have to have started for the job to count as started: a tenth of an
   * array, all tasks of gangs and services.
   */
  public int startQuorum() {
    return kind == JobKind.ARRAY ? (taskCount + 9) / 10 : taskCount;
  }

  /**
   * The job's total resource demand over its estimated run time, in CPU seconds; GPUs and memory
   * are weighted by their usual price.
   */
  public double estimatedDemand() {
    return taskCount
        * (taskResources.cpus()
            + GPU_IN_CPUS * taskResources.gpus()
            + taskResources.memoryGb() / GB_PER_CPU)
        * Math.max(1, estimate.seconds());
  }

  /**
   * Builds a job. Unless set otherwise, it may run on any machine on demand, saves no checkpoints,
   * and has neither a deadline nor dependencies.
   */
  public static final class Builder {
    private final JobId id;
    private String jobClass;
    private String team;
    private JobKind kind;
    private Priority priority;
    private int taskCount;
    private Resources taskResources;
    private Set<String> machineTypes;
    private String zone;
    private boolean singleZone;
    private boolean spreadOverZones;
    private boolean allowsSpot;
    private String image;
    private double imageGb;
    private TimeSpan estimate;
    private TimeSpan checkpointInterval = TimeSpan.ZERO;
    private TimeSpan checkpointCost = TimeSpan.ZERO;
    private TimeSpan deadline;
    private Set<JobId> dependencies = Set.of();

    private Builder(JobId id) {
      this.id = id;
    }

    /** Sets the class of the job, which service-level objectives name. */
    public Builder jobClass(String value) {
      jobClass = value;
      return this;
    }

    /** Sets the team, whose quota the job uses. */
    public Builder team(String value) {
      team = value;
      return this;
    }

    /** Sets the kind. */
    public Builder kind(JobKind value) {
      kind = value;
      return this;
    }

    /** Sets the priority. */
    public Builder priority(Priority value) {
      priority = value;
      return this;
    }

    /** Sets the number of tasks. */
    public Builder taskCount(int value) {
      taskCount = value;
      return this;
    }

    /** Sets the resources that each task occupies. */
    public Builder taskResources(Resources value) {
      taskResources = value;
      return this;
    }

    /** Restricts the job to machine types. */
    public Builder machineTypes(Set<String> value) {
      machineTypes = value;
      return this;
    }

    /** Restricts the job to a zone. */
    public Builder zone(String value) {
      zone = value;
      return this;
    }

    /** Sets whether all tasks have to run in one zone. */
    public Builder singleZone(boolean value) {
      singleZone = value;
      return this;
    }

    /** Sets whether at most half of the tasks may run in one zone. */
    public Builder spreadOverZones(boolean value) {
      spreadOverZones = value;
      return this;
    }

    /** Sets whether tasks may run on spot machines. */
    public Builder allowsSpot(boolean value) {
      allowsSpot = value;
      return this;
    }

    /** Sets the image. */
    public Builder image(String value) {
      image = value;
      return this;
    }

    /** Sets the size of the image in GB. */
    public Builder imageGb(double value) {
      imageGb = value;
      return this;
    }

    /** Sets the user's estimate of a task's run time. */
    public Builder estimate(TimeSpan value) {
      estimate = value;
      return this;
    }

    /** Sets how often a task saves a checkpoint. */
    public Builder checkpointInterval(TimeSpan value) {
      checkpointInterval = value;
      return this;
    }

    /** Sets how long saving a checkpoint takes. */
    public Builder checkpointCost(TimeSpan value) {
      checkpointCost = value;
      return this;
    }

    /** Sets the deadline, counted from the submission. */
    public Builder deadline(TimeSpan value) {
      deadline = value;
      return this;
    }

    /** Sets the jobs that have to be done before any task of this one starts. */
    public Builder dependencies(Set<JobId> value) {
      dependencies = value;
      return this;
    }

    /** Creates the job. */
    public Job build() {
      return new Job(
          id,
          jobClass,
          team,
          kind,
          priority,
          taskCount,
          taskResources,
          machineTypes,
          zone,
          singleZone,
          spreadOverZones,
          allowsSpot,
          image,
          imageGb,
          estimate,
          checkpointInterval,
          checkpointCost,
          deadline,
          dependencies);
    }
  }
}
