package org.quincecross.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.quota.NodeSpec.Kind;

class QuotaTest {
  private static final Resources CAPACITY = cpus(100);
  private static final List<Team> TEAMS =
      List.of(team("red", 10, 40), team("blue", 8, 24), team("green", 0, 30));

  private static Resources cpus(double cpus) {
    return new Resources(cpus, 0, cpus * 4);
  }

  private static Team team(String name, double guarantee, double limit) {
    return new Team(name, cpus(guarantee), cpus(limit));
  }

  private static NodeSpec node(
      String name, Kind kind, double guarantee, double limit, double lend, NodeSpec... children) {
    return new NodeSpec(
        name,
        kind,
        kind == Kind.WORKLOAD ? name + "*" : null,
        cpus(guarantee),
        cpus(limit),
        1,
        lend,
        NodeSpec.UNLIMITED,
        List.of(children));
  }

  private static NodeSpec org(String name, double guarantee, NodeSpec... children) {
    return node(name, Kind.ORGANISATION, guarantee, 1e6, 1, children);
  }

  private static void assertInvalid(String message, NodeSpec... top) {
    assertEquals(
        message,
        assertThrows(InvalidQuotaTreeException.class, () -> QuotaTree.build(List.of(top), TEAMS))
            .getMessage());
  }

  @Example
  void rejectsInvalidTreesWithPathAndSum() {
    assertInvalid(
        "a: its children are guaranteed 12 CPUs, 48 GB together, it has 10 CPUs, 40 GB",
        org("a", 10, org("b", 6), org("c", 6)));
    assertInvalid(
        "a/red/x: a workload has a pattern, and nothing below it",
        org(
            "a",
            10,
            node(
                "red",
                Kind.TEAM,
                5,
                9,
                1,
                new NodeSpec(
                    "x",
                    Kind.WORKLOAD,
                    null,
                    cpus(1),
                    cpus(2),
                    1,
                    1,
                    NodeSpec.UNLIMITED,
                    List.of()))));
    assertInvalid(
        "a/black: the platform has no team of that name",
        org("a", 10, node("black", Kind.TEAM, 5, 9, 1)));
    assertInvalid(
        "b/red: the team stands in the tree twice",
        org("a", 10, node("red", Kind.TEAM, 5, 9, 1)),
        org("b", 10, node("red", Kind.TEAM, 5, 9, 1)));
    assertInvalid("a: stands there twice", org("a", 1), org("a", 1));
    assertInvalid(
        "a/red/a: an organisation stands below an organisation or the root",
        org("a", 10, node("red", Kind.TEAM, 5, 9, 1, org("a", 1))));
    assertInvalid("w: a workload stands below a team", node("w", Kind.WORKLOAD, 1, 2, 1));
    assertInvalid(
        "a: guarantee 5 CPUs, 20 GB is more than its limit 4 CPUs, 16 GB",
        node("a", Kind.ORGANISATION, 5, 4, 1));
    assertInvalid(
        "a: lend is not a part from 0 to 1", node("a", Kind.ORGANISATION, 1, 4, Double.NaN));
    assertInvalid("x/y: a name has 1 to 100 characters and no slash", org("x/y", 1));
    for (double bad : new double[] {-1, Double.NaN, Double.POSITIVE_INFINITY, 2e9}) {
      assertInvalid("a: guarantee is not an amount from 0 to 1e9", org("a", bad));
    }
    NodeSpec deep = org("o9", 0);
    for (int i = 8; i >= 1; i--) {
      deep = org("o" + i, 0, deep);
    }
    assertInvalid("o1/o2/o3/o4/o5/o6/o7/o8/o9: more than 8 organisations within one another", deep);
    NodeSpec[] many = new NodeSpec[QuotaTree.MAX_NODES + 1];
    for (int i = 0; i < many.length; i++) {
      many[i] = org("o" + i, 0);
    }
    assertInvalid("o10000: the tree has more than 10000 nodes", many);
  }

  /**
   * The platform's file has shrunk a team since the tree was written: its workloads are scaled down
   * proportionally.
   */
  @Example
  void scalesAndReportsTeamShrunkByPlatform() throws InvalidQuotaTreeException {
    NodeSpec tree =
        org(
            "a",
            50,
            node(
                "red",
                Kind.TEAM,
                20,
                60,
                1,
                node("x", Kind.WORKLOAD, 15, 60, 1),
                node("y", Kind.WORKLOAD, 5, 60, 1)));
    QuotaTree built = QuotaTree.build(List.of(tree), TEAMS);
    assertEquals(cpus(7.5), built.build("red", "x-ray").guarantee());
    assertEquals(cpus(2.5), built.build("red", "yonder").guarantee());
    assertEquals(cpus(40), built.build("red", "other").limit());
    assertEquals(
        List.of(
            "a/red: guaranteed 10 CPUs, 40 GB of the 20 CPUs, 80 GB that the tree says",
            "a/red/x: guaranteed 7.5 CPUs, 30 GB of the 15 CPUs, 60 GB that the tree says",
            "a/red/y: guaranteed 2.5 CPUs, 10 GB of the 5 CPUs, 20 GB that the tree says"),
        built.scaled());
    assertEquals(
        cpus(8),
        built.build("blue", "any").guarantee(),
        "a team in no organisation stands below the root");
  }

  /**
   * Without a configured tree, a team has room for exactly the tasks that its flat limit allows.
   */
  @Property(tries = 300, seed = "51")
  void flatTreeEqualsFlatLimits(@ForAll long seed) {
    Random random = new Random(seed);
    QuotaTree tree = QuotaTree.flat(TEAMS);
    QuotaUsage usage = new QuotaUsage(tree);
    for (int step = 0; step < 60; step++) {
      Team team = TEAMS.get(random.nextInt(TEAMS.size()));
      QuotaTree.Node node = tree.build(team.name(), "c" + step);
      Resources each = new Resources(random.nextInt(5) / 2.0, 0, random.nextInt(4));
      int flat = team.limit().minus(usage.used(node)).capacityFor(each);
      assertEquals(flat, usage.room(node).capacityFor(each));
      if (flat > 0 && random.nextInt(3) > 0) {
        usage.add(node, each);
      }
    }
  }

  @Example
  void explainsWaitingTasksLevelByLevel() throws InvalidQuotaTreeException {
    NodeSpec tree =
        node(
            "a",
            Kind.ORGANISATION,
            20,
            30,
            1,
            node("red", Kind.TEAM, 10, 40, 0),
            new NodeSpec("blue", Kind.TEAM, null, cpus(6), cpus(24), 1, 1, cpus(4), List.of()));
    QuotaUsage usage = new QuotaUsage(QuotaTree.build(List.of(tree), TEAMS));
    QuotaTree.Node blue = usage.tree().build("blue", "c");
    assertEquals(List.of(), QuotaExplanation.of(usage, blue, cpus(2), 5));
    assertEquals(
        List.of(
            "team a/blue uses nothing of 10 CPUs, 40 GB, its guarantee and what it may borrow: 2 CPUs, 8 GB there "
                + "would have to end"),
        QuotaExplanation.of(usage, blue, cpus(2), 6));
    usage.add(usage.tree().build("red", "c"), cpus(6));
    usage.add(blue, cpus(9));
    usage.add(usage.tree().root().children().get(0), cpus(10));
    assertEquals(
        List.of(
            "team a/blue uses 9 CPUs, 36 GB of 10 CPUs, 40 GB, its guarantee and what it may borrow: 1 CPUs, 4 GB there would "
                + "have to end",
            "organisation a uses 25 CPUs, 100 GB of its limit 30 CPUs, 120 GB, and others keep 4 CPUs, 16 GB: 1 CPUs, 4 GB "
                + "there would have to end"),
        QuotaExplanation.of(usage, blue, cpus(2), 1));
    assertEquals(List.of(), QuotaExplanation.of(usage, usage.tree().build("red", "c"), cpus(2), 2));
  }

  private static NodeSpec randomNode(
      Random random, String name, Kind kind, double most, int depth, List<String> teams) {
    double guarantee = most * random.nextDouble();
    List<NodeSpec> children = new ArrayList<>();
    double left = guarantee;
    for (int i = 0; kind != Kind.WORKLOAD && i < random.nextInt(4); i++) {
      Kind below =
          kind == Kind.TEAM
              ? Kind.WORKLOAD
              : (depth < 4 && random.nextBoolean()) || teams.isEmpty()
                  ? Kind.ORGANISATION
                  : Kind.TEAM;
      if (below == Kind.ORGANISATION && depth >= 4) {
        break;
      }
      String child =
          below == Kind.TEAM ? teams.remove(0) : below == Kind.WORKLOAD ? "w" + i : "o" + i;
      NodeSpec made = randomNode(random, child, below, left, depth + 1, teams);
      left -= made.guarantee().cpus();
      children.add(made);
    }
    return new NodeSpec(
        name,
        kind,
        kind == Kind.WORKLOAD ? name : null,
        cpus(guarantee),
        cpus(guarantee + 30 * random.nextDouble()),
        random.nextInt(4),
        random.nextInt(3) / 2.0,
        random.nextBoolean() ? NodeSpec.UNLIMITED : cpus(10 * random.nextDouble()),
        children);
  }

  private static QuotaTree randomTree(Random random) {
    List<String> names = new ArrayList<>();
    List<Team> teams = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      names.add("t" + i);
      teams.add(team("t" + i, 1000, 1000));
    }
    List<NodeSpec> top = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      top.add(randomNode(random, "top" + i, Kind.ORGANISATION, 40, 1, names));
    }
    try {
      return QuotaTree.build(top, teams);
    } catch (InvalidQuotaTreeException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Random use and release: no node exceeds its limit or what it may borrow, and each can always
   * use the part of its guarantee that it does not lend.
   */
  @Property(tries = 300, seed = "52")
  void guaranteeThatIsNotLentIsAlwaysAvailable(@ForAll long seed) {
    Random random = new Random(seed);
    QuotaTree tree = randomTree(random);
    QuotaUsage usage = new QuotaUsage(tree);
    List<QuotaTree.Node> nodes = tree.nodes();
    double[] own = new double[nodes.size()];
    for (int step = 0; step < 120; step++) {
      QuotaTree.Node node = nodes.get(random.nextInt(nodes.size()));
      double room = Math.min(50, usage.room(node).cpus());
      double more =
          random.nextInt(4) == 0
              ? -own[node.index()] * random.nextDouble()
              : room * random.nextDouble();
      usage.add(node, cpus(more));
      own[node.index()] += more;
      for (QuotaTree.Node each : nodes) {
        double used = usage.used(each).cpus();
        double bound =
            Math.min(each.limit().cpus(), each.guarantee().cpus() + each.spec().borrow().cpus());
        assertTrue(used <= bound + 1e-6, each.path() + " uses " + used + " of " + bound);
        if (each.children().isEmpty()) {
          double reserved = each.guarantee().cpus() * (1 - each.spec().lend());
          assertTrue(
              each.parent() == null || usage.room(each).cpus() + used >= reserved - 1e-6,
              each.path()
                  + " keeps "
                  + reserved
                  + ", uses "
                  + used
                  + ", has room for "
                  + usage.room(each));
        }
      }
    }
  }

  @Example
  void changeCostsTheDepthOfTheTree() throws InvalidQuotaTreeException {
    List<NodeSpec> many = new ArrayList<>();
    for (int i = 0; i < 9_000; i++) {
      many.add(org("o" + i, 0.001));
    }
    many.add(
        org(
            "a",
            9,
            org("b", 9, node("red", Kind.TEAM, 9, 40, 1, node("x", Kind.WORKLOAD, 9, 40, 1)))));
    QuotaUsage usage = new QuotaUsage(QuotaTree.build(many, TEAMS));
    QuotaTree.Node leaf = usage.tree().build("red", "x");
    usage.add(leaf, cpus(1));
    usage.room(leaf);
    assertEquals(2 * 5, usage.visitedNodes());
  }

  /**
   * Entitlements never exceed the capacity, guarantees come first, and the rest is divided by
   * weight among those that want it.
   */
  @Property(tries = 400, seed = "53")
  void entitlementsAreMaxMinFair(@ForAll long seed) {
    Random random = new Random(seed);
    QuotaTree tree = randomTree(random);
    Resources[] demand = new Resources[tree.nodes().size()];
    double[] asks = new double[demand.length];
    for (int i = 0; i < demand.length; i++) {
      demand[i] = random.nextBoolean() ? Resources.NONE : cpus(30 * random.nextDouble());
    }
    Entitlement entitlement = Entitlement.of(tree, demand, CAPACITY);
    for (int i = demand.length - 1; i >= 0; i--) {
      QuotaTree.Node node = tree.nodes().get(i);
      asks[i] += demand[i].cpus();
      asks[i] =
          Math.min(
              asks[i],
              Math.min(node.limit().cpus(), node.guarantee().cpus() + node.spec().borrow().cpus()));
      if (node.parent() != null) {
        asks[node.parent().index()] += asks[i];
      }
    }
    assertEquals(Math.min(asks[0], CAPACITY.cpus()), entitlement.of(tree.root()).cpus(), 1e-6);
    for (QuotaTree.Node node : tree.nodes()) {
      double has = entitlement.of(node).cpus();
      double below = 0;
      double wantedByGuarantee = 0;
      for (QuotaTree.Node child : node.children()) {
        below += entitlement.of(child).cpus();
        wantedByGuarantee += Math.min(asks[child.index()], child.guarantee().cpus());
        assertTrue(
            entitlement.of(child).cpus() <= asks[child.index()] + 1e-6,
            "entitlement exceeds the demand");
      }
      assertTrue(below <= has + 1e-6, node.path() + " gives " + below + " of " + has);
      for (QuotaTree.Node child : node.children()) {
        double guaranteed = Math.min(asks[child.index()], child.guarantee().cpus());
        double got = entitlement.of(child).cpus();
        if (wantedByGuarantee <= has) {
          assertTrue(
              got >= guaranteed - 1e-6,
              child.path() + " got " + got + " of guaranteed " + guaranteed);
          assertNoSiblingReceivesMoreByWeight(node, child, got - guaranteed, asks, entitlement);
        }
      }
    }
  }

  /**
   * A child that is left short receives at least the share, by weight, that any sibling receives
   * beyond its guarantee.
   */
  private static void assertNoSiblingReceivesMoreByWeight(
      QuotaTree.Node parent,
      QuotaTree.Node child,
      double beyond,
      double[] asks,
      Entitlement entitlement) {
    if (entitlement.of(child).cpus() >= asks[child.index()] - 1e-6 || child.spec().weight() == 0) {
      return;
    }
    for (QuotaTree.Node other : parent.children()) {
      double others =
          entitlement.of(other).cpus() - Math.min(asks[other.index()], other.guarantee().cpus());
      assertTrue(
          beyond / child.spec().weight() >= others / Math.max(1, other.spec().weight()) - 1e-6,
          child.path() + " short with " + beyond + ", " + other.path() + " has " + others);
    }
  }
}
