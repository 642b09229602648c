package org.quincecross.quota;

import java.util.ArrayList;
import java.util.List;
import org.quincecross.model.Resources;

/** Says in words, level by level, why a node's tasks wait, and what would have to end. */
public final class Explanation {
  private Explanation() {}

  /**
   * Why tasks of a node have no room in its quota, from the inside out; empty where they have.
   *
   * @param each what a task takes
   * @param together how many of them must have room at the same time: 1, or all tasks of a gang
   */
  public static List<String> of(
      QuotaUsage books, QuotaTree.Node node, Resources each, int together) {
    List<String> lines = new ArrayList<>();
    Resources needed = each.times(together);
    for (QuotaUsage.Level level : books.levels(node)) {
      if (level.room().capacityFor(each) >= together) {
        continue;
      }
      Resources missing = needed.minus(level.room()).max(Resources.NONE);
      String kept =
          level.kept().fitsIn(Resources.NONE)
              ? ""
              : ", and others keep " + QuotaTree.words(level.kept());
      lines.add(
          name(level.node())
              + " uses "
              + QuotaTree.words(level.used())
              + " of "
              + bound(level)
              + kept
              + ": "
              + QuotaTree.words(missing)
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

  /** What holds a node back: its limit, or that it may not borrow more. */
  private static String bound(QuotaUsage.Level level) {
    QuotaTree.Node node = level.node();
    return node.limit().fitsIn(level.bound())
        ? "its limit " + QuotaTree.words(level.bound())
        : QuotaTree.words(level.bound()) + ", its guarantee and what it may borrow";
  }
}
