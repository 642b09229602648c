package org.quincecross.quota;

import java.util.List;
import org.quincecross.model.Resources;

/**
 * A node as operators write it, with all that is below it.
 *
 * @param name within its parent; of a team, the platform's name of it
 * @param pattern of a workload: which job classes of the team belong to it, {@code *} for any run
 *     of characters; else null
 * @param guarantee what the node gets whenever it has work for it, and gets back from whoever
 *     borrowed it
 * @param limit what its tasks may use at most; infinite where there is none
 * @param weight its part, beside its siblings', of what is left when all guarantees are served; 0:
 *     none of it
 * @param lend the part of its unused guarantee that others may use meanwhile, 0 to 1
 * @param borrow the most that it may use beyond its guarantee; infinite where there is no bound
 */
public record NodeSpec(
    String name,
    Kind kind,
    String pattern,
    Resources guarantee,
    Resources limit,
    double weight,
    double lend,
    Resources borrow,
    List<NodeSpec> children) {
  /** What a node stands for. */
  public enum Kind {
    ORGANISATION,
    TEAM,
    WORKLOAD
  }

  /** No bound at all. */
  public static final Resources UNLIMITED =
      new Resources(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
}
