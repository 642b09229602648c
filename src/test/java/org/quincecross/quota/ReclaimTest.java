package org.quincecross.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.quota.NodeSpec.Kind;

class ReclaimTest {
  private static final double MACHINE = 8;

  private final QuotaTree tree = tree();
  private final QuotaUsage usage = new QuotaUsage(tree);
  private final Map<MachineId, Resources> free = new LinkedHashMap<>();
  private final List<GuaranteeReclaim.Unit> units = new ArrayList<>();

  /** Two organisations of two teams each, every team guaranteed 16 CPUs. */
  private static QuotaTree tree() {
    List<Team> teams = new ArrayList<>();
    List<NodeSpec> top = new ArrayList<>();
    for (String name : List.of("east", "west")) {
      List<NodeSpec> below = new ArrayList<>();
      for (int i = 1; i <= 2; i++) {
        teams.add(new Team(name + i, cpus(16), cpus(64)));
        below.add(
            new NodeSpec(
                name + i,
                Kind.TEAM,
                null,
                cpus(16),
                cpus(64),
                1,
                1,
                NodeSpec.UNLIMITED,
                List.of()));
      }
      top.add(
          new NodeSpec(
              name, Kind.ORGANISATION, null, cpus(32), cpus(128), 1, 1, NodeSpec.UNLIMITED, below));
    }
    try {
      return QuotaTree.build(top, teams);
    } catch (InvalidQuotaTreeException e) {
      throw new IllegalStateException(e);
    }
  }

  private static Resources cpus(double cpus) {
    return new Resources(cpus, 0, cpus);
  }

  private static MachineId machine(int number) {
    return new MachineId("m-" + number);
  }

  private void machines(int count) {
    for (int i = 0; i < count; i++) {
      free.put(machine(i), cpus(MACHINE));
    }
  }

  private void run(
      String id, String team, double each, Priority priority, double lostS, int... on) {
    Map<MachineId, Integer> places = new LinkedHashMap<>();
    for (int machine : on) {
      places.merge(machine(machine), 1, Integer::sum);
      free.computeIfPresent(machine(machine), (m, room) -> room.minus(cpus(each)));
    }
    GuaranteeReclaim.Unit unit =
        new GuaranteeReclaim.Unit(
            id, tree.build(team, "c"), cpus(each), places, priority, TimeSpan.ofSeconds(lostS));
    units.add(unit);
    usage.add(unit.node(), unit.total());
  }

  private GuaranteeReclaim.Plan claim(Object... teamsAndTasks) {
    List<GuaranteeReclaim.Claim> claims = new ArrayList<>();
    for (int i = 0; i < teamsAndTasks.length; i += 3) {
      claims.add(
          new GuaranteeReclaim.Claim(
              tree.build((String) teamsAndTasks[i], "c"),
              cpus((Double) teamsAndTasks[i + 1]),
              (Integer) teamsAndTasks[i + 2]));
    }
    return GuaranteeReclaim.plan(usage, free, units, claims);
  }

  private static List<Integer> placed(GuaranteeReclaim.Plan plan) {
    return plan.placed().stream()
        .map(places -> places.values().stream().mapToInt(Integer::intValue).sum())
        .toList();
  }

  private static List<String> ids(GuaranteeReclaim.Plan plan) {
    return plan.victims().stream().map(GuaranteeReclaim.Unit::id).sorted().toList();
  }

  @Example
  void preemptsLowestPriorityFirstThenLeastLoss() {
    machines(6);
    run("west2-a", "west2", 8, Priority.LOW, 0, 4);
    run("west2-b", "west2", 8, Priority.LOW, 0, 5);
    run("normal", "west1", 8, Priority.NORMAL, 1, 0);
    run("low-long", "west1", 8, Priority.LOW, 500, 1);
    run("low-short", "west1", 8, Priority.LOW, 5, 2);
    run("high", "west1", 8, Priority.HIGH, 0, 3);
    assertEquals(List.of("low-short"), ids(claim("east1", 4.0, 1)));
    assertEquals(List.of("low-long", "low-short"), ids(claim("east1", 8.0, 2)));
    // west uses 48 of its guaranteed 32 CPUs; work within the guarantee is not preempted for any
    // claim.
    GuaranteeReclaim.Plan all = claim("east1", 8.0, 2, "east2", 8.0, 2);
    assertEquals(List.of("low-long", "low-short"), ids(all));
    assertEquals(List.of(2, 0), placed(all));
  }

  @Example
  void capacityLentBetweenSiblingsIsNotReclaimedForOthers() {
    machines(4);
    run("west1-a", "west1", 8, Priority.LOW, 0, 0);
    run("west1-b", "west1", 8, Priority.LOW, 0, 1);
    run("west1-c", "west1", 8, Priority.LOW, 0, 2);
    run("west1-d", "west1", 8, Priority.LOW, 0, 3);
    // west1 uses 32 CPUs, the whole guarantee of west, half of it lent by west2: none of it may be
    // reclaimed for east.
    assertEquals(List.of(), ids(claim("east1", 8.0, 2)));
    assertEquals(2, ids(claim("west2", 8.0, 2)).size());
  }

  @Example
  void preemptsGangsAsAWholeAndSparesUnneededVictims() {
    machines(3);
    run("gang", "west1", 6, Priority.NORMAL, 100, 0, 1, 2);
    run("small-0", "west1", 2, Priority.LOW, 1, 0);
    run("small-1", "west1", 2, Priority.LOW, 1, 1);
    run("more", "west2", 2, Priority.LOW, 1, 2);
    run("elsewhere", "west2", 30, Priority.NORMAL, 1, 9);
    run("base", "west1", 16, Priority.NORMAL, 1, 8);
    GuaranteeReclaim.Plan plan = claim("east1", 2.0, 1, "east2", 6.0, 2);
    assertEquals(
        List.of("gang"), ids(plan), "the gang's room on the third machine serves the small claim");
    assertEquals(List.of(1, 2), placed(plan));
  }

  @Example
  void sparesVictimsThatLaterVictimsMakeUnneeded() {
    machines(2);
    run("gang", "west1", 5, Priority.NORMAL, 100, 0, 1);
    run("kept", "east1", 3, Priority.LOW, 1, 0);
    run("small", "west1", 3, Priority.LOW, 1, 1);
    run("base", "west1", 16, Priority.NORMAL, 1, 8);
    run("elsewhere", "west2", 20, Priority.NORMAL, 1, 9);
    GuaranteeReclaim.Plan plan = claim("east2", 3.0, 2);
    assertEquals(List.of(2), placed(plan));
    assertEquals(List.of("gang"), ids(plan));
  }

  @Example
  void victimsTogetherMustNotCutIntoGuarantee() {
    machines(1);
    run("a", "west1", 3, Priority.LOW, 1, 0);
    run("b", "west1", 3, Priority.LOW, 1, 0);
    run("base", "west1", 14, Priority.LOW, 1, 8);
    run("elsewhere", "west2", 20, Priority.NORMAL, 1, 9);
    assertEquals(1, ids(claim("east1", 3.0, 1)).size());
    assertEquals(List.of(), ids(claim("east1", 6.0, 1)));
  }

  @Example
  void preemptsNothingIfRoomExistsOrClaimExceedsGuarantee() {
    machines(3);
    run("a", "west1", 8, Priority.LOW, 0, 0);
    run("b", "west1", 8, Priority.LOW, 0, 1);
    run("c", "west1", 8, Priority.LOW, 0, 8);
    run("d", "west1", 8, Priority.LOW, 0, 9);
    run("e", "west2", 8, Priority.LOW, 0, 9);
    assertEquals(List.of(), ids(claim("east1", 8.0, 1)));
    run("own", "east1", 12, Priority.LOW, 0, 7);
    assertEquals(List.of(), ids(claim("east1", 5.0, 3)), "12 and 5 are more than 16");
  }

  /**
   * Random work and claims: no node falls below its guarantee, and no victim is preempted
   * needlessly.
   */
  @Property(tries = 400, seed = "61")
  void preemptsOnlyBeyondGuaranteesAndNoMoreThanNeeded(@ForAll long seed) {
    Random random = new Random(seed);
    machines(8);
    List<String> teams = List.of("east1", "east2", "west1", "west2");
    for (int i = 0; i < 40; i++) {
      double each = 1 + random.nextInt(6);
      int[] on = random.ints(random.nextInt(4) == 0 ? 3 : 1, 0, 8).distinct().toArray();
      boolean fits = true;
      for (int machine : on) {
        fits &= cpus(each).fitsIn(free.get(machine(machine)));
      }
      if (fits) {
        run(
            "u" + i,
            teams.get(random.nextInt(random.nextBoolean() ? 4 : 2)),
            each,
            Priority.values()[random.nextInt(3)],
            random.nextInt(100),
            on);
      }
    }
    List<GuaranteeReclaim.Claim> claims = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      claims.add(
          new GuaranteeReclaim.Claim(
              tree.build(teams.get(random.nextInt(4)), "c"),
              cpus(1 + random.nextInt(7)),
              1 + random.nextInt(4)));
    }
    Map<MachineId, Resources> room = new LinkedHashMap<>(free);
    GuaranteeReclaim.Plan plan = GuaranteeReclaim.plan(usage, free, units, claims);
    Map<QuotaTree.Node, Double> left = new LinkedHashMap<>();
    tree.nodes().forEach(node -> left.put(node, usage.used(node).cpus()));
    double stopped = 0;
    for (GuaranteeReclaim.Unit victim : plan.victims()) {
      stopped += victim.total().cpus();
      for (QuotaTree.Node node = victim.node(); node != null; node = node.parent()) {
        left.merge(node, -victim.total().cpus(), Double::sum);
      }
    }
    for (QuotaTree.Node node : tree.nodes()) {
      boolean wasTouched = left.get(node) < usage.used(node).cpus() - 1e-6;
      if (wasTouched && node.children().isEmpty()) {
        assertTrue(
            left.get(node) >= node.guarantee().cpus() - 1e-6,
            node.path() + " is left " + left.get(node));
      }
    }
    for (GuaranteeReclaim.Unit victim : plan.victims()) {
      victim
          .places()
          .forEach(
              (machine, tasks) -> room.merge(machine, victim.each().times(tasks), Resources::plus));
    }
    for (int i = 0; i < claims.size(); i++) {
      Resources each = claims.get(i).each();
      plan.placed()
          .get(i)
          .forEach((machine, tasks) -> room.merge(machine, each.times(-tasks), Resources::plus));
    }
    room.forEach(
        (machine, unused) ->
            assertTrue(Resources.NONE.fitsIn(unused), machine + " is overfull: " + unused));
    for (GuaranteeReclaim.Unit victim : plan.victims()) {
      assertTrue(
          victim.places().entrySet().stream()
              .anyMatch(
                  place -> !victim.each().times(place.getValue()).fitsIn(room.get(place.getKey()))),
          victim + " was preempted needlessly");
    }
    if (placed(plan).stream().mapToInt(Integer::intValue).sum() == 0) {
      assertEquals(0, stopped, "preempted although no claim was placed");
    }
  }
}
