package org.quincecross.quota;

import java.util.List;
import org.quincecross.model.Resources;

/**
 * A node as configured by operators, with its descendants.
 *
 * @param name within its parent; for a team, the platform's name of it
 * @param pattern of a workload: which job classes of the team belong to it, {@code *} for any run
 *     of characters; else null
 * @param guarantee what the node receives whenever it has work for it, and reclaims from borrowers
 * @param limit upper limit on what its tasks use; infinite if there is none
 * @param weight its weight among its siblings for capacity beyond all guarantees; 0 for none of it
 * @param lend fraction of its unused guarantee that others may use meanwhile, 0 to 1
 * @param borrow upper limit on what it may use beyond its guarantee; infinite if there is none
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

  /** No limit on any resource. */
  public static final Resources UNLIMITED =
      new Resources(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
}
