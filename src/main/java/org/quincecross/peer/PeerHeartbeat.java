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
 * A periodic report of one controller to another with everything that has changed since report
 * {@code base}, which the receiver must have. A receiver that lacks it says so ({@link
 * Receipt#gap}), and the next report starts from what it has.
 *
 * @param number rises with every report of an incarnation
 * @param base the report that this one builds on; 0 for a full report
 * @param receipts what the sender has received from others
 * @param cacheRevision the sender's cache and the owners of its shards have applied everything up
 *     to this revision
 * @param sinceStoreContact the time since the sender's last contact with the store
 * @param foreignMachines machines of other controllers' shards that report to the sender
 * @param sections reports of optional features, by name, always whole; unknown ones are ignored
 */
public record PeerHeartbeat(
    ControllerId member,
    Incarnation incarnation,
    long number,
    long base,
    Map<ControllerId, Receipt> receipts,
    Revision cacheRevision,
    TimeSpan sinceStoreContact,
    List<ShardStatus> shards,
    List<MachineId> foreignMachines,
    Map<String, byte[]> sections) {
  /** Creates a report without sections. */
  public PeerHeartbeat(
      ControllerId member,
      Incarnation incarnation,
      long number,
      long base,
      Map<ControllerId, Receipt> receipts,
      Revision cacheRevision,
      TimeSpan sinceStoreContact,
      List<ShardStatus> shards,
      List<MachineId> foreignMachines) {
    this(
        member,
        incarnation,
        number,
        base,
        receipts,
        cacheRevision,
        sinceStoreContact,
        shards,
        foreignMachines,
        Map.of());
  }

  /**
   * What a controller has received from another.
   *
   * @param number the last report of that incarnation before any gap
   * @param gap whether a report arrived that builds on one that did not
   */
  public record Receipt(Incarnation incarnation, long number, boolean gap) {}

  /**
   * The status of a shard that the sender owns.
   *
   * @param allocation the version of the allocation that {@code released} refers to
   * @param needsTokenRenewal whether pending work there can finish only under a new token
   * @param declinedJobs jobs that have failed on every machine that accepts tasks there
   * @param hasAllMachines whether {@code machines} contains all of the shard's machines, not only
   *     changed ones
   * @param completed tasks whose completion is not durable yet
   * @param released tasks that are on no machine and will not be started
   */
  public record ShardStatus(
      ShardId id,
      FencingToken token,
      Revision allocation,
      boolean needsTokenRenewal,
      Set<JobId> declinedJobs,
      boolean hasAllMachines,
      List<TaskId> completed,
      List<TaskId> released,
      Map<JobId, Integer> running,
      List<MachineState> machines) {

    /** The same with a copy of the numbers of running tasks, which otherwise change. */
    public ShardStatus withRunning(Map<JobId, Integer> runningNow) {
      return new ShardStatus(
          id,
          token,
          allocation,
          needsTokenRenewal,
          declinedJobs,
          hasAllMachines,
          completed,
          released,
          runningNow,
          machines);
    }

    /** The same with other machines. */
    public ShardStatus with(boolean nowWhole, List<MachineState> states) {
      return new ShardStatus(
          id,
          token,
          allocation,
          needsTokenRenewal,
          declinedJobs,
          nowWhole,
          completed,
          released,
          running,
          states);
    }
  }

  /**
   * The state of a machine in a shard.
   *
   * @param silentFor how long it has not reported; zero while it reports as expected
   * @param open whether it accepts tasks
   * @param preemptible what urgent work could have within a moment, beyond {@code free}
   * @param images the images that it has or is pulling
   * @param imagesInUse the images that its tasks need
   * @param movable whether it runs only services that have been up for a while
   */
  public record MachineState(
      MachineId id,
      Resources free,
      Resources preemptible,
      TimeSpan silentFor,
      boolean open,
      boolean fenced,
      boolean terminationNotice,
      boolean faulty,
      boolean movable,
      int tasks,
      int queued,
      List<String> images,
      List<String> imagesInUse) {}
}
