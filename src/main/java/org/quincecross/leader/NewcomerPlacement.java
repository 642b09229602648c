package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineType;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.protocol.Settings;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.ShardLease;

/** Assigns machines that have joined to shards with room for them, or to new shards. */
final class NewcomerPlacement {
  /** The paper's minimum: "Neighbours start at six similar machines per block." */
  private static final int MIN_SHARD_SIZE = 6;

  /**
   * The number of shards for each write per second; with more, each shard's allocation could be
   * written too rarely.
   */
  private static final double SHARDS_PER_WRITE = 0.6;

  /**
   * The space of a task in a shard's allocation record: 14 bytes for a job's only task, 4 in an
   * array. Admission enforces the limit.
   */
  private static final int BYTES_PER_TASK = 8;

  /** Makes a new shard for a machine, leased to a suitable controller. */
  interface ShardFactory {
    ShardLease create(Machine machine, Map<ControllerId, Integer> load);
  }

  private final ClusterStateCache cache;
  private final Settings settings;
  private final DemandForecast forecast;
  private final AllocationIndex allocationIndex;
  private final Autoscaler autoscaler;

  NewcomerPlacement(LeaderContext context, Autoscaler autoscaler) {
    this.cache = context.cache();
    this.settings = context.settings();
    this.forecast = context.forecast();
    this.allocationIndex = context.allocationIndex();
    this.autoscaler = autoscaler;
  }

  /**
   * Adds machines to shards.
   *
   * @param next the shards that change, which are extended
   * @param deleted shards that are about to be deleted
   * @param load the number of machines of each controller, which is updated
   * @param maxBytes the maximum size of a shard's record
   */
  void add(
      Collection<Machine> newcomers,
      Map<ShardId, ShardLease> next,
      Set<ShardId> deleted,
      Map<ControllerId, Integer> load,
      int maxBytes,
      ShardFactory factory) {
    Map<MachineKind, List<ShardId>> candidates = candidates(deleted);
    for (Machine machine : newcomers) {
      MachineType type = cache.machineTypes().get(machine.type());
      if (type == null) {
        continue;
      }
      MachineKind kind = MachineKind.of(machine);
      List<ShardId> shards = candidates.computeIfAbsent(kind, each -> new ArrayList<>());
      ShardLease home = home(machine, shards, next, maxMachinesPerShard(type), maxBytes);
      if (home != null) {
        next.put(home.id(), home.with(machine));
        load.merge(home.owner(), 1, Integer::sum);
      } else {
        ShardLease created = factory.create(machine, load);
        load.merge(created.owner(), 1, Integer::sum);
        next.put(created.id(), created);
        shards.add(created.id());
      }
    }
  }

  private Map<MachineKind, List<ShardId>> candidates(Set<ShardId> deleted) {
    Map<MachineKind, List<ShardId>> candidates = new HashMap<>();
    for (ShardLease shard : cache.shards().values()) {
      if (!deleted.contains(shard.id())) {
        candidates
            .computeIfAbsent(MachineKind.of(shard), kind -> new ArrayList<>())
            .add(shard.id());
      }
    }
    return candidates;
  }

  /** The first shard with room for a machine, or null; shards without room are removed. */
  private ShardLease home(
      Machine machine,
      List<ShardId> shards,
      Map<ShardId, ShardLease> next,
      int maxMachines,
      int maxBytes) {
    while (!shards.isEmpty()) {
      ShardLease shard = next.getOrDefault(shards.get(0), cache.shard(shards.get(0)));
      // A shard whose record would exceed a value cannot be written, and its machines would be in
      // no shard.
      if (shard.machines().size() < maxMachines && shard.with(machine).maxBytes() <= maxBytes) {
        return shard;
      }
      shards.remove(0);
    }
    return null;
  }

  /**
   * The maximum number of machines in a shard: higher with more machines and fewer writes per
   * second.
   */
  private int maxMachinesPerShard(MachineType type) {
    int all = autoscaler.expected();
    double bySize = Math.ceil(all / (SHARDS_PER_WRITE * settings.storeLimits().writesPerSecond()));
    Resources small = forecast.urgentTask();
    int tasks =
        Math.max(
            1,
            small.cpus() > 0 ? type.capacity().capacityFor(small) : (int) type.capacity().cpus());
    int byRecord =
        Math.max(MIN_SHARD_SIZE, settings.storeLimits().maxValueBytes() / BYTES_PER_TASK / tasks);
    return (int)
        Math.max(Math.max(MIN_SHARD_SIZE, largestPendingGang(type)), Math.min(bySize, byRecord));
  }

  /**
   * The number of machines of a type that the largest pending gang needs, which decides how large a
   * shard may grow for it.
   */
  private int largestPendingGang(MachineType type) {
    int most = 0;
    for (JobId id : allocationIndex.jobsWithPendingTasks()) {
      Job job = allocationIndex.get(id).job();
      int each = type.capacity().capacityFor(job.taskResources());
      if (job.kind() == JobKind.GANG
          && each > 0
          && (job.machineTypes() == null || job.machineTypes().contains(type.name()))) {
        most = Math.max(most, (job.taskCount() + each - 1) / each);
      }
    }
    return most;
  }
}
