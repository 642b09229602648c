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

  /** Creates a job without dependencies. */
  public Job(
      JobId id,
      String jobClass,
      String team,
      JobKind kind,
      Priority priority,
      int tasks,
      Resources each,
      Set<String> types,
      String zone,
      boolean oneZone,
      boolean spread,
      boolean spot,
      String image,
      double imageGb,
      TimeSpan estimate,
      TimeSpan checkpointEvery,
      TimeSpan saveTime,
      TimeSpan deadline) {
    this(
        id,
        jobClass,
        team,
        kind,
        priority,
        tasks,
        each,
        types,
        zone,
        oneZone,
        spread,
        spot,
        image,
        imageGb,
        estimate,
        checkpointEvery,
        saveTime,
        deadline,
        Set.of());
  }

  /** Weights of GPUs and memory against CPUs, used only to order jobs by size. */
  private static final double GPU_IN_CPUS = 10;

  private static final double GB_PER_CPU = 4;

  /** Returns the same job with these dependencies. */
  public Job withDependencies(Set<JobId> jobs) {
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
        jobs);
  }

  /** Returns the same job with another priority and deadline. */
  public Job withUrgency(Priority otherRank, TimeSpan otherDeadline) {
    return new Job(
        id,
        jobClass,
        team,
        kind,
        otherRank,
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
        otherDeadline,
        dependencies);
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
}
