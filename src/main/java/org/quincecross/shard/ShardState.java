package org.quincecross.shard;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.FencingToken;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.quarantine.FaultEvidence;
import org.quincecross.scheduling.QueueEntry;
import org.quincecross.scheduling.ShardScheduler;
import org.quincecross.state.ShardLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state of an owned shard, shared by its {@link ShardOwner} and the owner's parts. */
final class ShardState {
  private static final Logger LOG = LoggerFactory.getLogger(ShardState.class);

  private final ShardContext context;
  private final Map<MachineId, AgentSession> sessions = new LinkedHashMap<>();
  private final Placements placements = new Placements();
  private final Map<TaskId, QueueEntry> queueEntries = new HashMap<>();
  private final ShardScheduler scheduler = new ShardScheduler();
  private final FaultEvidence evidence = new FaultEvidence();
  private final Set<MachineId> dirtyMachines = new LinkedHashSet<>();
  private ShardLease lease;
  private Revision syncedAllocation = Revision.NONE;
  private boolean superseded;
  private boolean settled;
  private boolean schedulingNeeded = true;
  private MonotonicTime wakeAt;

  ShardState(ShardContext context, ShardLease lease) {
    this.context = context;
    this.lease = lease;
  }

  ShardContext context() {
    return context;
  }

  ShardId id() {
    return lease.id();
  }

  ShardLease lease() {
    return lease;
  }

  /** Replaces the lease by a newer record of it under the same token. */
  void setLease(ShardLease next) {
    lease = next;
  }

  FencingToken token() {
    return lease.token();
  }

  Map<MachineId, AgentSession> sessions() {
    return sessions;
  }

  Placements placements() {
    return placements;
  }

  /** The queue entries of waiting tasks; all tasks of a gang have the same one. */
  Map<TaskId, QueueEntry> queueEntries() {
    return queueEntries;
  }

  ShardScheduler scheduler() {
    return scheduler;
  }

  FaultEvidence evidence() {
    return evidence;
  }

  /** The version of the allocation that the placements follow. */
  Revision syncedAllocation() {
    return syncedAllocation;
  }

  void setSyncedAllocation(Revision version) {
    syncedAllocation = version;
  }

  /** Whether another controller owns the shard, or this one under another lease. */
  boolean isSuperseded() {
    return superseded;
  }

  void supersede() {
    superseded = true;
  }

  /** Whether the location of every task is known: on a machine of the shard, or on none. */
  boolean isSettled() {
    return settled;
  }

  /**
   * Settles the shard once every machine has been fenced or lost: tasks that none of them reported
   * are certainly on no machine. It is enough that each was fenced or lost once: from then on no
   * command of a former owner has an effect there, and this owner gives none for unsettled tasks.
   */
  void settleIfAllCleared() {
    if (settled || !sessions.values().stream().allMatch(AgentSession::wasCleared)) {
      return;
    }
    settled = true;
    LOG.info(
        "shard {}: all {} machines are fenced or lost, token {}", id(), sessions.size(), token());
    MonotonicTime now = context.now();
    placements.in(Placement.State.UNSETTLED).forEach(placement -> placement.leftMachine(now));
  }

  /** Marks a machine as changed: the scheduler's view of it is updated before the next start. */
  void markDirty(AgentSession session) {
    dirtyMachines.add(session.machine().id());
    schedulingNeeded = true;
  }

  Set<MachineId> dirtyMachines() {
    return dirtyMachines;
  }

  void requestScheduling() {
    schedulingNeeded = true;
  }

  boolean isSchedulingNeeded() {
    return schedulingNeeded;
  }

  void schedulingStarted() {
    schedulingNeeded = false;
  }

  /** Requests a scheduling pass at a time, even if nothing happens until then. */
  void wakeBy(MonotonicTime time) {
    if (wakeAt == null || time.isBefore(wakeAt)) {
      wakeAt = time;
    }
  }

  /** Whether a requested pass is due. */
  boolean isWakeUpDue(MonotonicTime now) {
    return wakeAt != null && !now.isBefore(wakeAt);
  }

  void clearWakeUp() {
    wakeAt = null;
  }

  /** Removes a task from its queue, and with it its gang. */
  void dequeue(TaskId task) {
    QueueEntry entry = queueEntries.remove(task);
    if (entry != null) {
      scheduler.remove(entry);
      entry.tasks().forEach(queueEntries::remove);
    }
  }

  /** Marks machines as faulty: they fail the tasks that they are given. */
  void markFaulty(Collection<MachineId> machines) {
    for (MachineId machine : machines) {
      AgentSession session = sessions.get(machine);
      if (session != null && !session.isFaulty()) {
        LOG.info("shard {}: machine {} is faulty and gets no more tasks", id(), machine);
        session.markFaulty();
        markDirty(session);
        context.notifyLeader();
      }
    }
  }

  /** Whether another task of the same job is queued or on a machine. */
  boolean hasOtherTaskUnderWay(Placement placement) {
    return placements.ofJob(placement.task().job()).stream()
        .anyMatch(
            other ->
                !other.task().equals(placement.task())
                    && (other.isOnMachine() || queueEntries.containsKey(other.task())));
  }

  /** The jobs that the shard should not be allocated. */
  Set<JobId> declinedJobs() {
    return evidence.declined(context.now());
  }

  /**
   * Whether a machine has restarted: its heartbeats can be distinguished from late ones only by a
   * higher token, so the leader is to renew the lease.
   */
  boolean needsTokenRenewal() {
    return sessions.values().stream().anyMatch(AgentSession::hasRestarted);
  }

  List<TaskId> tasksIn(Placement.State state) {
    return placements.viewIn(state).stream().map(Placement::task).toList();
  }
}
