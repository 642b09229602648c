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
 * Where replicas should go: where the weights are, where they are coming, or where they can come
 * soonest beside what else is being fetched there; and not where that displaces the weights of
 * another model, as long as that costs less.
 */
public final class Weights {
  /**
   * Of a cache so much may be taken for granted: what else is there is not known to the gigabyte.
   */
  private static final double CACHE_USABLE = 0.95;

  /**
   * A machine that takes work.
   *
   * @param free room there, {@code soon}: with what lower work gives up in a moment
   * @param fetchGbPerS nominal
   * @param coming what is being fetched or is to be fetched there, in the order of the fetches,
   *     with what is left of each in GB
   * @param weights images of models that are there, the least recently used first, in GB
   */
  public record Candidate(
      MachineId machine,
      String block,
      String type,
      String zone,
      boolean spot,
      Resources free,
      Resources soon,
      double fetchGbPerS,
      double cacheGb,
      Set<String> images,
      Map<String, Double> coming,
      Map<String, Double> weights) {}

  /**
   * The machine that a replica is to start on.
   *
   * @param readyS seconds until the weights should be there
   */
  public record Choice(MachineId machine, String zone, double readyS) {}

  private record Graded(Candidate machine, boolean waits, double cost, double readyS) {}

  private Weights() {}

  /**
   * Seconds until an image should be on a machine, behind what it is fetching: the fetches of a
   * machine come one after the other.
   */
  public static double readyS(String image, double imageGb, Candidate at) {
    double behind = 0;
    for (Map.Entry<String, Double> fetch : at.coming().entrySet()) {
      behind += fetch.getValue();
      if (fetch.getKey().equals(image)) {
        return behind / at.fetchGbPerS();
      }
    }
    return at.images().contains(image) ? 0 : (behind + imageGb) / at.fetchGbPerS();
  }

  /**
   * How many seconds of fetching a new image costs others there: the weights that the cache drops
   * for it, the least used first.
   */
  static double displacedS(String image, double imageGb, Candidate at) {
    if (at.images().contains(image) || at.coming().containsKey(image)) {
      return 0;
    }
    double held =
        at.weights().values().stream().mapToDouble(Double::doubleValue).sum()
            + at.coming().values().stream().mapToDouble(Double::doubleValue).sum();
    double over = held + imageGb - CACHE_USABLE * at.cacheGb();
    double dropped = 0;
    for (double gb : at.weights().values()) {
      if (over <= 0) {
        break;
      }
      over -= gb;
      dropped += gb;
    }
    return dropped / at.fetchGbPerS();
  }

  /**
   * Chooses machines for some replicas of a job, each on its own as long as there are others: what
   * is lost with one machine is then one replica.
   *
   * @param perZone how many replicas are in each zone
   * @param avoided machines that have failed this model: only where there are no others
   * @return as many as have room; fewer where not
   */
  public static List<Choice> choose(
      Job job,
      int replicas,
      Map<String, Integer> perZone,
      Set<MachineId> has,
      Collection<Candidate> candidates,
      Set<MachineId> avoided) {
    List<Choice> choices = new ArrayList<>();
    Map<String, Integer> zones = new HashMap<>(perZone);
    Map<MachineId, Resources> taken = new HashMap<>();
    Map<MachineId, Integer> there = new HashMap<>();
    has.forEach(machine -> there.put(machine, 1));
    List<Graded> graded = graded(job, candidates);
    Comparator<Graded> order =
        Comparator.comparing((Graded each) -> avoided.contains(each.machine.machine()))
            .thenComparing(Graded::waits)
            .thenComparing(each -> there.getOrDefault(each.machine.machine(), 0))
            .thenComparing(
                each -> job.spreadOverZones() ? zones.getOrDefault(each.machine.zone(), 0) : 0)
            .thenComparing(Graded::cost)
            .thenComparing(each -> each.machine.spot())
            .thenComparing(each -> each.machine.machine());
    while (choices.size() < replicas) {
      Graded best = null;
      for (Graded each : graded) {
        Candidate at = each.machine;
        Resources used = taken.getOrDefault(at.machine(), Resources.NONE).plus(job.taskResources());
        boolean zoneAllows =
            (!job.singleZone() || zones.isEmpty() || zones.containsKey(at.zone()))
                && zones.getOrDefault(at.zone(), 0) < job.maxTasksPerZone();
        if (zoneAllows
            && used.fitsIn(each.waits ? at.soon() : at.free())
            && (best == null || order.compare(each, best) < 0)) {
          best = each;
        }
      }
      if (best == null) {
        return choices;
      }
      MachineId machine = best.machine.machine();
      choices.add(new Choice(machine, best.machine.zone(), best.readyS));
      taken.merge(machine, job.taskResources(), Resources::plus);
      there.merge(machine, 1, Integer::sum);
      zones.merge(best.machine.zone(), 1, Integer::sum);
    }
    return choices;
  }

  /**
   * Chooses machines of one block, and so of one zone, for a model that is larger than a machine:
   * all or none. The block is the one where the last of them would be ready first.
   */
  public static List<Choice> chooseWhole(
      Job job, Collection<Candidate> candidates, Set<MachineId> avoided) {
    Map<String, List<Candidate>> shards = new TreeMap<>();
    candidates.forEach(
        each -> shards.computeIfAbsent(each.block(), block -> new ArrayList<>()).add(each));
    List<Choice> best = List.of();
    for (List<Candidate> block : shards.values()) {
      List<Choice> all = choose(job, job.taskCount(), Map.of(), Set.of(), block, avoided);
      if (all.size() == job.taskCount() && (best.isEmpty() || lastS(all) < lastS(best))) {
        best = all;
      }
    }
    return best;
  }

  /** When the last of some should be ready. */
  public static double lastS(List<Choice> choices) {
    return choices.stream().mapToDouble(Choice::readyS).max().orElse(0);
  }

  private static List<Graded> graded(Job job, Collection<Candidate> candidates) {
    List<Graded> graded = new ArrayList<>();
    for (Candidate at : candidates) {
      if (job.allows(at.type(), at.zone(), at.spot())
          && at.fetchGbPerS() > 0
          && job.imageGb() <= at.cacheGb()
          && job.taskResources().fitsIn(at.soon())) {
        double readyS = readyS(job.image(), job.imageGb(), at);
        graded.add(
            new Graded(
                at,
                !job.taskResources().fitsIn(at.free()),
                readyS + displacedS(job.image(), job.imageGb(), at),
                readyS));
      }
    }
    return graded;
  }
}
