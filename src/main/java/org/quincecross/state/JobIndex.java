package org.quincecross.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.quincecross.dependency.DependencyGraph;
import org.quincecross.dependency.UrgencyPropagation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Revision;
import org.quincecross.protocol.MalformedMessageException;

/**
 * The jobs of the {@link ClusterStateCache}: what their records say, and what follows for each from
 * the records of those that it waits on.
 */
final class JobIndex {
  /**
   * From the end of a job until the tasks of the next have been told to start: two changes and a
   * report.
   */
  private static final long HAND_OVER_MS = 3_000;

  /** How long an image takes to be fetched, about. */
  private static final double FETCH_MS_PER_GB = 1_000;

  private final Map<JobId, JobRecord> jobs = new HashMap<>();

  /** Jobs whose own records are open, and that are cancelled because one before them is. */
  private final Map<JobId, JobRecord> cancelledWith = new HashMap<>();

  /** Open jobs that are as urgent as those that need them. */
  private final Map<JobId, JobRecord> urgent = new HashMap<>();

  private final TreeSet<JobRecord> open =
      new TreeSet<>(Comparator.comparing(JobRecord::version).thenComparing(JobRecord::id));
  private final Map<String, List<JobId>> bundles = new HashMap<>();
  private final Map<String, Set<JobId>> parts = new HashMap<>();

  /**
   * By the name of a part that is not there yet: a reading of the records may bring a job before
   * what it waits on.
   */
  private final Map<String, Set<JobId>> lacking = new HashMap<>();

  private final DependencyGraph pipelines = new DependencyGraph(this::own);
  private final UrgencyPropagation urgencies = new UrgencyPropagation(this::asks, pipelines);
  private final Predicate<JobId> hasOwnRecord;
  private final Consumer<JobId> touched;

  /**
   * @param hasOwnRecord whether there is a record of a job alone
   * @param touched told of each job of which something has changed
   */
  JobIndex(Predicate<JobId> hasOwnRecord, Consumer<JobId> touched) {
    this.hasOwnRecord = hasOwnRecord;
    this.touched = touched;
  }

  private DependencyGraph.Own own(JobId id) {
    JobRecord record = jobs.get(id);
    return record == null
        ? null
        : new DependencyGraph.Own(record.phase(), record.version(), record.cancelledMs());
  }

  /**
   * A job as it stands; one that is cancelled with another has the version from which on it is.
   * Null where there is no such job.
   */
  JobRecord job(JobId id) {
    JobRecord derived = cancelledWith.isEmpty() ? null : cancelledWith.get(id);
    derived = derived == null && !urgent.isEmpty() ? urgent.get(id) : derived;
    return derived == null ? jobs.get(id) : derived;
  }

  /** A job as its own record says, whatever follows from others. */
  JobRecord asRecorded(JobId id) {
    return jobs.get(id);
  }

  private UrgencyPropagation.Own asks(JobId id) {
    JobRecord record = jobs.get(id);
    if (record == null || record.phase() != JobPhase.OPEN || pipelines.cancelled(id) != null) {
      return null;
    }
    Job job = record.job();
    return new UrgencyPropagation.Own(
        job.priority(),
        job.deadline() == null
            ? UrgencyPropagation.NEVER
            : record.acceptedMs() + job.deadline().millis(),
        HAND_OVER_MS + job.estimate().millis() + (long) (job.imageGb() * FETCH_MS_PER_GB));
  }

  Set<JobId> ids() {
    return jobs.keySet();
  }

  /** The open jobs, first accepted first. */
  Iterable<JobRecord> open() {
    return open;
  }

  DependencyGraph pipelines() {
    return pipelines;
  }

  /**
   * The time of day from which on a job could run, that it was accepted at, or the last of those
   * that it waits on was done.
   */
  long readyMs(JobRecord record) {
    long ready = record.acceptedMs();
    for (JobId before : record.job().dependencies()) {
      JobRecord its = jobs.get(before);
      ready = its == null ? ready : Math.max(ready, its.endedMs());
    }
    return ready;
  }

  void put(JobId id, Object value, Revision version) throws MalformedMessageException {
    put(JobRecord.read(id, value, version));
  }

  /**
   * Jobs accepted together. A job may have been accepted twice, by two controllers that did not
   * know of each other: then the first counts, and a record of its own before any bundle.
   */
  void putBundle(String key, Object value, Revision version) throws MalformedMessageException {
    if (value == null) {
      bundles.remove(
          key); // the leader deletes a bundle once each of its jobs has a record of its own
      return;
    }
    List<JobRecord> records = JobRecord.readBundle(value, version);
    bundles.put(key, records.stream().map(JobRecord::id).toList());
    for (JobRecord record : records) {
      JobRecord known = jobs.get(record.id());
      if (known == null || (!hasOwnRecord.test(record.id()) && known.version().isAfter(version))) {
        put(record);
      }
    }
  }

  /** A part of what jobs wait on; such records are never deleted and never change. */
  void putPart(String name, Object value) throws MalformedMessageException {
    if (value == null) {
      return;
    }
    parts.put(name, JobDependencies.readPart(value));
    Set<JobId> complete = lacking.remove(name);
    if (complete != null) {
      complete.stream().sorted().forEach(id -> put(jobs.get(id)));
    }
  }

  boolean hasPart(String name) {
    return parts.containsKey(name);
  }

  /** The bundles of accepted jobs of which every job has a record of its own by now. */
  List<String> spentBundles() {
    List<String> spent = new ArrayList<>();
    bundles.forEach(
        (key, ids) -> {
          if (ids.stream().allMatch(hasOwnRecord)) {
            spent.add(key);
          }
        });
    return spent;
  }

  private void put(JobRecord record) {
    JobId id = record.id();
    boolean complete = true;
    if (record.phase() == JobPhase.OPEN && !record.parts().isEmpty()) {
      Set<JobId> waitsOn = new HashSet<>();
      for (String part : record.parts()) {
        if (parts.containsKey(part)) {
          waitsOn.addAll(parts.get(part));
        } else {
          complete = false;
          lacking.computeIfAbsent(part, name -> new HashSet<>()).add(id);
        }
      }
      record = record.waitingOn(Collections.unmodifiableSet(waitsOn));
    }
    JobRecord before = jobs.put(id, record);
    if (before != null && before.phase() == JobPhase.OPEN) {
      open.remove(before);
    }
    Set<JobId> toLookAt = new HashSet<>(pipelines.unfinished(id));
    pipelines.put(
        id, record.job() == null ? Set.of() : record.job().dependencies(), complete, this::stand);
    stand(id);
    toLookAt.addAll(pipelines.unfinished(id));
    if (!toLookAt.isEmpty() || pipelines.hasFollowers(id) || urgent.containsKey(id)) {
      toLookAt.add(id);
      urgencies.look(toLookAt, this::standUrgent);
      standUrgent(id); // also where it inherits the same: the record is another
    }
  }

  private void standUrgent(JobId id) {
    UrgencyPropagation.Urgency urgency = urgencies.inherited(id);
    if (urgency == null) {
      urgent.remove(id);
    } else {
      urgent.put(id, jobs.get(id).treatedAs(urgency));
    }
    touched.accept(id);
  }

  /** The one place where it changes how a job stands. */
  private void stand(JobId id) {
    JobRecord record = jobs.get(id);
    DependencyGraph.Cancellation with =
        record.phase() == JobPhase.OPEN ? pipelines.cancelled(id) : null;
    if (with != null) {
      open.remove(record);
      cancelledWith.put(id, record.cancelledWith(with.since(), with.atMs()));
      lookAround(id);
    } else {
      if (cancelledWith.remove(id) != null) {
        lookAround(id);
      }
      if (record.phase() == JobPhase.OPEN) {
        open.add(record);
      }
    }
    touched.accept(id);
  }

  private void lookAround(JobId id) {
    List<JobId> around = new ArrayList<>(pipelines.unfinished(id));
    around.add(id);
    urgencies.look(around, this::standUrgent);
  }

  /** What a job that is on record waits for, in the order of ids. */
  Collection<JobId> unfinished(JobId id) {
    return pipelines.unfinished(id);
  }
}
