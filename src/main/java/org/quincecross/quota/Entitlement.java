package org.quincecross.quota;

import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.Resources;

/**
 * The share of the capacity that each node is entitled to when there is not enough for all: hierarchical max-min fairness over dominant shares, after Ghodsi and others, "Dominant Resource Fairness" (NSDI 2011), applied at each node to its children. A child first receives its demand up to its guarantee. The rest is divided by progressive filling: the dominant shares of children that want more rise in proportion to their weights, until a child's demand is met or a resource it needs is exhausted.
 */
public final class Entitlement {
  private static final double NEXT_TO_NOTHING = 1e-9;
  private static final int RESOURCES = 3;

  private final QuotaTree tree;
  private final Resources capacity;
  private final Resources[] asks;
  private final Resources[] direct;
  private final Resources[] entitled;

  private Entitlement(QuotaTree tree, Resources[] demand, Resources capacity) {
    this.tree = tree;
    this.capacity = capacity;
    this.direct = demand;
    this.asks = demand.clone();
    this.entitled = new Resources[demand.length];
  }

  /**
   * Divides {@code capacity}.
   * @param demand of each node, by its index: what its own tasks use and would use, without those of its descendants
   */
  public static Entitlement of(QuotaTree tree, Resources[] demand, Resources capacity) {
    Entitlement all = new Entitlement(tree, demand, capacity);
    all.sumUp();
    all.entitled[0] = all.asks[0].min(capacity);
    for (QuotaTree.Node node : tree.nodes()) {
      if (!node.children().isEmpty()) {
        all.divide(node);
      }
    }
    return all;
  }

  /** Returns the entitlement of a node including its descendants. */
  public Resources of(QuotaTree.Node node) {
    return entitled[node.index()];
  }

  /**
   * Sums up the demand of each node's subtree, capped by its limit and by its guarantee plus what it may borrow.
   */
  private void sumUp() {
    List<QuotaTree.Node> nodes = tree.nodes();
    for (int i = nodes.size() - 1; i >= 0; i--) {
      QuotaTree.Node node = nodes.get(i);
      asks[i] = asks[i].min(node.limit()).min(node.guarantee().plus(node.spec().borrow()));
      if (node.parent() != null) {
        asks[node.parent().index()] = asks[node.parent().index()].plus(asks[i]);
      }
    }
  }

  /** A claimant in progressive filling: a child, or the node's own tasks. */
  private static final class Taker {
    private final int index;
    private final double weight;
    private final double[] base;
    private final double[] more;
    private final double share;
    private double part;

    Taker(int index, double weight, Resources base, Resources more, double share) {
      this.index = index;
      this.weight = weight;
      this.base = amounts(base);
      this.more = amounts(more);
      this.share = share;
    }

    boolean wants(int resource) {
      return more[resource] > NEXT_TO_NOTHING;
    }
  }

  private void divide(QuotaTree.Node node) {
    List<Taker> takers = new ArrayList<>();
    for (QuotaTree.Node child : node.children()) {
      takers.add(
          taker(child.index(), child.spec().weight(), child.guarantee(), asks[child.index()]));
    }
    // The node's own tasks that match none of its workloads compete with the children, without a
    // guarantee.
    Taker own = taker(-1, 1, Resources.NONE, direct[node.index()]);
    takers.add(own);
    double[] left = amounts(entitled[node.index()]);
    serveGuarantees(takers, left);
    pour(takers, left);
    for (Taker taker : takers) {
      if (taker.index >= 0) {
        entitled[taker.index] =
            new Resources(
                taker.base[0] + taker.part * taker.more[0],
                taker.base[1] + taker.part * taker.more[1],
                taker.base[2] + taker.part * taker.more[2]);
      }
    }
  }

  private Taker taker(int index, double weight, Resources guarantee, Resources ask) {
    Resources base = ask.min(guarantee);
    Resources more = ask.minus(base);
    return new Taker(index, weight, base, more, more.dominantShareOf(capacity));
  }

  /**
   * Serves the guarantees; if capacity does not suffice, all claimants receive the same fraction of theirs.
   */
  private static void serveGuarantees(List<Taker> takers, double[] left) {
    for (int r = 0; r < RESOURCES; r++) {
      double sum = 0;
      for (Taker taker : takers) {
        sum += taker.base[r];
      }
      double part = sum > left[r] ? left[r] / sum : 1;
      for (Taker taker : takers) {
        taker.base[r] *= part;
      }
      left[r] = Math.max(0, left[r] - sum * part);
    }
  }

  private static void pour(List<Taker> takers, double[] left) {
    List<Taker> open = new ArrayList<>();
    for (Taker taker : takers) {
      if (taker.weight > 0 && taker.share > NEXT_TO_NOTHING) {
        open.add(taker);
      }
    }
    boolean[] gone = new boolean[RESOURCES];
    while (!open.isEmpty()) {
      double rise = Double.MAX_VALUE;
      double[] rates = new double[RESOURCES];
      for (Taker taker : open) {
        rise = Math.min(rise, (1 - taker.part) * taker.share / taker.weight);
        for (int r = 0; r < RESOURCES; r++) {
          rates[r] += taker.more[r] * taker.weight / taker.share;
        }
      }
      for (int r = 0; r < RESOURCES; r++) {
        if (rates[r] > 0 && left[r] / rates[r] <= rise) {
          rise = left[r] / rates[r];
        }
      }
      for (Taker taker : open) {
        taker.part = Math.min(1, taker.part + rise * taker.weight / taker.share);
      }
      for (int r = 0; r < RESOURCES; r++) {
        left[r] = Math.max(0, left[r] - rise * rates[r]);
        gone[r] |= rates[r] > 0 && left[r] <= NEXT_TO_NOTHING * (1 + rates[r]);
      }
      int before = open.size();
      open.removeIf(taker -> taker.part >= 1 - NEXT_TO_NOTHING || isShort(taker, gone));
      if (open.size() == before) {
        return; // only rounding errors are left
      }
    }
  }

  private static boolean isShort(Taker taker, boolean[] gone) {
    for (int r = 0; r < RESOURCES; r++) {
      if (gone[r] && taker.wants(r)) {
        return true;
      }
    }
    return false;
  }

  private static double[] amounts(Resources resources) {
    return new double[] {resources.cpus(), resources.gpus(), resources.memoryGb()};
  }
}
