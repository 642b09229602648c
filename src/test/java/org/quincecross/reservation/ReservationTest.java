package org.quincecross.reservation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.Team;

/**
 * What is reserved for drawn requests, blocks and jobs: nothing twice, by due time, evenly, within
 * limits, and told.
 */
class ReservationTest {
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final Resources MACHINE = new Resources(8, 0, 32);
  private static final double SHARE = 0.3;

  private Random random = new Random(1);
  private final Reservation reservation = new Reservation();
  private final Map<String, Request> records = new TreeMap<>();
  private final List<Place> places = new ArrayList<>();
  private final Map<String, Team> teams =
      Map.of("red", team("red", 40, 90), "blue", team("blue", 8, 400));

  private static ReservationTest site(long seed) {
    ReservationTest site = new ReservationTest();
    site.random = new Random(seed);
    return site;
  }

  private static Team team(String name, double guarantee, double limit) {
    return new Team(
        name, new Resources(guarantee, 0, 4 * guarantee), new Resources(limit, 0, 4 * limit));
  }

  private static Request arrived(int number, long dueMs, Need need) {
    return new Request(
        "r" + number,
        "police",
        10,
        dueMs,
        need,
        100 + number,
        Request.State.ARRIVED,
        Map.of(),
        "",
        0,
        0);
  }

  private Need need(int tasks) {
    boolean red = random.nextBoolean();
    return new Need(
        red ? "front" : "side",
        red ? "red" : "blue",
        tasks,
        new Resources(1 + random.nextInt(3), 0, 4),
        random.nextInt(3) == 0
            ? Set.copyOf(List.of(ZONES.get(random.nextInt(3)), ZONES.get(random.nextInt(3))))
            : Set.of());
  }

  private void put(Request request) {
    records.put(request.reference(), request);
    reservation.put(request);
  }

  private void drawPlaces() {
    places.clear();
    for (int block = 0; block < 9; block++) {
      places.add(
          new Place(
              new ShardId("b" + block),
              ZONES.get(block % 3),
              MACHINE,
              random.nextInt(4),
              new Resources(random.nextInt(9), 0, 8),
              random.nextBoolean() ? Set.of("front") : Set.of()));
    }
  }

  private List<Taken> drawTaken() {
    List<Taken> taken = new ArrayList<>();
    for (int job = random.nextInt(6); job > 0; job--) {
      Map<String, Integer> zones = new HashMap<>();
      zones.put(ZONES.get(random.nextInt(3)), 1 + random.nextInt(3));
      taken.add(new Taken(random.nextBoolean() ? "front" : "side", 90 + random.nextInt(40), zones));
    }
    return taken;
  }

  private Reservation.Plan follow(List<Taken> taken) {
    Reservation.Plan plan =
        reservation.plan(places, taken, new Reservation.Limits(teams, Map.of(), SHARE));
    for (Reservation.Move move : plan.moves()) {
      put(move.request().moved(move));
    }
    return plan;
  }

  /**
   * Over drawn changes: what blocks keep fits into them, comes to what records say is unused, and
   * the plan followed asks for nothing more.
   */
  @Property(tries = 300)
  void nothingIsPromisedTwice(@ForAll long seed) {
    ReservationTest site = site(seed);
    for (int round = 0; round < 6; round++) {
      site.drawPlaces();
      for (int i = site.random.nextInt(4); i >= 0; i--) {
        site.put(
            arrived(
                site.records.size(),
                1000 + site.random.nextInt(1000),
                site.need(1 + site.random.nextInt(8))));
      }
      if (!site.records.isEmpty() && site.random.nextBoolean()) {
        List<Request> all = List.copyOf(site.records.values());
        site.put(all.get(site.random.nextInt(all.size())).over(Request.State.ANSWERED, 500, 0));
      }
      List<Taken> taken = site.drawTaken();
      Reservation.Plan plan = site.follow(taken);
      site.check(plan, taken);
      assertEquals(
          List.of(), site.follow(taken).moves(), "a plan that was followed is followed by another");
    }
  }

  private void check(Reservation.Plan plan, List<Taken> taken) {
    Map<ShardId, List<Reservation.Kept>> kept = reservation.kept(places, taken);
    Resources all = Resources.NONE;
    for (Place place : places) {
      Resources here = Resources.NONE;
      for (Reservation.Kept each : kept.getOrDefault(place.shard(), List.of())) {
        here = here.plus(each.slot().each().times(each.tasks()));
      }
      assertTrue(here.fitsIn(place.room()), place + " keeps " + here);
      all = all.plus(here);
    }
    Map<String, Integer> jobs = new HashMap<>();
    taken.forEach(
        job ->
            jobs.merge(
                job.lane(),
                job.zones().values().stream().mapToInt(Integer::intValue).sum(),
                Integer::sum));
    Resources most = Resources.NONE;
    for (Request request : records.values()) {
      boolean told = plan.without().containsKey(request.reference());
      assertEquals(request.state() == Request.State.ARRIVED, told, "told: " + request);
      assertEquals(
          request.state() == Request.State.RESERVED ? request.need().tasks() : 0,
          request.reserved(),
          request.toString());
      assertTrue(
          request.zones().keySet().stream().allMatch(request.need()::allows), request.toString());
      most = most.plus(request.need().each().times(request.reserved()));
    }
    assertTrue(all.fitsIn(most), all + " is kept, " + most + " is reserved");
    // Every task of a job stands for one of a request at most.
    int used = jobs.values().stream().mapToInt(Integer::intValue).sum();
    Resources least = most.minus(new Resources(3, 0, 4).times(used));
    assertTrue(least.fitsIn(all), all + " is kept, at least " + least + " should be");
  }

  /** By due time: none is without room that could have that of a later one for the same. */
  @Property(tries = 200)
  void theFirstDueComeFirst(@ForAll long seed) {
    ReservationTest site = site(seed);
    site.drawPlaces();
    Need need = new Need("front", "red", 3, new Resources(2, 0, 4), Set.of());
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      order.add(i);
    }
    java.util.Collections.shuffle(order, site.random);
    for (int i : order) {
      site.put(arrived(i, 1000 + i, need));
      if (site.random.nextInt(4) == 0) {
        site.follow(List.of());
      }
    }
    site.follow(List.of());
    boolean without = false;
    for (Request request : site.reservation.open()) {
      without |= request.state() == Request.State.ARRIVED;
      assertEquals(
          without, request.state() == Request.State.ARRIVED, request + " after one without room");
      assertTrue(
          request.zones().values().stream().allMatch(tasks -> tasks <= 2)
              || site.zonesWithMachines() < 2,
          request.toString());
    }
    assertTrue(without, "90 tasks of two processors are more than the team may have");
  }

  private long zonesWithMachines() {
    return places.stream()
        .filter(place -> place.machines() > 0)
        .map(Place::zone)
        .distinct()
        .count();
  }

  /**
   * What runs is not kept free a second time; what ends is. The lane's image decides between blocks
   * of a zone.
   */
  @Test
  void whatRunsForARequestUsesItsRoom() {
    places.add(new Place(new ShardId("b0"), "a", MACHINE, 4, Resources.NONE, Set.of()));
    places.add(new Place(new ShardId("b1"), "a", MACHINE, 4, Resources.NONE, Set.of("front")));
    put(arrived(0, 1000, new Need("front", "red", 6, new Resources(2, 0, 4), Set.of())));
    follow(List.of());
    assertEquals(Map.of("a", 6), records.get("r0").zones());
    Slot slot = new Slot("front", "red", new Resources(2, 0, 4));
    assertEquals(
        Map.of(new ShardId("b1"), List.of(new Reservation.Kept(slot, 6))),
        reservation.kept(places, List.of()));
    Taken before = new Taken("front", 99, Map.of("a", 4));
    Taken after = new Taken("front", 100, Map.of("a", 4));
    assertEquals(
        6, reservation.kept(places, List.of(before)).get(new ShardId("b1")).get(0).tasks());
    assertEquals(
        2, reservation.kept(places, List.of(after, before)).get(new ShardId("b1")).get(0).tasks());
    put(records.get("r0").over(Request.State.ANSWERED, 200, 0));
    assertEquals(Map.of(), reservation.kept(places, List.of()));
  }

  /**
   * Beyond guarantees no more than the share, by all teams together; within limits whatever is
   * free.
   */
  @Test
  void limitsGuaranteesAndTheShare() {
    places.add(new Place(new ShardId("b0"), "a", MACHINE, 40, Resources.NONE, Set.of()));
    Resources one = new Resources(1, 0, 4);
    put(arrived(0, 1000, new Need("side", "blue", 8 + 96, one, Set.of())));
    put(arrived(1, 1001, new Need("side", "blue", 1, one, Set.of())));
    put(arrived(2, 1002, new Need("front", "red", 40, one, Set.of())));
    put(arrived(3, 1003, new Need("front", "red", 51, one, Set.of())));
    put(arrived(4, 1004, new Need("front", "grey", 1, one, Set.of())));
    Map<String, String> without = follow(List.of()).without();
    assertEquals(Set.of("r1", "r3", "r4"), without.keySet());
    assertTrue(without.get("r1").contains("guarantee of team blue"), without.get("r1"));
    assertTrue(without.get("r3").contains("limit"), without.get("r3"));
    assertTrue(without.get("r4").contains("no team grey"), without.get("r4"));
  }

  /** 10,000 open requests: one more, or one less, is a matter of milliseconds, and so is a plan. */
  @Test
  void tenThousandOpenRequests() {
    for (int block = 0; block < 60; block++) {
      places.add(
          new Place(
              new ShardId("b" + block),
              ZONES.get(block % 3),
              MACHINE,
              12,
              Resources.NONE,
              Set.of()));
    }
    for (int i = 0; i < 10_000; i++) {
      put(arrived(i, 1000 + random.nextInt(100_000), need(1 + random.nextInt(4))));
    }
    assertTrue(follow(List.of()).moves().size() > 10);
    long most = 0;
    for (int i = 0; i < 30; i++) {
      long before = reservation.looks();
      put(records.get("r" + i).over(Request.State.ANSWERED, 500, 0));
      follow(List.of());
      reservation.kept(places, List.of());
      most = Math.max(most, reservation.looks() - before);
    }
    // Most find no room; of those that are alike the first alone looks for it.
    assertTrue(
        most < 2_000, most + " looks at a block's room for a change, a plan and what blocks keep");
  }
}
