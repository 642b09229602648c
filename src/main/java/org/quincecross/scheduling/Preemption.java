package org.quincecross.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TaskId;

/**
 * Chooses the tasks to preempt for work of a higher priority. An instance covers one round, in
 * which capacity that is being freed already, or is promised to an earlier entry, is not counted
 * twice.
 */
public final class Preemption {
  /**
   * A task that uses capacity and could be preempted.
   *
   * @param bestEffort whether it is best-effort: such tasks are preempted first
   */
  public record Running(
      TaskId task,
      MachineId machine,
      Priority priority,
      boolean bestEffort,
      Resources each,
      boolean saves,
      MonotonicTime since) {}

  private final ShardScheduler scheduler;
  private final Map<MachineId, List<Running>> running = new HashMap<>();
  private final Map<MachineId, Resources> room = new HashMap<>();
  private final Priority lowest;

  /**
   * Creates a round.
   *
   * @param tasks the running tasks that could be preempted
   * @param stopping the resources of the tasks that are being stopped on each machine
   */
  public Preemption(
      ShardScheduler scheduler, List<Running> tasks, Map<MachineId, Resources> stopping) {
    this.scheduler = scheduler;
    Priority least = Priority.PRODUCTION;
    for (Running task : tasks) {
      running.computeIfAbsent(task.machine(), id -> new ArrayList<>()).add(task);
      least = least.isHigherThan(task.priority()) ? task.priority() : least;
    }
    lowest = least;
    for (MachineQueue machine : scheduler.machines()) {
      room.put(
          machine.machine(),
          machine.free().plus(stopping.getOrDefault(machine.machine(), Resources.NONE)));
    }
  }

  /**
   * The tasks to preempt so that {@code entry} fits on a machine; none if capacity is being freed
   * for it already, or if no machine can be made to fit it. The entry then waits for that machine.
   * A machine with its image is preferred, then the one that loses least; there the lowest priority
   * goes first, then tasks with checkpoints, then the most recently started.
   *
   * <p>For a gang capacity is freed on as many machines as it needs, or on none.
   *
   * @param bestEffortOnly whether only best-effort tasks may be preempted
   */
  public List<Running> victimsFor(QueueEntry entry, boolean bestEffortOnly) {
    if (entry.tasks().size() > 1) {
      return victimsForGang(entry, bestEffortOnly);
    }
    List<Running> victims = victimsForOne(entry, bestEffortOnly);
    return victims == null ? List.of() : victims;
  }

  private List<Running> victimsForGang(QueueEntry gang, boolean bestEffortOnly) {
    Map<MachineId, Resources> roomBefore = new HashMap<>(room);
    Map<MachineId, List<Running>> runningBefore = new HashMap<>();
    running.forEach((machine, tasks) -> runningBefore.put(machine, new ArrayList<>(tasks)));
    List<Running> all = new ArrayList<>();
    for (int i = 0; i < gang.tasks().size(); i++) {
      List<Running> victims = victimsForOne(gang, bestEffortOnly);
      if (victims == null) {
        room.putAll(roomBefore);
        running.putAll(runningBefore);
        return List.of();
      }
      all.addAll(victims);
    }
    return all;
  }

  /** The tasks to preempt for one task of an entry; null if no machine can be made to fit it. */
  private List<Running> victimsForOne(QueueEntry entry, boolean bestEffortOnly) {
    MachineQueue best = null;
    List<Running> bestVictims = null;
    for (MachineQueue machine : scheduler.machines()) {
      if (!machine.isOpen()
          || !machine.fitsEmptyMachine(entry)
          || entry.avoids(machine.machine())) {
        continue;
      }
      List<Running> victims = onMachine(machine, entry, bestEffortOnly);
      if (victims != null
          && (best == null || cost(machine, entry, victims) < cost(best, entry, bestVictims))) {
        best = machine;
        bestVictims = victims;
      }
    }
    if (best == null) {
      return null;
    }
    Resources left = room.get(best.machine()).minus(entry.job().taskResources());
    for (Running victim : bestVictims) {
      left = left.plus(victim.each());
      running.get(best.machine()).remove(victim);
    }
    room.put(best.machine(), left);
    if (entry.tasks().size() == 1) {
      scheduler.move(entry, best.machine());
    }
    return bestVictims;
  }

  /** An image pull costs more than most victims lose. */
  private static final double IMAGE_PULL_COST = 1000;

  private static double cost(MachineQueue machine, QueueEntry entry, List<Running> victims) {
    double cost = machine.hasImage(entry) ? 0 : IMAGE_PULL_COST;
    for (Running victim : victims) {
      cost += victim.each().cpus() * (victim.saves() ? 1 : 3) * (1 + victim.priority().ordinal());
    }
    return cost;
  }

  /** The tasks to preempt on a machine, or null if that would not be enough. */
  private List<Running> onMachine(MachineQueue machine, QueueEntry entry, boolean bestEffortOnly) {
    Resources free = room.get(machine.machine());
    if (entry.job().taskResources().fitsIn(free)) {
      return List.of();
    }
    if (!entry.job().priority().isHigherThan(lowest)) {
      return null;
    }
    List<Running> stoppable = new ArrayList<>();
    for (Running task : running.getOrDefault(machine.machine(), List.of())) {
      if (entry.job().priority().isHigherThan(task.priority())
          && (task.bestEffort() || !bestEffortOnly)) {
        stoppable.add(task);
      }
    }
    stoppable.sort(
        Comparator.comparing(Running::priority)
            .thenComparing(task -> !task.bestEffort())
            .thenComparing(task -> !task.saves())
            .thenComparing(Running::since, Comparator.reverseOrder()));
    List<Running> victims = new ArrayList<>();
    for (Running task : stoppable) {
      if (entry.job().taskResources().fitsIn(free)) {
        break;
      }
      victims.add(task);
      free = free.plus(task.each());
    }
    return entry.job().taskResources().fitsIn(free) ? victims : null;
  }
}
