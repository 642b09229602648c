package org.quincecross.leader;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.modelserving.Model;
import org.quincecross.modelserving.ModelCommand;
import org.quincecross.peer.ModelPlacementView;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.state.ShardLease;

/**
 * Detects model replicas whose machine is gone, about to be taken, unreachable, or has not started
 * them in time.
 */
final class ReplicaFailureDetector {
  /**
   * An image pull may take this multiple of its nominal time, plus the next constant, before it
   * counts as failed.
   */
  private static final double PULL_TIMEOUT_FACTOR = 2.5;

  private static final TimeSpan START_TIMEOUT = TimeSpan.ofSeconds(30);

  /** A replica whose machine turns out to have no capacity gets another machine after this time. */
  private static final TimeSpan CAPACITY_TIMEOUT = TimeSpan.ofSeconds(8);

  private static final String NO_ROOM = "has no room";

  /** A replica on a machine, since this leader has known of it. */
  private record Start(String model, int replica, long epoch) {}

  private final ReplicatedFeatureContext base;
  private final ModelPlacementView machines;
  private final Map<Start, MonotonicTime> firstStarts = new HashMap<>();
  private final Map<MachineId, MonotonicTime> shutSince = new HashMap<>();
  private Collection<ModelSnapshot> snapshots = List.of();

  ReplicaFailureDetector(ReplicatedFeatureContext base, ModelPlacementView machines) {
    this.base = base;
    this.machines = machines;
  }

  /** Updates the placements. */
  void update(Collection<ModelSnapshot> now, MonotonicTime at) {
    snapshots = now;
    Set<Start> known = new HashSet<>();
    for (ModelSnapshot snapshot : snapshots) {
      snapshot
          .model()
          .placements()
          .forEach(
              (replica, place) -> {
                Start start = new Start(snapshot.name(), replica, place.epoch());
                known.add(start);
                firstStarts.putIfAbsent(start, at);
              });
    }
    firstStarts.keySet().retainAll(known);
  }

  void forget() {
    firstStarts.clear();
    shutSince.clear();
    snapshots = List.of();
  }

  /** Since when a placement has been known here. */
  MonotonicTime since(
      ModelSnapshot snapshot, int replica, Model.Placement place, MonotonicTime now) {
    return firstStarts.getOrDefault(new Start(snapshot.name(), replica, place.epoch()), now);
  }

  /** The replicas whose placements have failed, or null. */
  ModelCommand failedReplicas(ModelSnapshot snapshot, MonotonicTime now) {
    Set<Integer> replicas = new HashSet<>();
    Set<MachineId> bad = new HashSet<>();
    String why = "";
    for (Map.Entry<Integer, Model.Placement> each : snapshot.model().placements().entrySet()) {
      MachineId machine = each.getValue().machine();
      String wrong = failureReason(snapshot, each.getKey(), each.getValue(), now);
      if (wrong != null) {
        replicas.add(each.getKey());
        if (!wrong.equals(NO_ROOM)) {
          bad.add(machine);
        }
        why = machine + " " + wrong;
      }
    }
    if (replicas.isEmpty()) {
      return null;
    }
    // A gang does not run without all of its tasks.
    return new ModelCommand.RemoveReplicas(
        snapshot.model().epoch(),
        snapshot.job().kind() == JobKind.GANG ? snapshot.model().placements().keySet() : replicas,
        bad,
        why);
  }

  private String failureReason(
      ModelSnapshot snapshot, int replica, Model.Placement place, MonotonicTime now) {
    MachineId machine = place.machine();
    ShardLease lease = base.cache().shardOf(machine);
    if (lease == null) {
      return "is gone";
    }
    if (lease.leaving().contains(machine)) {
      return "is leaving";
    }
    PeerHeartbeat.MachineState state = machines.state(machine, now);
    if (state == null) {
      return null; // the shard's owner is being replaced: nothing is known
    }
    if (state.terminationNotice() || state.faulty()) {
      return state.terminationNotice() ? "is taken back" : "fails what it is given";
    }
    if (!state.open()) {
      MonotonicTime since = shutSince.computeIfAbsent(machine, id -> now);
      return now.since(since).isLongerThan(base.settings().agentTimeouts().lease())
          ? "is not heard"
          : null;
    }
    shutSince.remove(machine);
    MonotonicTime since = since(snapshot, replica, place, now);
    if (snapshot.runs(replica)) {
      return null;
    }
    MachineType type = base.cache().machineTypes().get(lease.type());
    double perGb =
        type == null || type.pullGbPerSecond() <= 0
            ? 0
            : PULL_TIMEOUT_FACTOR / type.pullGbPerSecond();
    TimeSpan turn = TimeSpan.ofSeconds(perGb * otherPullsGb(machine, snapshot.job().image()));
    if (!snapshot.isAllocated(replica)) {
      return now.since(since).isLongerThan(CAPACITY_TIMEOUT.plus(turn)) ? NO_ROOM : null;
    }
    return now.since(since)
            .isLongerThan(
                START_TIMEOUT.plus(turn).plus(TimeSpan.ofSeconds(perGb * snapshot.job().imageGb())))
        ? "did not start it in time"
        : null;
  }

  /** The volume of other image pulls on a machine for models that start there, in GB. */
  private double otherPullsGb(MachineId machine, String image) {
    Map<String, Double> sizes = new HashMap<>();
    for (ModelSnapshot other : snapshots) {
      other
          .model()
          .placements()
          .forEach(
              (replica, place) -> {
                if (place.machine().equals(machine)
                    && !other.runs(replica)
                    && !other.job().image().equals(image)) {
                  sizes.put(other.job().image(), other.job().imageGb());
                }
              });
    }
    return sizes.values().stream().mapToDouble(Double::doubleValue).sum();
  }
}
