package org.quincecross.legalhold;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskSet;

/**
 * The tasks that holds in effect block. Updated as holds, claims and sweep classes change. The cost
 * of an update is proportional to the claims on the records concerned and to the tasks that become
 * blocked or unblocked; memory is proportional to the recorded claims.
 */
public final class LegalHoldIndex {
  private static final TaskSet NO_TASKS = new TaskSet();

  /**
   * Records named by claims, the number of different records on hold that overlap them, and the
   * claims.
   */
  private static final class ClaimedRecords {
    private final RecordSelector records;
    private final Set<TaskEntry> entries = new HashSet<>();
    private int overlappingHolds;

    private ClaimedRecords(RecordSelector records) {
      this.records = records;
    }
  }

  /** Tasks of a job that access the same records; blocked while any of these are on hold. */
  private static final class TaskEntry {
    private final TrackedJob job;

    /** First and last task of each run of consecutive tasks. */
    private final int[] runs;

    private final List<ClaimedRecords> records;
    private int recordsOnHold;

    private TaskEntry(TrackedJob job, int[] runs, List<ClaimedRecords> records) {
      this.job = job;
      this.runs = runs;
      this.records = records;
    }

    private int addTo(TaskSet set) {
      int tasks = 0;
      for (int i = 0; i < runs.length; i += 2) {
        for (int task = runs[i]; task <= runs[i + 1]; task++, tasks++) {
          set.add(task);
        }
      }
      return tasks;
    }
  }

  /** A job that has claims, or that was queried while its class is a sweep class. */
  private static final class TrackedJob {
    private final JobId id;
    private final Map<String, List<RecordClaim>> pages = new TreeMap<>();
    private final List<TaskEntry> entries = new ArrayList<>();
    private final TaskSet claimed = new TaskSet();
    private TaskSet blocked = new TaskSet();

    /** Whether some task is in more than one entry. */
    private boolean hasOverlappingEntries;

    /** The tasks without claims, if the job's class is a sweep class. */
    private TaskEntry unclaimed;

    private Job job;

    private TrackedJob(JobId id) {
      this.id = id;
    }
  }

  private final RecordIndex<ClaimedRecords> claimed = new RecordIndex<>();
  private final RecordIndex<Set<String>> holdsByRecord = new RecordIndex<>();
  private final Map<String, List<RecordSelector>> holds = new HashMap<>();
  private final Map<JobId, TrackedJob> jobs = new HashMap<>();
  private final Map<String, List<RecordSelector>> sweepClasses = new HashMap<>();
  private final Map<String, Set<JobId>> sweepJobsByClass = new HashMap<>();
  private int entries;
  private long steps;

  // ---- holds ----

  /** Puts a hold into effect. Returns the jobs whose blocked tasks change. */
  public Set<JobId> open(String reference, Collection<RecordSelector> records) {
    Set<JobId> changed = close(reference);
    List<RecordSelector> distinct = List.copyOf(new LinkedHashSet<>(records));
    holds.put(reference, distinct);
    for (RecordSelector each : distinct) {
      Set<String> references = holdsByRecord.get(each);
      if (references == null) {
        references = new TreeSet<>();
        holdsByRecord.put(each, references);
        updateOverlaps(each, 1, changed);
      }
      references.add(reference);
    }
    return changed;
  }

  /** Ends a hold. Returns the jobs whose blocked tasks change. */
  public Set<JobId> close(String reference) {
    Set<JobId> changed = new LinkedHashSet<>();
    for (RecordSelector each : holds.getOrDefault(reference, List.of())) {
      Set<String> references = holdsByRecord.get(each);
      references.remove(reference);
      if (references.isEmpty()) {
        holdsByRecord.remove(each);
        updateOverlaps(each, -1, changed);
      }
    }
    holds.remove(reference);
    return changed;
  }

  private void updateOverlaps(RecordSelector records, int delta, Set<JobId> changed) {
    for (ClaimedRecords each : claimed.overlapping(records)) {
      steps++;
      boolean before = each.overlappingHolds > 0;
      each.overlappingHolds += delta;
      if (before == each.overlappingHolds > 0) {
        continue;
      }
      for (TaskEntry entry : each.entries) {
        steps++;
        entry.recordsOnHold += delta;
        if (entry.recordsOnHold == (delta > 0 ? 1 : 0)) {
          updateBlocked(entry);
          changed.add(entry.job.id);
        }
      }
    }
  }

  /** Updates the blocked tasks of a job after an entry became blocked or unblocked. */
  private void updateBlocked(TaskEntry entry) {
    TrackedJob job = entry.job;
    if (entry.recordsOnHold > 0) {
      steps += entry.addTo(job.blocked);
    } else if (job.hasOverlappingEntries) {
      recomputeBlocked(job);
    } else {
      for (int i = 0; i < entry.runs.length; i += 2) {
        for (int task = entry.runs[i]; task <= entry.runs[i + 1]; task++, steps++) {
          job.blocked.remove(task);
        }
      }
    }
  }

  private void recomputeBlocked(TrackedJob job) {
    job.blocked = new TaskSet();
    for (TaskEntry entry : job.entries) {
      steps++;
      steps += entry.recordsOnHold > 0 ? entry.addTo(job.blocked) : 0;
    }
  }

  // ---- claims and sweep classes ----

  /**
   * Records a page of a job's claims, or removes it if {@code claims} is empty. Returns the jobs
   * concerned.
   */
  public Set<JobId> setClaims(JobId id, String page, List<RecordClaim> claims) {
    TrackedJob job = jobs.computeIfAbsent(id, TrackedJob::new);
    List<RecordClaim> before =
        claims.isEmpty() ? job.pages.remove(page) : job.pages.put(page, claims);
    if (claims.equals(before == null ? List.of() : before)) {
      return Set.of();
    }
    if (before != null) {
      job.entries.forEach(this::removeEntry);
      job.entries.clear();
      job.unclaimed = null;
      job.claimed.removeAll(job.claimed.copy());
      job.hasOverlappingEntries = false;
      job.pages.values().forEach(each -> addClaims(job, each));
    } else {
      addClaims(job, claims);
    }
    return updateUnclaimed(job);
  }

  private void addClaims(TrackedJob job, List<RecordClaim> page) {
    for (RecordClaim claim : page) {
      job.hasOverlappingEntries |= claim.tasks().intersectionSize(job.claimed) > 0;
      job.claimed.addAll(claim.tasks());
      addEntry(job, claim);
    }
  }

  /**
   * Sets the records that jobs of a class may access as sweeps; empty if it is not a sweep class.
   * Returns the jobs concerned.
   */
  public Set<JobId> setSweepClass(String jobClass, List<RecordSelector> series) {
    List<RecordSelector> before =
        series.isEmpty()
            ? sweepClasses.remove(jobClass)
            : sweepClasses.put(jobClass, List.copyOf(series));
    Set<JobId> changed = new LinkedHashSet<>();
    if (!series.equals(before == null ? List.of() : before)) {
      for (JobId job : Set.copyOf(sweepJobsByClass.getOrDefault(jobClass, Set.of()))) {
        changed.addAll(updateUnclaimed(jobs.get(job)));
      }
    }
    return changed;
  }

  /** Updates the entry of the tasks without claims, and the blocked tasks of the job. */
  private Set<JobId> updateUnclaimed(TrackedJob job) {
    if (job.unclaimed != null) {
      removeEntry(job.unclaimed);
      job.entries.remove(job.unclaimed);
      job.unclaimed = null;
    }
    if (job.job != null) {
      // Without claims the accessed records are unknown, so a sweep's task may access all series of
      // its class.
      TaskSet unclaimed = TaskSet.range(job.job.taskCount());
      unclaimed.removeAll(job.claimed);
      List<RecordSelector> series = sweepClasses.getOrDefault(job.job.jobClass(), List.of());
      if (!unclaimed.isEmpty() && !series.isEmpty()) {
        job.unclaimed = addEntry(job, new RecordClaim(unclaimed, series));
      }
    }
    recomputeBlocked(job);
    return Set.of(job.id);
  }

  private void removeEntry(TaskEntry entry) {
    entries--;
    for (ClaimedRecords each : entry.records) {
      each.entries.remove(entry);
      if (each.entries.isEmpty()) {
        claimed.remove(each.records);
      }
    }
  }

  private TaskEntry addEntry(TrackedJob job, RecordClaim claim) {
    List<ClaimedRecords> records = new ArrayList<>();
    TaskEntry entry = new TaskEntry(job, runs(claim.tasks()), records);
    for (RecordSelector each : withWildcards(claim.records())) {
      ClaimedRecords known = claimed.get(each);
      if (known == null) {
        known = new ClaimedRecords(each);
        known.overlappingHolds = holdsByRecord.count(each);
        steps++;
        claimed.put(each, known);
      }
      known.entries.add(entry);
      records.add(known);
      entry.recordsOnHold += known.overlappingHolds > 0 ? 1 : 0;
    }
    job.entries.add(entry);
    entries++;
    return entry;
  }

  /** A key may belong to any period on hold, and a period may contain any key. */
  private static Set<RecordSelector> withWildcards(List<RecordSelector> records) {
    Set<RecordSelector> all = new LinkedHashSet<>(records);
    for (RecordSelector each : records) {
      if (each.isKey()) {
        all.add(RecordIndex.anyKey(each.series()));
      } else if (each.isPeriod()) {
        all.add(RecordIndex.anyPeriod(each.series()));
      }
    }
    return all;
  }

  private static int[] runs(TaskSet tasks) {
    List<Integer> runs = new ArrayList<>();
    for (int first = tasks.nextMember(0); first >= 0; ) {
      int last = first;
      while (tasks.contains(last + 1)) {
        last++;
      }
      runs.add(first);
      runs.add(last);
      first = tasks.nextMember(last + 1);
    }
    return runs.stream().mapToInt(Integer::intValue).toArray();
  }

  // ---- queries ----

  /** Returns the blocked tasks of a job; callers must not change the set. */
  public TaskSet blockedTasks(Job job) {
    if (jobs.isEmpty() && sweepClasses.isEmpty()) {
      return NO_TASKS;
    }
    TrackedJob known = jobs.get(job.id());
    if (known == null && !sweepClasses.containsKey(job.jobClass())) {
      // Its class may become a sweep class later; the job is tracked when it is queried again.
      return NO_TASKS;
    }
    if (known == null || known.job == null) {
      known = jobs.computeIfAbsent(job.id(), TrackedJob::new);
      known.job = job;
      sweepJobsByClass
          .computeIfAbsent(job.jobClass(), jobClass -> new LinkedHashSet<>())
          .add(job.id());
      updateUnclaimed(known);
    }
    return known.blocked;
  }

  /** Stops tracking a job that has ended; its claims stay as long as they are recorded. */
  public void jobEnded(JobId id) {
    TrackedJob known = jobs.get(id);
    if (known != null && known.job != null) {
      Set<JobId> jobsOfClass = sweepJobsByClass.get(known.job.jobClass());
      jobsOfClass.remove(id);
      if (jobsOfClass.isEmpty()) {
        sweepJobsByClass.remove(known.job.jobClass());
      }
      known.job = null;
      updateUnclaimed(known);
      if (known.pages.isEmpty()) {
        jobs.remove(id);
      }
    }
  }

  /** Returns the references of the holds that block tasks of a job, sorted. */
  public Set<String> holdsBlocking(JobId id) {
    Set<String> references = new TreeSet<>();
    TrackedJob known = jobs.get(id);
    if (known != null) {
      for (TaskEntry entry : known.entries) {
        if (entry.recordsOnHold > 0) {
          entry.records.forEach(
              each -> holdsByRecord.overlapping(each.records).forEach(references::addAll));
        }
      }
    }
    return references;
  }

  /** Returns the tasks, by job, that may access some of these records. */
  public Map<JobId, TaskSet> tasksAccessing(Collection<RecordSelector> records) {
    Map<JobId, TaskSet> tasksByJob = new LinkedHashMap<>();
    for (RecordSelector each : records) {
      for (ClaimedRecords claims : claimed.overlapping(each)) {
        claims.entries.forEach(
            entry -> entry.addTo(tasksByJob.computeIfAbsent(entry.job.id, id -> new TaskSet())));
      }
    }
    return tasksByJob;
  }

  /** Whether a hold on exactly these records is in effect. */
  public boolean isInEffect(String reference, Collection<RecordSelector> records) {
    return List.copyOf(new LinkedHashSet<>(records)).equals(holds.get(reference));
  }

  /** Returns the holds in effect. */
  public Set<String> references() {
    return Set.copyOf(holds.keySet());
  }

  /** Whether a job has claims, or was queried as a sweep. */
  public boolean isTracked(JobId id) {
    return jobs.containsKey(id);
  }

  /** Number of known entries, each of some tasks of a job. */
  public int size() {
    return entries;
  }

  /**
   * Number of steps so far, as a measure of cost: claims and holds visited, tasks blocked or
   * unblocked.
   */
  long steps() {
    return steps;
  }
}
