package org.quincecross.model;

import java.util.Set;

/**
 * What a user submitted.
 *
 * @param types the allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param deadline from submission, or null
 * @param waitsOn the jobs that have to be done before any task of this one starts
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

  /** A job that waits on no other. */
  public Job(
      JobId id,
      String jobClass,
      String team,
      JobKind shape,
      Priority rank,
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
        shape,
        rank,
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

  /**
   * What a card and a processor's memory usually come to, only to put jobs in the order of their
   * sizes.
   */
  private static final double GPU_IN_CPUS = 10;

  private static final double GB_PER_CPU = 4;

  /** The same job, known to wait on these. */
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

  /** The same job, treated as if it had this priority and this deadline. */
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

  public boolean hasCheckpoints() {
    return checkpointInterval.nanos() > 0;
  }

  /** Whether a machine of this type, zone and kind may run the job, its other tasks aside. */
  public boolean allows(String type, String machineZone, boolean machineSpot) {
    return (machineTypes == null || machineTypes.contains(type))
        && (zone == null || zone.equals(machineZone))
        && (allowsSpot || !machineSpot);
  }

  /** The most tasks that may be in one zone. */
  public int maxTasksPerZone() {
    return spreadOverZones ? (taskCount + 1) / 2 : taskCount;
  }

  /**
   * How many of its tasks have to have started for it to have begun: of an array a tenth, of what
   * belongs together all.
   */
  public int startQuorum() {
    return kind == JobKind.ARRAY ? (taskCount + 9) / 10 : taskCount;
  }

  /**
   * What it asks for in all: processors, cards and memory at the price of machines, times its
   * tasks, times the seconds that it guesses.
   */
  public double estimatedDemand() {
    return taskCount
        * (taskResources.cpus()
            + GPU_IN_CPUS * taskResources.gpus()
            + taskResources.memoryGb() / GB_PER_CPU)
        * Math.max(1, estimate.seconds());
  }
}
