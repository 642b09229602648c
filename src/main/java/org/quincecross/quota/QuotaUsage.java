package org.quincecross.quota;

import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.Resources;

/**
 * What the tasks below each node use, and how much more each node may use. The cost of a change is
 * the depth of the tree, whatever its size.
 */
public final class QuotaUsage {
  private final QuotaTree tree;
  private final Resources[] used;

  /** For each node, the sum of what its children reserve; see {@link #reservedBy}. */
  private final Resources[] reserved;

  private long visitedNodes;

  public QuotaUsage(QuotaTree tree) {
    this.tree = tree;
    this.used = new Resources[tree.nodes().size()];
    this.reserved = new Resources[tree.nodes().size()];
    for (QuotaTree.Node node : tree.nodes()) {
      used[node.index()] = Resources.NONE;
      reserved[node.index()] = Resources.NONE;
    }
    // Bottom-up: a node reserves at least what its children reserve.
    for (int i = tree.nodes().size() - 1; i > 0; i--) {
      QuotaTree.Node node = tree.nodes().get(i);
      int parent = node.parent().index();
      reserved[parent] = reserved[parent].plus(reservedBy(node));
    }
  }

  public QuotaTree tree() {
    return tree;
  }

  /** Returns the resources of the tasks of a node and its descendants that are not proven gone. */
  public Resources used(QuotaTree.Node node) {
    return used[node.index()];
  }

  /** Number of nodes visited, as a measure of cost. */
  public long visitedNodes() {
    return visitedNodes;
  }

  /** Adds tasks of a node, or removes them with negative amounts. */
  public void add(QuotaTree.Node node, Resources more) {
    Resources change = Resources.NONE;
    for (QuotaTree.Node each = node; each != null; each = each.parent()) {
      visitedNodes++;
      int index = each.index();
      Resources before = reservedBy(each);
      reserved[index] = reserved[index].plus(change);
      used[index] = used[index].plus(more);
      change = reservedBy(each).minus(before);
    }
  }

  /**
   * Returns what a node reserves of its parent's room: the unused part of its guarantee that it
   * does not lend.
   */
  private Resources reservedBy(QuotaTree.Node node) {
    if (node.parent() == null) {
      return Resources.NONE;
    }
    Resources unlentGuarantee =
        node.guarantee().times(1 - node.spec().lend()).minus(used[node.index()]);
    return unlentGuarantee.max(reserved[node.index()]).max(Resources.NONE);
  }

  /**
   * A node on the path from a task's node to the root.
   *
   * @param bound the lower of its limit and its guarantee plus what it may borrow
   * @param reserved what other nodes below it reserve of their guarantees: siblings of the task's
   *     node and of each node on the path
   */
  public record Level(QuotaTree.Node node, Resources bound, Resources used, Resources reserved) {
    /** Returns how much more it has room for. */
    public Resources room() {
      return bound.minus(used).minus(reserved).max(Resources.NONE);
    }
  }

  /** Returns the levels from a node to the root. */
  public List<Level> levels(QuotaTree.Node node) {
    List<Level> levels = new ArrayList<>();
    Resources others = reserved[node.index()];
    QuotaTree.Node below = null;
    for (QuotaTree.Node each = node; each != null; each = each.parent()) {
      visitedNodes++;
      if (below != null) {
        others = others.plus(reserved[each.index()]).minus(reservedBy(below));
      }
      Resources bound = each.limit().min(each.guarantee().plus(each.spec().borrow()));
      levels.add(new Level(each, bound, used[each.index()], others));
      below = each;
    }
    return levels;
  }

  /** Returns how much more a node may use: the least room of any level. */
  public Resources room(QuotaTree.Node node) {
    Resources room = NodeSpec.UNLIMITED;
    for (Level level : levels(node)) {
      room = room.min(level.room());
    }
    return room;
  }
}
