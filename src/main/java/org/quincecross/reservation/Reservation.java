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
 * The open requests, kept in order of due time as they change, and what room is kept for them. What
 * is reserved is written in the requests' records, by zone, and nowhere else: which block of a zone
 * keeps it free follows from the records, the same for everybody who has read them, and nobody adds
 * up what others gave out.
 */
public final class Reservation {
  private static final Comparator<Request> BY_DUE =
      Comparator.comparing(Request::dueMs)
          .thenComparing(Request::arrivedMs)
          .thenComparing(Request::reference);

  /**
   * What teams may have.
   *
   * @param standing what the tasks of each team take that do not make way, those that run for
   *     requests among them
   * @param share of the machines that may be reserved beyond guarantees, by all teams together
   */
  public record Limits(Map<String, Team> teams, Map<String, Resources> standing, double share) {}

  /** Room that a block keeps free. */
  public record Kept(Slot slot, int tasks) {}

  /**
   * A change to a request's room.
   *
   * @param zones where it has room from now on; none: nowhere
   * @param without why it has none, else empty
   */
  public record Move(Request request, Map<String, Integer> zones, String without) {}

  /**
   * Room that there is none of, and that would be reserved if there were.
   *
   * @param tasks that a request needs room for; {@code missing}: for how many there is none
   * @param found where there is room for the others
   */
  public record Unplaced(
      Slot slot, int tasks, int missing, Set<String> zones, Map<String, Integer> found) {}

  /**
   * What should be reserved.
   *
   * @param moves the first ones due first
   * @param without why each open request without room has none, by its reference
   */
  public record Plan(List<Move> moves, Map<String, String> without, List<Unplaced> unplaced) {}

  private final Map<String, Request> byReference = new HashMap<>();
  private final NavigableSet<Request> byDue = new TreeSet<>(BY_DUE);
  private final Map<String, NavigableSet<Request>> byLane = new HashMap<>();
  private long looks;

  /** Takes note of a request as it is now, at a cost that hardly grows with how many there are. */
  public void put(Request request) {
    remove(request.reference());
    if (request.state().isOpen()) {
      byReference.put(request.reference(), request);
      byDue.add(request);
      byLane
          .computeIfAbsent(request.need().lane(), lane -> new TreeSet<>(Uses.NEWEST))
          .add(request);
    }
  }

  public void remove(String reference) {
    Request before = byReference.remove(reference);
    if (before != null) {
      byDue.remove(before);
      NavigableSet<Request> ofLane = byLane.get(before.need().lane());
      ofLane.remove(before);
      if (ofLane.isEmpty()) {
        byLane.remove(before.need().lane());
      }
    }
  }

  public boolean isEmpty() {
    return byReference.isEmpty();
  }

  /** The open requests, the first one due first. */
  public Collection<Request> open() {
    return byDue;
  }

  private static Slot slotOf(Request request) {
    return new Slot(request.need().lane(), request.need().team(), request.need().each());
  }

  /**
   * What each block keeps free: of each zone's reservations that are not used yet, what finds room
   * there.
   */
  public Map<ShardId, List<Kept>> kept(Collection<Place> places, Collection<Taken> taken) {
    Map<ShardId, List<Kept>> kept = new HashMap<>();
    if (byReference.isEmpty()) {
      return kept;
    }
    Uses uses = new Uses(byLane, taken);
    Rooms rooms = new Rooms(places);
    Map<ShardId, Map<Slot, Integer>> sums = new HashMap<>();
    // In the order of the plan: packed otherwise, what fits there might not fit here.
    for (Request request : byDue) {
      if (request.state() == Request.State.RESERVED) {
        Slot slot = slotOf(request);
        uses.unused(request)
            .forEach(
                (zone, tasks) ->
                    rooms.take(
                        slot,
                        zone,
                        tasks,
                        (shard, some) ->
                            sums.computeIfAbsent(shard, id -> new TreeMap<>())
                                .merge(slot, some, Integer::sum)));
      }
    }
    sums.forEach(
        (shard, slots) ->
            kept.put(
                shard,
                slots.entrySet().stream()
                    .map(each -> new Kept(each.getKey(), each.getValue()))
                    .toList()));
    return kept;
  }

  /** Room that was asked for in vain: as much again, or more, need not be looked for. */
  private record Vain(Slot slot, Set<String> zones) {}

  /**
   * What should be reserved where: in order of due time, what fits. What is reserved stays where it
   * is, unless it fits there no more, or an earlier one needs the room.
   */
  public Plan plan(Collection<Place> places, Collection<Taken> taken, Limits limits) {
    List<Move> moves = new ArrayList<>();
    Map<String, String> without = new LinkedHashMap<>();
    List<Unplaced> unplaced = new ArrayList<>();
    Uses uses = new Uses(byLane, taken);
    Rooms rooms = new Rooms(places);
    Allowance allowance = new Allowance(limits, rooms.capacity());
    Map<Vain, Integer> vain = new HashMap<>();
    for (Request request : byDue) {
      Need need = request.need();
      Slot slot = slotOf(request);
      Map<String, Integer> used = uses.of(request);
      int left = need.tasks() - used.values().stream().mapToInt(Integer::intValue).sum();
      String why = allowance.refuses(need, left);
      if (why == null) {
        Map<String, Integer> zones =
            request.state() == Request.State.RESERVED ? uses.unused(request) : null;
        if (zones == null || !rooms.fit(slot, zones)) {
          Vain key = new Vain(slot, need.zones());
          boolean first = !vain.containsKey(key);
          zones =
              vain.getOrDefault(key, Integer.MAX_VALUE) <= left
                  ? Map.of()
                  : rooms.spread(slot, need, left);
          int found = zones.values().stream().mapToInt(Integer::intValue).sum();
          if (found < left) {
            vain.merge(key, left, Math::min);
            // Of several like it the first would have what there is.
            unplaced.add(
                new Unplaced(
                    slot,
                    left,
                    first ? left - found : left,
                    need.zones(),
                    first ? zones : Map.of()));
            zones = null;
            why =
                "no room for "
                    + left
                    + " tasks of "
                    + need.each()
                    + " in "
                    + (need.zones().isEmpty()
                        ? "any zone"
                        : "the zones " + new TreeSet<>(need.zones()));
          } else {
            Map<String, Integer> all = new TreeMap<>(zones);
            used.forEach((zone, tasks) -> all.merge(zone, tasks, Integer::sum));
            moves.add(new Move(request, all, ""));
          }
        }
        if (zones != null) {
          zones.forEach((zone, tasks) -> rooms.take(slot, zone, tasks, (shard, some) -> {}));
          allowance.reserved(need, left);
        }
      }
      if (why != null) {
        without.put(request.reference(), why);
        if (request.state() == Request.State.RESERVED) {
          moves.add(new Move(request, Map.of(), why));
        }
      }
    }
    return new Plan(moves, without, unplaced);
  }

  /** What teams may still reserve. */
  private static final class Allowance {
    private final Limits limits;
    private final Resources mostBeyond;
    private final Map<String, Resources> reserved = new HashMap<>();
    private Resources beyond = Resources.NONE;

    Allowance(Limits limits, Resources capacity) {
      this.limits = limits;
      this.mostBeyond = capacity.times(limits.share());
    }

    private Resources beyond(Team team, Resources ofTeam) {
      return ofTeam
          .plus(limits.standing().getOrDefault(team.name(), Resources.NONE))
          .minus(team.guarantee())
          .max(Resources.NONE)
          .min(ofTeam);
    }

    /** Why so many tasks may not be reserved; null if they may. */
    String refuses(Need need, int tasks) {
      Team team = limits.teams().get(need.team());
      if (team == null) {
        return "the settings name no team " + need.team();
      }
      Resources before = reserved.getOrDefault(team.name(), Resources.NONE);
      Resources after = before.plus(need.each().times(tasks));
      if (!after
          .plus(limits.standing().getOrDefault(team.name(), Resources.NONE))
          .fitsIn(team.limit())) {
        return "team " + team.name() + " would be over its limit";
      }
      Resources more = beyond(team, after).minus(beyond(team, before));
      if (!more.fitsIn(Resources.NONE) && !beyond.plus(more).fitsIn(mostBeyond)) {
        return "it goes beyond the guarantee of team "
            + team.name()
            + ", and of the machines no more than "
            + limits.share()
            + " may be reserved so";
      }
      return null;
    }

    void reserved(Need need, int tasks) {
      Team team = limits.teams().get(need.team());
      Resources before = reserved.getOrDefault(team.name(), Resources.NONE);
      Resources after = before.plus(need.each().times(tasks));
      beyond = beyond.plus(beyond(team, after)).minus(beyond(team, before));
      reserved.put(team.name(), after);
    }
  }

  /** Told of some tasks that found room in a block. */
  private interface Found {
    void in(ShardId shard, int tasks);
  }

  /** What is left of the blocks' room. */
  private final class Rooms {
    private final Map<String, List<Place>> zones = new TreeMap<>();
    private final Map<ShardId, Resources> left = new HashMap<>();
    private Resources capacity = Resources.NONE;

    Rooms(Collection<Place> places) {
      for (Place place : places) {
        if (place.machines() > 0) {
          zones.computeIfAbsent(place.zone(), zone -> new ArrayList<>()).add(place);
          left.put(place.shard(), place.room());
          capacity = capacity.plus(place.machine().times(place.machines()));
        }
      }
      zones.values().forEach(list -> list.sort(Comparator.comparing(Place::shard)));
    }

    Resources capacity() {
      return capacity;
    }

    private int count(Place place, Slot slot) {
      looks++;
      return Math.min(
          place.machines() * place.machine().capacityFor(slot.each()),
          left.get(place.shard()).capacityFor(slot.each()));
    }

    /** How many tasks find room in a zone, not counting beyond {@code most}. */
    private int count(Slot slot, String zone, int most) {
      int count = 0;
      for (Place place : zones.getOrDefault(zone, List.of())) {
        count += count < most ? Math.min(most - count, count(place, slot)) : 0;
      }
      return count;
    }

    boolean fit(Slot slot, Map<String, Integer> where) {
      return where.entrySet().stream()
          .allMatch(zone -> count(slot, zone.getKey(), zone.getValue()) == zone.getValue());
    }

    /** So many tasks evenly over the zones, as far as they have room. */
    Map<String, Integer> spread(Slot slot, Need need, int tasks) {
      Map<String, Integer> free = new TreeMap<>();
      for (String zone : zones.keySet()) {
        if (need.allows(zone)) {
          free.put(zone, 0);
        }
      }
      int most = need.mostInOneZone(free.size(), tasks);
      free.replaceAll((zone, none) -> count(slot, zone, most));
      List<String> order = new ArrayList<>(free.keySet());
      order.sort(Comparator.comparing((String zone) -> free.get(zone)).thenComparing(zone -> zone));
      Map<String, Integer> where = new TreeMap<>();
      int rest = tasks;
      for (int i = 0; i < order.size(); i++) {
        int even =
            rest / (order.size() - i); // what does not go up evenly goes where the most is free
        int here = Math.min(free.get(order.get(i)), even);
        if (here > 0) {
          where.put(order.get(i), here);
          rest -= here;
        }
      }
      return where;
    }

    /** Takes room in a zone, first where the lane's image is; what finds none is not taken. */
    void take(Slot slot, String zone, int tasks, Found found) {
      int rest = tasks;
      for (boolean image : new boolean[] {true, false}) {
        for (Place place : zones.getOrDefault(zone, List.of())) {
          if (rest > 0 && place.lanes().contains(slot.lane()) == image) {
            int here = Math.min(rest, count(place, slot));
            if (here > 0) {
              left.computeIfPresent(
                  place.shard(), (shard, room) -> room.minus(slot.each().times(here)));
              found.in(place.shard(), here);
              rest -= here;
            }
          }
        }
      }
    }
  }

  /** How often a block's room was looked at for a request: the work that was done. */
  long looks() {
    return looks;
  }

  /** The lanes that open requests name. */
  public Set<String> lanes() {
    return new HashSet<>(byLane.keySet());
  }
}
