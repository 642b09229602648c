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
 * What is decided of models: places, numbers of replicas, who gives way, what demand says; and that
 * records are read as written.
 */
class DecisionsTest {
  private static final Model.Terms TERMS = new Model.Terms(1, 6, 10, TimeSpan.ofSeconds(100), 0);

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

  private static List<Weights.Candidate> machines(Random random, int count) {
    List<Weights.Candidate> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Map<String, Double> coming = new LinkedHashMap<>();
      Map<String, Double> weights = new LinkedHashMap<>();
      for (int other = random.nextInt(3); other > 0; other--) {
        (random.nextBoolean() ? coming : weights).put("o" + other, 1.0 + random.nextInt(100));
      }
      Resources free = new Resources(random.nextInt(9), 0, 32);
      all.add(
          new Weights.Candidate(
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
              coming,
              weights));
    }
    return all;
  }

  /**
   * Room is not given twice, zones are kept, and where one place could be had sooner among those
   * with room, it is taken.
   */
  @Property(tries = 300)
  void placesFitAndComeSoonest(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 6) int replicas,
      @ForAll boolean oneZone,
      @ForAll boolean spread) {
    Random random = new Random(seed);
    Job job = job(1 + random.nextInt(4), 5 + random.nextInt(196), oneZone, spread);
    List<Weights.Candidate> machines = machines(random, 1 + random.nextInt(12));
    List<Weights.Choice> choices =
        Weights.choose(job, replicas, Map.of(), Set.of(), machines, Set.of());
    Map<MachineId, Integer> on = new HashMap<>();
    Map<String, Integer> zones = new HashMap<>();
    choices.forEach(
        choice -> {
          on.merge(choice.machine(), 1, Integer::sum);
          zones.merge(choice.zone(), 1, Integer::sum);
        });
    for (Weights.Candidate machine : machines) {
      assertTrue(
          job.taskResources().times(on.getOrDefault(machine.machine(), 0)).fitsIn(machine.soon()),
          machine.toString());
    }
    assertTrue(!oneZone || zones.size() <= 1);
    zones.values().forEach(count -> assertTrue(count <= job.maxTasksPerZone()));
    boolean anyFree =
        machines.stream().anyMatch(machine -> job.taskResources().fitsIn(machine.free()));
    assertTrue(!anyFree || !choices.isEmpty());
    if (!choices.isEmpty() && anyFree) {
      double best =
          machines.stream()
              .filter(machine -> job.taskResources().fitsIn(machine.free()))
              .mapToDouble(
                  machine ->
                      Weights.readyS(job.image(), job.imageGb(), machine)
                          + Weights.displacedS(job.image(), job.imageGb(), machine))
              .min()
              .orElseThrow();
      Weights.Candidate first =
          machines.stream()
              .filter(machine -> machine.machine().equals(choices.get(0).machine()))
              .findFirst()
              .orElseThrow();
      assertEquals(
          best,
          choices.get(0).readyS() + Weights.displacedS(job.image(), job.imageGb(), first),
          1e-9);
    }
  }

  /**
   * Weights that are there cost nothing; behind another fetch they come after it; the cache drops
   * what was used least lately.
   */
  @Test
  void whatWeightsCost() {
    Resources room = new Resources(8, 0, 32);
    Weights.Candidate has =
        new Weights.Candidate(
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
    assertEquals(0, Weights.readyS("w", 100, has));
    Weights.Candidate busy =
        new Weights.Candidate(
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
    assertEquals(70, Weights.readyS("w", 100, busy));
    Map<String, Double> weights = new LinkedHashMap<>();
    weights.put("old", 60.0);
    weights.put("new", 80.0);
    Weights.Candidate full =
        new Weights.Candidate(
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
    assertEquals(30, Weights.displacedS("w", 100, full), "the old one alone");
    assertEquals(0, Weights.displacedS("w", 40, full));
  }

  /**
   * More at once, fewer only after a while, and never for a moment's dip; within the least and the
   * most.
   */
  @Test
  void scaling() {
    Scaling scaling = new Scaling();
    Model one =
        new Model(new JobId("job-7"), TERMS, Model.Phase.WARM, 1, 1, Map.of(), Set.of(), 0, 0, "");
    assertEquals(1, scaling.wanted(one, 6, 8, at(0)));
    assertEquals(2, scaling.wanted(one, 6, 9, at(1)));
    assertEquals(6, scaling.wanted(one, 6, 500, at(1)));
    assertEquals(4, scaling.wanted(one, 4, 500, at(1)));
    Model four = one.wanting(4);
    assertEquals(4, scaling.wanted(four, 6, 20, at(10)), "20 need 4 with room to spare");
    assertEquals(4, scaling.wanted(four, 6, 5, at(20)));
    assertEquals(4, scaling.wanted(four, 6, 24, at(60)), "a dip is over");
    assertEquals(4, scaling.wanted(four, 6, 5, at(70)));
    assertEquals(4, scaling.wanted(four, 6, 5, at(129)));
    assertEquals(1, scaling.wanted(four, 6, 5, at(131)));
  }

  /**
   * The one that is cheapest to bring back for the time that it was not used gives way, not the one
   * just used or just up, not too often.
   */
  @Test
  void whoGivesWay() {
    Yielding yielding = new Yielding();
    Yielding.Idle dear =
        new Yielding.Idle("dear", TimeSpan.ofSeconds(300), TimeSpan.ofSeconds(900), 200, true);
    Yielding.Idle cheap =
        new Yielding.Idle("cheap", TimeSpan.ofSeconds(300), TimeSpan.ofSeconds(900), 20, true);
    Yielding.Idle fresh =
        new Yielding.Idle("fresh", TimeSpan.ofSeconds(5), TimeSpan.ofSeconds(900), 1, true);
    Yielding.Idle young =
        new Yielding.Idle("young", TimeSpan.ofSeconds(30), TimeSpan.ofSeconds(30), 1, true);
    Yielding.Idle elsewhere =
        new Yielding.Idle("elsewhere", TimeSpan.ofSeconds(900), TimeSpan.ofSeconds(900), 1, false);
    List<Yielding.Idle> all = List.of(dear, cheap, fresh, young, elsewhere);
    assertEquals(cheap, yielding.choose(all, at(0)));
    assertNull(yielding.choose(List.of(fresh, young, elsewhere), at(0)));
    int swaps = 1;
    for (int i = 1; i < 60; i++) {
      swaps += yielding.choose(all, at(i)) == null ? 0 : 1;
    }
    assertEquals(6, swaps, "in a minute");
  }

  /**
   * What one that is away has seen counts until its lease is over; of one that has said nothing
   * nothing is known.
   */
  @Test
  void demandOfAll() {
    ControllerId a = new ControllerId("a");
    ControllerId b = new ControllerId("b");
    DemandSum sum = new DemandSum();
    sum.told(
        a,
        new Incarnation(1),
        Map.of("m", new DemandSum.Told(3, TimeSpan.ZERO)),
        TimeSpan.ofSeconds(500),
        at(0));
    assertNull(sum.quiet("m", Set.of(a, b), at(1)));
    sum.told(b, new Incarnation(2), Map.of(), TimeSpan.ofSeconds(400), at(0));
    assertEquals(3, sum.inFlight("m"));
    assertEquals(
        TimeSpan.ZERO, sum.quiet("m", Set.of(a, b), at(100)), "what was in flight may be so still");
    assertEquals(
        409.98,
        sum.quiet("other", Set.of(a, b), at(10)).seconds(),
        1e-6,
        "by the slowest clock there may be");
    sum.keepOnly(Set.of(b));
    assertEquals(0, sum.inFlight("m"));
    assertEquals(499.8, sum.quiet("m", Set.of(b), at(100)).seconds(), 1e-6);
  }

  /** A wake that its drainer did not know of stands; one that it knew of does not. */
  @Test
  void aWakeStandsAgainstADrain() {
    Model up =
        new Model(new JobId("job-7"), TERMS, Model.Phase.WARM, 4, 1, Map.of(), Set.of(), 0, 0, "");
    Demand demand = new Demand(at(0));
    demand.seen(up, at(1));
    demand.wake(at(10));
    assertEquals(Demand.State.SATISFIED, demand.state());
    Model drained =
        ((Transition.Changed<Model>)
                ModelRules.step(up, new ModelCommand.Drain(4, 120_000, "idle"), 0))
            .next();
    demand.seen(drained, at(11));
    assertEquals(Demand.State.WANTED, demand.state());
    demand.seen(up, at(12));
    assertEquals(Demand.State.SATISFIED, demand.state());
    demand.seen(drained, at(131));
    assertEquals(Demand.State.SATISFIED, demand.state());
  }

  /**
   * The longest record there may be fits a value with room for its trail, and is read as it was
   * written.
   */
  @Test
  void recordsAreReadAsWritten() throws MalformedRecordException {
    ModelKind kind = new ModelKind();
    Map<Integer, Model.Place> places = new HashMap<>();
    for (int i = 0; i < ModelKind.MOST_REPLICAS; i++) {
      places.put(i, new Model.Place(new MachineId("m-" + (1_000_000 + i)), 1_000_000));
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
    assertEquals(Model.NONE, kind.read(kind.write(Model.NONE)));
  }
}
