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

/** What blocks keep free, as admission asks for it. */
final class HeadroomPlan {
  private final Map<ShardId, List<Headroom>> reserves;

  /** What is kept of each team's limit for lanes. */
  private final Map<String, Map<String, Resources>> ofTeams = new HashMap<>();

  /**
   * For how many tasks of each lane there is kept room in each zone, that was not given to them in
   * this round.
   */
  private final Map<String, Map<String, Integer>> ofLanes = new HashMap<>();

  /** Jobs that were given something in this round: they have waited long no more. */
  private final Set<JobId> given = new HashSet<>();

  private final Set<JobId> lentTo = new HashSet<>();

  HeadroomPlan(Map<ShardId, List<Headroom>> reserves, Collection<Admission.ShardCapacity> blocks) {
    this.reserves = reserves;
    Map<ShardId, String> zones = new HashMap<>();
    blocks.forEach(block -> zones.put(block.id(), block.zone));
    for (Map.Entry<ShardId, List<Headroom>> ofBlock : reserves.entrySet()) {
      for (Headroom reserve : ofBlock.getValue()) {
        lentTo.addAll(reserve.lentTo());
        if (reserve.requestedMachines() != null) {
          ofLanes
              .computeIfAbsent(reserve.requestedMachines().lane(), lane -> new HashMap<>())
              .merge(zones.getOrDefault(ofBlock.getKey(), ""), reserve.machines(), Integer::sum);
          ofTeams
              .computeIfAbsent(reserve.requestedMachines().team(), team -> new HashMap<>())
              .merge(reserve.requestedMachines().lane(), reserve.total(), Resources::plus);
        }
      }
    }
  }

  /** What of its team's limit a job leaves to other lanes. */
  Resources ofTeam(Job job) {
    Resources kept = Resources.NONE;
    for (Map.Entry<String, Resources> lane :
        ofTeams.getOrDefault(job.team(), Map.of()).entrySet()) {
      kept = lane.getKey().equals(job.jobClass()) ? kept : kept.plus(lane.getValue());
    }
    return kept;
  }

  /**
   * For how many tasks of a job's lane its zone still keeps room, if the block itself keeps some;
   * else 0.
   */
  int left(Job job, ShardId shard, String zone) {
    Map<String, Integer> ofLane = ofLanes.get(job.jobClass());
    if (ofLane == null) {
      return 0;
    }
    boolean here =
        reserves.getOrDefault(shard, List.of()).stream()
            .anyMatch(
                reserve ->
                    reserve.requestedMachines() != null
                        && reserve.requestedMachines().lane().equals(job.jobClass()));
    return here ? Math.max(0, ofLane.getOrDefault(zone, 0)) : 0;
  }

  /** A task of a job was given to a block of a zone. */
  void given(Job job, String zone) {
    given.add(job.id());
    Map<String, Integer> ofLane = ofLanes.get(job.jobClass());
    if (ofLane != null) {
      ofLane.merge(zone, -1, Integer::sum);
    }
  }

  /**
   * Whether a job has waited so long that it may have kept room: one task of it in a round, or a
   * gang as a whole.
   */
  boolean isLent(Job job) {
    return lentTo.contains(job.id()) && !given.contains(job.id());
  }

  /**
   * What jobs are told apart by as regards room that is lent, or kept for requests; null where
   * neither is.
   */
  String apart(Job job) {
    boolean lent = isLent(job);
    return ofTeams.isEmpty()
        ? lent ? "lent" : null
        : Headroom.mayBorrow(job) + job.jobClass() + lent;
  }

  /**
   * What a job leaves free in a block; null where nothing is kept from it.
   *
   * @param lent what is used there by work that may borrow room that is kept for requests: it
   *     stands in that room first
   * @param begins whether it goes before others because it has waited as long as it may: it need
   *     not keep out, for what is lent to others counts as used, and beside it and the kept room
   *     there would be none left for it
   */
  Resources from(Job job, ShardId shard, Resources machine, Resources lent, boolean begins) {
    Resources kept = null;
    Resources requests = null;
    for (Headroom reserve : reserves.getOrDefault(shard, List.of())) {
      if (!reserve.isKeptFrom(job, machine) || reserve.keepsNothing()) {
        continue;
      }
      if (begins && reserve.purpose() != Headroom.Purpose.REQUESTS) {
        kept = kept == null ? Resources.NONE : kept; // it is to start, and not to wait in a queue
        continue;
      }
      if (reserve.purpose() == Headroom.Purpose.REQUESTS) {
        requests = requests == null ? reserve.total() : requests.plus(reserve.total());
      } else {
        kept = kept == null ? reserve.total() : kept.plus(reserve.total());
      }
    }
    if (requests == null) {
      return kept;
    }
    Resources free = requests.minus(lent).max(Resources.NONE);
    return kept == null ? free : kept.plus(free);
  }

  /** What of a block a job, though it may use it, should leave to others. */
  Resources better(Job job, ShardId shard, Resources machine) {
    Resources kept = Resources.NONE;
    for (Headroom reserve : reserves.getOrDefault(shard, List.of())) {
      kept = reserve.isBetterAvoided(job, machine) ? kept.plus(reserve.total()) : kept;
    }
    return kept;
  }
}
