package org.quincecross.dependency;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Revision;

/**
 * The dependencies between jobs, and what follows from the records of other jobs: a job may run
 * once all jobs it depends on are done, and is cancelled once one of them is, directly or
 * transitively. Both are derived from the records alone, in whatever order they are read, and
 * nothing is written for them.
 *
 * <p>A job cancelled this way never had a running task: its tasks may run only once all its
 * dependencies are done, and a done job never becomes cancelled.
 *
 * <p>The cost of a change is the number of jobs whose status changes and the links between them.
 * Only jobs with a link take memory here.
 */
public final class DependencyGraph {
  /** What a job's own record says; {@code cancelledMs}: time of day of its cancellation, or 0. */
  public record JobState(JobPhase phase, Revision version, long cancelledMs) {}

  /**
   * Why a job is cancelled without a record that says so.
   *
   * @param since revision from which on the job is cancelled: that of the first cancellation among
   *     its dependencies, or of its own acceptance if later
   * @param atMs time of day of that cancellation
   */
  public record Cancellation(Revision since, long atMs) {
    private boolean isBefore(Cancellation other) {
      return other == null || other.since.isAfter(since);
    }
  }

  private static final class Node {
    /** The dependencies that are not done; empty once the job's own record is final. */
    private Set<JobId> dependencies = Set.of();

    private final Set<JobId> dependents = new HashSet<>(2);
    private boolean hasUnknownDependencies;

    /** The cancellation, by its own record or derived; null if there is none. */
    private Cancellation cancelled;
  }

  private final Function<JobId, JobState> records;
  private final Map<JobId, Node> nodes = new HashMap<>();

  /**
   * @param records returns a job's record, or null if there is none
   */
  public DependencyGraph(Function<JobId, JobState> records) {
    this.records = records;
  }

  /**
   * Updates a job whose record is new, changed, or repeated.
   *
   * @param complete false while not all dependencies are known; the job waits at least until they
   *     are
   * @param changed called with every other job whose status has changed
   */
  public void put(JobId id, Collection<JobId> waitsOn, boolean complete, Consumer<JobId> changed) {
    Node node = nodes.get(id);
    if (node == null && waitsOn.isEmpty() && complete) {
      return; // no job is linked to it
    }
    node = node == null ? node(id) : node;
    JobState state = records.apply(id);
    Set<JobId> dependencies = new HashSet<>(2);
    if (state.phase() == JobPhase.OPEN) {
      for (JobId dependency : waitsOn) {
        if (!isDone(dependency)) {
          dependencies.add(dependency);
        }
      }
    }
    for (JobId dependency : List.copyOf(node.dependencies)) {
      if (!dependencies.contains(dependency)) {
        unlink(dependency, id);
      }
    }
    for (JobId dependency : dependencies) {
      node(dependency).dependents.add(id);
    }
    node.dependencies = dependencies.isEmpty() ? Set.of() : dependencies;
    node.hasUnknownDependencies = state.phase() == JobPhase.OPEN && !complete;
    Cancellation previous = node.cancelled;
    node.cancelled = cancellation(id, node);
    if (state.phase() == JobPhase.DONE) {
      release(id, previous, changed);
    } else if (!Objects.equals(previous, node.cancelled)) {
      propagate(id, previous, changed);
    }
    removeIfUnlinked(id);
  }

  private Node node(JobId id) {
    Node node = nodes.get(id);
    if (node == null) {
      node = new Node();
      nodes.put(id, node);
      node.cancelled = cancellation(id, node);
    }
    return node;
  }

  private boolean isDone(JobId id) {
    JobState state = records.apply(id);
    return state != null && state.phase() == JobPhase.DONE;
  }

  private Cancellation cancellation(JobId id, Node node) {
    JobState state = records.apply(id);
    if (state == null || state.phase() == JobPhase.DONE) {
      return null;
    }
    if (state.phase() == JobPhase.CANCELLED) {
      return new Cancellation(state.version(), state.cancelledMs());
    }
    Cancellation first = null;
    for (JobId dependency : node.dependencies) {
      Cancellation candidate = nodes.get(dependency).cancelled;
      first = candidate != null && candidate.isBefore(first) ? candidate : first;
    }
    return first == null ? null : notBefore(state.version(), first);
  }

  private static Cancellation notBefore(Revision accepted, Cancellation cause) {
    return accepted.isAfter(cause.since()) ? new Cancellation(accepted, cause.atMs()) : cause;
  }

  /** Releases the jobs that waited for a done job alone. */
  private void release(JobId id, Cancellation previous, Consumer<JobId> changed) {
    Node node = nodes.get(id);
    for (JobId dependent : List.copyOf(node.dependents)) {
      Node dependentNode = nodes.get(dependent);
      dependentNode.dependencies.remove(id);
      node.dependents.remove(dependent);
      if (dependentNode.dependencies.isEmpty() && !dependentNode.hasUnknownDependencies) {
        changed.accept(dependent);
      }
      if (previous != null) {
        Cancellation before =
            dependentNode.cancelled; // the record that cancelled it has been replaced
        dependentNode.cancelled = cancellation(dependent, dependentNode);
        if (!Objects.equals(before, dependentNode.cancelled)) {
          changed.accept(dependent);
          propagate(dependent, before, changed);
        }
      }
      removeIfUnlinked(dependent);
    }
  }

  private record CancellationChange(JobId id, Cancellation previous) {}

  /**
   * Propagates a change of a job's cancellation to all dependent jobs. Iterative, because chains
   * may be of any length.
   */
  private void propagate(JobId first, Cancellation firstPrevious, Consumer<JobId> changed) {
    ArrayDeque<CancellationChange> queue =
        new ArrayDeque<>(List.of(new CancellationChange(first, firstPrevious)));
    while (!queue.isEmpty()) {
      CancellationChange change = queue.poll();
      Cancellation cause = nodes.get(change.id).cancelled;
      for (JobId dependent : nodes.get(change.id).dependents) {
        Node dependentNode = nodes.get(dependent);
        Cancellation before = dependentNode.cancelled;
        if (change.previous != null) {
          dependentNode.cancelled = cancellation(dependent, dependentNode);
        } else if (cause != null && cause.isBefore(before)) {
          dependentNode.cancelled = notBefore(records.apply(dependent).version(), cause);
        }
        if (!Objects.equals(before, dependentNode.cancelled)) {
          changed.accept(dependent);
          queue.add(new CancellationChange(dependent, before));
        }
      }
    }
  }

  private void unlink(JobId dependency, JobId dependent) {
    Node node = nodes.get(dependency);
    if (node != null) {
      node.dependents.remove(dependent);
      removeIfUnlinked(dependency);
    }
  }

  private void removeIfUnlinked(JobId id) {
    Node node = nodes.get(id);
    if (node != null
        && node.dependents.isEmpty()
        && node.dependencies.isEmpty()
        && !node.hasUnknownDependencies) {
      nodes.remove(id);
    }
  }

  /** Returns why a job whose own record is open is cancelled; null if it is not. */
  public Cancellation cancelled(JobId id) {
    Node node = nodes.get(id);
    return node == null ? null : node.cancelled;
  }

  /** Whether a job on record may not run yet. */
  public boolean isWaiting(JobId id) {
    Node node = nodes.get(id);
    return node != null && (node.hasUnknownDependencies || !node.dependencies.isEmpty());
  }

  /** Returns the dependencies of a job that are not done, in id order. */
  public Collection<JobId> unfinishedDependencies(JobId id) {
    Node node = nodes.get(id);
    return node == null ? List.of() : new TreeSet<>(node.dependencies);
  }

  Set<JobId> dependentsOf(JobId id) {
    Node node = nodes.get(id);
    return node == null ? Set.of() : node.dependents;
  }

  Set<JobId> dependenciesOf(JobId id) {
    Node node = nodes.get(id);
    return node == null ? Set.of() : node.dependencies;
  }

  public boolean hasDependents(JobId id) {
    Node node = nodes.get(id);
    return node != null && !node.dependents.isEmpty();
  }

  /** Number of jobs held in memory. */
  public int size() {
    return nodes.size();
  }
}
