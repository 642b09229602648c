package org.quincecross.quota;

import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.Resources;

/**
 * The share of the capacity that each node is entitled to when there is not enough for all:
 * hierarchical max-min fairness over dominant shares, after Ghodsi and others, "Dominant Resource
 * Fairness" (NSDI 2011), applied at each node to its children. A child first receives its demand up
 * to its guarantee. The rest is divided by progressive filling: the dominant shares of children
 * that want more rise in proportion to their weights, until a child's demand is met or a resource
 * it needs is exhausted.
 */
public final class Entitlement {
  private static final double EPSILON = 1e-9;
  private static final int RESOURCES = 3;

  private final QuotaTree tree;
  private final Resources capacity;
  private final Resources[] subtreeDemand;
  private final Resources[] ownDemand;
  private final Resources[] entitled;

  private Entitlement(QuotaTree tree, Resources[] demand, Resources capacity) {
    this.tree = tree;
    this.capacity = capacity;
    this.ownDemand = demand;
    this.subtreeDemand = demand.clone();
    this.entitled = new Resources[demand.length];
  }

  /**
   * Divides {@code capacity}.
   *
   * @param demand of each node, by its index: what its own tasks use and would use, without those
   *     of its descendants
   */
  public static Entitlement of(QuotaTree tree, Resources[] demand, Resources capacity) {
    Entitlement entitlement = new Entitlement(tree, demand, capacity);
    entitlement.sumDemand();
    entitlement.entitled[0] = entitlement.subtreeDemand[0].min(capacity);
    for (QuotaTree.Node node : tree.nodes()) {
      if (!node.children().isEmpty()) {
        entitlement.divide(node);
      }
    }
    return entitlement;
  }

  /** Returns the entitlement of a node including its descendants. */
  public Resources of(QuotaTree.Node node) {
    return entitled[node.index()];
  }

  /**
   * Sums up the demand of each node's subtree, capped by its limit and by its guarantee plus what
   * it may borrow.
   */
  private void sumDemand() {
    List<QuotaTree.Node> nodes = tree.nodes();
    for (int i = nodes.size() - 1; i >= 0; i--) {
      QuotaTree.Node node = nodes.get(i);
      subtreeDemand[i] =
          subtreeDemand[i].min(node.limit()).min(node.guarantee().plus(node.spec().borrow()));
      if (node.parent() != null) {
        subtreeDemand[node.parent().index()] =
            subtreeDemand[node.parent().index()].plus(subtreeDemand[i]);
      }
    }
  }

  /** A claimant in progressive filling: a child, or the node's own tasks. */
  private static final class Claimant {
    private final int index;
    private final double weight;
    private final double[] guaranteed;
    private final double[] wanted;
    private final double dominantShare;
    private double fraction;

    Claimant(
        int index, double weight, Resources guaranteed, Resources wanted, double dominantShare) {
      this.index = index;
      this.weight = weight;
      this.guaranteed = amounts(guaranteed);
      this.wanted = amounts(wanted);
      this.dominantShare = dominantShare;
    }

    boolean isUnsatisfied(int resource) {
      return wanted[resource] > EPSILON;
    }
  }

  private void divide(QuotaTree.Node node) {
    List<Claimant> claimants = new ArrayList<>();
    for (QuotaTree.Node child : node.children()) {
      claimants.add(
          claimant(
              child.index(),
              child.spec().weight(),
              child.guarantee(),
              subtreeDemand[child.index()]));
    }
    // The node's own tasks that match none of its workloads compete with the children, without a
    // guarantee.
    Claimant ownTasks = claimant(-1, 1, Resources.NONE, ownDemand[node.index()]);
    claimants.add(ownTasks);
    double[] remaining = amounts(entitled[node.index()]);
    serveGuarantees(claimants, remaining);
    fillProgressively(claimants, remaining);
    for (Claimant claimant : claimants) {
      if (claimant.index >= 0) {
        entitled[claimant.index] =
            new Resources(
                claimant.guaranteed[0] + claimant.fraction * claimant.wanted[0],
                claimant.guaranteed[1] + claimant.fraction * claimant.wanted[1],
                claimant.guaranteed[2] + claimant.fraction * claimant.wanted[2]);
      }
    }
  }

  private Claimant claimant(int index, double weight, Resources guarantee, Resources demand) {
    Resources guaranteed = demand.min(guarantee);
    Resources wanted = demand.minus(guaranteed);
    return new Claimant(index, weight, guaranteed, wanted, wanted.dominantShareOf(capacity));
  }

  /**
   * Serves the guarantees; if capacity does not suffice, all claimants receive the same fraction of
   * theirs.
   */
  private static void serveGuarantees(List<Claimant> claimants, double[] remaining) {
    for (int r = 0; r < RESOURCES; r++) {
      double sum = 0;
      for (Claimant claimant : claimants) {
        sum += claimant.guaranteed[r];
      }
      double fraction = sum > remaining[r] ? remaining[r] / sum : 1;
      for (Claimant claimant : claimants) {
        claimant.guaranteed[r] *= fraction;
      }
      remaining[r] = Math.max(0, remaining[r] - sum * fraction);
    }
  }

  private static void fillProgressively(List<Claimant> claimants, double[] remaining) {
    List<Claimant> open = new ArrayList<>();
    for (Claimant claimant : claimants) {
      if (claimant.weight > 0 && claimant.dominantShare > EPSILON) {
        open.add(claimant);
      }
    }
    boolean[] exhausted = new boolean[RESOURCES];
    while (!open.isEmpty()) {
      double rise = Double.MAX_VALUE;
      double[] rates = new double[RESOURCES];
      for (Claimant claimant : open) {
        rise = Math.min(rise, (1 - claimant.fraction) * claimant.dominantShare / claimant.weight);
        for (int r = 0; r < RESOURCES; r++) {
          rates[r] += claimant.wanted[r] * claimant.weight / claimant.dominantShare;
        }
      }
      for (int r = 0; r < RESOURCES; r++) {
        if (rates[r] > 0 && remaining[r] / rates[r] <= rise) {
          rise = remaining[r] / rates[r];
        }
      }
      for (Claimant claimant : open) {
        claimant.fraction =
            Math.min(1, claimant.fraction + rise * claimant.weight / claimant.dominantShare);
      }
      for (int r = 0; r < RESOURCES; r++) {
        remaining[r] = Math.max(0, remaining[r] - rise * rates[r]);
        exhausted[r] |= rates[r] > 0 && remaining[r] <= EPSILON * (1 + rates[r]);
      }
      int before = open.size();
      open.removeIf(
          claimant -> claimant.fraction >= 1 - EPSILON || lacksResource(claimant, exhausted));
      if (open.size() == before) {
        return; // only rounding errors are left
      }
    }
  }

  private static boolean lacksResource(Claimant claimant, boolean[] exhausted) {
    for (int r = 0; r < RESOURCES; r++) {
      if (exhausted[r] && claimant.isUnsatisfied(r)) {
        return true;
      }
    }
    return false;
  }

  private static double[] amounts(Resources resources) {
    return new double[] {resources.cpus(), resources.gpus(), resources.memoryGb()};
  }
}
