package org.quincecross.reservation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.Team;

/**
 * The open requests in order of due time, and the capacity reserved for them. Reservations are
 * written in the requests' records only, by zone. Which shard of a zone keeps the capacity free is
 * derived from the records, identically on every controller, so no second account is needed.
 */
public final class ReservationPlanner {
  private static final Comparator<DeadlineRequest> BY_DUE =
      Comparator.comparing(DeadlineRequest::dueMs)
          .thenComparing(DeadlineRequest::arrivedMs)
          .thenComparing(DeadlineRequest::reference);

  /**
   * Limits on reservations.
   *
   * @param standing resources of each team's tasks that are not preempted, including those running
   *     for requests
   * @param share share of all machines that all teams together may reserve beyond their guarantees
   */
  public record Limits(Map<String, Team> teams, Map<String, Resources> standing, double share) {}

  /** Capacity that a shard keeps free. */
  public record ReservedSlots(TaskSlot slot, int tasks) {}

  /**
   * A change of a request's reservation.
   *
   * @param zones reserved tasks by zone from now on; empty if none
   * @param lostReason why there is no reservation, else empty
   */
  public record ReservationChange(
      DeadlineRequest request, Map<String, Integer> zones, String lostReason) {}

  /**
   * A reservation that fails for lack of capacity.
   *
   * @param tasks number of tasks to be reserved; {@code missing}: tasks without capacity
   * @param found capacity found for the others, by zone
   */
  public record Unplaced(
      TaskSlot slot, int tasks, int missing, Set<String> zones, Map<String, Integer> found) {}

  /**
   * The reservations that should be made.
   *
   * @param changes changes, earliest due first
   * @param unreservedReasons why each open request without a reservation has none, by its reference
   */
  public record Plan(
      List<ReservationChange> changes,
      Map<String, String> unreservedReasons,
      List<Unplaced> unplaced) {}

  private final Map<String, DeadlineRequest> byReference = new HashMap<>();
  private final NavigableSet<DeadlineRequest> byDue = new TreeSet<>(BY_DUE);
  private final Map<String, NavigableSet<DeadlineRequest>> byJobClass = new HashMap<>();
  private long roomChecks;

  /** Adds or updates a request, in logarithmic time. */
  public void put(DeadlineRequest request) {
    remove(request.reference());
    if (request.state().isOpen()) {
      byReference.put(request.reference(), request);
      byDue.add(request);
      byJobClass
          .computeIfAbsent(
              request.need().jobClass(), jobClass -> new TreeSet<>(RequestUsage.NEWEST))
          .add(request);
    }
  }

  public void remove(String reference) {
    DeadlineRequest before = byReference.remove(reference);
    if (before != null) {
      byDue.remove(before);
      NavigableSet<DeadlineRequest> ofClass = byJobClass.get(before.need().jobClass());
      ofClass.remove(before);
      if (ofClass.isEmpty()) {
        byJobClass.remove(before.need().jobClass());
      }
    }
  }

  public boolean isEmpty() {
    return byReference.isEmpty();
  }

  /** Returns the open requests, earliest due first. */
  public Collection<DeadlineRequest> open() {
    return byDue;
  }

  private static TaskSlot slotOf(DeadlineRequest request) {
    return new TaskSlot(
        request.need().jobClass(), request.need().team(), request.need().resourcesPerTask());
  }

  /**
   * Returns what each shard keeps free: the unused reservations of its zone, as far as they fit.
   */
  public Map<ShardId, List<ReservedSlots>> reservedByShard(
      Collection<ReservableShard> shards, Collection<RunningJob> jobs) {
    Map<ShardId, List<ReservedSlots>> reserved = new HashMap<>();
    if (byReference.isEmpty()) {
      return reserved;
    }
    RequestUsage usage = new RequestUsage(byJobClass, jobs);
    RemainingCapacity remaining = new RemainingCapacity(shards);
    Map<ShardId, Map<TaskSlot, Integer>> tasksByShard = new HashMap<>();
    // In the same order as the plan: packed in another order, the tasks might not fit.
    for (DeadlineRequest request : byDue) {
      if (request.state() == DeadlineRequest.State.RESERVED) {
        TaskSlot slot = slotOf(request);
        usage
            .unusedByZone(request)
            .forEach(
                (zone, tasks) ->
                    remaining.occupy(
                        slot,
                        zone,
                        tasks,
                        (shard, placed) ->
                            tasksByShard
                                .computeIfAbsent(shard, id -> new TreeMap<>())
                                .merge(slot, placed, Integer::sum)));
      }
    }
    tasksByShard.forEach(
        (shard, slots) ->
            reserved.put(
                shard,
                slots.entrySet().stream()
                    .map(each -> new ReservedSlots(each.getKey(), each.getValue()))
                    .toList()));
    return reserved;
  }

  /**
   * A slot and zones that a search found no room in; equal or larger demands need not search again.
   */
  private record FailedSearch(TaskSlot slot, Set<String> zones) {}

  /**
   * Plans the reservations, in order of due time. A reservation stays where it is, unless it no
   * longer fits or an earlier request needs the room.
   */
  public Plan plan(Collection<ReservableShard> shards, Collection<RunningJob> jobs, Limits limits) {
    List<ReservationChange> changes = new ArrayList<>();
    Map<String, String> reasons = new LinkedHashMap<>();
    List<Unplaced> unplaced = new ArrayList<>();
    RequestUsage usage = new RequestUsage(byJobClass, jobs);
    RemainingCapacity remaining = new RemainingCapacity(shards);
    Allowance allowance = new Allowance(limits, remaining.capacity());
    Map<FailedSearch, Integer> failedSearches = new HashMap<>();
    for (DeadlineRequest request : byDue) {
      CapacityNeed need = request.need();
      TaskSlot slot = slotOf(request);
      Map<String, Integer> used = usage.usedByZone(request);
      int unusedTasks = need.tasks() - used.values().stream().mapToInt(Integer::intValue).sum();
      String reason = allowance.refusalReason(need, unusedTasks);
      if (reason == null) {
        Map<String, Integer> zones =
            request.state() == DeadlineRequest.State.RESERVED ? usage.unusedByZone(request) : null;
        if (zones == null || !remaining.fit(slot, zones)) {
          FailedSearch key = new FailedSearch(slot, need.zones());
          boolean first = !failedSearches.containsKey(key);
          zones =
              failedSearches.getOrDefault(key, Integer.MAX_VALUE) <= unusedTasks
                  ? Map.of()
                  : remaining.spread(slot, need, unusedTasks);
          int found = zones.values().stream().mapToInt(Integer::intValue).sum();
          if (found < unusedTasks) {
            failedSearches.merge(key, unusedTasks, Math::min);
            // Only the first of several equal requests counts the capacity found.
            unplaced.add(
                new Unplaced(
                    slot,
                    unusedTasks,
                    first ? unusedTasks - found : unusedTasks,
                    need.zones(),
                    first ? zones : Map.of()));
            zones = null;
            reason =
                "no room for "
                    + unusedTasks
                    + " tasks of "
                    + need.resourcesPerTask()
                    + " in "
                    + (need.zones().isEmpty()
                        ? "any zone"
                        : "the zones " + new TreeSet<>(need.zones()));
          } else {
            Map<String, Integer> all = new TreeMap<>(zones);
            used.forEach((zone, tasks) -> all.merge(zone, tasks, Integer::sum));
            changes.add(new ReservationChange(request, all, ""));
          }
        }
        if (zones != null) {
          zones.forEach(
              (zone, tasks) -> remaining.occupy(slot, zone, tasks, (shard, placed) -> {}));
          allowance.reserved(need, unusedTasks);
        }
      }
      if (reason != null) {
        reasons.put(request.reference(), reason);
        if (request.state() == DeadlineRequest.State.RESERVED) {
          changes.add(new ReservationChange(request, Map.of(), reason));
        }
      }
    }
    return new Plan(changes, reasons, unplaced);
  }

  /** What teams may still reserve. */
  private static final class Allowance {
    private final Limits limits;
    private final Resources maxBeyondGuarantees;
    private final Map<String, Resources> reserved = new HashMap<>();
    private Resources beyondGuarantees = Resources.NONE;

    Allowance(Limits limits, Resources capacity) {
      this.limits = limits;
      this.maxBeyondGuarantees = capacity.times(limits.share());
    }

    private Resources beyondGuarantees(Team team, Resources ofTeam) {
      return ofTeam
          .plus(limits.standing().getOrDefault(team.name(), Resources.NONE))
          .minus(team.guarantee())
          .max(Resources.NONE)
          .min(ofTeam);
    }

    /** Returns why tasks may not be reserved, or null if they may. */
    String refusalReason(CapacityNeed need, int tasks) {
      Team team = limits.teams().get(need.team());
      if (team == null) {
        return "the settings name no team " + need.team();
      }
      Resources before = reserved.getOrDefault(team.name(), Resources.NONE);
      Resources after = before.plus(need.resourcesPerTask().times(tasks));
      if (!after
          .plus(limits.standing().getOrDefault(team.name(), Resources.NONE))
          .fitsIn(team.limit())) {
        return "team " + team.name() + " would be over its limit";
      }
      Resources more = beyondGuarantees(team, after).minus(beyondGuarantees(team, before));
      if (!more.fitsIn(Resources.NONE)
          && !beyondGuarantees.plus(more).fitsIn(maxBeyondGuarantees)) {
        return "it goes beyond the guarantee of team "
            + team.name()
            + ", and of the machines no more than "
            + limits.share()
            + " may be reserved so";
      }
      return null;
    }

    void reserved(CapacityNeed need, int tasks) {
      Team team = limits.teams().get(need.team());
      Resources before = reserved.getOrDefault(team.name(), Resources.NONE);
      Resources after = before.plus(need.resourcesPerTask().times(tasks));
      beyondGuarantees =
          beyondGuarantees
              .plus(beyondGuarantees(team, after))
              .minus(beyondGuarantees(team, before));
      reserved.put(team.name(), after);
    }
  }

  /** Called with tasks placed in a shard. */
  private interface PlacementListener {
    void placed(ShardId shard, int tasks);
  }

  /** The remaining capacity of the shards. */
  private final class RemainingCapacity {
    private final Map<String, List<ReservableShard>> zones = new TreeMap<>();
    private final Map<ShardId, Resources> left = new HashMap<>();
    private Resources capacity = Resources.NONE;

    RemainingCapacity(Collection<ReservableShard> reservable) {
      for (ReservableShard shard : reservable) {
        if (shard.machines() > 0) {
          zones.computeIfAbsent(shard.zone(), zone -> new ArrayList<>()).add(shard);
          left.put(shard.shard(), shard.freeCapacity());
          capacity = capacity.plus(shard.machine().times(shard.machines()));
        }
      }
      zones.values().forEach(list -> list.sort(Comparator.comparing(ReservableShard::shard)));
    }

    Resources capacity() {
      return capacity;
    }

    private int count(ReservableShard shard, TaskSlot slot) {
      roomChecks++;
      return Math.min(
          shard.machines() * shard.machine().capacityFor(slot.resources()),
          left.get(shard.shard()).capacityFor(slot.resources()));
    }

    /** Returns how many tasks fit in a zone, counting up to {@code max}. */
    private int count(TaskSlot slot, String zone, int max) {
      int count = 0;
      for (ReservableShard shard : zones.getOrDefault(zone, List.of())) {
        count += count < max ? Math.min(max - count, count(shard, slot)) : 0;
      }
      return count;
    }

    boolean fit(TaskSlot slot, Map<String, Integer> tasksByZone) {
      return tasksByZone.entrySet().stream()
          .allMatch(zone -> count(slot, zone.getKey(), zone.getValue()) == zone.getValue());
    }

    /** Spreads tasks evenly over the zones, as far as they have room. */
    Map<String, Integer> spread(TaskSlot slot, CapacityNeed need, int tasks) {
      Map<String, Integer> free = new TreeMap<>();
      for (String zone : zones.keySet()) {
        if (need.allows(zone)) {
          free.put(zone, 0);
        }
      }
      int max = need.maxTasksPerZone(free.size(), tasks);
      free.replaceAll((zone, none) -> count(slot, zone, max));
      List<String> order = new ArrayList<>(free.keySet());
      order.sort(Comparator.comparing((String zone) -> free.get(zone)).thenComparing(zone -> zone));
      Map<String, Integer> tasksByZone = new TreeMap<>();
      int remainingTasks = tasks;
      for (int i = 0; i < order.size(); i++) {
        int even =
            remainingTasks
                / (order.size()
                    - i); // the remainder of an uneven split goes to the zones with the most room
        int here = Math.min(free.get(order.get(i)), even);
        if (here > 0) {
          tasksByZone.put(order.get(i), here);
          remainingTasks -= here;
        }
      }
      return tasksByZone;
    }

    /**
     * Takes room in a zone, first in shards that have the job class's image; tasks without room are
     * skipped.
     */
    void occupy(TaskSlot slot, String zone, int tasks, PlacementListener listener) {
      int remainingTasks = tasks;
      for (boolean hasImage : new boolean[] {true, false}) {
        for (ReservableShard shard : zones.getOrDefault(zone, List.of())) {
          if (remainingTasks > 0 && shard.jobClasses().contains(slot.jobClass()) == hasImage) {
            int here = Math.min(remainingTasks, count(shard, slot));
            if (here > 0) {
              left.computeIfPresent(
                  shard.shard(), (shardId, room) -> room.minus(slot.resources().times(here)));
              listener.placed(shard.shard(), here);
              remainingTasks -= here;
            }
          }
        }
      }
    }
  }

  /** How often a shard's room was examined, as a measure of cost. */
  long roomChecks() {
    return roomChecks;
  }

  /** Returns the job classes that open requests name. */
  public Set<String> jobClasses() {
    return new HashSet<>(byJobClass.keySet());
  }
}
