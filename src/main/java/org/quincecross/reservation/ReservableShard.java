package org.quincecross.reservation;

import java.util.Set;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;

/**
 * Capacity of a shard that reservations may use.
 *
 * @param machine resources of each of its machines
 * @param machines how many accept work; machines about to be released are excluded
 * @param standing resources of its running tasks that are not preempted for the front service
 * @param jobClasses the job classes it runs, whose images are therefore present or being fetched
 */
public record ReservableShard(
    ShardId shard,
    String zone,
    Resources machine,
    int machines,
    Resources standing,
    Set<String> jobClasses) {
  /** Returns the resources beside the tasks that are not preempted. */
  Resources freeCapacity() {
    return machine.times(machines).minus(standing).max(Resources.NONE);
  }
}
