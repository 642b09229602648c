package org.quincecross.modelserving;

import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;

/**
 * Commands that change a model's record. A command decided by the leader names the epoch it was
 * decided under and is rejected in any other epoch.
 */
public sealed interface ModelCommand {
  /** Matches every epoch. */
  long ANY_EPOCH = -1;

  /**
   * Operator command: defines the job as a model, at zero, or changes the scaling limits of an
   * existing model.
   */
  record Define(JobId job, Model.ScalingLimits limits) implements ModelCommand {}

  /** Requests that the model be up. */
  record Wake() implements ModelCommand {}

  /**
   * Scales the model to zero.
   *
   * @param epoch the epoch that the decision is based on; {@link #ANY_EPOCH} if an operator
   *     requested the drain or the job has ended
   * @param idleMs for how long there has been no demand, as far as known
   */
  record Drain(long epoch, long idleMs, String reason) implements ModelCommand {}

  /** Leader command: assigns machines to replicas. */
  record Place(long epoch, Map<Integer, MachineId> machines) implements ModelCommand {}

  /** Leader command: the minimum number of replicas run. */
  record MarkWarm(long epoch) implements ModelCommand {}

  /**
   * Leader command: removes the placements of replicas. They are placed again once they are proven
   * to be on no machine.
   *
   * @param badMachines the machines among these that are to be avoided
   */
  record RemoveReplicas(
      long epoch, Set<Integer> replicas, Set<MachineId> badMachines, String reason)
      implements ModelCommand {}

  /** Leader command: sets the target number of replicas. */
  record Scale(long epoch, int replicas) implements ModelCommand {}

  /** Leader command: no replica is left on any machine. */
  record MarkDrained(long epoch) implements ModelCommand {}
}
