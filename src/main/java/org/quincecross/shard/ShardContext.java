package org.quincecross.shard;

import java.util.List;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.Timers;
import org.quincecross.protocol.Settings;
import org.quincecross.replicated.StartBlock;
import org.quincecross.scheduling.Headroom;
import org.quincecross.state.ClusterStateCache;

/** What every holder of this controller shares. */
public interface ShardContext {
  Timers timers();

  HttpCaller http();

  ClusterStateCache ledger();

  /** What a block should keep free. */
  List<Headroom> reserves(ShardId shard);

  Settings.AgentTimeouts workers();

  /** The time within which tasks of a class should start, or null if nothing is said of that. */
  TimeSpan startWithin(String jobClass);

  /** Whether nobody expects a job by any time: it gives way to all others. */
  boolean isIdle(Job job);

  /** The images that a machine was last said to have, by whoever held it. */
  List<String> imagesOf(MachineId machine);

  /** Whether the ledger is recent enough for this controller to give commands and renew leases. */
  boolean isEntitled();

  /**
   * Whether the ledger is recent enough to start tasks: a job that is not cancelled in it may have
   * been called off elsewhere, and its user told ({@link
   * org.quincecross.failuredetection.StartPermission}).
   */
  default boolean mayStart() {
    return isEntitled();
  }

  /** The ledger has all that had happened by this time; null before it was first read. */
  MonotonicTime confirmed();

  /**
   * The longest that a former holder, cut off from the state service, goes on answering its
   * machines.
   */
  TimeSpan longestUnconfirmed();

  /**
   * Whether each other controller has said that it has taken note of all up to a revision: then
   * none of them holds anything under an older lease any more.
   */
  default boolean allHaveNoted(Revision revision) {
    return false;
  }

  /**
   * Whether a job has been cancelled for so long that its tasks may not outlast a lease that is
   * renewed now: less than a lease may be left of the time that a cancellation has, if its user was
   * told as soon as it was made.
   */
  default boolean isLongCancelled(JobId job) {
    return false;
  }

  /**
   * Whether a task of a job, which waits in a block, would most likely start at once in another
   * block.
   */
  default boolean hasRoomElsewhere(Job job, ShardId here) {
    return false;
  }

  /** Something has happened that the leader should hear of soon. */
  void newsForLeader();

  /** The machines that a task is bound to; null where it may start on any. */
  default Set<MachineId> places(Job job, int index) {
    return null;
  }

  /** Tasks that are not to run now. */
  default StartBlock withheld() {
    return StartBlock.NONE;
  }

  default MonotonicTime now() {
    return timers().now();
  }
}
