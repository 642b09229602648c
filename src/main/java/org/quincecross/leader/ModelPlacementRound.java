package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.model.Job;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.modelserving.Model;
import org.quincecross.modelserving.ReplicaPlacer;
import org.quincecross.peer.ModelPlacementView;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ShardLease;

/**
 * Chooses machines for all models of one evaluation; what one model takes is not offered to the
 * next.
 */
final class ModelPlacementRound {
  /** After this time a placement is visible in the owner's reports. */
  private static final TimeSpan PLACEMENT_VISIBILITY_DELAY = TimeSpan.ofSeconds(3);

  private final Map<MachineId, List<Job>> placedJobs = new HashMap<>();

  /** The resources of each team's replicas that have a machine and are not allocated yet. */
  private final Map<String, Resources> placedDemand = new HashMap<>();

  private final ReplicaFailureDetector failureDetector;
  private final ModelPlacementView machines;
  private final AllocationIndex allocationIndex;
  private final ClusterStateCache cache;
  private final Map<String, Team> teams;
  private final MonotonicTime now;
  private List<ReplicaPlacer.Candidate> candidates;

  /**
   * Starts a round.
   *
   * @param chosen the machines chosen by commands that are pending, by model
   * @param teams the teams with the limits in force
   */
  ModelPlacementRound(
      List<ModelSnapshot> snapshots,
      Map<String, Collection<MachineId>> chosen,
      ReplicaFailureDetector failureDetector,
      ModelPlacementView machines,
      AllocationIndex allocationIndex,
      ClusterStateCache cache,
      Map<String, Team> teams,
      MonotonicTime now) {
    this.failureDetector = failureDetector;
    this.machines = machines;
    this.allocationIndex = allocationIndex;
    this.cache = cache;
    this.teams = teams;
    this.now = now;
    for (ModelSnapshot snapshot : snapshots) {
      chosen
          .getOrDefault(snapshot.name(), List.of())
          .forEach(machine -> add(machine, snapshot.job()));
      addPlaced(snapshot);
    }
  }

  /** Adds the replicas that have a machine and are not visible in its reports yet. */
  private void addPlaced(ModelSnapshot snapshot) {
    snapshot
        .model()
        .placements()
        .forEach(
            (replica, place) -> {
              boolean seen =
                  snapshot.isAllocated(replica)
                      && now.since(failureDetector.since(snapshot, replica, place, now))
                          .isLongerThan(PLACEMENT_VISIBILITY_DELAY);
              if (snapshot.model().isUp() && !snapshot.runs(replica) && !seen) {
                placedJobs
                    .computeIfAbsent(place.machine(), id -> new ArrayList<>())
                    .add(snapshot.job());
                if (!snapshot.isAllocated(replica)) {
                  placedDemand.merge(
                      snapshot.job().team(), snapshot.job().taskResources(), Resources::plus);
                }
              }
            });
  }

  private void add(MachineId machine, Job job) {
    placedJobs.computeIfAbsent(machine, id -> new ArrayList<>()).add(job);
    placedDemand.merge(job.team(), job.taskResources(), Resources::plus);
  }

  /** The number of further replicas that the team's limit allows. */
  int withinLimit(ModelSnapshot snapshot) {
    Team team = teams.get(snapshot.job().team());
    return team == null
        ? 0
        : team.limit()
            .minus(allocationIndex.teamUsage().getOrDefault(team.name(), Resources.NONE))
            .minus(placedDemand.getOrDefault(team.name(), Resources.NONE))
            .capacityFor(snapshot.job().taskResources());
  }

  List<ReplicaPlacer.Candidate> candidates() {
    candidates = candidates == null ? machines.candidates(placedJobs, now) : candidates;
    return candidates;
  }

  Map<Integer, MachineId> choose(ModelSnapshot snapshot, int most) {
    List<Integer> free = new ArrayList<>();
    for (int replica = 0; replica < snapshot.tasks(); replica++) {
      // A replica that may still run somewhere gets no other machine before it is proven gone.
      if (!snapshot.model().placements().containsKey(replica) && !snapshot.isAllocated(replica)) {
        free.add(replica);
      }
    }
    boolean isGang = snapshot.job().kind() == JobKind.GANG;
    if (isGang && (free.size() < snapshot.tasks() || most < snapshot.tasks())) {
      return Map.of();
    }
    Set<MachineId> has = new HashSet<>();
    snapshot.model().placements().values().forEach(place -> has.add(place.machine()));
    List<ReplicaPlacer.Assignment> choices =
        isGang
            ? ReplicaPlacer.chooseWithinShard(
                snapshot.job(), candidates(), snapshot.model().avoidedMachines())
            : ReplicaPlacer.choose(
                snapshot.job(),
                Math.min(most, free.size()),
                replicasByZone(snapshot, cache),
                has,
                candidates(),
                snapshot.model().avoidedMachines());
    Map<Integer, MachineId> places = new TreeMap<>();
    for (int i = 0; i < choices.size(); i++) {
      places.put(free.get(i), choices.get(i).machine());
      add(choices.get(i).machine(), snapshot.job());
    }
    if (!places.isEmpty()) {
      candidates = null;
    }
    return places;
  }

  /** The number of a model's placed replicas in each zone. */
  static Map<String, Integer> replicasByZone(ModelSnapshot snapshot, ClusterStateCache cache) {
    Map<String, Integer> zones = new TreeMap<>();
    for (Model.Placement place : snapshot.model().placements().values()) {
      ShardLease lease = cache.shardOf(place.machine());
      if (lease != null) {
        zones.merge(lease.zone(), 1, Integer::sum);
      }
    }
    return zones;
  }
}
