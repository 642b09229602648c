package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.protocol.CloudCodec.CloudInstance;
import org.quincecross.protocol.Settings;
import org.quincecross.scheduling.Admission;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.OperatorSettings;
import org.quincecross.state.ShardLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which machines are released: selects idle and thinly used machines to be drained, and
 * finds machines to be terminated because they are drained, faulty, unreachable or unneeded.
 */
final class ScaleInPolicy {
  private static final Logger LOG = LoggerFactory.getLogger(ScaleInPolicy.class);
  private static final TimeSpan FIRST_CONSOLIDATION_DELAY = TimeSpan.ofSeconds(60);
  private static final TimeSpan CONSOLIDATION_INTERVAL = TimeSpan.ofSeconds(3);
  private static final TimeSpan INTERVAL_AFTER_CONSOLIDATION = TimeSpan.ofSeconds(5);
  private static final int MAX_MOVED_REPLICAS = 3;

  /** Of this many machines one is drained at a time. */
  private static final int MACHINES_PER_CONSOLIDATION = 40;

  /** The maximum share of a machine in use for its replicas to be moved. */
  private static final double MAX_USED_SHARE = 0.55;

  /** Of this many machines one may be unfenced in a fleet that counts as calm. */
  private static final int MACHINES_PER_UNFENCED = 50;

  /** How long after its lease a machine may be unreachable. */
  private static final TimeSpan PARTITION_TIMEOUT = TimeSpan.ofSeconds(60);

  /**
   * On-demand machines are rarely lost. If this many times their share of unreachable machines
   * exceeds that of spot machines, the cause is likely the network.
   */
  private static final int ON_DEMAND_LOSS_WEIGHT = 3;

  private static final double MAX_UNREACHABLE_SHARE_OF_ZONE = 0.25;

  private final ClusterStateCache cache;
  private final Settings settings;
  private final DemandForecast forecast;
  private final Supplier<OperatorSettings> operators;
  private final CloudInventory inventory;
  private final ScaleOutPolicy scaleOut;
  private final Map<MachineId, MonotonicTime> idleSince = new HashMap<>();
  private final Set<MachineId> selected = new HashSet<>();
  private final Set<MachineId> leaving = new HashSet<>();
  private MonotonicTime consolidateAfter;

  /**
   * The situation in which machines are selected.
   *
   * @param unmet the demand without capacity
   * @param isCalm whether nothing waits for capacity or may do so soon
   */
  private record Situation(
      Autoscaler.View view,
      FreeCapacity capacity,
      List<Admission.Unmet> unmet,
      boolean isCalm,
      MonotonicTime now) {}

  ScaleInPolicy(
      ClusterStateCache cache,
      Settings settings,
      DemandForecast forecast,
      Supplier<OperatorSettings> operators,
      CloudInventory inventory,
      ScaleOutPolicy scaleOut) {
    this.cache = cache;
    this.settings = settings;
    this.forecast = forecast;
    this.operators = operators;
    this.inventory = inventory;
    this.scaleOut = scaleOut;
  }

  /** The machines of shards that are to be drained, or are terminated. */
  Set<MachineId> leaving() {
    leaving.removeIf(machine -> cache.shardOf(machine) == null);
    return leaving;
  }

  private void select(MachineId machine) {
    selected.add(machine);
    leaving.add(machine);
  }

  /** Called when machines were terminated. */
  void terminated(Collection<MachineId> machines) {
    leaving.addAll(machines);
  }

  /**
   * Forgets observations of an earlier leadership.
   *
   * @param terminated all machines known to be terminated
   */
  void reset(Collection<MachineId> terminated, MonotonicTime now) {
    idleSince.clear();
    selected.clear();
    leaving.clear();
    leaving.addAll(terminated);
    consolidateAfter = now.plus(FIRST_CONSOLIDATION_DELAY);
  }

  /** Selects machines to be drained, and returns those to be terminated now. */
  Set<MachineId> evaluate(Autoscaler.View view, List<Admission.Unmet> unmet, MonotonicTime now) {
    FreeCapacity capacity =
        new FreeCapacity(cache, forecast, view, selected, operators.get().spareTasks(), now);
    Situation situation = new Situation(view, capacity, unmet, isIdle(view, unmet), now);
    consolidate(situation);
    selectIdle(situation);
    Set<MachineId> terminable = new HashSet<>();
    addDrained(view, terminable);
    addUnreachable(view, terminable);
    addUnlisted(view, terminable);
    addUnneeded(situation, terminable);
    return terminable;
  }

  /** Whether nothing waits for capacity, and nothing is in progress that may soon do so. */
  private boolean isIdle(Autoscaler.View view, List<Admission.Unmet> unmet) {
    if (!operators.get().scaleIn()
        || !unmet.isEmpty()
        || !view.machinesReportingElsewhere().isEmpty()) {
      return false;
    }
    long unfenced = view.machines().values().stream().filter(state -> !state.fenced()).count();
    return unfenced <= view.machines().size() / MACHINES_PER_UNFENCED
        && inventory.incoming().expected().isEmpty();
  }

  // ---- consolidation ----

  /**
   * Drains the least used machines that run only a few replicas, if the others have room for them.
   * A replica moves within a moment to a machine that has its image, and an unneeded machine costs
   * money until the end of the day.
   */
  private void consolidate(Situation situation) {
    if (situation.now().isBefore(consolidateAfter) || !situation.isCalm()) {
      return;
    }
    consolidateAfter = situation.now().plus(CONSOLIDATION_INTERVAL);
    Map<MachineId, Double> usedShares = lightlyUsed(situation.view());
    List<MachineId> order = new ArrayList<>(usedShares.keySet());
    order.sort(
        Comparator.comparing((MachineId machine) -> usedShares.get(machine))
            .thenComparing(machine -> machine));
    int left = 1 + situation.view().machines().size() / MACHINES_PER_CONSOLIDATION;
    Map<MachineId, Resources> usedByMachine = new HashMap<>();
    for (MachineId machine : order) {
      ShardLease shard = cache.shardOf(machine);
      PeerHeartbeat.MachineState state = situation.view().machines().get(machine);
      Resources used = capacityOf(shard).minus(state.free());
      if (left > 0
          && situation.capacity().suffices(machine, used)
          && hasCapacityInShard(machine, used, state.imagesInUse(), usedByMachine, situation)) {
        LOG.info("machine {} is drained: other machines have capacity for its replicas", machine);
        select(machine);
        situation.capacity().remove(machine);
        situation.capacity().promise(shard.type(), used);
        consolidateAfter = situation.now().plus(INTERVAL_AFTER_CONSOLIDATION);
        left--;
      }
    }
  }

  /** The machines that run only a few movable replicas, with the share in use of each. */
  private Map<MachineId, Double> lightlyUsed(Autoscaler.View view) {
    Map<MachineId, Double> usedShares = new HashMap<>();
    view.machines()
        .forEach(
            (machine, state) -> {
              ShardLease shard = cache.shardOf(machine);
              if (shard != null
                  && state.movable()
                  && state.tasks() > 0
                  && state.tasks() <= MAX_MOVED_REPLICAS
                  && state.queued() == 0
                  && !selected.contains(machine)) {
                Resources capacity = capacityOf(shard);
                double share = capacity.minus(state.free()).dominantShareOf(capacity);
                if (share <= MAX_USED_SHARE) {
                  usedShares.put(machine, share);
                }
              }
            });
    return usedShares;
  }

  private Resources capacityOf(ShardLease shard) {
    return cache.machineTypes().get(shard.type()).capacity();
  }

  /**
   * Whether replicas find capacity and their images on another machine of their own shard: its
   * owner then moves them within a moment, whereas through the pool and with an image pull they
   * would be down for seconds.
   */
  private boolean hasCapacityInShard(
      MachineId machine,
      Resources used,
      List<String> images,
      Map<MachineId, Resources> usedByMachine,
      Situation situation) {
    for (MachineId other : cache.shardOf(machine).machines().keySet()) {
      PeerHeartbeat.MachineState state = situation.view().machines().get(other);
      if (!other.equals(machine)
          && state != null
          && state.open()
          && situation.capacity().stays(other, cache.shardOf(other))
          && state.images().containsAll(images)
          && used.plus(usedByMachine.getOrDefault(other, Resources.NONE)).fitsIn(state.free())) {
        usedByMachine.merge(other, used, Resources::plus);
        return true;
      }
    }
    return false;
  }

  // ---- idle machines ----

  /** Selects machines that have been idle for a while, as long as nothing waits for capacity. */
  private void selectIdle(Situation situation) {
    idleSince.keySet().retainAll(situation.view().machines().keySet());
    situation
        .view()
        .machines()
        .forEach(
            (machine, state) -> {
              if (!state.fenced() || state.tasks() > 0 || state.queued() > 0) {
                idleSince.remove(machine);
                return;
              }
              MonotonicTime since = idleSince.computeIfAbsent(machine, id -> situation.now());
              if (situation.now().since(since).isLongerThan(maxIdleTime(machine))
                  && (situation.isCalm() || freesQuotaForOthers(machine, situation))
                  && situation.capacity().suffices(machine, Resources.NONE)) {
                select(machine);
                situation.capacity().remove(machine);
              }
            });
  }

  /**
   * Whether all unmet demand needs machines of other kinds, which the cloud refuses while it has
   * provided so many of this kind.
   */
  private boolean freesQuotaForOthers(MachineId machine, Situation situation) {
    ShardLease shard = cache.shardOf(machine);
    return shard != null
        && operators.get().scaleIn()
        && scaleOut.allWaitForOtherKinds(MachineKind.of(shard), situation.unmet(), situation.now());
  }

  /** How long an idle machine is kept; longer if a replacement would take longer to boot. */
  private TimeSpan maxIdleTime(MachineId machine) {
    ShardLease shard = cache.shardOf(machine);
    MachineType type = shard == null ? null : cache.machineTypes().get(shard.type());
    TimeSpan idle = TimeSpan.ofSeconds(operators.get().idleSeconds());
    return type == null ? idle : idle.plus(type.bootTime().times(0.5));
  }

  // ---- termination ----

  /** Selects faulty machines, and adds machines that are drained. */
  private void addDrained(Autoscaler.View view, Set<MachineId> terminable) {
    view.machines()
        .forEach(
            (machine, state) -> {
              if (state.faulty()) {
                select(machine);
              }
              ShardLease shard = cache.shardOf(machine);
              boolean isLeaving = shard != null && shard.leaving().contains(machine);
              if (isLeaving
                  && (state.fenced() || state.faulty())
                  && !state.open()
                  && state.tasks() == 0) {
                terminable.add(machine);
              }
            });
  }

  /**
   * Adds unreachable machines if they are few. A few are dead or cut off, and terminating them
   * proves their tasks gone. Many at once, or much of a zone, are more likely behind a temporary
   * network failure, and a zone that is cut off continues to run its tasks.
   */
  private void addUnreachable(Autoscaler.View view, Set<MachineId> terminable) {
    boolean networkFailure = isNetworkFailure(view);
    List<MachineId> unreachable = new ArrayList<>();
    view.machines()
        .forEach(
            (machine, state) -> {
              if (state.silentFor().isLongerThan(unreachableTimeout(machine, networkFailure))
                  && !view.machinesReportingElsewhere().contains(machine)) {
                unreachable.add(machine);
              }
            });
    Map<String, Integer> allByZone = countByZone(view.machines().keySet());
    Map<String, Integer> unreachableByZone = countByZone(unreachable);
    boolean isFew = unreachable.size() <= Math.max(2, view.machines().size() / 5);
    for (MachineId machine : unreachable) {
      String zone = cache.shardOf(machine).zone();
      double maxOfZone = Math.max(2, allByZone.get(zone) * MAX_UNREACHABLE_SHARE_OF_ZONE);
      if (isFew && unreachableByZone.get(zone) <= maxOfZone) {
        terminable.add(machine);
      }
    }
  }

  private Map<String, Integer> countByZone(Collection<MachineId> machines) {
    Map<String, Integer> counts = new HashMap<>();
    machines.forEach(machine -> counts.merge(cache.shardOf(machine).zone(), 1, Integer::sum));
    return counts;
  }

  /**
   * How long a machine may be unreachable. An unreachable spot machine has most likely been
   * preempted, and terminating it proves its tasks gone, unless on-demand machines, which are never
   * preempted, become unreachable as well. Those are cut off: their tasks end with their leases,
   * and they may well return with their images. A dead one is listed as failed after a while.
   */
  private TimeSpan unreachableTimeout(MachineId machine, boolean networkFailure) {
    return isSpot(machine) && !networkFailure
        ? spotTimeout()
        : settings.agentTimeouts().lease().plus(PARTITION_TIMEOUT);
  }

  private boolean isSpot(MachineId machine) {
    ShardLease shard = cache.shardOf(machine);
    return shard != null && shard.spot();
  }

  private TimeSpan spotTimeout() {
    return settings.agentTimeouts().heartbeatInterval().times(2.5).plus(TimeSpan.ofSeconds(3));
  }

  /** Whether on-demand machines are unreachable as well as spot machines. */
  private boolean isNetworkFailure(Autoscaler.View view) {
    int spot = 0;
    int onDemand = 0;
    int unreachableSpot = 0;
    int unreachableOnDemand = 0;
    for (Map.Entry<MachineId, PeerHeartbeat.MachineState> entry : view.machines().entrySet()) {
      int unreachable = entry.getValue().silentFor().isLongerThan(spotTimeout()) ? 1 : 0;
      if (isSpot(entry.getKey())) {
        spot++;
        unreachableSpot += unreachable;
      } else {
        onDemand++;
        unreachableOnDemand += unreachable;
      }
    }
    return unreachableOnDemand > 1
        && ON_DEMAND_LOSS_WEIGHT * unreachableOnDemand * spot > unreachableSpot * onDemand;
  }

  /**
   * Adds unreachable machines that the cloud no longer lists, however many they are: they will not
   * return. Terminating them is the proof without which their shards' work would wait without end.
   */
  private void addUnlisted(Autoscaler.View view, Set<MachineId> terminable) {
    for (MachineId machine : inventory.unlisted()) {
      PeerHeartbeat.MachineState state = view.machines().get(machine);
      if (state != null
          && state.silentFor().isLongerThan(spotTimeout())
          && !view.machinesReportingElsewhere().contains(machine)) {
        terminable.add(machine);
      }
    }
  }

  /** Adds instances that failed, never joined a shard, or are not needed. */
  private void addUnneeded(Situation situation, Set<MachineId> terminable) {
    for (CloudInstance instance : inventory.listed()) {
      MachineId id = instance.machine().id();
      double bootSeconds = inventory.bootTime(instance.machine().type()).seconds();
      double ageSeconds = instance.age().seconds();
      boolean isPlaced = cache.shardOf(id) != null;
      boolean isStuck = !isPlaced && ageSeconds > 5 * bootSeconds + 60;
      boolean isUnneeded = !isPlaced && situation.isCalm() && ageSeconds > 2 * bootSeconds;
      if (instance.status() == CloudCodec.Status.FAILED || isStuck || isUnneeded) {
        terminable.add(id);
      }
    }
  }
}
