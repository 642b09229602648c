package org.quincecross.leader;

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
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ControllerRecord;
import org.quincecross.state.ShardLease;
import org.quincecross.state.StoreKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Assigns shards to controllers and machines to shards: creates, moves, fills and drains shards.
 */
final class ShardLeaseManager {
  private static final Logger LOG = LoggerFactory.getLogger(ShardLeaseManager.class);

  private static final double MIN_REMOTE_ZONE_COST = 2.5;
  private static final double REMOTE_ZONE_COST_SHARE = 0.4;
  private static final TimeSpan REBALANCE_INTERVAL = TimeSpan.ofSeconds(4);
  private static final int MAX_MOVES_AT_ONCE = 3;

  /**
   * A move must improve the balance by this many machines, because it interrupts the shard briefly
   * and loses the owner's observations.
   */
  private static final int REBALANCE_GAIN = 4;

  private static final TimeSpan UNREACHABLE_AFTER = TimeSpan.ofSeconds(4);

  private final Timers timers;
  private final ClusterStateCache cache;
  private final Autoscaler autoscaler;
  private final CurrentPeerViews currentViews;
  private final AllocationWriter allocations;
  private final NewcomerPlacement newcomerPlacement;
  private final ReachabilityMap reachability = new ReachabilityMap();
  private final ShardMovePolicy movePolicy = new ShardMovePolicy();
  private final Map<MachineId, Machine> newcomers = new LinkedHashMap<>();
  private MonotonicTime rebalanced;
  private boolean knowsAllTerminated;

  ShardLeaseManager(LeaderContext context, Autoscaler autoscaler, AllocationWriter allocations) {
    this.timers = context.timers();
    this.cache = context.cache();
    this.currentViews = context.currentViews();
    this.autoscaler = autoscaler;
    this.allocations = allocations;
    this.newcomerPlacement = new NewcomerPlacement(context, autoscaler);
    this.rebalanced = timers.now();
  }

  /** Adds a machine that reports and is in no shard; false if it is known already. */
  boolean addNewcomer(Machine machine) {
    autoscaler.reported(machine);
    return newcomers.put(machine.id(), machine) == null;
  }

  /**
   * Called when this controller stops leading: others may add the machines, and learn of their
   * termination.
   */
  void forgetNewcomers() {
    newcomers.clear();
    knowsAllTerminated = false;
  }

  /**
   * Whether this leader has led since there were no shards: then {@link Autoscaler#isGone} knows
   * every terminated machine.
   */
  boolean knowsAllTerminated() {
    knowsAllTerminated |= cache.shards().isEmpty();
    return knowsAllTerminated;
  }

  private List<ControllerRecord> members() {
    // A build without levels may join at any level; it gets no shards that it could not read.
    return cache.members().values().stream()
        .filter(member -> member.build().supports(cache.level().level()))
        .toList();
  }

  /**
   * The member to lease a shard to: the one with the lowest cost, which prefers few machines and
   * the shard's zone.
   */
  private ControllerRecord chooseOwner(String zone, Map<ControllerId, Integer> load) {
    ControllerRecord best = null;
    for (ControllerRecord member : members()) {
      if (best == null || cost(member, zone, load) < cost(best, zone, load)) {
        best = member;
      }
    }
    return best;
  }

  /**
   * The cost of leasing a shard of a zone to a controller, in machines: those it has, plus a share
   * of the average if it is in another zone. If a zone is cut off, only a controller inside can
   * command its machines.
   */
  private double cost(ControllerRecord member, String zone, Map<ControllerId, Integer> load) {
    double average = (double) cache.machineCount() / cache.members().size();
    // if no controller reaches the machines, those that do not are equal
    double unreachableCost =
        reachability.state(member.id(), zone, timers.now()) == ReachabilityMap.State.HEARS
            ? 0
            : cache.machineCount() + MIN_REMOTE_ZONE_COST;
    return unreachableCost
        + load.getOrDefault(member.id(), 0)
        + (member.zone().equals(zone)
            ? 0
            : Math.max(MIN_REMOTE_ZONE_COST, REMOTE_ZONE_COST_SHARE * average));
  }

  private Map<ControllerId, Integer> machinesByOwner() {
    Map<ControllerId, Integer> load = new HashMap<>();
    for (ShardLease shard : cache.shards().values()) {
      load.merge(shard.owner(), shard.machines().size(), Integer::sum);
    }
    return load;
  }

  /** Moves shards of dead owners, adds and removes machines; returns the changed shards. */
  Set<ShardId> plan(TransactionBuilder transaction) {
    Map<ShardId, ShardLease> next = new TreeMap<>();
    Set<ShardId> deleted = new HashSet<>();
    Map<ControllerId, Integer> load = machinesByOwner();
    updateShards(transaction, next, deleted, load);
    moveUnreachableShards(next, deleted);
    renewTokens(next, deleted);
    if (next.isEmpty() && deleted.isEmpty()) {
      rebalance(next, load);
    }
    addNewcomers(next, deleted, load, transaction.maxValueBytes());
    next.values().removeIf(shard -> !transaction.put(StoreKeys.shard(shard.id()), shard.write()));
    Set<ShardId> touched = new HashSet<>(next.keySet());
    touched.addAll(deleted);
    return touched;
  }

  /** Removes machines from shards, deletes empty shards, and moves those of dead owners. */
  // A changed lease is a new instance.
  @SuppressWarnings("ReferenceEquality")
  private void updateShards(
      TransactionBuilder transaction,
      Map<ShardId, ShardLease> next,
      Set<ShardId> deleted,
      Map<ControllerId, Integer> load) {
    Map<ShardId, Set<MachineId>> leaving = leavingMachines();
    for (ShardLease shard : cache.shards().values()) {
      ShardLease changed = without(shard, leaving.getOrDefault(shard.id(), Set.of()));
      if (changed.machines().isEmpty()) {
        deleteShard(transaction, shard, deleted);
        continue;
      }
      ControllerRecord owner = cache.members().get(shard.owner());
      if (owner == null || !owner.incarnation().equals(shard.incarnation())) {
        changed = moveToLiveOwner(shard, changed, load);
      }
      if (changed != shard) {
        next.put(shard.id(), changed);
      }
    }
  }

  private Map<ShardId, Set<MachineId>> leavingMachines() {
    Map<ShardId, Set<MachineId>> leaving = new HashMap<>();
    for (MachineId machine : autoscaler.leaving()) {
      ShardLease shard = cache.shardOf(machine);
      if (shard != null) {
        leaving.computeIfAbsent(shard.id(), id -> new HashSet<>()).add(machine);
      }
    }
    return leaving;
  }

  /** Deletes a shard without machines: no task of it is anywhere, so all return to the pool. */
  private void deleteShard(TransactionBuilder transaction, ShardLease shard, Set<ShardId> deleted) {
    List<String> records = allocations.recordKeys(shard.id());
    if (transaction.remaining() > records.size()) {
      transaction.delete(StoreKeys.shard(shard.id()));
      records.forEach(transaction::delete);
      deleted.add(shard.id());
    }
  }

  private ShardLease moveToLiveOwner(
      ShardLease shard, ShardLease changed, Map<ControllerId, Integer> load) {
    load.merge(shard.owner(), -shard.machines().size(), Integer::sum);
    ControllerRecord chosen = chooseOwner(shard.zone(), load);
    if (chosen == null) {
      return changed;
    }
    LOG.info(
        "shard {} moves from {} to {}: its owner is gone", shard.id(), shard.owner(), chosen.id());
    load.merge(chosen.id(), shard.machines().size(), Integer::sum);
    return changed.leasedTo(chosen);
  }

  private ShardLease without(ShardLease shard, Set<MachineId> going) {
    ShardLease changed = shard;
    for (MachineId machine : going) {
      if (autoscaler.isGone(machine)) {
        changed = changed.without(machine);
      } else if (!shard.leaving().contains(machine)) {
        changed = changed.leaving(machine);
      }
    }
    return changed;
  }

  /**
   * Moves a shard whose machines report to another controller, because its owner cannot reach them.
   */
  private void moveUnreachableShards(Map<ShardId, ShardLease> next, Set<ShardId> deleted) {
    movePolicy.fenced(movePolicy.suspendedMachines().stream().filter(this::isFenced).toList());
    Map<ShardId, Map<ControllerId, Integer>> heardBy = new HashMap<>();
    Map<ShardId, Set<MachineId>> foreignMachinesByShard = new HashMap<>();
    for (ControllerRecord member : members()) {
      PeerViews.View view = currentViews.of(member.id());
      for (MachineId machine : view == null ? Set.<MachineId>of() : view.foreignMachines()) {
        ShardLease shard = cache.shardOf(machine);
        if (shard != null
            && !shard.owner().equals(member.id())
            && isUnreachable(shard, machine)
            && movePolicy.state(machine, timers.now()) == ShardMovePolicy.State.COUNTS) {
          foreignMachinesByShard.computeIfAbsent(shard.id(), id -> new HashSet<>()).add(machine);
          heardBy
              .computeIfAbsent(shard.id(), id -> new TreeMap<>())
              .merge(member.id(), 1, Integer::sum);
        }
      }
    }
    heardBy.forEach(
        (id, members) -> {
          ShardLease shard = cache.shard(id);
          // The machines may have gone to several controllers, so half of them reporting elsewhere
          // is enough. An unreachable controller is offered each shard only once.
          int machines = foreignMachinesByShard.get(id).size();
          if (machines * 2 > shard.machines().size()
              && !next.containsKey(id)
              && !deleted.contains(id)) {
            ControllerId member =
                Collections.max(members.entrySet(), Map.Entry.comparingByValue()).getKey();
            LOG.info(
                "shard {} moves from {}, which cannot reach its machines, to {}",
                id,
                shard.owner(),
                member);
            reachability.unreachable(shard.owner(), shard.zone(), timers.now());
            movePolicy.recordMove(foreignMachinesByShard.get(id), timers.now());
            next.put(id, shard.leasedTo(cache.members().get(member)));
          }
        });
  }

  /**
   * After a pause, gives controllers that could not reach a zone's machines the smallest shard
   * there as a probe, and records the outcome of earlier probes.
   */
  private void probeUnreachableZones(Map<ShardId, ShardLease> next) {
    MonotonicTime now = timers.now();
    Map<String, ShardLease> smallest = new TreeMap<>();
    for (ShardLease shard : cache.shards().values()) {
      PeerViews.ShardView view = currentViews.of(shard);
      if (view != null && isWhollyFenced(view)) {
        reachability.reachable(shard.owner(), shard.zone(), now);
        smallest.merge(
            shard.zone(),
            shard,
            (one, other) -> other.machines().size() < one.machines().size() ? other : one);
      }
    }
    for (ControllerRecord member : members()) {
      smallest.forEach(
          (zone, shard) -> {
            if (reachability.state(member.id(), zone, now) == ReachabilityMap.State.TO_BE_TRIED
                && !shard.owner().equals(member.id())
                && !next.containsKey(shard.id())) {
              LOG.info(
                  "shard {} moves from {} to {} to probe whether that controller reaches it now",
                  shard.id(),
                  shard.owner(),
                  member.id());
              reachability.probeStarted(member.id(), zone, now);
              next.put(shard.id(), shard.leasedTo(member));
            }
          });
    }
  }

  /**
   * Renews the lease of a shard with its present owner, one at a time, if work there waits for
   * something that only a new fencing token resolves. Only while all machines are fenced for the
   * owner, so that they are fenced again within a moment.
   */
  private void renewTokens(Map<ShardId, ShardLease> next, Set<ShardId> deleted) {
    if (!next.isEmpty() || !deleted.isEmpty()) {
      return;
    }
    for (ShardLease shard : cache.shards().values()) {
      PeerViews.ShardView view = currentViews.of(shard);
      if (view != null
          && view.needsTokenRenewal()
          && cache.members().containsKey(shard.owner())
          && isWhollyFenced(view)) {
        LOG.info(
            "shard {} gets a new fencing token under {}: pending work cannot finish under the present one",
            shard.id(),
            shard.owner());
        next.put(shard.id(), shard.leasedTo(cache.members().get(shard.owner())));
        return;
      }
    }
  }

  private static boolean isWhollyFenced(PeerViews.ShardView view) {
    return view.machines().values().stream()
        .allMatch(
            machine -> machine.fenced() && !machine.silentFor().isLongerThan(UNREACHABLE_AFTER));
  }

  /** Whether a machine is fenced for its owner, or is in no shard any more. */
  private boolean isFenced(MachineId machine) {
    ShardLease shard = cache.shardOf(machine);
    PeerViews.ShardView view = shard == null ? null : currentViews.of(shard);
    PeerHeartbeat.MachineState state = view == null ? null : view.machines().get(machine);
    return shard == null || (state != null && state.fenced() && state.open());
  }

  /**
   * Whether a shard's owner cannot reach a machine; false for an owner that has not reported yet.
   */
  private boolean isUnreachable(ShardLease shard, MachineId machine) {
    PeerViews.ShardView view = currentViews.of(shard);
    PeerHeartbeat.MachineState state = view == null ? null : view.machines().get(machine);
    return state != null && state.silentFor().isLongerThan(UNREACHABLE_AFTER);
  }

  /** Moves a few shards at intervals to controllers with much less load or in the shards' zones. */
  private void rebalance(Map<ShardId, ShardLease> next, Map<ControllerId, Integer> load) {
    if (REBALANCE_INTERVAL.isLongerThan(timers.now().since(rebalanced))) {
      return;
    }
    rebalanced = timers.now();
    probeUnreachableZones(next);
    for (ShardLease shard : cache.shards().values()) {
      ControllerRecord owner = cache.members().get(shard.owner());
      ControllerRecord better = chooseOwner(shard.zone(), load);
      int size = shard.machines().size();
      PeerViews.ShardView view = currentViews.of(shard);
      // A machine that accepts no tasks without a reason may receive no responses and would not
      // confirm a new token.
      boolean calm =
          view != null
              && isWhollyFenced(view)
              && view.machines().values().stream()
                  .allMatch(
                      machine ->
                          machine.open()
                              || machine.terminationNotice()
                              || machine.faulty()
                              || shard.leaving().contains(machine.id()));
      if (owner != null
          && calm
          && next.size() < MAX_MOVES_AT_ONCE
          && cost(owner, shard.zone(), load) - cost(better, shard.zone(), load) - size
              > REBALANCE_GAIN) {
        LOG.info(
            "shard {} moves from {} to {} to balance the load",
            shard.id(),
            shard.owner(),
            better.id());
        next.put(shard.id(), shard.leasedTo(better));
        load.merge(owner.id(), -size, Integer::sum);
        load.merge(better.id(), size, Integer::sum);
      }
    }
  }

  private void addNewcomers(
      Map<ShardId, ShardLease> next,
      Set<ShardId> deleted,
      Map<ControllerId, Integer> load,
      int maxBytes) {
    newcomers
        .keySet()
        .removeIf(machine -> cache.shardOf(machine) != null || autoscaler.isGone(machine));
    if (newcomers.isEmpty() || members().isEmpty()) {
      return;
    }
    newcomerPlacement.add(newcomers.values(), next, deleted, load, maxBytes, this::newShard);
  }

  private ShardLease newShard(Machine machine, Map<ControllerId, Integer> load) {
    ControllerRecord owner = chooseOwner(machine.zone(), load);
    return ShardLease.first(new ShardId("b-" + machine.id()), owner, machine);
  }
}
