package org.quincecross.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.scheduling.Admission;
import org.quincecross.state.ShardLease;

/**
 * The free capacity of machines as their owners report it, and how much of it has remained unused
 * for a while.
 */
final class ObservedCapacity {
  /**
   * Tasks allocated to a shard with capacity start within this time: two reports between
   * controllers and a start.
   */
  private static final TimeSpan STABLE_AFTER = TimeSpan.ofSeconds(4);

  /** The minimum free capacity of a machine since {@code since}, and during the interval before. */
  private record Least(Resources now, Resources before, MonotonicTime since) {}

  private final Map<ShardId, Map<MachineId, Least>> least = new HashMap<>();

  /** A shard as admission sees it; without a recent view no machine accepts tasks. */
  Admission.ShardCapacity admissionShard(
      ShardLease lease,
      MachineType type,
      PeerViews.ShardView view,
      int mostBytes,
      MonotonicTime now) {
    List<Resources> free = new ArrayList<>();
    List<Resources> soon = new ArrayList<>();
    Map<String, Admission.ImageRoom> images = new HashMap<>();
    Map<MachineId, Least> before = least.getOrDefault(lease.id(), Map.of());
    Map<MachineId, Least> after = new LinkedHashMap<>();
    for (MachineId machine : lease.machines().keySet()) {
      PeerHeartbeat.MachineState state = view == null ? null : view.machines().get(machine);
      if (state == null || !state.open() || lease.leaving().contains(machine)) {
        continue;
      }
      free.add(state.free());
      soon.add(state.free().plus(state.preemptible()));
      Admission.ImageRoom room = new Admission.ImageRoom(state.free(), state.preemptible());
      state.images().forEach(image -> images.merge(image, room, Admission.ImageRoom::plus));
      after.put(machine, next(before.get(machine), state.free(), now));
    }
    least.put(lease.id(), after);
    Resources capacity = type == null ? Resources.NONE : type.capacity().times(free.size());
    Admission.ShardCapacity shard =
        new Admission.ShardCapacity(
            lease.id(),
            lease.type(),
            lease.zone(),
            lease.spot(),
            capacity,
            free,
            soon,
            images,
            mostBytes);
    shard.decline(view == null ? Set.of() : view.declinedJobs());
    return shard;
  }

  private static Least next(Least before, Resources free, MonotonicTime now) {
    return before == null
        ? new Least(free, Resources.NONE, now)
        : now.since(before.since).isLongerThan(STABLE_AFTER)
            ? new Least(free, before.now, now)
            : new Least(before.now.min(free), before.before, before.since);
  }

  /**
   * For each machine of a shard that accepts tasks, the capacity that has been free for at least
   * {@link #STABLE_AFTER}.
   */
  List<Resources> stableCapacity(ShardId shard, MonotonicTime now) {
    List<Resources> still = new ArrayList<>();
    for (Least seen : least.getOrDefault(shard, Map.of()).values()) {
      still.add(
          now.since(seen.since).isLongerThan(STABLE_AFTER) ? seen.now : seen.now.min(seen.before));
    }
    return still;
  }

  /** Forgets a shard that no longer exists. */
  void forget(ShardId shard) {
    least.remove(shard);
  }
}
