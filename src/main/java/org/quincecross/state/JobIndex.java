package org.quincecross.state;

import java.util.ArrayList;
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
 * The jobs of the {@link ClusterStateCache}: their stored records, and the cancellation and urgency
 * derived from their dependency graph.
 */
final class JobIndex {
  /**
   * Expected time from the end of a dependency until the dependent job's tasks are told to start:
   * two store writes and a heartbeat.
   */
  private static final long DEPENDENCY_LATENCY_MS = 3_000;

  /** Expected time to pull an image. */
  private static final double IMAGE_PULL_MS_PER_GB = 1_000;

  private final Map<JobId, JobRecord> jobs = new HashMap<>();

  /** Jobs that are stored as open and cancelled because a dependency was cancelled. */
  private final Map<JobId, JobRecord> cancelledByDependency = new HashMap<>();

  /** Open jobs that inherit the urgency of their dependents. */
  private final Map<JobId, JobRecord> withInheritedUrgency = new HashMap<>();

  private final TreeSet<JobRecord> open =
      new TreeSet<>(Comparator.comparing(JobRecord::version).thenComparing(JobRecord::id));
  private final Map<String, List<JobId>> bundles = new HashMap<>();
  private final Map<String, Set<JobId>> parts = new HashMap<>();

  /**
   * Jobs by the name of a dependency part that has not been read yet: a full read may deliver a job
   * before its parts.
   */
  private final Map<String, Set<JobId>> jobsByMissingPart = new HashMap<>();

  private final DependencyGraph dependencyGraph = new DependencyGraph(this::ownState);
  private final UrgencyPropagation urgencies = new UrgencyPropagation(this::asks, dependencyGraph);
  private final Predicate<JobId> hasOwnRecord;
  private final Consumer<JobId> touched;

  /**
   * Creates an empty index.
   *
   * @param hasOwnRecord whether a job has a record of its own
   * @param touched notified of each job that changed
   */
  JobIndex(Predicate<JobId> hasOwnRecord, Consumer<JobId> touched) {
    this.hasOwnRecord = hasOwnRecord;
    this.touched = touched;
  }

  private DependencyGraph.JobState ownState(JobId id) {
    JobRecord record = jobs.get(id);
    return record == null
        ? null
        : new DependencyGraph.JobState(record.phase(), record.version(), record.cancelledMs());
  }

  /**
   * A job with its derived state, or null. A job cancelled because of a dependency has the version
   * of that cancellation.
   */
  JobRecord job(JobId id) {
    JobRecord derived = cancelledByDependency.isEmpty() ? null : cancelledByDependency.get(id);
    derived =
        derived == null && !withInheritedUrgency.isEmpty() ? withInheritedUrgency.get(id) : derived;
    return derived == null ? jobs.get(id) : derived;
  }

  /** Whether a job is known and done. */
  boolean isDone(JobId id) {
    JobRecord record = job(id);
    return record != null && record.phase() == JobPhase.DONE;
  }

  /** A job exactly as its own record describes it. */
  JobRecord storedJob(JobId id) {
    return jobs.get(id);
  }

  private UrgencyPropagation.RequestedUrgency asks(JobId id) {
    JobRecord record = jobs.get(id);
    if (record == null
        || record.phase() != JobPhase.OPEN
        || dependencyGraph.cancelled(id) != null) {
      return null;
    }
    Job job = record.job();
    return new UrgencyPropagation.RequestedUrgency(
        job.priority(),
        job.deadline() == null
            ? UrgencyPropagation.NO_DEADLINE
            : record.acceptedMs() + job.deadline().millis(),
        DEPENDENCY_LATENCY_MS
            + job.estimate().millis()
            + (long) (job.imageGb() * IMAGE_PULL_MS_PER_GB));
  }

  Set<JobId> ids() {
    return jobs.keySet();
  }

  /** The open jobs in the order of their acceptance. */
  Iterable<JobRecord> open() {
    return open;
  }

  DependencyGraph dependencyGraph() {
    return dependencyGraph;
  }

  /**
   * The time of day since which a job has been runnable: its acceptance, or the end of its last
   * dependency.
   */
  long runnableSinceMs(JobRecord record) {
    long ready = record.acceptedMs();
    for (JobId before : record.job().dependencies()) {
      JobRecord dependency = jobs.get(before);
      ready = dependency == null ? ready : Math.max(ready, dependency.endedMs());
    }
    return ready;
  }

  void put(JobId id, Object value, Revision version) throws MalformedMessageException {
    put(JobRecord.read(id, value, version));
  }

  /**
   * Adds jobs that were accepted together. If two controllers accepted the same job, the first
   * acceptance counts, and a record of its own takes precedence over any bundle.
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

  /** Adds a part of a dependency list; parts are never deleted or changed. */
  void putPart(String name, Object value) throws MalformedMessageException {
    if (value == null) {
      return;
    }
    parts.put(name, JobDependencies.readPart(value));
    Set<JobId> complete = jobsByMissingPart.remove(name);
    if (complete != null) {
      complete.stream().sorted().forEach(id -> put(jobs.get(id)));
    }
  }

  boolean hasPart(String name) {
    return parts.containsKey(name);
  }

  /** The bundles in which every job has a record of its own by now. */
  List<String> obsoleteBundles() {
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
    if (record.phase() == JobPhase.OPEN && !record.dependencyParts().isEmpty()) {
      Set<JobId> waitsOn = new HashSet<>();
      for (String part : record.dependencyParts()) {
        if (parts.containsKey(part)) {
          waitsOn.addAll(parts.get(part));
        } else {
          complete = false;
          jobsByMissingPart.computeIfAbsent(part, name -> new HashSet<>()).add(id);
        }
      }
      record = record.withDependencies(Collections.unmodifiableSet(waitsOn));
    }
    JobRecord before = jobs.put(id, record);
    if (before != null && before.phase() == JobPhase.OPEN) {
      open.remove(before);
    }
    Set<JobId> toLookAt = new HashSet<>(dependencyGraph.unfinishedDependencies(id));
    dependencyGraph.put(
        id,
        record.job() == null ? Set.of() : record.job().dependencies(),
        complete,
        this::deriveCancellation);
    deriveCancellation(id);
    toLookAt.addAll(dependencyGraph.unfinishedDependencies(id));
    if (!toLookAt.isEmpty()
        || dependencyGraph.hasDependents(id)
        || withInheritedUrgency.containsKey(id)) {
      toLookAt.add(id);
      urgencies.update(toLookAt, this::deriveUrgency);
      deriveUrgency(id); // also if the inherited urgency is equal: the record is a new instance
    }
  }

  private void deriveUrgency(JobId id) {
    UrgencyPropagation.Urgency urgency = urgencies.inherited(id);
    if (urgency == null) {
      withInheritedUrgency.remove(id);
    } else {
      withInheritedUrgency.put(id, jobs.get(id).withUrgency(urgency));
    }
    touched.accept(id);
  }

  /** The only method that changes a job's derived cancellation. */
  private void deriveCancellation(JobId id) {
    JobRecord record = jobs.get(id);
    DependencyGraph.Cancellation with =
        record.phase() == JobPhase.OPEN ? dependencyGraph.cancelled(id) : null;
    if (with != null) {
      open.remove(record);
      cancelledByDependency.put(id, record.cancelledByDependency(with.since(), with.atMs()));
      updateNeighbours(id);
    } else {
      if (cancelledByDependency.remove(id) != null) {
        updateNeighbours(id);
      }
      if (record.phase() == JobPhase.OPEN) {
        open.add(record);
      }
    }
    touched.accept(id);
  }

  private void updateNeighbours(JobId id) {
    List<JobId> neighbours = new ArrayList<>(dependencyGraph.unfinishedDependencies(id));
    neighbours.add(id);
    urgencies.update(neighbours, this::deriveUrgency);
  }
}
