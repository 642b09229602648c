package org.quincecross.modelserving;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;

/**
 * The replicated record of a served model. Every change of {@code placements} increments {@code
 * epoch}; a command that was decided under an older epoch is rejected.
 *
 * @param job the service whose tasks are the model's replicas; null while the model is undefined
 * @param desiredReplicas target number of replicas; 0 while the model is at zero
 * @param placements the machines on which replicas may be, by replica
 * @param avoidedMachines machines on which a start of this model has failed since it was last at
 *     zero
 * @param idleMs for how long there had been no demand, as known when the last drain was decided;
 *     more recent demand reverts the drain
 * @param phaseSinceMs time of day at which the current phase was entered
 * @param reason why the current phase was entered, as text for operators
 */
public record Model(
    JobId job,
    ScalingLimits limits,
    Phase phase,
    long epoch,
    int desiredReplicas,
    Map<Integer, Placement> placements,
    Set<MachineId> avoidedMachines,
    long idleMs,
    long phaseSinceMs,
    String reason) {
  /** The record of a model that is not defined. */
  public static final Model UNDEFINED =
      new Model(null, null, Phase.ZERO, 0, 0, Map.of(), Set.of(), 0, 0, "");

  /** The phases of a model. */
  public enum Phase {
    /** No replica may be on any machine. Ends with a wake command. */
    ZERO,
    /**
     * Replicas are being placed and started. Ends when the minimum number of replicas run. A
     * replica that fails to start is given up and placed on another machine, in a new epoch.
     */
    STARTING,
    /** The minimum number of replicas have been seen running. */
    WARM,
    /**
     * No replica may start and running replicas are stopped. Ends when no replica is left on any
     * machine, or with a wake command.
     */
    DRAINING
  }

  /**
   * The machine assigned to a replica.
   *
   * @param epoch the epoch in which the machine was assigned
   */
  public record Placement(MachineId machine, long epoch) {}

  /**
   * Scaling limits of a model, set by operators.
   *
   * @param minReplicas replicas while the model is not at zero, at least 1
   * @param maxReplicas upper limit of replicas
   * @param requestsPerReplica concurrent requests that one replica serves
   * @param idleTimeout idle time after which the model is scaled to zero
   * @param cachedMachines on how many machines the weights stay cached while the model is at zero
   */
  public record ScalingLimits(
      int minReplicas,
      int maxReplicas,
      int requestsPerReplica,
      TimeSpan idleTimeout,
      int cachedMachines) {}

  public Model {
    placements = Collections.unmodifiableMap(new TreeMap<>(placements));
    avoidedMachines = Collections.unmodifiableSet(new TreeSet<>(avoidedMachines));
  }

  public boolean isDefined() {
    return job != null;
  }

  /** Whether replicas may start. */
  public boolean isUp() {
    return phase == Phase.STARTING || phase == Phase.WARM;
  }

  /**
   * Returns the replicas that must not run, out of {@code tasks}; those that are running are
   * stopped.
   */
  public TaskSet blockedReplicas(int tasks) {
    TaskSet blocked = TaskSet.range(tasks);
    if (isUp()) {
      placements.keySet().forEach(blocked::remove);
    }
    return blocked;
  }

  /** Returns how many desired replicas have no machine yet, for a job of {@code tasks} replicas. */
  public int unplacedReplicas(int tasks) {
    return isUp() ? Math.max(0, Math.min(desiredReplicas, tasks) - placements.size()) : 0;
  }

  Model inPhase(Phase next, long atMs, String reason) {
    return new Model(
        job,
        limits,
        next,
        epoch + 1,
        desiredReplicas,
        placements,
        avoidedMachines,
        idleMs,
        atMs,
        reason);
  }

  Model withPlacements(Map<Integer, Placement> next) {
    return new Model(
        job,
        limits,
        phase,
        epoch,
        desiredReplicas,
        next,
        avoidedMachines,
        idleMs,
        phaseSinceMs,
        reason);
  }

  Model withDesiredReplicas(int replicas) {
    return new Model(
        job,
        limits,
        phase,
        epoch,
        replicas,
        placements,
        avoidedMachines,
        idleMs,
        phaseSinceMs,
        reason);
  }

  Model withAvoidedMachines(Set<MachineId> machines) {
    return new Model(
        job,
        limits,
        phase,
        epoch,
        desiredReplicas,
        placements,
        machines,
        idleMs,
        phaseSinceMs,
        reason);
  }

  Model withIdleMs(long ms) {
    return new Model(
        job,
        limits,
        phase,
        epoch,
        desiredReplicas,
        placements,
        avoidedMachines,
        ms,
        phaseSinceMs,
        reason);
  }

  Model withLimits(ScalingLimits next) {
    return new Model(
        job,
        next,
        phase,
        epoch,
        desiredReplicas,
        placements,
        avoidedMachines,
        idleMs,
        phaseSinceMs,
        reason);
  }
}
