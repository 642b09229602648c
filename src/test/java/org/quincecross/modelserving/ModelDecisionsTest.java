package org.quincecross.modelserving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.replicated.MalformedRecordException;
import org.quincecross.replicated.Transition;

/**
 * Tests replica placement, scaling, eviction and demand aggregation, and that records read back as
 * written.
 */
class ModelDecisionsTest {
  private static final Model.ScalingLimits TERMS =
      new Model.ScalingLimits(1, 6, 10, TimeSpan.ofSeconds(100), 0);

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime((long) (seconds * 1e9));
  }

  private static Job job(double cpus, double gb, boolean oneZone, boolean spread) {
    return Job.builder(new JobId("job-7"))
        .jobClass("c")
        .team("t")
        .kind(JobKind.SERVICE)
        .priority(Priority.PRODUCTION)
        .taskCount(6)
        .taskResources(new Resources(cpus, 0, 1))
        .singleZone(oneZone)
        .spreadOverZones(spread)
        .allowsSpot(true)
        .image("w")
        .imageGb(gb)
        .estimate(TimeSpan.ZERO)
        .build();
  }

  private static List<ReplicaPlacer.Candidate> machines(Random random, int count) {
    List<ReplicaPlacer.Candidate> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Map<String, Double> fetching = new LinkedHashMap<>();
      Map<String, Double> weights = new LinkedHashMap<>();
      for (int other = random.nextInt(3); other > 0; other--) {
        (random.nextBoolean() ? fetching : weights).put("o" + other, 1.0 + random.nextInt(100));
      }
      Resources free = new Resources(random.nextInt(9), 0, 32);
      all.add(
          new ReplicaPlacer.Candidate(
              new MachineId("m-" + i),
              "b" + i % 3,
              "t8",
              "z" + i % 3,
              false,
              free,
              free.plus(new Resources(random.nextInt(3), 0, 0)),
              0.5 + random.nextInt(3),
              200,
              random.nextInt(3) == 0 ? Set.of("w") : Set.of(),
              fetching,
              weights));
    }
    return all;
  }

  /**
   * No room is assigned twice, zone limits hold, and among machines with room the first replica
   * goes to one where the weights are ready at the lowest cost.
   */
  @Property(tries = 300)
  void placementsFitAndAreReadySoonest(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 6) int replicas,
      @ForAll boolean oneZone,
      @ForAll boolean spread) {
    Random random = new Random(seed);
    Job job = job(1 + random.nextInt(4), 5 + random.nextInt(196), oneZone, spread);
    List<ReplicaPlacer.Candidate> machines = machines(random, 1 + random.nextInt(12));
    List<ReplicaPlacer.Assignment> assignments =
        ReplicaPlacer.choose(job, replicas, Map.of(), Set.of(), machines, Set.of());
    Map<MachineId, Integer> on = new HashMap<>();
    Map<String, Integer> zones = new HashMap<>();
    assignments.forEach(
        choice -> {
          on.merge(choice.machine(), 1, Integer::sum);
          zones.merge(choice.zone(), 1, Integer::sum);
        });
    for (ReplicaPlacer.Candidate machine : machines) {
      assertTrue(
          job.taskResources()
              .times(on.getOrDefault(machine.machine(), 0))
              .fitsIn(machine.freeAfterPreemption()),
          machine.toString());
    }
    assertTrue(!oneZone || zones.size() <= 1);
    zones.values().forEach(count -> assertTrue(count <= job.maxTasksPerZone()));
    boolean anyFree =
        machines.stream().anyMatch(machine -> job.taskResources().fitsIn(machine.free()));
    assertTrue(!anyFree || !assignments.isEmpty());
    if (!assignments.isEmpty() && anyFree) {
      double best =
          machines.stream()
              .filter(machine -> job.taskResources().fitsIn(machine.free()))
              .mapToDouble(
                  machine ->
                      ReplicaPlacer.readyS(job.image(), job.imageGb(), machine)
                          + ReplicaPlacer.evictionCostS(job.image(), job.imageGb(), machine))
              .min()
              .orElseThrow();
      ReplicaPlacer.Candidate first =
          machines.stream()
              .filter(machine -> machine.machine().equals(assignments.get(0).machine()))
              .findFirst()
              .orElseThrow();
      assertEquals(
          best,
          assignments.get(0).readyS()
              + ReplicaPlacer.evictionCostS(job.image(), job.imageGb(), first),
          1e-9);
    }
  }

  /**
   * Cached weights cost nothing, a fetch waits for those in progress, and the cache evicts the
   * least recently used image.
   */
  @Test
  void fetchesQueueAndEvictLeastRecentlyUsed() {
    Resources room = new Resources(8, 0, 32);
    ReplicaPlacer.Candidate has =
        new ReplicaPlacer.Candidate(
            new MachineId("a"),
            "b",
            "t",
            "z",
            false,
            room,
            room,
            2,
            200,
            Set.of("w"),
            Map.of(),
            Map.of());
    assertEquals(0, ReplicaPlacer.readyS("w", 100, has));
    ReplicaPlacer.Candidate busy =
        new ReplicaPlacer.Candidate(
            new MachineId("a"),
            "b",
            "t",
            "z",
            false,
            room,
            room,
            2,
            200,
            Set.of(),
            Map.of("o", 40.0),
            Map.of());
    assertEquals(70, ReplicaPlacer.readyS("w", 100, busy));
    Map<String, Double> weights = new LinkedHashMap<>();
    weights.put("old", 60.0);
    weights.put("new", 80.0);
    ReplicaPlacer.Candidate full =
        new ReplicaPlacer.Candidate(
            new MachineId("a"),
            "b",
            "t",
            "z",
            false,
            room,
            room,
            2,
            200,
            Set.of(),
            Map.of(),
            weights);
    assertEquals(
        30,
        ReplicaPlacer.evictionCostS("w", 100, full),
        "only the least recently used image is evicted");
    assertEquals(0, ReplicaPlacer.evictionCostS("w", 40, full));
  }

  /**
   * Scales out at once, scales in only after demand stays low, ignores a short dip, and stays
   * within the limits.
   */
  @Test
  void scalesOutAtOnceAndInAfterDelay() {
    ReplicaScaler scaling = new ReplicaScaler();
    Model one =
        new Model(new JobId("job-7"), TERMS, Model.Phase.WARM, 1, 1, Map.of(), Set.of(), 0, 0, "");
    assertEquals(1, scaling.desiredReplicas(one, 6, 8, at(0)));
    assertEquals(2, scaling.desiredReplicas(one, 6, 9, at(1)));
    assertEquals(6, scaling.desiredReplicas(one, 6, 500, at(1)));
    assertEquals(4, scaling.desiredReplicas(one, 4, 500, at(1)));
    Model four = one.withDesiredReplicas(4);
    assertEquals(
        4,
        scaling.desiredReplicas(four, 6, 20, at(10)),
        "20 requests need 4 replicas at the scale-in utilisation");
    assertEquals(4, scaling.desiredReplicas(four, 6, 5, at(20)));
    assertEquals(4, scaling.desiredReplicas(four, 6, 24, at(60)), "a short dip does not scale in");
    assertEquals(4, scaling.desiredReplicas(four, 6, 5, at(70)));
    assertEquals(4, scaling.desiredReplicas(four, 6, 5, at(129)));
    assertEquals(1, scaling.desiredReplicas(four, 6, 5, at(131)));
  }

  /**
   * Evicts the model that is cheapest to bring back for its idle time; not one in recent use or
   * just started, and not too often.
   */
  @Test
  void evictsCheapestIdleModelAtLimitedRate() {
    ModelEvictionPolicy policy = new ModelEvictionPolicy();
    ModelEvictionPolicy.IdleModel expensive =
        new ModelEvictionPolicy.IdleModel(
            "dear", TimeSpan.ofSeconds(300), TimeSpan.ofSeconds(900), 200, true);
    ModelEvictionPolicy.IdleModel cheap =
        new ModelEvictionPolicy.IdleModel(
            "cheap", TimeSpan.ofSeconds(300), TimeSpan.ofSeconds(900), 20, true);
    ModelEvictionPolicy.IdleModel recentlyUsed =
        new ModelEvictionPolicy.IdleModel(
            "fresh", TimeSpan.ofSeconds(5), TimeSpan.ofSeconds(900), 1, true);
    ModelEvictionPolicy.IdleModel recentlyStarted =
        new ModelEvictionPolicy.IdleModel(
            "young", TimeSpan.ofSeconds(30), TimeSpan.ofSeconds(30), 1, true);
    ModelEvictionPolicy.IdleModel withoutRoom =
        new ModelEvictionPolicy.IdleModel(
            "elsewhere", TimeSpan.ofSeconds(900), TimeSpan.ofSeconds(900), 1, false);
    List<ModelEvictionPolicy.IdleModel> all =
        List.of(expensive, cheap, recentlyUsed, recentlyStarted, withoutRoom);
    assertEquals(cheap, policy.choose(all, at(0)));
    assertNull(policy.choose(List.of(recentlyUsed, recentlyStarted, withoutRoom), at(0)));
    int evictions = 1;
    for (int i = 1; i < 60; i++) {
      evictions += policy.choose(all, at(i)) == null ? 0 : 1;
    }
    assertEquals(6, evictions, "evictions within a minute");
  }

  /**
   * The report of an unreachable controller counts until its lease expires; a member without a
   * report leaves the idle time unknown.
   */
  @Test
  void sumsDemandOverControllers() {
    ControllerId a = new ControllerId("a");
    ControllerId b = new ControllerId("b");
    ClusterDemand sum = new ClusterDemand();
    sum.report(
        a,
        new Incarnation(1),
        Map.of("m", new ClusterDemand.ModelReport(3, TimeSpan.ZERO)),
        TimeSpan.ofSeconds(500),
        at(0));
    assertNull(sum.idleTime("m", Set.of(a, b), at(1)));
    sum.report(b, new Incarnation(2), Map.of(), TimeSpan.ofSeconds(400), at(0));
    assertEquals(3, sum.inFlight("m"));
    assertEquals(
        TimeSpan.ZERO,
        sum.idleTime("m", Set.of(a, b), at(100)),
        "requests in flight at the last report may still be in flight");
    assertEquals(
        409.98,
        sum.idleTime("other", Set.of(a, b), at(10)).seconds(),
        1e-6,
        "scaled by the clock drift factor");
    sum.retainMembers(Set.of(b));
    assertEquals(0, sum.inFlight("m"));
    assertEquals(499.8, sum.idleTime("m", Set.of(b), at(100)).seconds(), 1e-6);
  }

  /**
   * A wake request that the drain decision did not know of stays pending; one that it knew of does
   * not.
   */
  @Test
  void keepsWakeThatDrainDidNotKnowOf() {
    Model up =
        new Model(new JobId("job-7"), TERMS, Model.Phase.WARM, 4, 1, Map.of(), Set.of(), 0, 0, "");
    ModelDemand demand = new ModelDemand(at(0));
    demand.update(up, at(1));
    demand.wake(at(10));
    assertEquals(ModelDemand.State.SATISFIED, demand.state());
    Model drained =
        ((Transition.Changed<Model>)
                ModelRules.step(up, new ModelCommand.Drain(4, 120_000, "idle"), 0))
            .next();
    demand.update(drained, at(11));
    assertEquals(ModelDemand.State.WANTED, demand.state());
    demand.update(up, at(12));
    assertEquals(ModelDemand.State.SATISFIED, demand.state());
    demand.update(drained, at(131));
    assertEquals(ModelDemand.State.SATISFIED, demand.state());
  }

  /**
   * The longest possible record fits a stored value with room for its audit trail and reads back as
   * written.
   */
  @Test
  void recordsReadBackAsWritten() throws MalformedRecordException {
    ModelKind kind = new ModelKind();
    Map<Integer, Model.Placement> places = new HashMap<>();
    for (int i = 0; i < ModelKind.MAX_REPLICAS; i++) {
      places.put(i, new Model.Placement(new MachineId("m-" + (1_000_000 + i)), 1_000_000));
    }
    Model model =
        new Model(
            new JobId("job-7"),
            TERMS,
            Model.Phase.STARTING,
            1_000_001,
            48,
            places,
            Set.of(new MachineId("m-1")),
            5,
            6,
            "woken");
    assertEquals(model, kind.read(kind.write(model)));
    assertTrue(
        kind.write(model).toString().length() < 3000, "" + kind.write(model).toString().length());
    assertEquals(Model.UNDEFINED, kind.read(kind.write(Model.UNDEFINED)));
  }
}
