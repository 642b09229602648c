package org.quincecross.quota;

import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.Resources;

/**
 * What the tasks below each node use, and how much more each node may take. A change costs the
 * depth of the tree, whatever its size.
 */
public final class QuotaUsage {
  private final QuotaTree tree;
  private final Resources[] used;

  /** Of each node: what its children keep, see {@link #keptBy}. */
  private final Resources[] kept;

  private long steps;

  public QuotaUsage(QuotaTree tree) {
    this.tree = tree;
    this.used = new Resources[tree.nodes().size()];
    this.kept = new Resources[tree.nodes().size()];
    for (QuotaTree.Node node : tree.nodes()) {
      used[node.index()] = Resources.NONE;
      kept[node.index()] = Resources.NONE;
    }
    // From the leaves up: what a node keeps is at least what those below it keep.
    for (int i = tree.nodes().size() - 1; i > 0; i--) {
      QuotaTree.Node node = tree.nodes().get(i);
      int parent = node.parent().index();
      kept[parent] = kept[parent].plus(keptBy(node));
    }
  }

  public QuotaTree tree() {
    return tree;
  }

  /** What the tasks of a node, and of those below it, take that are not proven gone. */
  public Resources used(QuotaTree.Node node) {
    return used[node.index()];
  }

  /** How many nodes have been gone through so far: the work that was done. */
  public long steps() {
    return steps;
  }

  /** Counts tasks of a node in, or, with negative amounts, out. */
  public void add(QuotaTree.Node node, Resources more) {
    Resources change = Resources.NONE;
    for (QuotaTree.Node each = node; each != null; each = each.parent()) {
      steps++;
      int index = each.index();
      Resources before = keptBy(each);
      kept[index] = kept[index].plus(change);
      used[index] = used[index].plus(more);
      change = keptBy(each).minus(before);
    }
  }

  /**
   * What a node keeps of its parent's room for itself: the part of its guarantee that it never
   * lends, as far as unused.
   */
  private Resources keptBy(QuotaTree.Node node) {
    if (node.parent() == null) {
      return Resources.NONE;
    }
    Resources own = node.guarantee().times(1 - node.spec().lend()).minus(used[node.index()]);
    return own.max(kept[node.index()]).max(Resources.NONE);
  }

  /**
   * One node on the way up from where tasks run, as it bears on them.
   *
   * @param bound its limit, or its guarantee and what it may borrow, whichever is less
   * @param kept what others below it keep of their guarantees: beside the tasks' node, and beside
   *     each node on the way
   */
  public record Level(QuotaTree.Node node, Resources bound, Resources used, Resources kept) {
    /** How much more it has room for. */
    public Resources room() {
      return bound.minus(used).minus(kept).max(Resources.NONE);
    }
  }

  /** From a node to the root, what each has room for. */
  public List<Level> levels(QuotaTree.Node node) {
    List<Level> levels = new ArrayList<>();
    Resources others = kept[node.index()];
    QuotaTree.Node below = null;
    for (QuotaTree.Node each = node; each != null; each = each.parent()) {
      steps++;
      if (below != null) {
        others = others.plus(kept[each.index()]).minus(keptBy(below));
      }
      Resources bound = each.limit().min(each.guarantee().plus(each.spec().borrow()));
      levels.add(new Level(each, bound, used[each.index()], others));
      below = each;
    }
    return levels;
  }

  /** How much more a node may take: the least that any level has room for. */
  public Resources room(QuotaTree.Node node) {
    Resources room = NodeSpec.UNLIMITED;
    for (Level level : levels(node)) {
      room = room.min(level.room());
    }
    return room;
  }
}
