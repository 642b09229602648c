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
  private static final TaskSet NONE = new TaskSet();

  /**
   * Records named by claims, the number of different records on hold that overlap them, and the
   * claims.
   */
  private static final class Claimed {
    private final Records records;
    private final Set<Entry> entries = new HashSet<>();
    private int covers;

    private Claimed(Records records) {
      this.records = records;
    }
  }

  /** Tasks of a job that access the same records; blocked while any of these are on hold. */
  private static final class Entry {
    private final Tracked job;

    /** First and last task of each run of consecutive tasks. */
    private final int[] runs;

    private final List<Claimed> records;
    private int covered;

    private Entry(Tracked job, int[] runs, List<Claimed> records) {
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
  private static final class Tracked {
    private final JobId id;
    private final Map<String, List<Claim>> pages = new TreeMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final TaskSet claimed = new TaskSet();
    private TaskSet withheld = new TaskSet();

    /** Whether some task is in more than one entry. */
    private boolean mixed;

    /** The tasks without claims, if the job's class is a sweep class. */
    private Entry rest;

    private Job job;

    private Tracked(JobId id) {
      this.id = id;
    }
  }

  private final RecordIndex<Claimed> claimed = new RecordIndex<>();
  private final RecordIndex<Set<String>> held = new RecordIndex<>();
  private final Map<String, List<Records>> holds = new HashMap<>();
  private final Map<JobId, Tracked> jobs = new HashMap<>();
  private final Map<String, List<Records>> lanes = new HashMap<>();
  private final Map<String, Set<JobId>> sweeps = new HashMap<>();
  private int entries;
  private long work;

  // ---- holds ----

  /** Puts a hold into effect. Returns the jobs whose blocked tasks change. */
  public Set<JobId> opened(String reference, Collection<Records> records) {
    Set<JobId> changed = closed(reference);
    List<Records> distinct = List.copyOf(new LinkedHashSet<>(records));
    holds.put(reference, distinct);
    for (Records each : distinct) {
      Set<String> under = held.get(each);
      if (under == null) {
        under = new TreeSet<>();
        held.put(each, under);
        cover(each, 1, changed);
      }
      under.add(reference);
    }
    return changed;
  }

  /** Ends a hold. Returns the jobs whose blocked tasks change. */
  public Set<JobId> closed(String reference) {
    Set<JobId> changed = new LinkedHashSet<>();
    for (Records each : holds.getOrDefault(reference, List.of())) {
      Set<String> under = held.get(each);
      under.remove(reference);
      if (under.isEmpty()) {
        held.remove(each);
        cover(each, -1, changed);
      }
    }
    holds.remove(reference);
    return changed;
  }

  private void cover(Records records, int by, Set<JobId> changed) {
    for (Claimed each : claimed.overlapping(records)) {
      work++;
      boolean before = each.covers > 0;
      each.covers += by;
      if (before == each.covers > 0) {
        continue;
      }
      for (Entry entry : each.entries) {
        work++;
        entry.covered += by;
        if (entry.covered == (by > 0 ? 1 : 0)) {
          turn(entry);
          changed.add(entry.job.id);
        }
      }
    }
  }

  /** Updates the blocked tasks of a job after an entry became blocked or unblocked. */
  private void turn(Entry entry) {
    Tracked job = entry.job;
    if (entry.covered > 0) {
      work += entry.addTo(job.withheld);
    } else if (job.mixed) {
      sum(job);
    } else {
      for (int i = 0; i < entry.runs.length; i += 2) {
        for (int task = entry.runs[i]; task <= entry.runs[i + 1]; task++, work++) {
          job.withheld.remove(task);
        }
      }
    }
  }

  private void sum(Tracked job) {
    job.withheld = new TaskSet();
    for (Entry entry : job.entries) {
      work++;
      work += entry.covered > 0 ? entry.addTo(job.withheld) : 0;
    }
  }

  // ---- claims and sweep classes ----

  /**
   * Records a page of a job's claims, or removes it if {@code claims} is empty. Returns the jobs
   * concerned.
   */
  public Set<JobId> claims(JobId id, String page, List<Claim> claims) {
    Tracked job = jobs.computeIfAbsent(id, Tracked::new);
    List<Claim> before = claims.isEmpty() ? job.pages.remove(page) : job.pages.put(page, claims);
    if (claims.equals(before == null ? List.of() : before)) {
      return Set.of();
    }
    if (before != null) {
      job.entries.forEach(this::drop);
      job.entries.clear();
      job.rest = null;
      job.claimed.removeAll(job.claimed.copy());
      job.mixed = false;
      job.pages.values().forEach(each -> take(job, each));
    } else {
      take(job, claims);
    }
    return rest(job);
  }

  private void take(Tracked job, List<Claim> page) {
    for (Claim claim : page) {
      job.mixed |= claim.tasks().intersectionSize(job.claimed) > 0;
      job.claimed.addAll(claim.tasks());
      add(job, claim);
    }
  }

  /**
   * Sets the records that jobs of a class may access as sweeps; empty if it is not a sweep class.
   * Returns the jobs concerned.
   */
  public Set<JobId> lane(String lane, List<Records> series) {
    List<Records> before =
        series.isEmpty() ? lanes.remove(lane) : lanes.put(lane, List.copyOf(series));
    Set<JobId> changed = new LinkedHashSet<>();
    if (!series.equals(before == null ? List.of() : before)) {
      for (JobId job : Set.copyOf(sweeps.getOrDefault(lane, Set.of()))) {
        changed.addAll(rest(jobs.get(job)));
      }
    }
    return changed;
  }

  /** Updates the entry of the tasks without claims, and the blocked tasks of the job. */
  private Set<JobId> rest(Tracked job) {
    if (job.rest != null) {
      drop(job.rest);
      job.entries.remove(job.rest);
      job.rest = null;
    }
    if (job.job != null) {
      // Without claims the accessed records are unknown, so a sweep's task may access all series of
      // its class.
      TaskSet rest = TaskSet.range(job.job.taskCount());
      rest.removeAll(job.claimed);
      List<Records> series = lanes.getOrDefault(job.job.jobClass(), List.of());
      if (!rest.isEmpty() && !series.isEmpty()) {
        job.rest = add(job, new Claim(rest, series));
      }
    }
    sum(job);
    return Set.of(job.id);
  }

  private void drop(Entry entry) {
    entries--;
    for (Claimed each : entry.records) {
      each.entries.remove(entry);
      if (each.entries.isEmpty()) {
        claimed.remove(each.records);
      }
    }
  }

  private Entry add(Tracked job, Claim claim) {
    List<Claimed> records = new ArrayList<>();
    Entry entry = new Entry(job, runs(claim.tasks()), records);
    for (Records each : broadened(claim.records())) {
      Claimed known = claimed.get(each);
      if (known == null) {
        known = new Claimed(each);
        known.covers = held.count(each);
        work++;
        claimed.put(each, known);
      }
      known.entries.add(entry);
      records.add(known);
      entry.covered += known.covers > 0 ? 1 : 0;
    }
    job.entries.add(entry);
    entries++;
    return entry;
  }

  /** A key may belong to any period on hold, and a period may contain any key. */
  private static Set<Records> broadened(List<Records> records) {
    Set<Records> all = new LinkedHashSet<>(records);
    for (Records each : records) {
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
  public TaskSet of(Job job) {
    if (jobs.isEmpty() && lanes.isEmpty()) {
      return NONE;
    }
    Tracked known = jobs.get(job.id());
    if (known == null && !lanes.containsKey(job.jobClass())) {
      // Its class may become a sweep class later; the job is tracked when it is queried again.
      return NONE;
    }
    if (known == null || known.job == null) {
      known = jobs.computeIfAbsent(job.id(), Tracked::new);
      known.job = job;
      sweeps.computeIfAbsent(job.jobClass(), lane -> new LinkedHashSet<>()).add(job.id());
      rest(known);
    }
    return known.withheld;
  }

  /** Stops tracking a job that has ended; its claims stay as long as they are recorded. */
  public void over(JobId id) {
    Tracked known = jobs.get(id);
    if (known != null && known.job != null) {
      Set<JobId> lane = sweeps.get(known.job.jobClass());
      lane.remove(id);
      if (lane.isEmpty()) {
        sweeps.remove(known.job.jobClass());
      }
      known.job = null;
      rest(known);
      if (known.pages.isEmpty()) {
        jobs.remove(id);
      }
    }
  }

  /** Returns the references of the holds that block tasks of a job, sorted. */
  public Set<String> holding(JobId id) {
    Set<String> references = new TreeSet<>();
    Tracked known = jobs.get(id);
    if (known != null) {
      for (Entry entry : known.entries) {
        if (entry.covered > 0) {
          entry.records.forEach(each -> held.overlapping(each.records).forEach(references::addAll));
        }
      }
    }
    return references;
  }

  /** Returns the tasks, by job, that may access some of these records. */
  public Map<JobId, TaskSet> touching(Collection<Records> records) {
    Map<JobId, TaskSet> touching = new LinkedHashMap<>();
    for (Records each : records) {
      for (Claimed claims : claimed.overlapping(each)) {
        claims.entries.forEach(
            entry -> entry.addTo(touching.computeIfAbsent(entry.job.id, id -> new TaskSet())));
      }
    }
    return touching;
  }

  /** Whether a hold on exactly these records is in effect. */
  public boolean isInForce(String reference, Collection<Records> records) {
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
  long work() {
    return work;
  }
}
