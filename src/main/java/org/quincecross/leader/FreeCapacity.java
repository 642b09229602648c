package org.quincecross.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.scheduling.Headroom;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.ShardLease;

/**
 * The free capacity of all machines at one moment, summed up once for all decisions on which
 * machines can be given up. Machines that are selected for termination do not count.
 */
final class FreeCapacity {
  /** A machine type, on demand or spot, in any zone. */
  private record PurchaseKind(String type, boolean spot) {}

  private final ClusterStateCache cache;
  private final DemandForecast forecast;
  private final Autoscaler.View view;
  private final Set<MachineId> selected;
  private final int spareTasks;
  private final Map<PurchaseKind, Integer> machinesToKeep = new HashMap<>();
  private final Map<PurchaseKind, Integer> wholeMachines = new HashMap<>();
  private final Map<PurchaseKind, List<Headroom>> largeWork = new HashMap<>();
  private final Map<String, Integer> urgentSlots = new HashMap<>();
  private final Map<String, Resources> freeByType = new HashMap<>();

  /**
   * Sums up the free capacity.
   *
   * @param selected the machines selected for termination; the caller adds to the set
   * @param spareTasks the number of urgent tasks for which there should always be capacity
   */
  FreeCapacity(
      ClusterStateCache cache,
      DemandForecast forecast,
      Autoscaler.View view,
      Set<MachineId> selected,
      int spareTasks,
      MonotonicTime now) {
    this.cache = cache;
    this.forecast = forecast;
    this.view = view;
    this.selected = selected;
    this.spareTasks = spareTasks;
    for (ShardLease shard : cache.shards().values()) {
      for (Headroom headroom : forecast.headroomFor(shard.id(), now)) {
        addHeadroom(shard, headroom);
      }
    }
    for (MachineId machine : view.machines().keySet()) {
      add(machine, 1);
    }
  }

  private void addHeadroom(ShardLease shard, Headroom headroom) {
    if (headroom.purpose() == Headroom.Purpose.LARGE_WORK) {
      PurchaseKind kind = new PurchaseKind(shard.type(), shard.spot());
      machinesToKeep.merge(kind, headroom.machines(), Integer::sum);
      largeWork.computeIfAbsent(kind, each -> List.of(headroom));
    } else if (headroom.purpose() == Headroom.Purpose.REQUESTS) {
      promise(shard.type(), headroom.total());
    }
  }

  /** Whether a machine of a shard will stay. */
  boolean stays(MachineId machine, ShardLease shard) {
    return shard != null && !selected.contains(machine) && !shard.leaving().contains(machine);
  }

  private void add(MachineId machine, int sign) {
    ShardLease shard = cache.shardOf(machine);
    if (!stays(machine, shard)) {
      return;
    }
    PeerHeartbeat.MachineState state = view.machines().get(machine);
    PurchaseKind kind = new PurchaseKind(shard.type(), shard.spot());
    for (Headroom headroom : largeWork.getOrDefault(kind, List.of())) {
      wholeMachines.merge(kind, headroom.each().fitsIn(state.free()) ? sign : 0, Integer::sum);
    }
    if (!shard.spot()) {
      urgentSlots.merge(shard.type(), sign * urgentSlots(state), Integer::sum);
      freeByType.merge(shard.type(), state.free().times(sign), Resources::plus);
    }
  }

  private int urgentSlots(PeerHeartbeat.MachineState state) {
    Resources urgentTask = forecast.urgentTask();
    return urgentTask.cpus() > 0 ? state.free().capacityFor(urgentTask) : spareTasks;
  }

  /** Removes a machine that has just been selected for termination. */
  void remove(MachineId machine) {
    selected.remove(machine);
    add(machine, -1);
    selected.add(machine);
  }

  /** Removes capacity that is promised to other work. */
  void promise(String type, Resources used) {
    Resources urgentTask = forecast.urgentTask();
    freeByType.merge(type, used.times(-1), Resources::plus);
    urgentSlots.merge(type, -slotsFor(used, urgentTask), Integer::sum);
  }

  private static int slotsFor(Resources used, Resources urgentTask) {
    return urgentTask.cpus() > 0 ? (int) Math.ceil(used.dominantShareOf(urgentTask)) : 0;
  }

  /** Whether enough whole machines remain for large work without this machine. */
  private boolean leavesWholeMachines(MachineId machine, ShardLease shard) {
    PurchaseKind kind = new PurchaseKind(shard.type(), shard.spot());
    int ownWholeMachines = 0;
    for (Headroom headroom : largeWork.getOrDefault(kind, List.of())) {
      PeerHeartbeat.MachineState state = view.machines().get(machine);
      boolean isWhole =
          state != null && stays(machine, shard) && headroom.each().fitsIn(state.free());
      ownWholeMachines = isWhole ? 1 : 0;
    }
    return wholeMachines.getOrDefault(kind, 0) - ownWholeMachines
        >= machinesToKeep.getOrDefault(kind, 0);
  }

  /**
   * Whether the other machines of the type have room for a machine's tasks and for the spare urgent
   * tasks.
   */
  boolean suffices(MachineId machine, Resources tasks) {
    ShardLease shard = cache.shardOf(machine);
    if (shard == null || !leavesWholeMachines(machine, shard)) {
      return false;
    }
    int slots = urgentSlots.getOrDefault(shard.type(), 0);
    Resources free = freeByType.getOrDefault(shard.type(), Resources.NONE);
    if (!shard.spot() && stays(machine, shard)) {
      PeerHeartbeat.MachineState ownState = view.machines().get(machine);
      slots -= urgentSlots(ownState);
      free = free.minus(ownState.free());
    }
    int needed = slotsFor(tasks, forecast.urgentTask());
    return slots >= needed + spareTasks && tasks.fitsIn(free);
  }
}
