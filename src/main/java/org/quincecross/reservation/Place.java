package org.quincecross.reservation;

import java.util.Set;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;

/**
 * What a block has for reservations.
 *
 * @param machine what each of its machines has
 * @param machines how many take work; a machine that is to go back is none
 * @param standing what runs there that does not make way for the front service
 * @param lanes whose tasks it has: their images are there or on the way
 */
public record Place(
    ShardId shard,
    String zone,
    Resources machine,
    int machines,
    Resources standing,
    Set<String> lanes) {
  /** What it has beside what does not make way. */
  Resources room() {
    return machine.times(machines).minus(standing).max(Resources.NONE);
  }
}
