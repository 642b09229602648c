package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.Team;
import org.quincecross.modelserving.Model;
import org.quincecross.net.Timers;
import org.quincecross.peer.ModelPlacementView;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.scheduling.Admission;
import org.quincecross.scheduling.Headroom;
import org.quincecross.scheduling.JobDemand;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ModelIndex;
import org.quincecross.state.ShardLease;

/**
 * Admission with model serving: replicas of models go to the shards of their chosen machines,
 * everything else as usual.
 */
final class ModelAdmission {
  private final Timers timers;
  private final ClusterStateCache cache;
  private final ModelIndex records;
  private final ModelPlacementView machines;
  private final AllocationIndex allocationIndex;
  private final Supplier<Map<String, Team>> teams;
  private Collection<ModelSnapshot> snapshots = List.of();

  ModelAdmission(
      Timers timers,
      ClusterStateCache cache,
      ModelIndex records,
      ModelPlacementView machines,
      AllocationIndex allocationIndex,
      Supplier<Map<String, Team>> teams) {
    this.timers = timers;
    this.cache = cache;
    this.records = records;
    this.machines = machines;
    this.allocationIndex = allocationIndex;
    this.teams = teams;
  }

  /** Updates the models. */
  void update(Collection<ModelSnapshot> now) {
    snapshots = now;
  }

  /**
   * Admits pending jobs: each model replica to the shard of its machine, other tasks as usual, all
   * under the same limits, zones and preemption. Returns the demand without capacity.
   */
  List<Admission.Unmet> admit(
      Collection<Admission.ShardCapacity> shards,
      Map<ShardId, List<Headroom>> reserves,
      List<JobDemand> demands) {
    Map<String, Team> limits = teams.get();
    Map<String, Resources> use = new HashMap<>(allocationIndex.teamUsage());
    List<JobDemand> others = new ArrayList<>();
    List<JobDemand> placed = new ArrayList<>();
    demands.forEach(each -> (records.nameOf(each.job().id()) == null ? others : placed).add(each));
    placed.stream()
        .filter(each -> each.job().priority() == Priority.PRODUCTION)
        .forEach(each -> admit(each, shards, limits, use, reserves));
    List<Admission.Unmet> all =
        new ArrayList<>(new Admission(shards, limits, use, reserves).run(others));
    List<JobDemand> last =
        placed.stream().filter(each -> each.job().priority() != Priority.PRODUCTION).toList();
    if (!last.isEmpty()) {
      addAdmitted(shards, use);
      last.forEach(each -> admit(each, shards, limits, use, reserves));
    }
    return all;
  }

  private void addAdmitted(Collection<Admission.ShardCapacity> shards, Map<String, Resources> use) {
    shards.forEach(
        shard ->
            shard
                .admitted()
                .forEach(
                    (id, tasks) -> {
                      if (records.nameOf(id) == null) {
                        Job job = cache.job(id).job();
                        use.merge(
                            job.team(), job.taskResources().times(tasks.size()), Resources::plus);
                      }
                    }));
  }

  private void admit(
      JobDemand demand,
      Collection<Admission.ShardCapacity> shards,
      Map<String, Team> limits,
      Map<String, Resources> use,
      Map<ShardId, List<Headroom>> reserves) {
    Job job = demand.job();
    Model model = records.of(job.id());
    Map<ShardId, TaskSet> pools = new TreeMap<>();
    for (int index = demand.pool().nextMember(0);
        index >= 0;
        index = demand.pool().nextMember(index + 1)) {
      Model.Placement place = model.placements().get(index);
      ShardLease lease = place == null ? null : cache.shardOf(place.machine());
      if (lease != null
          && (job.kind() == JobKind.GANG
              || !waitsForOtherPull(job.id(), place.machine(), job.image()))) {
        pools.computeIfAbsent(lease.id(), id -> new TaskSet()).add(index);
      }
    }
    for (Admission.ShardCapacity shard : shards) {
      TaskSet pool = pools.get(shard.id());
      if (pool != null) {
        int before = count(shard, job.id());
        new Admission(List.of(shard), limits, use, reserves)
            .run(
                List.of(
                    new JobDemand(
                        job,
                        demand.accepted(),
                        demand.dueS(),
                        demand.guaranteed(),
                        false,
                        pool,
                        demand.perZone(),
                        Admission.Place.ROUND_ROBIN_TURN,
                        demand.order())));
        use.merge(
            job.team(),
            job.taskResources().times(count(shard, job.id()) - before),
            Resources::plus);
      }
    }
  }

  private static int count(Admission.ShardCapacity shard, JobId job) {
    TaskSet tasks = shard.admitted().get(job);
    return tasks == null ? 0 : tasks.size();
  }

  /**
   * Whether a replica should wait for another model's image pull on its machine: pulls share the
   * bandwidth, so one after the other the first is ready sooner and the last no later.
   */
  private boolean waitsForOtherPull(JobId id, MachineId machine, String image) {
    ModelSnapshot mine = null;
    for (ModelSnapshot snapshot : snapshots) {
      mine = snapshot.job().id().equals(id) ? snapshot : mine;
    }
    PeerHeartbeat.MachineState state = machines.state(machine, timers.now());
    if (mine == null || state == null || state.images().contains(image)) {
      return false;
    }
    for (ModelSnapshot other : snapshots) {
      boolean before =
          !other.job().image().equals(image)
              && (other.model().phaseSinceMs() < mine.model().phaseSinceMs()
                  || (other.model().phaseSinceMs() == mine.model().phaseSinceMs()
                      && other.name().compareTo(mine.name()) < 0));
      if (before && other.startsOn(machine)) {
        return true;
      }
    }
    return false;
  }
}
