package org.quincecross.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.replicated.StartBlock;
import org.quincecross.scheduling.Headroom;

/**
 * Observes the demand and derives how much headroom each shard should keep for work that has not
 * arrived yet.
 */
public final class DemandForecast {
  /** Demand seen within this window is expected to return. */
  private static final TimeSpan DEMAND_WINDOW = TimeSpan.ofSeconds(300);

  /** Whole machines kept free beyond those that pending large work needs. */
  private static final int SPARE_MACHINES = 2;

  /** One urgent task's headroom is kept for this many machines. */
  private static final int MACHINES_PER_URGENT_TASK = 6;

  private static final TimeSpan REFRESH_INTERVAL = TimeSpan.ofSeconds(1);

  /** Marks shards without headroom, in which starving jobs still have to be started. */
  private static final Headroom NO_HEADROOM =
      new Headroom(Headroom.Purpose.LARGE_WORK, Resources.NONE, 0);

  private record Kind(String machineType, boolean spot) {}

  private record Seen(Resources largest, MonotonicTime lastSeen) {}

  private final ClusterStateCache cache;
  private final StartBlock startBlock;
  private final Map<Kind, Seen> recentDemand = new HashMap<>();
  private final Map<ShardId, List<Headroom>> headroomByShard = new HashMap<>();
  private final Map<ShardId, List<Headroom>> headroomForPlan = new HashMap<>();
  private final StarvationTracker starvation;
  private Seen urgent;
  private MonotonicTime computedAt;
  private ReservedCapacity reservedCapacity;
  private long reservedCapacityVersion;

  /** Creates a forecast in which no task is blocked. */
  public DemandForecast(ClusterStateCache cache) {
    this(cache, StartBlock.NONE);
  }

  /**
   * Creates a forecast.
   *
   * @param startBlock tasks that may not run now; no headroom is kept for them
   */
  public DemandForecast(ClusterStateCache cache, StartBlock startBlock) {
    this.cache = cache;
    this.startBlock = startBlock;
    starvation = new StarvationTracker(cache);
  }

  /** Adds the capacity reserved for deadline requests to the headroom. */
  public void keep(ReservedCapacity rooms) {
    reservedCapacity = rooms;
  }

  /** The headroom that a shard's owner keeps when it starts tasks. */
  public List<Headroom> headroomFor(ShardId shard, MonotonicTime now) {
    refresh(now);
    return headroomByShard.getOrDefault(shard, List.of());
  }

  /**
   * The headroom that the leader's plan keeps: a job that was just allocated something no longer
   * counts as starving.
   */
  public List<Headroom> headroomForPlan(ShardId shard, MonotonicTime now) {
    refresh(now);
    return headroomForPlan.getOrDefault(shard, List.of());
  }

  private void refresh(MonotonicTime now) {
    // The forecast covers minutes of demand, so refreshing it at every change would be wasted.
    boolean others =
        reservedCapacity != null && reservedCapacity.version() != reservedCapacityVersion;
    if (computedAt == null || others || now.since(computedAt).isLongerThan(REFRESH_INTERVAL)) {
      compute(now);
      computedAt = now;
    }
  }

  /**
   * The largest resource demand among recent tasks of the highest priority; none if there were
   * none.
   */
  public Resources urgentTask() {
    return urgent == null ? Resources.NONE : urgent.largest();
  }

  private void compute(MonotonicTime now) {
    headroomByShard.clear();
    Map<Kind, Integer> waiting = new HashMap<>();
    for (JobRecord record : cache.openJobs()) {
      int mayRun = record.job().taskCount() - startBlock.blockedTasks(record.job()).size();
      if (mayRun <= 0 || cache.dependencyGraph().isWaiting(record.id())) {
        continue;
      }
      if (record.job().priority() == Priority.PRODUCTION) {
        urgent = new Seen(record.job().taskResources(), now);
      } else {
        starvation.observe(record.id(), now);
      }
      for (MachineType type : cache.machineTypes().values()) {
        refresh(record.job(), mayRun, type, waiting, now);
      }
    }
    starvation.forgetUnobserved();
    recentDemand
        .values()
        .removeIf(large -> now.since(large.lastSeen()).isLongerThan(DEMAND_WINDOW));
    recentDemand.forEach(
        (kind, large) -> distribute(kind, large, waiting.getOrDefault(kind, 0) + SPARE_MACHINES));
    reserveForUrgent(now);
    if (reservedCapacity != null) {
      reservedCapacityVersion = reservedCapacity.version();
      reservedCapacity
          .headroomByShard()
          .forEach(
              (shard, list) ->
                  headroomByShard.computeIfAbsent(shard, id -> new ArrayList<>()).addAll(list));
    }
    lend(starvation.starvingForPlan(now), starvation.starvingForStart(now));
  }

  /**
   * Lends headroom for expected work, or for work that waits for its team's limit, to starving jobs
   * (docs/incidents/kept-room-without-an-end.md). While the cloud has machines, such jobs get new
   * ones; at its capacity they would otherwise never start. Urgent work takes the room back at once
   * by preemption.
   */
  private void lend(Set<JobId> toPlan, Set<JobId> toStart) {
    headroomForPlan.clear();
    for (ShardId shard : cache.shards().keySet()) {
      List<Headroom> kept = headroomByShard.getOrDefault(shard, List.of(NO_HEADROOM));
      headroomForPlan.put(shard, lentTo(kept, toPlan));
      headroomByShard.put(shard, lentTo(kept, toStart));
    }
  }

  private static List<Headroom> lentTo(List<Headroom> kept, Set<JobId> jobs) {
    return kept.stream()
        .map(each -> each.purpose() == Headroom.Purpose.REQUESTS ? each : each.lentTo(jobs))
        .toList();
  }

  private void refresh(
      Job job, int tasks, MachineType type, Map<Kind, Integer> waiting, MonotonicTime now) {
    if (!Headroom.isLarge(job, type.capacity())
        || (job.machineTypes() != null && !job.machineTypes().contains(type.name()))) {
      return;
    }
    for (boolean spot : job.allowsSpot() ? new boolean[] {true, false} : new boolean[] {false}) {
      Kind kind = new Kind(type.name(), spot);
      Resources each = job.taskResources();
      Seen before = recentDemand.get(kind);
      if (before != null) {
        each =
            new Resources(
                Math.max(each.cpus(), before.largest().cpus()),
                Math.max(each.gpus(), before.largest().gpus()),
                Math.max(each.memoryGb(), before.largest().memoryGb()));
      }
      recentDemand.put(kind, new Seen(each, now));
      if (cache.shardsOf(job.id()).isEmpty()) {
        waiting.merge(kind, tasks, Integer::sum);
      }
    }
  }

  /** Distributes a number of whole machines over the shards of a kind, by shard size. */
  private void distribute(Kind kind, Seen large, int machines) {
    int all = 0;
    for (ShardLease shard : cache.shards().values()) {
      all += isOf(shard, kind) ? shard.machines().size() : 0;
    }
    for (ShardLease shard : cache.shards().values()) {
      if (isOf(shard, kind)) {
        int share = (int) Math.ceil((double) machines * shard.machines().size() / all);
        keep(
            shard,
            new Headroom(
                Headroom.Purpose.LARGE_WORK,
                large.largest(),
                Math.min(share, shard.machines().size())));
      }
    }
  }

  private void keep(ShardLease shard, Headroom headroom) {
    headroomByShard.computeIfAbsent(shard.id(), id -> new ArrayList<>()).add(headroom);
  }

  /** Every sufficiently large shard of on-demand machines keeps headroom for services. */
  private void reserveForUrgent(MonotonicTime now) {
    if (urgent == null || now.since(urgent.lastSeen()).isLongerThan(DEMAND_WINDOW)) {
      return;
    }
    for (ShardLease shard : cache.shards().values()) {
      MachineType type = cache.machineTypes().get(shard.type());
      boolean small =
          type != null && urgent.largest().fitsIn(type.capacity()) && type.capacity().gpus() == 0;
      if (!shard.spot() && small && shard.machines().size() >= 3) {
        int rooms =
            (shard.machines().size() + MACHINES_PER_URGENT_TASK - 1) / MACHINES_PER_URGENT_TASK;
        keep(shard, new Headroom(Headroom.Purpose.URGENT_WORK, urgent.largest(), rooms));
      }
    }
  }

  private static boolean isOf(ShardLease shard, Kind kind) {
    return shard.type().equals(kind.machineType()) && shard.spot() == kind.spot();
  }
}
