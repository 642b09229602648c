package org.quincecross.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/**
 * Chooses the tasks to preempt so that nodes get their guarantees back. One plan covers all claims
 * at a time, so that capacity freed for one is not counted for another. Only work that other nodes
 * run beyond their guarantees is preempted, and no node falls below its own. Lowest priority first,
 * then what loses least; gangs as a whole; and nothing whose capacity is not needed.
 */
public final class GuaranteeReclaim {
  private static final double EPSILON = 1e-6;

  /**
   * Running work that may be preempted: a task, or a whole gang.
   *
   * @param id identifier in the plan
   * @param each resources of one of its tasks
   * @param places number of its tasks by machine
   * @param lostRunTime run time that would be lost, of all its tasks
   */
  public record Unit(
      String id,
      QuotaTree.Node node,
      Resources each,
      Map<MachineId, Integer> places,
      Priority priority,
      TimeSpan lostRunTime) {
    Resources total() {
      return each.times(places.values().stream().mapToInt(Integer::intValue).sum());
    }
  }

  /** Tasks that wait for room, each of which takes {@code each}. */
  public record Claim(QuotaTree.Node node, Resources each, int tasks) {}

  /**
   * The result.
   *
   * @param victims work to preempt
   * @param placed for each claim, in order: how many of its tasks have room on which machine, after
   *     preemption or without
   */
  public record Plan(List<Unit> victims, List<Map<MachineId, Integer>> placed) {}

  private record Preemptions(List<Unit> victims, Priority highest, double lostS)
      implements Comparable<Preemptions> {
    static Preemptions of(List<Unit> victims) {
      Priority highest =
          victims.stream()
              .map(Unit::priority)
              .max(Comparator.naturalOrder())
              .orElse(Priority.values()[0]);
      return new Preemptions(
          victims,
          highest,
          victims.stream().mapToDouble(unit -> unit.lostRunTime().seconds()).sum());
    }

    @Override
    public int compareTo(Preemptions other) {
      int byRank = highest.compareTo(other.highest);
      int byLoss = Double.compare(lostS, other.lostS);
      return byRank != 0
          ? byRank
          : byLoss != 0 ? byLoss : Integer.compare(victims.size(), other.victims.size());
    }
  }

  private static final Comparator<Unit> CHEAPEST =
      Comparator.comparing(Unit::priority).thenComparing(Unit::lostRunTime).thenComparing(Unit::id);

  private final Resources[] used;
  private final Map<MachineId, Resources> free;
  private final Map<MachineId, List<Unit>> running = new HashMap<>();
  private final Map<String, Unit> victims = new LinkedHashMap<>();

  private GuaranteeReclaim(QuotaUsage usage, Map<MachineId, Resources> free, List<Unit> units) {
    List<QuotaTree.Node> nodes = usage.tree().nodes();
    this.used = new Resources[nodes.size()];
    nodes.forEach(node -> used[node.index()] = usage.used(node));
    this.free = new LinkedHashMap<>(free);
    units.stream()
        .sorted(CHEAPEST)
        .forEach(
            unit ->
                unit.places()
                    .keySet()
                    .forEach(
                        machine ->
                            running.computeIfAbsent(machine, id -> new ArrayList<>()).add(unit)));
  }

  /**
   * Makes a plan.
   *
   * @param usage what each node uses
   * @param free free resources of the machines that accept work, including what is being freed
   *     already
   * @param units running work that may be preempted
   * @param claims waiting work of nodes that use less than their guarantees; nothing is reclaimed
   *     for them beyond these
   */
  public static Plan plan(
      QuotaUsage usage, Map<MachineId, Resources> free, List<Unit> units, List<Claim> claims) {
    GuaranteeReclaim reclaim = new GuaranteeReclaim(usage, free, units);
    List<Map<MachineId, Integer>> placed = new ArrayList<>();
    Resources maxPerTask = Resources.NONE;
    for (Claim claim : claims) {
      placed.add(new LinkedHashMap<>());
      maxPerTask = maxPerTask.max(claim.each());
    }
    // Largest claims first: capacity freed for them has room for small ones, but not the reverse.
    Resources largest = maxPerTask;
    IntStream.range(0, claims.size())
        .boxed()
        .sorted(Comparator.comparing((Integer i) -> -claims.get(i).each().dominantShareOf(largest)))
        .forEach(i -> reclaim.place(claims.get(i), placed.get(i)));
    reclaim.spareUnneeded();
    return new Plan(List.copyOf(reclaim.victims.values()), placed);
  }

  private void place(Claim claim, Map<MachineId, Integer> placed) {
    for (int task = 0; task < claim.tasks() && isWithinGuarantee(claim); task++) {
      MachineId machine = placeOne(claim);
      if (machine == null) {
        return;
      }
      placed.merge(machine, 1, Integer::sum);
    }
  }

  /** Finds or frees room for one more task of a claim; returns the machine, or null. */
  private MachineId placeOne(Claim claim) {
    MachineId best = null;
    Preemptions cheapest = null;
    for (Map.Entry<MachineId, Resources> machine : free.entrySet()) {
      Preemptions candidate = preemptionsFor(claim, machine.getKey(), machine.getValue());
      if (candidate != null && (cheapest == null || candidate.compareTo(cheapest) < 0)) {
        best = machine.getKey();
        cheapest = candidate;
      }
    }
    if (best == null) {
      return null;
    }
    cheapest.victims().forEach(this::preempt);
    free.computeIfPresent(best, (id, room) -> room.minus(claim.each()));
    count(claim.node(), claim.each());
    return best;
  }

  private boolean isWithinGuarantee(Claim claim) {
    return used[claim.node().index()].plus(claim.each()).fitsIn(claim.node().guarantee());
  }

  /**
   * Returns what would have to be preempted on a machine for one task, or null if that would not
   * suffice.
   */
  private Preemptions preemptionsFor(Claim claim, MachineId machine, Resources room) {
    List<Unit> chosen = new ArrayList<>();
    for (Unit unit : running.getOrDefault(machine, List.of())) {
      if (claim.each().fitsIn(room)) {
        break;
      }
      if (!victims.containsKey(unit.id()) && mayPreempt(unit, claim, chosen)) {
        chosen.add(unit);
        room = room.plus(onMachine(unit, machine));
      }
    }
    if (!claim.each().fitsIn(room)) {
      return null;
    }
    // A later victim may have freed as much as the smaller ones before it; those are spared.
    for (Unit unit : List.copyOf(chosen)) {
      Resources without = room.minus(onMachine(unit, machine));
      if (claim.each().fitsIn(without)) {
        chosen.remove(unit);
        room = without;
      }
    }
    return Preemptions.of(chosen);
  }

  private static Resources onMachine(Unit unit, MachineId machine) {
    return unit.each().times(unit.places().get(machine));
  }

  /**
   * Whether a unit is beyond the guarantees of its branch: each node from its own up to where its
   * path meets the claim's keeps its guarantee without it. Work of the claim's own node or its
   * descendants is never preempted for it.
   */
  private boolean mayPreempt(Unit unit, Claim claim, List<Unit> before) {
    for (QuotaTree.Node node = unit.node();
        node != null && !isOnPath(claim.node(), node);
        node = node.parent()) {
      Resources left = used[node.index()].minus(unit.total());
      for (Unit other : before) {
        left = isOnPath(other.node(), node) ? left.minus(other.total()) : left;
      }
      if (!retainsGuarantee(node.guarantee(), left, used[node.index()])) {
        return false;
      }
    }
    return !isOnPath(unit.node(), claim.node());
  }

  /**
   * Whether, for each resource that the work uses, what remains covers the guarantee or did not
   * change.
   */
  private static boolean retainsGuarantee(Resources guarantee, Resources left, Resources before) {
    return retainsGuarantee(guarantee.cpus(), left.cpus(), before.cpus())
        && retainsGuarantee(guarantee.gpus(), left.gpus(), before.gpus())
        && retainsGuarantee(guarantee.memoryGb(), left.memoryGb(), before.memoryGb());
  }

  private static boolean retainsGuarantee(double guarantee, double left, double before) {
    return left >= guarantee - EPSILON || before - left <= EPSILON;
  }

  private static boolean isOnPath(QuotaTree.Node from, QuotaTree.Node node) {
    for (QuotaTree.Node each = from; each != null; each = each.parent()) {
      if (each == node) {
        return true;
      }
    }
    return false;
  }

  private void preempt(Unit unit) {
    victims.put(unit.id(), unit);
    unit.places()
        .forEach(
            (machine, tasks) ->
                free.computeIfPresent(machine, (id, room) -> room.plus(unit.each().times(tasks))));
    count(unit.node(), unit.total().times(-1));
  }

  private void count(QuotaTree.Node node, Resources more) {
    for (QuotaTree.Node each = node; each != null; each = each.parent()) {
      used[each.index()] = used[each.index()].plus(more);
    }
  }

  /**
   * A gang preempted for room on one machine may have freed what a later victim was preempted for;
   * such victims are spared.
   */
  private void spareUnneeded() {
    List<Unit> order = new ArrayList<>(victims.values());
    order.sort(CHEAPEST.reversed());
    for (Unit unit : order) {
      boolean isNeeded =
          unit.places().entrySet().stream()
              .anyMatch(
                  place ->
                      free.containsKey(place.getKey())
                          && !unit.each().times(place.getValue()).fitsIn(free.get(place.getKey())));
      if (!isNeeded) {
        victims.remove(unit.id());
        unit.places()
            .forEach(
                (machine, tasks) ->
                    free.computeIfPresent(
                        machine, (id, room) -> room.minus(unit.each().times(tasks))));
        count(unit.node(), unit.total());
      }
    }
  }
}
