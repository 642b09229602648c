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

/** Gives work that the block cannot run back to the pool, where others may have it. */
final class Requeuer {
  private static final Logger LOG = LoggerFactory.getLogger(Requeuer.class);
  private static final TimeSpan GANG_PATIENCE = TimeSpan.ofSeconds(30);

  /** Beyond twice its estimate: what runs before it should have ended by then. */
  private static final TimeSpan LONG_WAIT = TimeSpan.ofSeconds(90);

  /** Urgent work: longer than lower work takes to save and make room for it. */
  private static final TimeSpan URGENT_WAIT = TimeSpan.ofSeconds(6);

  /**
   * Of what services do not use, so much may be spoken for beyond what there is: what the leader
   * gives, too.
   */
  private static final double QUEUE_AHEAD = 0.15;

  private static final TimeSpan SURPLUS_PATIENCE = TimeSpan.ofSeconds(3);
  private static final TimeSpan SURPLUS_EVERY = TimeSpan.ofSeconds(1);

  /**
   * Where another block has room and this one none, work does not wait for longer than this and the
   * time between two looks.
   */
  private static final TimeSpan ELSEWHERE_PATIENCE = TimeSpan.ofSeconds(20);

  private static final TimeSpan ELSEWHERE_EVERY = TimeSpan.ofSeconds(5);
  private static final TimeSpan CONFIRMED_LATELY = TimeSpan.ofSeconds(2);

  /**
   * A job in doubt is looked at again so often: one task of it is under way, and others wait to
   * know what becomes of that.
   */
  private static final TimeSpan TRY_AGAIN = TimeSpan.ofSeconds(1);

  /** How long work waits for any machine of the block to take work again. */
  private static final TimeSpan NONE_OPEN_PATIENCE = TimeSpan.ofSeconds(10);

  private final ShardContext context;
  private final ShardOwner owner;
  private final Placements placements;
  private final Map<TaskId, QueueEntry> entries;
  private final Map<MachineId, AgentSession> sessions;
  private final FaultEvidence evidence;
  private final ShardScheduler scheduler;
  private MonotonicTime noneOpenSince;
  private MonotonicTime surplusAt;
  private MonotonicTime elsewhereAt;

  /** Before this nothing here has waited for long, as long as some machine takes work. */
  private MonotonicTime lookAt;

  Requeuer(
      ShardContext context,
      ShardOwner owner,
      Placements placements,
      Map<TaskId, QueueEntry> entries,
      Map<MachineId, AgentSession> sessions,
      FaultEvidence evidence,
      ShardScheduler scheduler) {
    this.context = context;
    this.owner = owner;
    this.placements = placements;
    this.entries = entries;
    this.sessions = sessions;
    this.evidence = evidence;
    this.scheduler = scheduler;
  }

  /** Gives back all that should not wait here any longer. */
  void giveBack(MonotonicTime now) {
    giveBackGangs(now);
    giveBackLongWaiting(now);
    giveBackSurplus(now);
    giveBackToIdle(now);
  }

  /**
   * Gives back what a block that has lost machines cannot start soon. The leader gives a block no
   * more than it can start soon, but what was on machines that are gone waits here all at once, and
   * others may have room: without this a replica whose machine had vanished with half of its block
   * waited for 90 s.
   */
  private void giveBackSurplus(MonotonicTime now) {
    if (entries.isEmpty() || (surplusAt != null && now.isBefore(surplusAt)) || !leaderCanAct(now)) {
      return;
    }
    surplusAt = now.plus(SURPLUS_EVERY);
    owner.wakeBy(surplusAt);
    Resources standing = Resources.NONE;
    for (AgentSession session : sessions.values()) {
      for (Placement placement :
          session.wasOpen() ? placements.seenOn(session.machine().id()) : List.<Placement>of()) {
        boolean stays = placement.job().kind() == JobKind.SERVICE && placement.isBound();
        standing = stays ? standing.plus(placement.job().taskResources()) : standing;
      }
    }
    for (QueueEntry entry : scheduler.surplus(QUEUE_AHEAD, standing)) {
      Placement placement = placements.get(entry.tasks().get(0));
      if (now.since(placement.since()).isLongerThan(SURPLUS_PATIENCE)) {
        owner.dequeue(placement.task());
        placement.release(now);
        context.newsForLeader();
      }
    }
  }

  /**
   * Gives back what has waited here for a while though another block has room: what is queued ahead
   * of its time stands behind what runs here, which may go on for long after others have run out of
   * work. Guards against docs/incidents/idle-room.md: nothing waits for {@link #LONG_WAIT} and
   * twice its estimate while machines that could run it are idle, or are even returned.
   */
  private void giveBackToIdle(MonotonicTime now) {
    if (entries.isEmpty()
        || (elsewhereAt != null && now.isBefore(elsewhereAt))
        || !leaderCanAct(now)) {
      return;
    }
    elsewhereAt = now.plus(ELSEWHERE_EVERY);
    owner.wakeBy(elsewhereAt);
    Map<JobId, Boolean> asked = new HashMap<>();
    for (QueueEntry entry : List.copyOf(entries.values())) {
      Placement placement = placements.get(entry.tasks().get(0));
      if (entry.job().kind() != JobKind.GANG
          && now.since(placement.since()).isLongerThan(ELSEWHERE_PATIENCE)
          && asked.computeIfAbsent(
              entry.job().id(), id -> context.hasRoomElsewhere(entry.job(), owner.id()))) {
        owner.dequeue(placement.task());
        placement.release(now);
        context.newsForLeader();
      }
    }
  }

  /**
   * Cut off from the records, a block had better keep what it has: nobody else will start it
   * either.
   */
  private boolean leaderCanAct(MonotonicTime now) {
    return context.confirmed() != null
        && !now.since(context.confirmed()).isLongerThan(CONFIRMED_LATELY);
  }

  /**
   * A gang that has waited long may wait for ever: services that stay for hours can be all over the
   * machines that it needs. The leader may know a better block by now.
   */
  private void giveBackGangs(MonotonicTime now) {
    Set<QueueEntry> gangs = new LinkedHashSet<>();
    for (QueueEntry entry : entries.values()) {
      if (entry.job().kind() == JobKind.GANG) {
        gangs.add(entry);
      }
    }
    for (QueueEntry entry : gangs) {
      Placement first = placements.get(entry.tasks().get(0));
      MonotonicTime patient = first.since().plus(GANG_PATIENCE);
      if (now.isBefore(patient)) {
        owner.wakeBy(patient);
        continue;
      }
      owner.dequeue(first.task());
      entry.tasks().forEach(task -> placements.get(task).release(now));
      context.newsForLeader();
    }
  }

  /**
   * What has waited here for long may wait for ever as well: behind services that stay for hours,
   * or for machines of which none takes work any more. In the pool it may go where there is room.
   */
  private void giveBackLongWaiting(MonotonicTime now) {
    if (sessions.values().stream().anyMatch(owner::isOpen)) {
      noneOpenSince = null;
    } else if (noneOpenSince == null) {
      noneOpenSince = now;
    }
    if (noneOpenSince == null && lookAt != null && now.isBefore(lookAt)) {
      owner.wakeBy(lookAt);
      return; // what has come since waits longer than what was here
    }
    lookAt = now.plus(URGENT_WAIT);
    for (Placement placement : placements.in(Placement.State.WAITING)) {
      Job job = placement.job();
      MonotonicTime patient =
          placement
              .since()
              .plus(
                  job.priority() == Priority.PRODUCTION && leaderCanAct(now)
                      ? URGENT_WAIT
                      : LONG_WAIT.plus(job.estimate().times(2)));
      if (noneOpenSince != null && noneOpenSince.plus(NONE_OPEN_PATIENCE).isBefore(patient)) {
        patient = noneOpenSince.plus(NONE_OPEN_PATIENCE);
      }
      if (job.kind() == JobKind.GANG && noneOpenSince == null) {
        continue; // goes back as one, and sooner
      }
      if (now.isBefore(patient)) {
        lookAt = patient.isBefore(lookAt) ? patient : lookAt;
        owner.wakeBy(patient);
        continue;
      }
      owner.dequeue(placement.task());
      placement.release(now);
      context.newsForLeader();
    }
  }

  /** Whether a job has failed on every machine that takes work here. */
  private boolean hasFailedEverywhere(Job job) {
    Set<MachineId> failedOn = evidence.failedOn(job.id());
    return !failedOn.isEmpty()
        && sessions.values().stream()
            .allMatch(
                session -> failedOn.contains(session.machine().id()) || !owner.isOpen(session));
  }

  /**
   * Whether a task that waits is not to enter a queue now: its job has failed here and run nowhere.
   * Where it has failed on enough machines, or on all, the block declines it, and all of it that
   * waits goes back; until then one task at a time is tried, on machines where it has not failed.
   * One machine that fails what it is given looks from here like a job that fails wherever it is
   * tried: other blocks tell them apart, and a task that only this block may have would be tried
   * here for ever.
   */
  boolean keepsBack(Placement placement) {
    Job job = placement.job();
    MonotonicTime now = context.now();
    if (!evidence.isDoubtful(job.id())) {
      return false;
    }
    if (!evidence.isDeclined(job.id(), now)
        && placement.failures() > 0
        && (evidence.isBad(job.id()) || hasFailedEverywhere(job))) {
      LOG.info(
          "block {}: {} has failed on {} machines here and run on none",
          owner.id(),
          job.id(),
          evidence.failedOn(job.id()).size());
      evidence.decline(job.id(), now);
      owner.reporter().headerChanged();
    }
    if (evidence.isDeclined(job.id(), now)) {
      owner.dequeue(placement.task());
      placement.release(now);
      context.newsForLeader();
      return true;
    }
    if (job.kind() != JobKind.GANG && owner.hasAnotherUnderWay(placement)) {
      owner.wakeBy(now.plus(TRY_AGAIN));
      return true;
    }
    return false;
  }
}
