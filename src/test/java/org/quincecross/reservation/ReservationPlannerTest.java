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
 * Tests reservations for random requests, shards and jobs: no capacity is reserved twice, requests
 * are served by due time, spread over zones, within limits, and refusals are reported.
 */
class ReservationPlannerTest {
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final Resources MACHINE = new Resources(8, 0, 32);
  private static final double SHARE = 0.3;

  private Random random = new Random(1);
  private final ReservationPlanner reservation = new ReservationPlanner();
  private final Map<String, DeadlineRequest> records = new TreeMap<>();
  private final List<ReservableShard> shards = new ArrayList<>();
  private final Map<String, Team> teams =
      Map.of("red", team("red", 40, 90), "blue", team("blue", 8, 400));

  private static ReservationPlannerTest withSeed(long seed) {
    ReservationPlannerTest test = new ReservationPlannerTest();
    test.random = new Random(seed);
    return test;
  }

  private static Team team(String name, double guarantee, double limit) {
    return new Team(
        name, new Resources(guarantee, 0, 4 * guarantee), new Resources(limit, 0, 4 * limit));
  }

  private static DeadlineRequest arrived(int number, long dueMs, CapacityNeed need) {
    return new DeadlineRequest(
        "r" + number,
        "police",
        10,
        dueMs,
        need,
        100 + number,
        DeadlineRequest.State.ARRIVED,
        Map.of(),
        "",
        0,
        0);
  }

  private CapacityNeed need(int tasks) {
    boolean red = random.nextBoolean();
    return new CapacityNeed(
        red ? "front" : "side",
        red ? "red" : "blue",
        tasks,
        new Resources(1 + random.nextInt(3), 0, 4),
        random.nextInt(3) == 0
            ? Set.copyOf(List.of(ZONES.get(random.nextInt(3)), ZONES.get(random.nextInt(3))))
            : Set.of());
  }

  private void put(DeadlineRequest request) {
    records.put(request.reference(), request);
    reservation.put(request);
  }

  private void drawShards() {
    shards.clear();
    for (int shard = 0; shard < 9; shard++) {
      shards.add(
          new ReservableShard(
              new ShardId("b" + shard),
              ZONES.get(shard % 3),
              MACHINE,
              random.nextInt(4),
              new Resources(random.nextInt(9), 0, 8),
              random.nextBoolean() ? Set.of("front") : Set.of()));
    }
  }

  private List<RunningJob> drawJobs() {
    List<RunningJob> jobs = new ArrayList<>();
    for (int job = random.nextInt(6); job > 0; job--) {
      Map<String, Integer> zones = new HashMap<>();
      zones.put(ZONES.get(random.nextInt(3)), 1 + random.nextInt(3));
      jobs.add(
          new RunningJob(random.nextBoolean() ? "front" : "side", 90 + random.nextInt(40), zones));
    }
    return jobs;
  }

  private ReservationPlanner.Plan applyPlan(List<RunningJob> jobs) {
    ReservationPlanner.Plan plan =
        reservation.plan(shards, jobs, new ReservationPlanner.Limits(teams, Map.of(), SHARE));
    for (ReservationPlanner.ReservationChange change : plan.changes()) {
      put(change.request().apply(change));
    }
    return plan;
  }

  /**
   * Over random changes: what shards keep free fits into them and equals the unused reservations,
   * and a plan that was applied yields no further changes.
   */
  @Property(tries = 300)
  void reservesNoCapacityTwice(@ForAll long seed) {
    ReservationPlannerTest test = withSeed(seed);
    for (int round = 0; round < 6; round++) {
      test.drawShards();
      for (int i = test.random.nextInt(4); i >= 0; i--) {
        test.put(
            arrived(
                test.records.size(),
                1000 + test.random.nextInt(1000),
                test.need(1 + test.random.nextInt(8))));
      }
      if (!test.records.isEmpty() && test.random.nextBoolean()) {
        List<DeadlineRequest> all = List.copyOf(test.records.values());
        test.put(
            all.get(test.random.nextInt(all.size())).close(DeadlineRequest.State.ANSWERED, 500, 0));
      }
      List<RunningJob> jobs = test.drawJobs();
      ReservationPlanner.Plan plan = test.applyPlan(jobs);
      test.check(plan, jobs);
      assertEquals(
          List.of(), test.applyPlan(jobs).changes(), "an applied plan yields no further changes");
    }
  }

  private void check(ReservationPlanner.Plan plan, List<RunningJob> jobs) {
    Map<ShardId, List<ReservationPlanner.ReservedSlots>> reserved =
        reservation.reservedByShard(shards, jobs);
    Resources keptTotal = Resources.NONE;
    for (ReservableShard shard : shards) {
      Resources here = Resources.NONE;
      for (ReservationPlanner.ReservedSlots each :
          reserved.getOrDefault(shard.shard(), List.of())) {
        here = here.plus(each.slot().resources().times(each.tasks()));
      }
      assertTrue(here.fitsIn(shard.freeCapacity()), shard + " keeps " + here);
      keptTotal = keptTotal.plus(here);
    }
    Map<String, Integer> tasksByClass = new HashMap<>();
    jobs.forEach(
        job ->
            tasksByClass.merge(
                job.jobClass(),
                job.zones().values().stream().mapToInt(Integer::intValue).sum(),
                Integer::sum));
    Resources reservedTotal = Resources.NONE;
    for (DeadlineRequest request : records.values()) {
      boolean reported = plan.unreservedReasons().containsKey(request.reference());
      assertEquals(request.state() == DeadlineRequest.State.ARRIVED, reported, "told: " + request);
      assertEquals(
          request.state() == DeadlineRequest.State.RESERVED ? request.need().tasks() : 0,
          request.reservedTasks(),
          request.toString());
      assertTrue(
          request.zones().keySet().stream().allMatch(request.need()::allows), request.toString());
      reservedTotal =
          reservedTotal.plus(request.need().resourcesPerTask().times(request.reservedTasks()));
    }
    assertTrue(
        keptTotal.fitsIn(reservedTotal), keptTotal + " is kept, " + reservedTotal + " is reserved");
    // Every task of a job is attributed to at most one task of a request.
    int used = tasksByClass.values().stream().mapToInt(Integer::intValue).sum();
    Resources leastKept = reservedTotal.minus(new Resources(3, 0, 4).times(used));
    assertTrue(
        leastKept.fitsIn(keptTotal), keptTotal + " is kept, at least " + leastKept + " should be");
  }

  /** By due time: no request lacks a reservation that a later equal request has. */
  @Property(tries = 200)
  void reservesByDueTime(@ForAll long seed) {
    ReservationPlannerTest test = withSeed(seed);
    test.drawShards();
    CapacityNeed need = new CapacityNeed("front", "red", 3, new Resources(2, 0, 4), Set.of());
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      order.add(i);
    }
    java.util.Collections.shuffle(order, test.random);
    for (int i : order) {
      test.put(arrived(i, 1000 + i, need));
      if (test.random.nextInt(4) == 0) {
        test.applyPlan(List.of());
      }
    }
    test.applyPlan(List.of());
    boolean without = false;
    for (DeadlineRequest request : test.reservation.open()) {
      without |= request.state() == DeadlineRequest.State.ARRIVED;
      assertEquals(
          without,
          request.state() == DeadlineRequest.State.ARRIVED,
          request + " after one without room");
      assertTrue(
          request.zones().values().stream().allMatch(tasks -> tasks <= 2)
              || test.zonesWithMachines() < 2,
          request.toString());
    }
    assertTrue(without, "90 tasks of two processors are more than the team may have");
  }

  private long zonesWithMachines() {
    return shards.stream()
        .filter(shard -> shard.machines() > 0)
        .map(ReservableShard::zone)
        .distinct()
        .count();
  }

  /**
   * Running tasks reduce the capacity kept free, ended requests release it, and shards with the job
   * class's image are preferred.
   */
  @Test
  void runningTasksUseTheReservation() {
    shards.add(new ReservableShard(new ShardId("b0"), "a", MACHINE, 4, Resources.NONE, Set.of()));
    shards.add(
        new ReservableShard(new ShardId("b1"), "a", MACHINE, 4, Resources.NONE, Set.of("front")));
    put(arrived(0, 1000, new CapacityNeed("front", "red", 6, new Resources(2, 0, 4), Set.of())));
    applyPlan(List.of());
    assertEquals(Map.of("a", 6), records.get("r0").zones());
    TaskSlot slot = new TaskSlot("front", "red", new Resources(2, 0, 4));
    assertEquals(
        Map.of(new ShardId("b1"), List.of(new ReservationPlanner.ReservedSlots(slot, 6))),
        reservation.reservedByShard(shards, List.of()));
    RunningJob before = new RunningJob("front", 99, Map.of("a", 4));
    RunningJob after = new RunningJob("front", 100, Map.of("a", 4));
    assertEquals(
        6,
        reservation.reservedByShard(shards, List.of(before)).get(new ShardId("b1")).get(0).tasks());
    assertEquals(
        2,
        reservation
            .reservedByShard(shards, List.of(after, before))
            .get(new ShardId("b1"))
            .get(0)
            .tasks());
    put(records.get("r0").close(DeadlineRequest.State.ANSWERED, 200, 0));
    assertEquals(Map.of(), reservation.reservedByShard(shards, List.of()));
  }

  /**
   * Beyond guarantees all teams together reserve no more than the share; within limits they may use
   * what is free.
   */
  @Test
  void respectsLimitsGuaranteesAndShare() {
    shards.add(new ReservableShard(new ShardId("b0"), "a", MACHINE, 40, Resources.NONE, Set.of()));
    Resources one = new Resources(1, 0, 4);
    put(arrived(0, 1000, new CapacityNeed("side", "blue", 8 + 96, one, Set.of())));
    put(arrived(1, 1001, new CapacityNeed("side", "blue", 1, one, Set.of())));
    put(arrived(2, 1002, new CapacityNeed("front", "red", 40, one, Set.of())));
    put(arrived(3, 1003, new CapacityNeed("front", "red", 51, one, Set.of())));
    put(arrived(4, 1004, new CapacityNeed("front", "grey", 1, one, Set.of())));
    Map<String, String> without = applyPlan(List.of()).unreservedReasons();
    assertEquals(Set.of("r1", "r3", "r4"), without.keySet());
    assertTrue(without.get("r1").contains("guarantee of team blue"), without.get("r1"));
    assertTrue(without.get("r3").contains("limit"), without.get("r3"));
    assertTrue(without.get("r4").contains("no team grey"), without.get("r4"));
  }

  /** With 10,000 open requests, a change and a plan take milliseconds. */
  @Test
  void planStaysCheapWithTenThousandRequests() {
    for (int shard = 0; shard < 60; shard++) {
      shards.add(
          new ReservableShard(
              new ShardId("b" + shard),
              ZONES.get(shard % 3),
              MACHINE,
              12,
              Resources.NONE,
              Set.of()));
    }
    for (int i = 0; i < 10_000; i++) {
      put(arrived(i, 1000 + random.nextInt(100_000), need(1 + random.nextInt(4))));
    }
    assertTrue(applyPlan(List.of()).changes().size() > 10);
    long most = 0;
    for (int i = 0; i < 30; i++) {
      long before = reservation.roomChecks();
      put(records.get("r" + i).close(DeadlineRequest.State.ANSWERED, 500, 0));
      applyPlan(List.of());
      reservation.reservedByShard(shards, List.of());
      most = Math.max(most, reservation.roomChecks() - before);
    }
    // Most requests find no room; of equal ones only the first searches.
    assertTrue(
        most < 2_000, most + " room checks for a change, a plan and the reservations by shard");
  }
}
