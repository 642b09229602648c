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
 * Which machines to rent for work that has no room, by price, zone and what the cloud has refused
 * lately.
 */
final class ScaleOutPolicy {
  private static final TimeSpan REFUSED_FOR = TimeSpan.ofSeconds(15);

  /**
   * So long a large gang waits for the kind it lacks least of, though the cloud refuses more of it.
   * Others would be of no use to it, and take what the cloud may still give: with a gang of eight,
   * seven machines in each of two zones and the cloud at its end, nothing would ever change.
   */
  private static final TimeSpan KEEP_GOAL = TimeSpan.ofSeconds(120);

  private static final int MOST_KINDS = 8;
  private static final int MOST_OF_KIND = 50;

  /** The kind of machine that a large gang's block is to grow by. */
  private record Goal(MachineKind kind, MonotonicTime since) {}

  private final ClusterStateCache cache;
  private final Map<String, MachineType> catalog;
  private final Map<MachineKind, MonotonicTime> refusedUntil = new HashMap<>();
  private final Map<JobId, Goal> goals = new HashMap<>();

  ScaleOutPolicy(ClusterStateCache cache, Map<String, MachineType> catalog) {
    this.cache = cache;
    this.catalog = catalog;
  }

  /** The cloud did not give as many of a kind as it was asked for. */
  void refused(MachineKind kind, MonotonicTime now) {
    refusedUntil.put(kind, now.plus(REFUSED_FOR));
  }

  private boolean isRefused(MachineKind kind, MonotonicTime now) {
    MonotonicTime until = refusedUntil.get(kind);
    return until != null && now.isBefore(until);
  }

  /**
   * Whether all that is unmet are large gangs that wait for machines of other kinds, and are
   * refused them.
   */
  boolean othersMakeWay(MachineKind kind, List<Admission.Unmet> unmet, MonotonicTime now) {
    for (Admission.Unmet need : unmet) {
      Goal goal = goals.get(need.job().id());
      if (goal == null || goal.kind().equals(kind) || !isRefused(goal.kind(), now)) {
        return false;
      }
    }
    return !unmet.isEmpty();
  }

  /**
   * How many machines of which kind would give room to what has none, beyond those that are
   * booting.
   */
  Map<MachineKind, Integer> wishes(
      List<Admission.Unmet> unmet, Collection<MachineKind> booting, MonotonicTime now) {
    List<Bin> bins = new ArrayList<>();
    for (MachineKind kind : booting) {
      MachineType type = cache.machineTypes().get(kind.type());
      if (type != null) {
        bins.add(new Bin(kind, type.capacity()));
      }
    }
    goals.keySet().retainAll(unmet.stream().map(need -> need.job().id()).toList());
    Map<MachineKind, Integer> wishes = new LinkedHashMap<>();
    Map<MachineKind, Integer> owned = machinesOfKinds(booting);
    for (Admission.Unmet need : unmet) {
      if (need.job().kind() == JobKind.GANG && wishForLargeGang(need, booting, wishes, now)) {
        continue;
      }
      int left = need.tasks();
      for (Bin bin : bins) {
        left -= bin.fill(need.job(), left);
      }
      while (left > 0 && wishes.size() < MOST_KINDS) {
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
        if (wishes.get(kind) >= MOST_OF_KIND) {
          break;
        }
      }
    }
    return wishes;
  }

  /**
   * A gang that no block is large enough for: the block that lacks least is to grow. False if there
   * is a block that could hold it, and room is all that is missing.
   */
  private boolean wishForLargeGang(
      Admission.Unmet need,
      Collection<MachineKind> booting,
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
    int coming = (int) booting.stream().filter(goal::equals).count();
    if (missing.get(goal) > coming && !isRefused(goal, now)) {
      wishes.merge(goal, missing.get(goal) - coming, Math::max);
    }
    return true;
  }

  /**
   * The kind that lacks least; once chosen it stays, unless the cloud has refused more of it for
   * long.
   */
  private MachineKind goal(JobId gang, Map<MachineKind, Integer> missing, MonotonicTime now) {
    Goal before = goals.get(gang);
    if (before != null
        && missing.containsKey(before.kind())
        && !(isRefused(before.kind(), now) && now.since(before.since()).isLongerThan(KEEP_GOAL))) {
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
    for (ShardLease block : cache.shards().values()) {
      if (block.type().equals(kind.type())
          && block.zone().equals(kind.zone())
          && block.spot() == kind.spot()) {
        most = Math.max(most, block.machines().size());
      }
    }
    return most;
  }

  /** A machine to come, and what of it is spoken for. */
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

  /**
   * The cheapest kind for a job, a task at a time; among zones that have been refused last, another
   * one.
   */
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

  private Map<MachineKind, Integer> machinesOfKinds(Collection<MachineKind> booting) {
    Map<MachineKind, Integer> counts = new HashMap<>();
    for (ShardLease block : cache.shards().values()) {
      counts.merge(
          new MachineKind(block.type(), block.zone(), block.spot()),
          block.machines().size(),
          Integer::sum);
    }
    booting.forEach(kind -> counts.merge(kind, 1, Integer::sum));
    return counts;
  }
}
