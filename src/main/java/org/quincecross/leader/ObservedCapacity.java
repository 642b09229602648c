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

/** The room on machines as their holders show it, and what of it nothing has taken for a while. */
final class ObservedCapacity {
  /**
   * What has been given to a block starts within this where it has room: twice a report between
   * controllers and a start.
   */
  private static final TimeSpan STILL = TimeSpan.ofSeconds(4);

  /** The least room that a machine had since {@code since}, and in as long before. */
  private record Least(Resources now, Resources before, MonotonicTime since) {}

  private final Map<ShardId, Map<MachineId, Least>> least = new HashMap<>();

  /** A block as admission sees it; of a holder that is not heard nothing is open. */
  Admission.Block block(
      ShardLease lease,
      MachineType type,
      PeerViews.BlockView view,
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
      soon.add(state.free().plus(state.yielding()));
      Admission.ImageRoom room = new Admission.ImageRoom(state.free(), state.yielding());
      state.images().forEach(image -> images.merge(image, room, Admission.ImageRoom::plus));
      after.put(machine, next(before.get(machine), state.free(), now));
    }
    least.put(lease.id(), after);
    Resources capacity = type == null ? Resources.NONE : type.capacity().times(free.size());
    Admission.Block block =
        new Admission.Block(
            lease.id(),
            lease.type(),
            lease.zone(),
            lease.spot(),
            capacity,
            free,
            soon,
            images,
            mostBytes);
    block.decline(view == null ? Set.of() : view.declined());
    return block;
  }

  private static Least next(Least before, Resources free, MonotonicTime now) {
    return before == null
        ? new Least(free, Resources.NONE, now)
        : now.since(before.since).isLongerThan(STILL)
            ? new Least(free, before.now, now)
            : new Least(before.now.min(free), before.before, before.since);
  }

  /**
   * Of each machine of a block that takes work, the room that was there all the time for a few
   * seconds at least.
   */
  List<Resources> still(ShardId shard, MonotonicTime now) {
    List<Resources> still = new ArrayList<>();
    for (Least seen : least.getOrDefault(shard, Map.of()).values()) {
      still.add(now.since(seen.since).isLongerThan(STILL) ? seen.now : seen.now.min(seen.before));
    }
    return still;
  }

  /** A block is no more. */
  void forget(ShardId shard) {
    least.remove(shard);
  }
}
