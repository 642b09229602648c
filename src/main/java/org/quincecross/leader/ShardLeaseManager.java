package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.failuredetection.ReachabilityMap;
import org.quincecross.failuredetection.ShardMovePolicy;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.protocol.Settings;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ControllerRecord;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.ShardLease;
import org.quincecross.state.StoreKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Which controller holds which block, and which machines are in it: blocks are made, moved, filled
 * and emptied here.
 */
final class ShardLeaseManager {
  private static final Logger LOG = LoggerFactory.getLogger(ShardLeaseManager.class);

  /** "Neighbours start at six similar machines per block." */
  private static final int LEAST_BLOCK_SIZE = 6;

  /**
   * So many blocks for each change a second: with more, each block's allocation could be written
   * too seldom.
   */
  private static final double BLOCKS_PER_CHANGE = 0.6;

  /**
   * Of the record of a block's tasks, what a task takes; alone in its job 14, in an array 4.
   * Admission keeps the limit.
   */
  private static final int BYTES_PER_TASK = 8;

  private static final double LEAST_AWAY = 2.5;
  private static final double AWAY = 0.4;
  private static final TimeSpan REBALANCE_EVERY = TimeSpan.ofSeconds(4);
  private static final int MOST_MOVED_AT_ONCE = 3;

  /**
   * Moving a block costs a moment and what its holder has learnt of it: a small gain is not worth
   * that.
   */
  private static final int REBALANCE_GAIN = 4;

  private static final TimeSpan UNHEARD = TimeSpan.ofSeconds(4);

  private final Timers timers;
  private final ClusterStateCache cache;
  private final Settings settings;
  private final Autoscaler fleet;
  private final DemandForecast foresight;
  private final AllocationIndex books;
  private final CurrentPeerViews fresh;
  private final AllocationWriter allocations;
  private final ReachabilityMap hearing = new ReachabilityMap();
  private final ShardMovePolicy moves = new ShardMovePolicy();
  private final Map<MachineId, Machine> newcomers = new LinkedHashMap<>();
  private MonotonicTime rebalanced;
  private boolean knowsAllGone;

  ShardLeaseManager(
      Timers timers,
      ClusterStateCache cache,
      Settings settings,
      Autoscaler fleet,
      DemandForecast foresight,
      AllocationIndex books,
      CurrentPeerViews fresh,
      AllocationWriter allocations) {
    this.timers = timers;
    this.cache = cache;
    this.settings = settings;
    this.fleet = fleet;
    this.foresight = foresight;
    this.books = books;
    this.fresh = fresh;
    this.allocations = allocations;
    this.rebalanced = timers.now();
  }

  /** A machine that is in no block reports; false if that is known already. */
  boolean newcomer(Machine machine) {
    return newcomers.put(machine.id(), machine) == null;
  }

  /** Nobody leads here: others may take machines in, and learn of them that they are gone. */
  void forgetNewcomers() {
    newcomers.clear();
    knowsAllGone = false;
  }

  /**
   * Whether this leader has led since there was no block: then {@link Autoscaler#isGone} knows
   * every machine of a block that is gone.
   */
  boolean knowsAllGone() {
    knowsAllGone |= cache.shards().isEmpty();
    return knowsAllGone;
  }

  private List<ControllerRecord> members() {
    // A build from before levels may join whatever the level is; it takes no block that it could
    // not read.
    return cache.members().values().stream()
        .filter(member -> member.build().can(cache.level().level()))
        .toList();
  }

  /**
   * The member to lease a block to: the one with the fewest machines, and of those one in the
   * block's zone.
   */
  private ControllerRecord chooseHolder(String zone, Map<ControllerId, Integer> load) {
    ControllerRecord best = null;
    for (ControllerRecord member : members()) {
      if (best == null || cost(member, zone, load) < cost(best, zone, load)) {
        best = member;
      }
    }
    return best;
  }

  /**
   * What it costs to have a block of a zone with a controller, in machines: those that it has, and
   * where it is in another zone, a share of the average. When a zone is cut off, only a controller
   * inside can hold its machines.
   */
  private double cost(ControllerRecord member, String zone, Map<ControllerId, Integer> load) {
    double average = (double) cache.machineCount() / cache.members().size();
    // Where nobody hears the machines, one who does not is as good as another.
    double deaf =
        hearing.of(member.id(), zone, timers.now()) == ReachabilityMap.State.HEARS
            ? 0
            : cache.machineCount() + LEAST_AWAY;
    return deaf
        + load.getOrDefault(member.id(), 0)
        + (member.zone().equals(zone) ? 0 : Math.max(LEAST_AWAY, AWAY * average));
  }

  private Map<ControllerId, Integer> machinesHeld() {
    Map<ControllerId, Integer> load = new HashMap<>();
    for (ShardLease block : cache.shards().values()) {
      load.merge(block.owner(), block.machines().size(), Integer::sum);
    }
    return load;
  }

  /** Leases blocks of dead holders anew, takes machines in and out; returns the blocks changed. */
  // A changed lease is another instance.
  @SuppressWarnings("ReferenceEquality")
  Set<ShardId> plan(TransactionBuilder transaction) {
    Map<ShardId, ShardLease> next = new TreeMap<>();
    Set<ShardId> deleted = new HashSet<>();
    Map<ControllerId, Integer> load = machinesHeld();
    Map<ShardId, Set<MachineId>> going = new HashMap<>();
    for (MachineId machine : fleet.leaving()) {
      ShardLease block = cache.shardOf(machine);
      if (block != null) {
        going.computeIfAbsent(block.id(), id -> new HashSet<>()).add(machine);
      }
    }
    for (ShardLease block : cache.shards().values()) {
      ShardLease changed = without(block, going.getOrDefault(block.id(), Set.of()));
      if (changed.machines().isEmpty()) {
        // No machine is left, so no task of it is anywhere: all of them go back to the pool.
        List<String> records = allocations.keys(block.id());
        if (transaction.room() > records.size()) {
          transaction.delete(StoreKeys.shard(block.id()));
          records.forEach(transaction::delete);
          deleted.add(block.id());
        }
        continue;
      }
      ControllerRecord holder = cache.members().get(block.owner());
      if (holder == null || !holder.incarnation().equals(block.incarnation())) {
        load.merge(block.owner(), -block.machines().size(), Integer::sum);
        ControllerRecord chosen = chooseHolder(block.zone(), load);
        if (chosen != null) {
          LOG.info("block {} goes from {} to {}", block.id(), block.owner(), chosen.id());
          load.merge(chosen.id(), block.machines().size(), Integer::sum);
          changed = changed.leasedTo(chosen);
        }
      }
      if (changed != block) {
        next.put(block.id(), changed);
      }
    }
    rescueUnheard(next, deleted);
    endDoubts(next, deleted);
    if (next.isEmpty() && deleted.isEmpty()) {
      rebalance(next, load);
    }
    takeIn(next, deleted, load, transaction.mostValue());
    next.values().removeIf(block -> !transaction.put(StoreKeys.shard(block.id()), block.write()));
    Set<ShardId> touched = new HashSet<>(next.keySet());
    touched.addAll(deleted);
    return touched;
  }

  private ShardLease without(ShardLease block, Set<MachineId> going) {
    ShardLease changed = block;
    for (MachineId machine : going) {
      if (fleet.isGone(machine)) {
        changed = changed.without(machine);
      } else if (!block.leaving().contains(machine)) {
        changed = changed.leaving(machine);
      }
    }
    return changed;
  }

  /**
   * A holder whose machines report to another controller is cut off from them: that one gets the
   * block.
   */
  private void rescueUnheard(Map<ShardId, ShardLease> next, Set<ShardId> deleted) {
    moves.obeys(moves.marked().stream().filter(this::isObedient).toList());
    Map<ShardId, Map<ControllerId, Integer>> heardBy = new HashMap<>();
    Map<ShardId, Set<MachineId>> strays = new HashMap<>();
    for (ControllerRecord member : members()) {
      PeerViews.View view = fresh.of(member.id());
      for (MachineId machine : view == null ? Set.<MachineId>of() : view.strays()) {
        ShardLease block = cache.shardOf(machine);
        if (block != null
            && !block.owner().equals(member.id())
            && isSilent(block, machine)
            && moves.of(machine, timers.now()) == ShardMovePolicy.State.COUNTS) {
          strays.computeIfAbsent(block.id(), id -> new HashSet<>()).add(machine);
          heardBy
              .computeIfAbsent(block.id(), id -> new TreeMap<>())
              .merge(member.id(), 1, Integer::sum);
        }
      }
    }
    heardBy.forEach(
        (id, members) -> {
          ShardLease block = cache.shard(id);
          // The machines may have gone to several controllers: that half of them are heard
          // elsewhere is what counts.
          // One that hears nothing is heard by each in turn, and counts once.
          int machines = strays.get(id).size();
          if (machines * 2 > block.machines().size()
              && !next.containsKey(id)
              && !deleted.contains(id)) {
            ControllerId member =
                Collections.max(members.entrySet(), Map.Entry.comparingByValue()).getKey();
            LOG.info(
                "block {} goes from {}, which does not hear it, to {}", id, block.owner(), member);
            hearing.missed(block.owner(), block.zone(), timers.now());
            moves.moved(strays.get(id), timers.now());
            next.put(id, block.leasedTo(cache.members().get(member)));
          }
        });
  }

  /**
   * Gives controllers that did not hear the machines of a zone the smallest block there to try,
   * once their pause is over; and takes note of what becomes of trials.
   */
  private void tryTheDeaf(Map<ShardId, ShardLease> next) {
    MonotonicTime now = timers.now();
    Map<String, ShardLease> smallest = new TreeMap<>();
    for (ShardLease block : cache.shards().values()) {
      PeerViews.BlockView view = fresh.of(block);
      if (view != null && obeysItsHolder(view)) {
        hearing.heard(block.owner(), block.zone(), now);
        smallest.merge(
            block.zone(),
            block,
            (one, other) -> other.machines().size() < one.machines().size() ? other : one);
      }
    }
    for (ControllerRecord member : members()) {
      smallest.forEach(
          (zone, block) -> {
            if (hearing.of(member.id(), zone, now) == ReachabilityMap.State.TO_BE_TRIED
                && !block.owner().equals(member.id())
                && !next.containsKey(block.id())) {
              LOG.info(
                  "block {} goes from {} to {}, to see whether that hears it now",
                  block.id(),
                  block.owner(),
                  member.id());
              hearing.given(member.id(), zone, now);
              next.put(block.id(), block.leasedTo(member));
            }
          });
    }
  }

  /**
   * Leases a block anew to the holder that it has, one at a time, where something waits there that
   * only a new token ends. Only while all of its machines obey that holder: then they are fenced
   * again in a moment.
   */
  private void endDoubts(Map<ShardId, ShardLease> next, Set<ShardId> deleted) {
    if (!next.isEmpty() || !deleted.isEmpty()) {
      return;
    }
    for (ShardLease block : cache.shards().values()) {
      PeerViews.BlockView view = fresh.of(block);
      if (view != null
          && view.inDoubt()
          && cache.members().containsKey(block.owner())
          && obeysItsHolder(view)) {
        LOG.info(
            "block {} gets a new token under {}: something there waits for one",
            block.id(),
            block.owner());
        next.put(block.id(), block.leasedTo(cache.members().get(block.owner())));
        return;
      }
    }
  }

  private static boolean obeysItsHolder(PeerViews.BlockView view) {
    return view.machines().values().stream()
        .allMatch(machine -> machine.fenced() && !machine.silent().isLongerThan(UNHEARD));
  }

  /** Whether a machine takes work of its holder, or is in no block any more. */
  private boolean isObedient(MachineId machine) {
    ShardLease block = cache.shardOf(machine);
    PeerViews.BlockView view = block == null ? null : fresh.of(block);
    PeerHeartbeat.MachineState state = view == null ? null : view.machines().get(machine);
    return block == null || (state != null && state.fenced() && state.open());
  }

  /**
   * Whether a block's holder does not hear a machine; a holder that has not reported yet says
   * nothing of that.
   */
  private boolean isSilent(ShardLease block, MachineId machine) {
    PeerViews.BlockView view = fresh.of(block);
    PeerHeartbeat.MachineState state = view == null ? null : view.machines().get(machine);
    return state != null && state.silent().isLongerThan(UNHEARD);
  }

  /**
   * Moves a few blocks to controllers that have much less to do, or are in the blocks' zones, now
   * and then.
   */
  private void rebalance(Map<ShardId, ShardLease> next, Map<ControllerId, Integer> load) {
    if (REBALANCE_EVERY.isLongerThan(timers.now().since(rebalanced))) {
      return;
    }
    rebalanced = timers.now();
    tryTheDeaf(next);
    for (ShardLease block : cache.shards().values()) {
      ControllerRecord holder = cache.members().get(block.owner());
      ControllerRecord better = chooseHolder(block.zone(), load);
      int size = block.machines().size();
      PeerViews.BlockView view = fresh.of(block);
      // A machine that takes no work and does not say why may be one that hears nothing: it would
      // not show a new token.
      boolean calm =
          view != null
              && obeysItsHolder(view)
              && view.machines().values().stream()
                  .allMatch(
                      machine ->
                          machine.open()
                              || machine.notice()
                              || machine.sick()
                              || block.leaving().contains(machine.id()));
      if (holder != null
          && calm
          && next.size() < MOST_MOVED_AT_ONCE
          && cost(holder, block.zone(), load) - cost(better, block.zone(), load) - size
              > REBALANCE_GAIN) {
        LOG.info(
            "block {} goes from {} to {} to share the load",
            block.id(),
            block.owner(),
            better.id());
        next.put(block.id(), block.leasedTo(better));
        load.merge(holder.id(), -size, Integer::sum);
        load.merge(better.id(), size, Integer::sum);
      }
    }
  }

  /**
   * How many machines a block may have: the more machines and the fewer changes a second, the more.
   */
  private int mostMachines(MachineType type) {
    int all = fleet.expected();
    double bySize = Math.ceil(all / (BLOCKS_PER_CHANGE * settings.storeLimits().writesPerSecond()));
    Resources small = foresight.urgentTask();
    int tasks =
        Math.max(
            1,
            small.cpus() > 0 ? type.capacity().capacityFor(small) : (int) type.capacity().cpus());
    int byRecord =
        Math.max(LEAST_BLOCK_SIZE, settings.storeLimits().maxValueBytes() / BYTES_PER_TASK / tasks);
    return (int)
        Math.max(Math.max(LEAST_BLOCK_SIZE, largestGang(type)), Math.min(bySize, byRecord));
  }

  /**
   * How many machines of a type the largest gang needs that waits: the machines rented for it make
   * a block so large.
   */
  private int largestGang(MachineType type) {
    int most = 0;
    for (JobId id : books.waiting()) {
      Job job = books.account(id).job();
      int each = type.capacity().capacityFor(job.taskResources());
      if (job.kind() == JobKind.GANG
          && each > 0
          && (job.machineTypes() == null || job.machineTypes().contains(type.name()))) {
        most = Math.max(most, (job.taskCount() + each - 1) / each);
      }
    }
    return most;
  }

  private record Kind(String type, String zone, boolean spot) {
    static Kind of(ShardLease block) {
      return new Kind(block.type(), block.zone(), block.spot());
    }
  }

  private void takeIn(
      Map<ShardId, ShardLease> next,
      Set<ShardId> deleted,
      Map<ControllerId, Integer> load,
      int mostBytes) {
    newcomers.keySet().removeIf(machine -> cache.shardOf(machine) != null || fleet.isGone(machine));
    if (newcomers.isEmpty() || members().isEmpty()) {
      return;
    }
    Map<Kind, List<ShardId>> withRoom = new HashMap<>();
    cache
        .shards()
        .values()
        .forEach(
            block -> {
              if (!deleted.contains(block.id())) {
                withRoom.computeIfAbsent(Kind.of(block), kind -> new ArrayList<>()).add(block.id());
              }
            });
    for (Machine machine : newcomers.values()) {
      MachineType type = cache.machineTypes().get(machine.type());
      if (type == null) {
        continue;
      }
      int most = mostMachines(type);
      ShardLease home = null;
      List<ShardId> homes =
          withRoom.computeIfAbsent(
              new Kind(machine.type(), machine.zone(), machine.spot()), kind -> new ArrayList<>());
      while (home == null && !homes.isEmpty()) {
        ShardLease block = next.getOrDefault(homes.get(0), cache.shard(homes.get(0)));
        // A block that a value cannot name would be written in vain, and its machines be in none.
        if (block.machines().size() < most && block.with(machine).maxBytes() <= mostBytes) {
          home = block;
        } else {
          homes.remove(0);
        }
      }
      if (home != null) {
        next.put(home.id(), home.with(machine));
        load.merge(home.owner(), 1, Integer::sum);
      } else {
        ControllerRecord holder = chooseHolder(machine.zone(), load);
        ShardLease made = ShardLease.first(new ShardId("b-" + machine.id()), holder, machine);
        load.merge(holder.id(), 1, Integer::sum);
        next.put(made.id(), made);
        homes.add(made.id());
      }
    }
  }
}
