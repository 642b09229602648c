package org.quincecross.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;

/** The headroom of all shards, as admission needs it. */
final class HeadroomPlan {
  private final Map<ShardId, List<Headroom>> reserves;

  /** The part of each team's limit that is kept for job classes with reservations. */
  private final Map<String, Map<String, Resources>> keptByTeam = new HashMap<>();

  /**
   * For each job class and zone, the number of tasks whose reserved capacity is unused in this
   * round.
   */
  private final Map<String, Map<String, Integer>> unusedByClass = new HashMap<>();

  /** Jobs that had a task admitted in this round; they no longer count as starving. */
  private final Set<JobId> recordAdmitted = new HashSet<>();

  private final Set<JobId> lentTo = new HashSet<>();

  HeadroomPlan(Map<ShardId, List<Headroom>> reserves, Collection<Admission.ShardCapacity> shards) {
    this.reserves = reserves;
    Map<ShardId, String> zones = new HashMap<>();
    shards.forEach(shard -> zones.put(shard.id(), shard.zone));
    for (Map.Entry<ShardId, List<Headroom>> ofShard : reserves.entrySet()) {
      for (Headroom headroom : ofShard.getValue()) {
        lentTo.addAll(headroom.lentTo());
        if (headroom.beneficiary() != null) {
          unusedByClass
              .computeIfAbsent(headroom.beneficiary().jobClass(), jobClass -> new HashMap<>())
              .merge(zones.getOrDefault(ofShard.getKey(), ""), headroom.machines(), Integer::sum);
          keptByTeam
              .computeIfAbsent(headroom.beneficiary().team(), team -> new HashMap<>())
              .merge(headroom.beneficiary().jobClass(), headroom.total(), Resources::plus);
        }
      }
    }
  }

  /** The part of its team's limit that a job has to leave to other classes. */
  Resources keptForOtherClasses(Job job) {
    Resources kept = Resources.NONE;
    for (Map.Entry<String, Resources> jobClass :
        keptByTeam.getOrDefault(job.team(), Map.of()).entrySet()) {
      kept = jobClass.getKey().equals(job.jobClass()) ? kept : kept.plus(jobClass.getValue());
    }
    return kept;
  }

  /**
   * The number of tasks of a job's class for which its zone still keeps capacity, if the shard
   * keeps some; else 0.
   */
  int unusedInZone(Job job, ShardId shard, String zone) {
    Map<String, Integer> unused = unusedByClass.get(job.jobClass());
    if (unused == null) {
      return 0;
    }
    boolean fitsHere =
        reserves.getOrDefault(shard, List.of()).stream()
            .anyMatch(
                headroom ->
                    headroom.beneficiary() != null
                        && headroom.beneficiary().jobClass().equals(job.jobClass()));
    return fitsHere ? Math.max(0, unused.getOrDefault(zone, 0)) : 0;
  }

  /** Records that a task of a job was admitted to a shard in a zone. */
  void recordAdmitted(Job job, String zone) {
    recordAdmitted.add(job.id());
    Map<String, Integer> unused = unusedByClass.get(job.jobClass());
    if (unused != null) {
      unused.merge(zone, -1, Integer::sum);
    }
  }

  /**
   * Whether a job has waited so long that it may use headroom: one task of it in a round, or a
   * whole gang.
   */
  boolean isLent(Job job) {
    return lentTo.contains(job.id()) && !recordAdmitted.contains(job.id());
  }

  /**
   * The key that distinguishes jobs with regard to lent or reserved capacity; null if neither
   * exists.
   */
  String headroomKey(Job job) {
    boolean lent = isLent(job);
    return keptByTeam.isEmpty()
        ? lent ? "lent" : null
        : Headroom.mayBorrow(job) + job.jobClass() + lent;
  }

  /**
   * The capacity that a job has to leave free in a shard; null if nothing is kept from it.
   *
   * @param lent the resources used there by work that may borrow capacity reserved for requests; it
   *     occupies that capacity first
   * @param guaranteedStart whether the job has a guaranteed start. Only request headroom is then
   *     kept from it: lent capacity counts as used, so next to other headroom there would be no
   *     room left for the job
   */
  Resources withheldFrom(
      Job job, ShardId shard, Resources machine, Resources lent, boolean guaranteedStart) {
    Resources kept = null;
    Resources requests = null;
    for (Headroom headroom : reserves.getOrDefault(shard, List.of())) {
      if (!headroom.isKeptFrom(job, machine) || headroom.reservesNothing()) {
        continue;
      }
      if (guaranteedStart && headroom.purpose() != Headroom.Purpose.REQUESTS) {
        kept =
            kept == null ? Resources.NONE : kept; // the job is to start without waiting in a queue
        continue;
      }
      if (headroom.purpose() == Headroom.Purpose.REQUESTS) {
        requests = requests == null ? headroom.total() : requests.plus(headroom.total());
      } else {
        kept = kept == null ? headroom.total() : kept.plus(headroom.total());
      }
    }
    if (requests == null) {
      return kept;
    }
    Resources free = requests.minus(lent).max(Resources.NONE);
    return kept == null ? free : kept.plus(free);
  }

  /** The capacity of a shard that a job may use but should prefer to leave to others. */
  Resources preferablyAvoided(Job job, ShardId shard, Resources machine) {
    Resources kept = Resources.NONE;
    for (Headroom headroom : reserves.getOrDefault(shard, List.of())) {
      kept = headroom.isBetterAvoided(job, machine) ? kept.plus(headroom.total()) : kept;
    }
    return kept;
  }
}
