package org.quincecross.modelserving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.model.Job;
import org.quincecross.model.MachineId;
import org.quincecross.model.Resources;

/**
 * Chooses machines for replicas. Prefers machines where the weights are cached, are being fetched,
 * or can be fetched soonest behind other fetches, and avoids displacing the cached weights of other
 * models while that costs less.
 */
public final class ReplicaPlacer {
  /**
   * Share of a machine's image cache that is planned with; the exact sizes of other cached images
   * are not known.
   */
  private static final double USABLE_CACHE_SHARE = 0.95;

  /**
   * A machine that accepts work.
   *
   * @param free available resources
   * @param freeAfterPreemption the same, plus what preempting lower-priority work will release
   * @param fetchGbPerS nominal fetch rate
   * @param fetching images being fetched or queued for fetching, in fetch order, with the remaining
   *     GB of each
   * @param cachedWeights cached model images, least recently used first, in GB
   */
  public record Candidate(
      MachineId machine,
      String shard,
      String type,
      String zone,
      boolean spot,
      Resources free,
      Resources freeAfterPreemption,
      double fetchGbPerS,
      double cacheGb,
      Set<String> images,
      Map<String, Double> fetching,
      Map<String, Double> cachedWeights) {}

  /**
   * The machine assigned to a replica.
   *
   * @param readyS seconds until the weights are expected to be there
   */
  public record Assignment(MachineId machine, String zone, double readyS) {}

  private record RatedCandidate(
      Candidate machine, boolean needsPreemption, double costS, double readyS) {}

  private ReplicaPlacer() {}

  /**
   * Returns the seconds until an image is expected to be on a machine. A machine fetches one image
   * at a time, so a new fetch waits for those in progress.
   */
  public static double readyS(String image, double imageGb, Candidate candidate) {
    double queuedGb = 0;
    for (Map.Entry<String, Double> fetch : candidate.fetching().entrySet()) {
      queuedGb += fetch.getValue();
      if (fetch.getKey().equals(image)) {
        return queuedGb / candidate.fetchGbPerS();
      }
    }
    return candidate.images().contains(image) ? 0 : (queuedGb + imageGb) / candidate.fetchGbPerS();
  }

  /**
   * Returns the seconds of fetching that a new image costs other models on the machine: their
   * weights are evicted from the cache, least recently used first.
   */
  static double evictionCostS(String image, double imageGb, Candidate candidate) {
    if (candidate.images().contains(image) || candidate.fetching().containsKey(image)) {
      return 0;
    }
    double cachedGb =
        candidate.cachedWeights().values().stream().mapToDouble(Double::doubleValue).sum()
            + candidate.fetching().values().stream().mapToDouble(Double::doubleValue).sum();
    double excessGb = cachedGb + imageGb - USABLE_CACHE_SHARE * candidate.cacheGb();
    double evictedGb = 0;
    for (double gb : candidate.cachedWeights().values()) {
      if (excessGb <= 0) {
        break;
      }
      excessGb -= gb;
      evictedGb += gb;
    }
    return evictedGb / candidate.fetchGbPerS();
  }

  /**
   * Chooses machines for replicas of a job, one replica a machine as long as there are enough
   * machines, so that losing one machine loses one replica.
   *
   * @param perZone current replicas by zone
   * @param avoided machines on which this model has failed; used only if there is no other
   * @return one placement a replica; fewer where there is not enough room
   */
  public static List<Assignment> choose(
      Job job,
      int replicas,
      Map<String, Integer> perZone,
      Set<MachineId> occupied,
      Collection<Candidate> candidates,
      Set<MachineId> avoided) {
    List<Assignment> assignments = new ArrayList<>();
    Map<String, Integer> zones = new HashMap<>(perZone);
    Map<MachineId, Resources> usedByMachine = new HashMap<>();
    Map<MachineId, Integer> perMachine = new HashMap<>();
    occupied.forEach(machine -> perMachine.put(machine, 1));
    List<RatedCandidate> candidatesByCost = rate(job, candidates);
    Comparator<RatedCandidate> order =
        Comparator.comparing((RatedCandidate each) -> avoided.contains(each.machine.machine()))
            .thenComparing(RatedCandidate::needsPreemption)
            .thenComparing(each -> perMachine.getOrDefault(each.machine.machine(), 0))
            .thenComparing(
                each -> job.spreadOverZones() ? zones.getOrDefault(each.machine.zone(), 0) : 0)
            .thenComparing(RatedCandidate::costS)
            .thenComparing(each -> each.machine.spot())
            .thenComparing(each -> each.machine.machine());
    while (assignments.size() < replicas) {
      RatedCandidate best = null;
      for (RatedCandidate each : candidatesByCost) {
        Candidate candidate = each.machine;
        Resources used =
            usedByMachine
                .getOrDefault(candidate.machine(), Resources.NONE)
                .plus(job.taskResources());
        boolean zoneAllows =
            (!job.singleZone() || zones.isEmpty() || zones.containsKey(candidate.zone()))
                && zones.getOrDefault(candidate.zone(), 0) < job.maxTasksPerZone();
        if (zoneAllows
            && used.fitsIn(
                each.needsPreemption ? candidate.freeAfterPreemption() : candidate.free())
            && (best == null || order.compare(each, best) < 0)) {
          best = each;
        }
      }
      if (best == null) {
        return assignments;
      }
      MachineId machine = best.machine.machine();
      assignments.add(new Assignment(machine, best.machine.zone(), best.readyS));
      usedByMachine.merge(machine, job.taskResources(), Resources::plus);
      perMachine.merge(machine, 1, Integer::sum);
      zones.merge(best.machine.zone(), 1, Integer::sum);
    }
    return assignments;
  }

  /**
   * Chooses machines of one shard, and so of one zone, for a model that spans machines: all
   * replicas or none. Takes the shard where the last replica would be ready first.
   */
  public static List<Assignment> chooseWithinShard(
      Job job, Collection<Candidate> candidates, Set<MachineId> avoided) {
    Map<String, List<Candidate>> shards = new TreeMap<>();
    candidates.forEach(
        each -> shards.computeIfAbsent(each.shard(), inShard -> new ArrayList<>()).add(each));
    List<Assignment> best = List.of();
    for (List<Candidate> inShard : shards.values()) {
      List<Assignment> assignments =
          choose(job, job.taskCount(), Map.of(), Set.of(), inShard, avoided);
      if (assignments.size() == job.taskCount()
          && (best.isEmpty() || readyOfLastS(assignments) < readyOfLastS(best))) {
        best = assignments;
      }
    }
    return best;
  }

  /** Returns when the last of the placements is expected to be ready. */
  public static double readyOfLastS(List<Assignment> assignments) {
    return assignments.stream().mapToDouble(Assignment::readyS).max().orElse(0);
  }

  private static List<RatedCandidate> rate(Job job, Collection<Candidate> candidates) {
    List<RatedCandidate> rated = new ArrayList<>();
    for (Candidate candidate : candidates) {
      if (job.allows(candidate.type(), candidate.zone(), candidate.spot())
          && candidate.fetchGbPerS() > 0
          && job.imageGb() <= candidate.cacheGb()
          && job.taskResources().fitsIn(candidate.freeAfterPreemption())) {
        double readyS = readyS(job.image(), job.imageGb(), candidate);
        rated.add(
            new RatedCandidate(
                candidate,
                !job.taskResources().fitsIn(candidate.free()),
                readyS + evictionCostS(job.image(), job.imageGb(), candidate),
                readyS));
      }
    }
    return rated;
  }
}
