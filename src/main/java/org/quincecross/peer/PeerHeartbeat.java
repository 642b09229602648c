package org.quincecross.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.ControllerId;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;

/**
 * What a controller tells another again and again: everything that has changed since report {@code
 * base}, which the receiver must have. A receiver that has not says so ({@link Receipt#gap}) and is
 * told from what it does have.
 *
 * @param number rises with every report of a life
 * @param base the report that this one builds upon; 0: none, this one is whole
 * @param receipts what the sender has received of others
 * @param ledger everything up to here the sender and the blocks that it holds have taken note of
 * @param unconfirmed how long ago the sender last heard from the state service
 * @param strays machines of others' blocks that report to the sender
 * @param sections what parts of the sender tell theirs elsewhere, by name, whole each time; a
 *     receiver leaves alone what it does not know
 */
public record PeerHeartbeat(
    ControllerId member,
    Incarnation incarnation,
    long number,
    long base,
    Map<ControllerId, Receipt> receipts,
    Revision ledger,
    TimeSpan unconfirmed,
    List<Block> blocks,
    List<MachineId> strays,
    Map<String, byte[]> sections) {
  public PeerHeartbeat(
      ControllerId member,
      Incarnation incarnation,
      long number,
      long base,
      Map<ControllerId, Receipt> receipts,
      Revision ledger,
      TimeSpan unconfirmed,
      List<Block> blocks,
      List<MachineId> strays) {
    this(
        member, incarnation, number, base, receipts, ledger, unconfirmed, blocks, strays, Map.of());
  }

  /**
   * What a controller has received of another one.
   *
   * @param number everything up to this report of that life
   * @param gap whether a report came that builds on one that did not
   */
  public record Receipt(Incarnation incarnation, long number, boolean gap) {}

  /**
   * A block that the sender holds.
   *
   * @param allocation the version of the allocation that {@code released} speaks of
   * @param inDoubt whether something there waits that only a new token ends
   * @param declined jobs that have failed on every machine that takes work there
   * @param whole whether {@code machines} are all that the block has, rather than those that have
   *     changed
   * @param completed tasks whose completion is not yet durable
   * @param released tasks that are on no machine and will not be started
   */
  public record Block(
      ShardId id,
      FencingToken token,
      Revision allocation,
      boolean inDoubt,
      Set<JobId> declined,
      boolean whole,
      List<TaskId> completed,
      List<TaskId> released,
      Map<JobId, Integer> running,
      List<MachineState> machines) {

    /** The same with how many tasks run as it is now, where that goes on changing. */
    public Block keeping(Map<JobId, Integer> runningNow) {
      return new Block(
          id,
          token,
          allocation,
          inDoubt,
          declined,
          whole,
          completed,
          released,
          runningNow,
          machines);
    }

    public Block with(boolean nowWhole, List<MachineState> states) {
      return new Block(
          id, token, allocation, inDoubt, declined, nowWhole, completed, released, running, states);
    }
  }

  /**
   * A machine of a block.
   *
   * @param silent how long it has not reported; zero while it reports as it should
   * @param open whether it takes work
   * @param yielding what urgent work could have in a moment, beyond {@code free}
   * @param images those that it has or is fetching; {@code imagesInUse}: those that its tasks need
   * @param movable whether all that runs there are services that have been up for a while
   */
  public record MachineState(
      MachineId id,
      Resources free,
      Resources yielding,
      TimeSpan silent,
      boolean open,
      boolean fenced,
      boolean notice,
      boolean sick,
      boolean movable,
      int tasks,
      int queued,
      List<String> images,
      List<String> imagesInUse) {}
}
