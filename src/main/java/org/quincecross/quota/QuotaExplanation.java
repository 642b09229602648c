package org.quincecross.quota;

import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.Resources;

/** Explains, level by level, why a node's tasks wait and what would have to end. */
public final class QuotaExplanation {
  private QuotaExplanation() {}

  /**
   * Returns why tasks of a node have no room in its quota, from the innermost level out; empty if
   * they have room.
   *
   * @param each resources of one task
   * @param together how many tasks need room at the same time: 1, or all tasks of a gang
   */
  public static List<String> of(
      QuotaUsage usage, QuotaTree.Node node, Resources each, int together) {
    List<String> lines = new ArrayList<>();
    Resources needed = each.times(together);
    for (QuotaUsage.Level level : usage.levels(node)) {
      if (level.room().capacityFor(each) >= together) {
        continue;
      }
      Resources missing = needed.minus(level.room()).max(Resources.NONE);
      String reserved =
          level.reserved().fitsIn(Resources.NONE)
              ? ""
              : ", and others keep " + QuotaTree.format(level.reserved());
      lines.add(
          name(level.node())
              + " uses "
              + QuotaTree.format(level.used())
              + " of "
              + bound(level)
              + reserved
              + ": "
              + QuotaTree.format(missing)
              + " there would have to end");
    }
    return lines;
  }

  private static String name(QuotaTree.Node node) {
    return switch (node.spec().kind()) {
      case ORGANISATION -> node.parent() == null ? "the root" : "organisation " + node.path();
      case TEAM -> "team " + node.path();
      case WORKLOAD -> "workload " + node.path();
    };
  }

  /** Describes what restricts a node: its limit, or how much more it may borrow. */
  private static String bound(QuotaUsage.Level level) {
    QuotaTree.Node node = level.node();
    return node.limit().fitsIn(level.bound())
        ? "its limit " + QuotaTree.format(level.bound())
        : QuotaTree.format(level.bound()) + ", its guarantee and what it may borrow";
  }
}
