package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.scheduling.Admission;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ShardLease;

/**
 * Decides which machines to launch for demand without capacity, by price, zone and recent refusals
 * of the cloud.
 */
final class ScaleOutPolicy {
  private static final TimeSpan REFUSAL_BACKOFF = TimeSpan.ofSeconds(15);

  /**
   * How long a large gang waits for the machine kind that it lacks least of, even if the cloud
   * refuses it. Launching other kinds would not help the gang and would use up what the cloud can
   * still provide: with a gang of eight, seven machines in each of two zones and the cloud at its
   * capacity, the gang would never start.
   */
  private static final TimeSpan GOAL_TIMEOUT = TimeSpan.ofSeconds(120);

  private static final int MAX_KINDS = 8;
  private static final int MAX_OF_KIND = 50;

  /** The machine kind by which a large gang's shard is to grow. */
  private record Goal(MachineKind kind, MonotonicTime since) {}

  private final ClusterStateCache cache;
  private final Map<String, MachineType> catalog;
  private final Map<MachineKind, MonotonicTime> refusedUntil = new HashMap<>();
  private final Map<JobId, Goal> goals = new HashMap<>();

  ScaleOutPolicy(ClusterStateCache cache, Map<String, MachineType> catalog) {
    this.cache = cache;
    this.catalog = catalog;
  }

  /** Records that the cloud provided fewer machines of a kind than requested. */
  void recordRefusal(MachineKind kind, MonotonicTime now) {
    refusedUntil.put(kind, now.plus(REFUSAL_BACKOFF));
  }

  private boolean isRefused(MachineKind kind, MonotonicTime now) {
    MonotonicTime until = refusedUntil.get(kind);
    return until != null && now.isBefore(until);
  }

  /**
   * Whether all unmet demand consists of large gangs that wait for other machine kinds and are
   * refused them.
   */
  boolean allWaitForOtherKinds(MachineKind kind, List<Admission.Unmet> unmet, MonotonicTime now) {
    for (Admission.Unmet need : unmet) {
      Goal goal = goals.get(need.job().id());
      if (goal == null || goal.kind().equals(kind) || !isRefused(goal.kind(), now)) {
        return false;
      }
    }
    return !unmet.isEmpty();
  }

  /** The number of machines of each kind that unmet demand needs beyond the incoming ones. */
  Map<MachineKind, Integer> desiredMachines(
      List<Admission.Unmet> unmet, Collection<MachineKind> incoming, MonotonicTime now) {
    List<Bin> bins = new ArrayList<>();
    for (MachineKind kind : incoming) {
      MachineType type = cache.machineTypes().get(kind.type());
      if (type != null) {
        bins.add(new Bin(kind, type.capacity()));
      }
    }
    goals.keySet().retainAll(unmet.stream().map(need -> need.job().id()).toList());
    Map<MachineKind, Integer> wishes = new LinkedHashMap<>();
    Map<MachineKind, Integer> owned = machinesOfKinds(incoming);
    for (Admission.Unmet need : unmet) {
      if (need.job().kind() == JobKind.GANG && desireForLargeGang(need, incoming, wishes, now)) {
        continue;
      }
      int left = need.tasks();
      for (Bin bin : bins) {
        left -= bin.fill(need.job(), left);
      }
      while (left > 0 && wishes.size() < MAX_KINDS) {
        MachineKind kind = choose(need, wishes, owned, now);
        if (kind == null) {
          break;
        }
        Bin bin = new Bin(kind, catalog.get(kind.type()).capacity());
        int filled = bin.fill(need.job(), left);
        if (filled == 0) {
          break;
        }
        left -= filled;
        bins.add(bin);
        wishes.merge(kind, 1, Integer::sum);
        if (wishes.get(kind) >= MAX_OF_KIND) {
          break;
        }
      }
    }
    return wishes;
  }

  /**
   * Grows the shard that lacks least for a gang that fits no shard. False if some shard is large
   * enough and only lacks free capacity.
   */
  private boolean desireForLargeGang(
      Admission.Unmet need,
      Collection<MachineKind> incoming,
      Map<MachineKind, Integer> wishes,
      MonotonicTime now) {
    Map<MachineKind, Integer> missing = new LinkedHashMap<>();
    for (MachineType type : catalog.values()) {
      int each = type.capacity().capacityFor(need.job().taskResources());
      int needed = each == 0 ? 0 : (need.job().taskCount() + each - 1) / each;
      for (String zone : needed > 1 ? type.zones() : List.<String>of()) {
        for (boolean spot : new boolean[] {true, false}) {
          MachineKind kind = new MachineKind(type.name(), zone, spot);
          if (need.job().allows(type.name(), zone, spot)) {
            missing.put(kind, needed - largestBlock(kind));
          }
        }
      }
    }
    if (missing.isEmpty() || missing.values().stream().anyMatch(count -> count <= 0)) {
      goals.remove(need.job().id());
      return false;
    }
    MachineKind goal = goal(need.job().id(), missing, now);
    int coming = (int) incoming.stream().filter(goal::equals).count();
    if (missing.get(goal) > coming && !isRefused(goal, now)) {
      wishes.merge(goal, missing.get(goal) - coming, Math::max);
    }
    return true;
  }

  /**
   * The machine kind that lacks least; it is kept once chosen, unless the cloud has refused it for
   * long.
   */
  private MachineKind goal(JobId gang, Map<MachineKind, Integer> missing, MonotonicTime now) {
    Goal before = goals.get(gang);
    if (before != null
        && missing.containsKey(before.kind())
        && !(isRefused(before.kind(), now)
            && now.since(before.since()).isLongerThan(GOAL_TIMEOUT))) {
      return before.kind();
    }
    MachineKind best = null;
    for (MachineKind kind : missing.keySet()) {
      if (best == null
          || (isRefused(best, now) && !isRefused(kind, now))
          || (isRefused(best, now) == isRefused(kind, now)
              && missing.get(kind) < missing.get(best))) {
        best = kind;
      }
    }
    goals.put(gang, new Goal(best, now));
    return best;
  }

  private int largestBlock(MachineKind kind) {
    int most = 0;
    for (ShardLease shard : cache.shards().values()) {
      if (shard.type().equals(kind.type())
          && shard.zone().equals(kind.zone())
          && shard.spot() == kind.spot()) {
        most = Math.max(most, shard.machines().size());
      }
    }
    return most;
  }

  /** A machine to be launched and its capacity that is not taken yet. */
  private static final class Bin {
    private final MachineKind kind;
    private Resources free;

    Bin(MachineKind kind, Resources free) {
      this.kind = kind;
      this.free = free;
    }

    int fill(Job job, int most) {
      if (!job.allows(kind.type(), kind.zone(), kind.spot())) {
        return 0;
      }
      int n = Math.min(most, free.capacityFor(job.taskResources()));
      free = free.minus(job.taskResources().times(n));
      return n;
    }
  }

  /** The cheapest kind for a task; kinds that were recently refused are avoided. */
  private MachineKind choose(
      Admission.Unmet need,
      Map<MachineKind, Integer> wishes,
      Map<MachineKind, Integer> owned,
      MonotonicTime now) {
    Job job = need.job();
    MachineKind best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : catalog.values()) {
      int slots = type.capacity().capacityFor(job.taskResources());
      if (slots == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          MachineKind kind = new MachineKind(type.name(), zone, spot);
          if (!job.allows(type.name(), zone, spot)
              || isRefused(kind, now)
              || (job.spreadOverZones()
                  && need.perZone().getOrDefault(zone, 0) >= job.maxTasksPerZone())
              || (job.singleZone()
                  && !need.perZone().isEmpty()
                  && !need.perZone().containsKey(zone))) {
            continue;
          }
          double cost =
              (spot ? type.hourlySpotPrice() : type.hourlyPrice())
                  / Math.min(slots, need.tasks())
                  * (1 + 0.02 * owned.getOrDefault(kind, 0) + 0.02 * wishes.getOrDefault(kind, 0));
          if (cost < bestCost) {
            bestCost = cost;
            best = kind;
          }
        }
      }
    }
    return best;
  }

  private Map<MachineKind, Integer> machinesOfKinds(Collection<MachineKind> incoming) {
    Map<MachineKind, Integer> counts = new HashMap<>();
    for (ShardLease shard : cache.shards().values()) {
      counts.merge(MachineKind.of(shard), shard.machines().size(), Integer::sum);
    }
    incoming.forEach(kind -> counts.merge(kind, 1, Integer::sum));
    return counts;
  }
}
