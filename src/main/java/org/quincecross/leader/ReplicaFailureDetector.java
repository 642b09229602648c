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
 * Which places of models have failed: their machines are gone, going, not heard, or have not
 * started a replica in time.
 */
final class ReplicaFailureDetector {
  /**
   * A fetch may take so many times as long as its rate says, and so much more, before it is given
   * up.
   */
  private static final double FETCH_PATIENCE = 2.5;

  private static final TimeSpan START_PATIENCE = TimeSpan.ofSeconds(30);

  /** A replica whose machine has no room after all gets another place after so long. */
  private static final TimeSpan ROOM_PATIENCE = TimeSpan.ofSeconds(8);

  private static final String NO_ROOM = "has no room";

  /** A replica in a place, since this leader has known of it. */
  private record Start(String model, int replica, long epoch) {}

  private final ReplicatedFeatureContext base;
  private final ModelPlacementView machines;
  private final Map<Start, MonotonicTime> begun = new HashMap<>();
  private final Map<MachineId, MonotonicTime> shutSince = new HashMap<>();
  private Collection<ModelSnapshot> looks = List.of();

  ReplicaFailureDetector(ReplicatedFeatureContext base, ModelPlacementView machines) {
    this.base = base;
    this.machines = machines;
  }

  /** Takes note of the places that there are now. */
  void look(Collection<ModelSnapshot> now, MonotonicTime at) {
    looks = now;
    Set<Start> known = new HashSet<>();
    for (ModelSnapshot look : looks) {
      look.model()
          .places()
          .forEach(
              (replica, place) -> {
                Start start = new Start(look.name(), replica, place.epoch());
                known.add(start);
                begun.putIfAbsent(start, at);
              });
    }
    begun.keySet().retainAll(known);
  }

  void forget() {
    begun.clear();
    shutSince.clear();
    looks = List.of();
  }

  /** Since when a place has been known here. */
  MonotonicTime since(ModelSnapshot look, int replica, Model.Place place, MonotonicTime now) {
    return begun.getOrDefault(new Start(look.name(), replica, place.epoch()), now);
  }

  /** The replicas whose places have failed, or null. */
  ModelCommand lost(ModelSnapshot look, MonotonicTime now) {
    Set<Integer> replicas = new HashSet<>();
    Set<MachineId> bad = new HashSet<>();
    String why = "";
    for (Map.Entry<Integer, Model.Place> each : look.model().places().entrySet()) {
      MachineId machine = each.getValue().machine();
      String wrong = wrongWith(look, each.getKey(), each.getValue(), now);
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
    // Of a gang nothing runs without the rest of it.
    return new ModelCommand.Lose(
        look.model().epoch(),
        look.job().kind() == JobKind.GANG ? look.model().places().keySet() : replicas,
        bad,
        why);
  }

  private String wrongWith(ModelSnapshot look, int replica, Model.Place place, MonotonicTime now) {
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
      return null; // its holder is being replaced: nothing is known
    }
    if (state.notice() || state.sick()) {
      return state.notice() ? "is taken back" : "fails what it is given";
    }
    if (!state.open()) {
      MonotonicTime since = shutSince.computeIfAbsent(machine, id -> now);
      return now.since(since).isLongerThan(base.settings().agentTimeouts().lease())
          ? "is not heard"
          : null;
    }
    shutSince.remove(machine);
    MonotonicTime since = since(look, replica, place, now);
    if (look.runs(replica)) {
      return null;
    }
    MachineType type = base.cache().machineTypes().get(lease.type());
    double perGb =
        type == null || type.pullGbPerSecond() <= 0 ? 0 : FETCH_PATIENCE / type.pullGbPerSecond();
    TimeSpan turn = TimeSpan.ofSeconds(perGb * others(machine, look.job().image()));
    if (!look.isOut(replica)) {
      return now.since(since).isLongerThan(ROOM_PATIENCE.plus(turn)) ? NO_ROOM : null;
    }
    return now.since(since)
            .isLongerThan(
                START_PATIENCE.plus(turn).plus(TimeSpan.ofSeconds(perGb * look.job().imageGb())))
        ? "did not start it in time"
        : null;
  }

  /** What else a machine is to fetch for models that start there, in GB. */
  private double others(MachineId machine, String image) {
    Map<String, Double> sizes = new HashMap<>();
    for (ModelSnapshot other : looks) {
      other
          .model()
          .places()
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
