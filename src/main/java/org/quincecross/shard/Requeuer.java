package org.quincecross.shard;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.quarantine.FaultEvidence;
import org.quincecross.scheduling.QueueEntry;
import org.quincecross.scheduling.ShardScheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Returns work that the shard cannot run to the pool, from where other shards may get it. */
final class Requeuer {
  private static final Logger LOG = LoggerFactory.getLogger(Requeuer.class);
  private static final TimeSpan GANG_TIMEOUT = TimeSpan.ofSeconds(30);

  /** Beyond twice the task's estimate: tasks that run before it should have ended by then. */
  private static final TimeSpan WAIT_TIMEOUT = TimeSpan.ofSeconds(90);

  /** For urgent work: longer than lower work takes to save a checkpoint and stop. */
  private static final TimeSpan URGENT_TIMEOUT = TimeSpan.ofSeconds(6);

  /**
   * The share of capacity not used by services that may be overcommitted by queued work; the leader
   * allocates as much.
   */
  private static final double MAX_OVERCOMMIT = 0.15;

  private static final TimeSpan SURPLUS_TIMEOUT = TimeSpan.ofSeconds(3);
  private static final TimeSpan SURPLUS_INTERVAL = TimeSpan.ofSeconds(1);

  /**
   * If another shard has capacity and this one has none, work waits no longer than this plus the
   * check interval.
   */
  private static final TimeSpan ELSEWHERE_TIMEOUT = TimeSpan.ofSeconds(20);

  private static final TimeSpan ELSEWHERE_INTERVAL = TimeSpan.ofSeconds(5);
  private static final TimeSpan MAX_UNCONFIRMED = TimeSpan.ofSeconds(2);

  /**
   * How often a job suspected to fail is reconsidered: one task of it is being tried, and others
   * wait for the outcome.
   */
  private static final TimeSpan RETRY_INTERVAL = TimeSpan.ofSeconds(1);

  /** How long work waits for any machine of the shard to accept tasks again. */
  private static final TimeSpan NONE_OPEN_TIMEOUT = TimeSpan.ofSeconds(10);

  private final ShardContext context;
  private final ShardState state;
  private final MachineLivenessMonitor monitor;
  private final ShardReporter reporter;
  private final Placements placements;
  private final Map<TaskId, QueueEntry> entries;
  private final Map<MachineId, AgentSession> sessions;
  private final FaultEvidence evidence;
  private final ShardScheduler scheduler;
  private MonotonicTime noneOpenSince;
  private MonotonicTime checkSurplusAt;
  private MonotonicTime checkElsewhereAt;

  /** No work has waited for long before this time, as long as some machine accepts tasks. */
  private MonotonicTime checkAt;

  Requeuer(ShardState state, MachineLivenessMonitor monitor, ShardReporter reporter) {
    this.state = state;
    this.context = state.context();
    this.placements = state.placements();
    this.entries = state.queueEntries();
    this.sessions = state.sessions();
    this.evidence = state.evidence();
    this.scheduler = state.scheduler();
    this.monitor = monitor;
    this.reporter = reporter;
  }

  /** Returns all work that should not wait here any longer. */
  void requeue(MonotonicTime now) {
    requeueGangs(now);
    requeueLongWaiting(now);
    requeueSurplus(now);
    requeueToIdleShards(now);
  }

  /**
   * Returns work that a shard which has lost machines cannot start soon. The leader allocates no
   * more than a shard can start soon, but the tasks of lost machines all wait here at once, and
   * other shards may have capacity: without this a replica whose machine had vanished with half of
   * its shard waited for 90 s.
   */
  private void requeueSurplus(MonotonicTime now) {
    if (entries.isEmpty()
        || (checkSurplusAt != null && now.isBefore(checkSurplusAt))
        || !isStoreReachable(now)) {
      return;
    }
    checkSurplusAt = now.plus(SURPLUS_INTERVAL);
    state.wakeBy(checkSurplusAt);
    Resources standing = Resources.NONE;
    for (AgentSession session : sessions.values()) {
      for (Placement placement :
          session.isOpen() ? placements.viewOn(session.machine().id()) : List.<Placement>of()) {
        boolean stays = placement.job().kind() == JobKind.SERVICE && placement.isOnMachine();
        standing = stays ? standing.plus(placement.job().taskResources()) : standing;
      }
    }
    for (QueueEntry entry : scheduler.surplus(MAX_OVERCOMMIT, standing)) {
      Placement placement = placements.get(entry.tasks().get(0));
      if (now.since(placement.since()).isLongerThan(SURPLUS_TIMEOUT)) {
        state.dequeue(placement.task());
        placement.release(now);
        context.notifyLeader();
      }
    }
  }

  /**
   * Returns work that has waited here for a while although another shard has capacity:
   * overcommitted work waits behind tasks that may run long after other shards have become idle.
   * Guards against docs/incidents/idle-room.md: nothing waits for {@link #WAIT_TIMEOUT} and twice
   * its estimate while machines that could run it are idle, or are even terminated.
   */
  private void requeueToIdleShards(MonotonicTime now) {
    if (entries.isEmpty()
        || (checkElsewhereAt != null && now.isBefore(checkElsewhereAt))
        || !isStoreReachable(now)) {
      return;
    }
    checkElsewhereAt = now.plus(ELSEWHERE_INTERVAL);
    state.wakeBy(checkElsewhereAt);
    Map<JobId, Boolean> asked = new HashMap<>();
    for (QueueEntry entry : List.copyOf(entries.values())) {
      Placement placement = placements.get(entry.tasks().get(0));
      if (entry.job().kind() != JobKind.GANG
          && now.since(placement.since()).isLongerThan(ELSEWHERE_TIMEOUT)
          && asked.computeIfAbsent(
              entry.job().id(), id -> context.hasCapacityElsewhere(entry.job(), state.id()))) {
        state.dequeue(placement.task());
        placement.release(now);
        context.notifyLeader();
      }
    }
  }

  /** While the store is unreachable, a shard keeps its work: no one else would start it either. */
  private boolean isStoreReachable(MonotonicTime now) {
    return context.confirmedAt() != null
        && !now.since(context.confirmedAt()).isLongerThan(MAX_UNCONFIRMED);
  }

  /**
   * Returns gangs that have waited long and may wait without bound, because long-running services
   * can occupy parts of all the machines that they need. The leader may know a better shard by now.
   */
  private void requeueGangs(MonotonicTime now) {
    Set<QueueEntry> gangs = new LinkedHashSet<>();
    for (QueueEntry entry : entries.values()) {
      if (entry.job().kind() == JobKind.GANG) {
        gangs.add(entry);
      }
    }
    for (QueueEntry entry : gangs) {
      Placement first = placements.get(entry.tasks().get(0));
      MonotonicTime patient = first.since().plus(GANG_TIMEOUT);
      if (now.isBefore(patient)) {
        state.wakeBy(patient);
        continue;
      }
      state.dequeue(first.task());
      entry.tasks().forEach(task -> placements.get(task).release(now));
      context.notifyLeader();
    }
  }

  /**
   * Returns other work that has waited long and may wait without bound, behind long-running
   * services or for machines of which none accepts tasks any more. From the pool it can go where
   * there is capacity.
   */
  private void requeueLongWaiting(MonotonicTime now) {
    if (sessions.values().stream().anyMatch(monitor::isOpen)) {
      noneOpenSince = null;
    } else if (noneOpenSince == null) {
      noneOpenSince = now;
    }
    if (noneOpenSince == null && checkAt != null && now.isBefore(checkAt)) {
      state.wakeBy(checkAt);
      return; // tasks that arrived since have a later timeout
    }
    checkAt = now.plus(URGENT_TIMEOUT);
    for (Placement placement : placements.in(Placement.State.WAITING)) {
      Job job = placement.job();
      MonotonicTime patient =
          placement
              .since()
              .plus(
                  job.priority() == Priority.PRODUCTION && isStoreReachable(now)
                      ? URGENT_TIMEOUT
                      : WAIT_TIMEOUT.plus(job.estimate().times(2)));
      if (noneOpenSince != null && noneOpenSince.plus(NONE_OPEN_TIMEOUT).isBefore(patient)) {
        patient = noneOpenSince.plus(NONE_OPEN_TIMEOUT);
      }
      if (job.kind() == JobKind.GANG && noneOpenSince == null) {
        continue; // returns as a whole, and sooner
      }
      if (now.isBefore(patient)) {
        checkAt = patient.isBefore(checkAt) ? patient : checkAt;
        state.wakeBy(patient);
        continue;
      }
      state.dequeue(placement.task());
      placement.release(now);
      context.notifyLeader();
    }
  }

  /** Whether a job has failed on every machine that accepts tasks here. */
  private boolean hasFailedEverywhere(Job job) {
    Set<MachineId> failedOn = evidence.failedOn(job.id());
    return !failedOn.isEmpty()
        && sessions.values().stream()
            .allMatch(
                session -> failedOn.contains(session.machine().id()) || !monitor.isOpen(session));
  }

  /**
   * Whether a waiting task must not enter a queue now because its job has failed here and run
   * nowhere. Once it has failed on enough machines, or on all, the shard declines the job and
   * returns all of its waiting tasks; until then one task at a time is tried, on machines where it
   * has not failed. A single shard cannot distinguish a faulty machine from a job that fails
   * everywhere, but other shards can, and a task that only this shard could run would be tried here
   * without end.
   */
  boolean holdsBack(Placement placement) {
    Job job = placement.job();
    MonotonicTime now = context.now();
    if (!evidence.isSuspect(job.id())) {
      return false;
    }
    if (!evidence.isDeclined(job.id(), now)
        && placement.failures() > 0
        && (evidence.isFaulty(job.id()) || hasFailedEverywhere(job))) {
      LOG.info(
          "shard {}: {} has failed on {} machines here and run on none",
          state.id(),
          job.id(),
          evidence.failedOn(job.id()).size());
      evidence.decline(job.id(), now);
      reporter.headerChanged();
    }
    if (evidence.isDeclined(job.id(), now)) {
      state.dequeue(placement.task());
      placement.release(now);
      context.notifyLeader();
      return true;
    }
    if (job.kind() != JobKind.GANG && state.hasOtherTaskUnderWay(placement)) {
      state.wakeBy(now.plus(RETRY_INTERVAL));
      return true;
    }
    return false;
  }
}
