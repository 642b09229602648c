package org.quincecross.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskId;

/**
 * The placements of a shard, indexed by task, job, machine and state, so that a heartbeat or a
 * changed record costs in proportion to what it touches. Also collects what has changed since it
 * was last taken.
 */
final class Placements implements Placement.Observer {
  private final Map<TaskId, Placement> byTask = new LinkedHashMap<>();
  private final Map<JobId, Set<Placement>> byJob = new HashMap<>();
  private final Map<MachineId, Set<Placement>> byMachine = new HashMap<>();
  private final Map<Placement.State, Set<Placement>> byState = new EnumMap<>(Placement.State.class);
  private final Map<JobId, Integer> running = new HashMap<>();
  private final Map<JobId, Integer> runningSeen = Collections.unmodifiableMap(running);
  private Set<Placement> changed = new LinkedHashSet<>();
  private Set<MachineId> changedMachines = new LinkedHashSet<>();
  private boolean schedulingNeeded;

  Placements() {
    for (Placement.State state : Placement.State.values()) {
      byState.put(state, new LinkedHashSet<>());
    }
  }

  /** The only method that changes the indexes. */
  @Override
  public void placementChanged(Placement placement, Placement.State before, MachineId from) {
    if (before != null) {
      unlink(placement, before, from);
    }
    byState.get(placement.state()).add(placement);
    if (placement.machine() != null) {
      byMachine.computeIfAbsent(placement.machine(), id -> new LinkedHashSet<>()).add(placement);
      changedMachines.add(placement.machine());
    }
    countRunning(placement, placement.isRunning());
    changed.add(placement);
    schedulingNeeded = true;
  }

  private void countRunning(Placement placement, boolean runs) {
    if (placement.countAsRunning(runs)) {
      running.merge(placement.task().job(), runs ? 1 : -1, Integer::sum);
      running.remove(placement.task().job(), 0);
    }
  }

  private void unlink(Placement placement, Placement.State state, MachineId machine) {
    schedulingNeeded = true;
    byState.get(state).remove(placement);
    if (machine != null) {
      Set<Placement> placements = byMachine.get(machine);
      placements.remove(placement);
      if (placements.isEmpty()) {
        byMachine.remove(machine);
      }
      changedMachines.add(machine);
    }
  }

  Placement add(TaskId task, Job job, Placement.State state, MonotonicTime now) {
    Placement placement = new Placement(this, task, job, state, now);
    byTask.put(task, placement);
    byJob.computeIfAbsent(task.job(), id -> new LinkedHashSet<>()).add(placement);
    return placement;
  }

  void remove(Placement placement) {
    byTask.remove(placement.task());
    Set<Placement> ofJob = byJob.get(placement.task().job());
    ofJob.remove(placement);
    if (ofJob.isEmpty()) {
      byJob.remove(placement.task().job());
    }
    unlink(placement, placement.state(), placement.machine());
    countRunning(placement, false);
    changed.remove(placement);
  }

  Placement get(TaskId task) {
    return byTask.get(task);
  }

  boolean has(TaskId task) {
    return byTask.containsKey(task);
  }

  int size() {
    return byTask.size();
  }

  List<Placement> all() {
    return new ArrayList<>(byTask.values());
  }

  /** The jobs with placements. */
  Collection<JobId> jobs() {
    return byJob.keySet();
  }

  List<Placement> ofJob(JobId job) {
    return copy(byJob.get(job));
  }

  boolean hasJob(JobId job) {
    return byJob.containsKey(job);
  }

  /** The number of running tasks of each job. */
  Map<JobId, Integer> running() {
    return runningSeen;
  }

  /** The placements that a machine has to count or keeps the result of. */
  List<Placement> on(MachineId machine) {
    return copy(byMachine.get(machine));
  }

  /** The same as a live view: they must not be changed while it is used. */
  Collection<Placement> viewOn(MachineId machine) {
    return byMachine.getOrDefault(machine, Set.of());
  }

  List<Placement> in(Placement.State state) {
    return copy(byState.get(state));
  }

  int count(Placement.State state) {
    return byState.get(state).size();
  }

  /** The placements in a state as a live view: they must not be changed while it is used. */
  Collection<Placement> viewIn(Placement.State state) {
    return byState.get(state);
  }

  private static List<Placement> copy(Set<Placement> placements) {
    return placements == null ? List.of() : new ArrayList<>(placements);
  }

  /** The placements that have changed since the last call. */
  Collection<Placement> takeChanged() {
    Set<Placement> changes = changed;
    changed = new LinkedHashSet<>();
    return changes;
  }

  boolean hasChanged() {
    return !changed.isEmpty();
  }

  /** Whether anything has changed since the last call. */
  boolean takeSchedulingNeeded() {
    boolean needed = schedulingNeeded;
    schedulingNeeded = false;
    return needed;
  }

  /** The machines on which something has changed since the last call. */
  Set<MachineId> takeChangedMachines() {
    Set<MachineId> changes = changedMachines;
    changedMachines = new LinkedHashSet<>();
    return changes;
  }
}
