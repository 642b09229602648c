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
    Shape shape,
    Rank rank,
    int tasks,
    Resources each,
    Set<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    String image,
    double imageGb,
    Span estimate,
    Span checkpointEvery,
    Span saveTime,
    Span deadline,
    Set<JobId> waitsOn) {

  /** A job that waits on no other. */
  public Job(
      JobId id,
      String jobClass,
      String team,
      Shape shape,
      Rank rank,
      int tasks,
      Resources each,
      Set<String> types,
      String zone,
      boolean oneZone,
      boolean spread,
      boolean spot,
      String image,
      double imageGb,
      Span estimate,
      Span checkpointEvery,
      Span saveTime,
      Span deadline) {
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
  public Job waitingOn(Set<JobId> jobs) {
    return new Job(
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
        jobs);
  }

  /** The same job, treated as if it had this priority and this deadline. */
  public Job treatedAs(Rank otherRank, Span otherDeadline) {
    return new Job(
        id,
        jobClass,
        team,
        shape,
        otherRank,
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
        otherDeadline,
        waitsOn);
  }

  public boolean saves() {
    return checkpointEvery.nanos() > 0;
  }

  /** Whether a machine of this type, zone and kind may run the job, its other tasks aside. */
  public boolean allows(String type, String machineZone, boolean machineSpot) {
    return (types == null || types.contains(type))
        && (zone == null || zone.equals(machineZone))
        && (spot || !machineSpot);
  }

  /** The most tasks that may be in one zone. */
  public int mostInOneZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }

  /**
   * How many of its tasks have to have started for it to have begun: of an array a tenth, of what
   * belongs together all.
   */
  public int tasksToBegin() {
    return shape == Shape.ARRAY ? (tasks + 9) / 10 : tasks;
  }

  /**
   * What it asks for in all: processors, cards and memory at the price of machines, times its
   * tasks, times the seconds that it guesses.
   */
  public double size() {
    return tasks
        * (each.cpus() + GPU_IN_CPUS * each.gpus() + each.memoryGb() / GB_PER_CPU)
        * Math.max(1, estimate.seconds());
  }
}
