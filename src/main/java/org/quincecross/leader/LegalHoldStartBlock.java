package org.quincecross.leader;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quincecross.legalhold.ClaimKind;
import org.quincecross.legalhold.LegalHold;
import org.quincecross.legalhold.LegalHoldCommand;
import org.quincecross.legalhold.LegalHoldIndex;
import org.quincecross.legalhold.LegalHoldKind;
import org.quincecross.legalhold.RecordClaim;
import org.quincecross.legalhold.RecordSelector;
import org.quincecross.legalhold.SweepClassKind;
import org.quincecross.legalhold.TaskListing;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.protocol.Json;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.RecordId;
import org.quincecross.replicated.StartBlock;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ReplicatedRecordIndex;

/**
 * Blocks the tasks that legal holds, claims and sweep classes forbid, on every controller. A hold
 * with a start time takes effect here as soon as that time may have come by any clock, even before
 * it is stored, because the store may be unavailable then.
 */
public final class LegalHoldStartBlock implements StartBlock {
  private static final TimeSpan INTERVAL = TimeSpan.ofMillis(250);

  /**
   * The number of finished sweeps that are remembered, so that those that may have accessed held
   * records can be listed.
   */
  private static final int MAX_FINISHED_SWEEPS = 500;

  private static final TimeSpan LATELY = TimeSpan.ofSeconds(600);
  private static final int MAX_NAMED_REFERENCES = 5;
  private static final int MAX_REPORT_ROWS = 200;

  /** The tasks that had accessed a hold's records when this controller first saw it in effect. */
  record AccessingTasks(
      int opening,
      int scope,
      Revision revision,
      Map<JobId, TaskSet> running,
      Map<JobId, TaskSet> done) {}

  private record EndedSweep(
      JobId job, List<RecordSelector> series, TaskSet tasks, MonotonicTime at) {}

  private final ReplicatedFeatureContext base;
  private final ClusterStateCache cache;
  private final ReplicatedRecordIndex<LegalHold, LegalHoldCommand> holds;
  private final ReplicatedRecordIndex<List<RecordClaim>, List<RecordClaim>> claims;
  private final ReplicatedRecordIndex<List<RecordSelector>, List<RecordSelector>> sweeps;
  private final LegalHoldIndex index = new LegalHoldIndex();
  private final Map<String, Integer> future = new TreeMap<>();
  private final Map<String, AccessingTasks> accessingTasks = new HashMap<>();
  private final Map<String, AccessingTasks> newAccesses = new HashMap<>();
  private final Set<String> changedHolds = new LinkedHashSet<>();
  private final ArrayDeque<EndedSweep> finishedSweeps = new ArrayDeque<>();
  private final Map<JobId, Job> sweeping = new HashMap<>();
  private long latestMs;
  private MonotonicTime latestAt;

  /**
   * Creates the block and follows the records from now on. It has to be created before the first
   * record is read and before its users follow the records.
   */
  public LegalHoldStartBlock(ReplicatedFeatureContext base) {
    this.base = base;
    this.cache = base.cache();
    holds = cache.replicatedRecords().add(new LegalHoldKind());
    claims = cache.replicatedRecords().add(new ClaimKind());
    sweeps = cache.replicatedRecords().add(new SweepClassKind());
    base.startBlock().add(this);
    cache.addListener(this::changed);
    base.timers().every(INTERVAL, this::applyDueHolds);
  }

  /**
   * The present time; a clock that is set back does not release tasks that were blocked already.
   */
  CommandOrigin now() {
    MonotonicTime now = base.timers().now();
    long ran = latestAt == null ? 0 : latestMs + now.since(latestAt).millis();
    latestMs = Math.max(ran, base.clockMs().getAsLong());
    latestAt = now;
    return new CommandOrigin(latestMs, base.settings().clockBound().millis(), "");
  }

  ReplicatedRecordIndex<LegalHold, LegalHoldCommand> holds() {
    return holds;
  }

  LegalHoldIndex index() {
    return index;
  }

  private void changed(ClusterStateCache.Changes changes) {
    if (changes.replicatedRecords().isEmpty()
        && sweeps.all().isEmpty()
        && claims.all().isEmpty()
        && holds.all().isEmpty()
        && !changes.reloaded()) {
      return;
    }
    Set<JobId> concerned = new LinkedHashSet<>();
    if (changes.reloaded()) {
      reload(concerned);
    }
    Set<String> lanes = new HashSet<>();
    for (RecordId record : changes.replicatedRecords()) {
      switch (record.kind()) {
        case LegalHoldKind.NAME -> {}
        case ClaimKind.NAME -> claim(record.id(), concerned);
        case SweepClassKind.NAME -> {
          concerned.addAll(index.setSweepClass(record.id(), sweeps.state(record.id())));
          lanes.add(record.id());
        }
        default -> {}
      }
    }
    if (!lanes.isEmpty()) {
      // The class was not a sweep class before, so its jobs were not tracked.
      cache.jobs().forEach(id -> follow(cache.job(id), lanes, concerned));
    }
    (changes.reloaded() ? cache.jobs() : changes.jobs()).forEach(id -> job(id, concerned));
    for (RecordId record : changes.replicatedRecords()) {
      if (record.kind().equals(LegalHoldKind.NAME)) {
        hold(record.id(), concerned);
      }
    }
    if (changes.replicatedRecords().stream()
        .anyMatch(record -> !record.kind().equals(LegalHoldKind.NAME))) {
      recordNewAccesses(concerned);
    }
    notifyBlocked(concerned);
  }

  /**
   * Records tasks that access pinned records because of newly recorded claims or sweep classes,
   * before they are stopped.
   */
  private void recordNewAccesses(Set<JobId> concerned) {
    Set<String> references = new TreeSet<>();
    concerned.forEach(id -> references.addAll(index.holdsBlocking(id)));
    for (String reference : references) {
      LegalHold hold = holds.state(reference);
      Map<JobId, TaskSet> out =
          hold.state() == LegalHold.State.PINNED ? findAccessingTasks(hold).running() : Map.of();
      if (!out.isEmpty()) {
        newAccesses.put(
            reference,
            new AccessingTasks(hold.opening(), hold.scope(), cache.revision(), out, Map.of()));
      }
    }
  }

  private void reload(Set<JobId> concerned) {
    sweeps
        .all()
        .forEach((lane, record) -> concerned.addAll(index.setSweepClass(lane, record.state())));
    claims.all().keySet().forEach(page -> claim(page, concerned));
    Set<String> missingHolds = new HashSet<>(index.references());
    missingHolds.removeAll(holds.all().keySet());
    missingHolds.forEach(reference -> hold(reference, concerned));
    Set.copyOf(sweeping.keySet()).forEach(id -> job(id, concerned));
    cache.jobs().forEach(id -> job(id, concerned));
    holds.all().keySet().forEach(reference -> hold(reference, concerned));
  }

  private void notifyBlocked(Set<JobId> concerned) {
    concerned.forEach(id -> changedHolds.addAll(index.holdsBlocking(id)));
    base.startBlock().changed(concerned);
  }

  private void claim(String page, Set<JobId> concerned) {
    JobId job = ClaimKind.job(page);
    if (job != null) {
      concerned.addAll(index.setClaims(job, page, claims.state(page)));
    }
  }

  private void follow(JobRecord record, Set<String> lanes, Set<JobId> concerned) {
    if (record != null && record.job() != null && lanes.contains(record.job().jobClass())) {
      job(record.id(), concerned);
    }
  }

  private void job(JobId id, Set<JobId> concerned) {
    JobRecord record = cache.job(id);
    if (record != null && record.job() != null) {
      boolean before = sweeping.containsKey(id);
      TaskSet withheld = index.blockedTasks(record.job());
      if (index.isTracked(id)) {
        sweeping.put(id, record.job());
        if (!before && !withheld.isEmpty()) {
          concerned.add(id);
        }
      }
      return;
    }
    Job endedJob = sweeping.remove(id);
    if (endedJob != null) {
      List<RecordSelector> series = sweeps.state(endedJob.jobClass());
      finishedSweeps.add(
          new EndedSweep(id, series, TaskSet.range(endedJob.taskCount()), base.timers().now()));
      while (finishedSweeps.size() > MAX_FINISHED_SWEEPS) {
        finishedSweeps.poll();
      }
      changedHolds.addAll(index.holdsBlocking(id));
      index.jobEnded(id);
    }
  }

  private void hold(String reference, Set<JobId> concerned) {
    LegalHold hold = holds.state(reference);
    boolean due = hold.isDue(now());
    newAccesses.computeIfPresent(
        reference,
        (name, found) ->
            hold.state() == LegalHold.State.PINNED
                    && hold.opening() == found.opening()
                    && hold.scope() == found.scope()
                ? found
                : null);
    if (hold.isOpen() && !hold.isInEffect() && !due) {
      future.put(reference, hold.opening());
    } else {
      future.remove(reference);
    }
    if (hold.isInEffect() || due) {
      AccessingTasks before = accessingTasks.get(reference);
      if (hold.state() == LegalHold.State.PINNED) {
        accessingTasks.remove(reference); // already in the audit trail
      } else if (before == null
          || before.opening() != hold.opening()
          || before.scope() != hold.scope()) {
        accessingTasks.put(reference, findAccessingTasks(hold));
      }
      if (!index.isInEffect(reference, hold.records())) {
        concerned.addAll(index.open(reference, hold.records()));
      }
    } else {
      accessingTasks.remove(reference);
      concerned.addAll(index.close(reference));
    }
    changedHolds.add(reference);
  }

  /**
   * The tasks that run or have run and access a hold's records, determined before any of them is
   * stopped.
   */
  private AccessingTasks findAccessingTasks(LegalHold hold) {
    Map<JobId, TaskSet> out = new TreeMap<>();
    Map<JobId, TaskSet> done = new TreeMap<>();
    index
        .tasksAccessing(hold.records())
        .forEach(
            (job, tasks) -> {
              JobRecord record = cache.job(job);
              if (record == null || record.job() == null) {
                if (record != null) {
                  done.put(job, tasks); // the job is done
                }
                return;
              }
              TaskSet completed = common(tasks, cache.completedTasks(job));
              if (!completed.isEmpty()) {
                done.put(job, completed);
              }
              TaskSet running = new TaskSet();
              cache
                  .shardsOf(job)
                  .forEach(
                      shard ->
                          running.addAll(
                              common(
                                  tasks,
                                  cache
                                      .allocation(shard)
                                      .tasks()
                                      .getOrDefault(job, new TaskSet()))));
              running.removeAll(completed);
              if (!running.isEmpty()) {
                out.put(job, running);
              }
            });
    MonotonicTime now = base.timers().now();
    for (EndedSweep each : finishedSweeps) {
      if (!now.since(each.at()).isLongerThan(LATELY)
          && !done.containsKey(each.job())
          && !index.isTracked(each.job())
          && each.series().stream()
              .anyMatch(series -> hold.records().stream().anyMatch(series::overlaps))) {
        done.put(each.job(), each.tasks());
      }
    }
    return new AccessingTasks(hold.opening(), hold.scope(), cache.revision(), out, done);
  }

  static TaskSet common(TaskSet one, TaskSet other) {
    TaskSet common = new TaskSet();
    for (int i = one.nextMember(0); i >= 0; i = one.nextMember(i + 1)) {
      if (other.contains(i)) {
        common.add(i);
      }
    }
    return common;
  }

  /** Checks whether the start time of a hold has come. */
  private void applyDueHolds() {
    if (!future.isEmpty()) {
      CommandOrigin at = now();
      Set<JobId> concerned = new LinkedHashSet<>();
      List.copyOf(future.keySet())
          .forEach(
              reference -> {
                if (holds.state(reference).isDue(at)) {
                  hold(reference, concerned);
                }
              });
      notifyBlocked(concerned);
    }
  }

  /** The holds that have changed since the last call. */
  Collection<String> takeChangedHolds() {
    Set<String> changes = new LinkedHashSet<>(changedHolds);
    changedHolds.clear();
    return changes;
  }

  /**
   * The tasks that had accessed a hold's records when it took effect, as seen by this controller.
   */
  AccessingTasks accessingTasks(String reference) {
    return accessingTasks.get(reference);
  }

  /**
   * The running tasks that access the records of a pinned hold because of later claims or sweep
   * classes; empty if there are none.
   */
  Map<JobId, TaskSet> newAccesses(String reference) {
    AccessingTasks found = newAccesses.get(reference);
    return found == null ? Map.of() : found.running();
  }

  /** The tasks of unfinished jobs that access a hold's records. */
  Map<JobId, TaskSet> touching(LegalHold hold) {
    Map<JobId, TaskSet> all = index.tasksAccessing(hold.records());
    all.keySet().removeIf(id -> cache.job(id) == null || cache.job(id).job() == null);
    return all;
  }

  /** Those of the given tasks that are still to be run. */
  Map<JobId, TaskSet> keptBack(Map<JobId, TaskSet> touching) {
    Map<JobId, TaskSet> kept = new TreeMap<>();
    touching.forEach(
        (id, tasks) -> {
          JobRecord record = cache.job(id);
          if (record != null && record.phase() == JobPhase.OPEN) {
            TaskSet rest = tasks.copy();
            rest.removeAll(cache.completedTasks(id));
            if (!rest.isEmpty()) {
              kept.put(id, rest);
            }
          }
        });
    return kept;
  }

  /**
   * Returns for operators the tasks blocked by each hold in effect, ordered by reference, starting
   * after {@code after}.
   */
  public Map<String, Object> kept(String after) {
    List<Object> rows = new ArrayList<>();
    String last = null;
    for (String reference : new TreeSet<>(index.references())) {
      if (after != null && reference.compareTo(after) <= 0) {
        continue;
      }
      if (rows.size() >= MAX_REPORT_ROWS) {
        return Json.object("kind", "kept", "rows", rows, "next_after", last);
      }
      Map<JobId, TaskSet> kept = keptBack(touching(holds.state(reference)));
      List<String> parts = TaskListing.parts(kept);
      rows.add(
          Json.object(
              "reference",
              reference,
              "state",
              holds.state(reference).state().name(),
              "jobs",
              kept.size(),
              "tasks",
              kept.values().stream().mapToInt(TaskSet::size).sum(),
              "keeps_back",
              parts.isEmpty() ? "" : parts.get(0),
              "listed_in_part",
              parts.size() > 1));
      last = reference;
    }
    return Json.object("kind", "kept", "rows", rows);
  }

  @Override
  public TaskSet blockedTasks(Job job) {
    return index.blockedTasks(job);
  }

  @Override
  public String reason(JobId job) {
    Set<String> references = index.holdsBlocking(job);
    if (references.isEmpty()) {
      return null;
    }
    List<String> named = references.stream().limit(MAX_NAMED_REFERENCES).toList();
    return "kept back by hold "
        + String.join(", ", named)
        + (references.size() > named.size()
            ? " and " + (references.size() - named.size()) + " more"
            : "");
  }
}
