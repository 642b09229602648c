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

/** What all shard owners of this controller share. */
public interface ShardContext {
  /** The timers of this controller's event loop. */
  Timers timers();

  /** Sends requests to agents. */
  HttpCaller http();

  /** This controller's copy of the records. */
  ClusterStateCache cache();

  /** The headroom that a shard should keep. */
  List<Headroom> headroom(ShardId shard);

  /** The timing of agents. */
  Settings.AgentTimeouts agentTimeouts();

  /** The time within which tasks of a class should start, or null without such an objective. */
  TimeSpan startTimeLimit(String jobClass);

  /** Whether a job is best-effort: it gives way to all others. */
  boolean isBestEffort(Job job);

  /** The images that a machine was last reported to have, by any owner. */
  List<String> imagesOf(MachineId machine);

  /** Whether the cache is recent enough for this controller to send commands and renew leases. */
  boolean mayCommand();

  /**
   * Whether the cache is recent enough to start tasks: a job that is not cancelled in it may have
   * been cancelled at another controller, and its user told so ({@link
   * org.quincecross.failuredetection.StartPermission}).
   */
  default boolean mayStartTasks() {
    return mayCommand();
  }

  /** The cache contains all changes up to this time; null before the first full read. */
  MonotonicTime confirmedAt();

  /** The longest that a former owner without the store goes on responding to its machines. */
  TimeSpan maxUnconfirmedOwnership();

  /**
   * Whether every other controller has reported that its cache contains all changes up to a
   * revision: then none of them owns anything under an older lease.
   */
  default boolean allControllersHaveSeen(Revision revision) {
    return false;
  }

  /**
   * Whether a job was cancelled so long ago that its tasks may not outlast a lease that is renewed
   * now: less than a lease may be left of the time allowed for a cancellation, if its user was told
   * at once.
   */
  default boolean isCancellationExpiring(JobId job) {
    return false;
  }

  /** Whether a task that waits in a shard would most likely start at once in another shard. */
  default boolean hasCapacityElsewhere(Job job, ShardId here) {
    return false;
  }

  /** Notifies the leader soon of something that has happened. */
  void notifyLeader();

  /** The machines that a task is bound to; null if it may start on any. */
  default Set<MachineId> machinesFor(Job job, int index) {
    return null;
  }

  /** The tasks that must not run now. */
  default StartBlock startBlock() {
    return StartBlock.NONE;
  }

  /** The present time. */
  default MonotonicTime now() {
    return timers().now();
  }
}
