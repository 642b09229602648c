package org.quincecross.modelserving;

import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;

/**
 * What can be asked of a model's record. What a leader decides names the epoch that it was decided
 * by, and is refused in any other.
 */
public sealed interface ModelCommand {
  /** Whatever the epoch is. */
  long ANY = -1;

  /** An operator's: the job becomes a model, at zero, or has other terms from here on. */
  record Define(JobId job, Model.Terms terms) implements ModelCommand {}

  /** Somebody wants it. */
  record Wake() implements ModelCommand {}

  /**
   * It goes to zero.
   *
   * @param epoch the one that it was decided by; {@link #ANY}: an operator says so, or the job is
   *     over
   * @param quietMs for so long nobody has wanted it, as far as is known
   */
  record Drain(long epoch, long quietMs, String why) implements ModelCommand {}

  /** A leader's: replicas have places. */
  record Choose(long epoch, Map<Integer, MachineId> places) implements ModelCommand {}

  /** A leader's: the least of its replicas run. */
  record Ready(long epoch) implements ModelCommand {}

  /**
   * A leader's: replicas lose their places; they get others once they are proven to be nowhere.
   *
   * @param bad the machines of these that are not to be chosen again
   */
  record Lose(long epoch, Set<Integer> replicas, Set<MachineId> bad, String why)
      implements ModelCommand {}

  /** A leader's: so many replicas there are to be. */
  record Scale(long epoch, int wanted) implements ModelCommand {}

  /** A leader's: none of the replicas is on any machine any more. */
  record Gone(long epoch) implements ModelCommand {}
}
