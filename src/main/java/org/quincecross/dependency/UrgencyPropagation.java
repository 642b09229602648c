package org.quincecross.dependency;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.quincecross.model.JobId;
import org.quincecross.model.Priority;

/**
 * Propagates urgency to the jobs that others depend on; users set priority and deadline on the last
 * job of a pipeline only. A job has the highest priority of its own and of all jobs that depend on
 * it, and has to end early enough for each of them to end in time.
 *
 * <p>Recomputed when a job is submitted or ends, for the jobs it depends on, as far as something
 * changes.
 */
public final class UrgencyPropagation {
  /** No deadline. */
  public static final long NO_DEADLINE = Long.MAX_VALUE;

  /**
   * What a job requests for itself.
   *
   * @param endByMs time of day by which it should end, or {@link #NO_DEADLINE}
   * @param runMs shortest time from the end of its dependencies to its own end: hand-over, image
   *     fetch and run
   */
  public record RequestedUrgency(Priority priority, long endByMs, long runMs) {}

  /** The priority and deadline that a job is scheduled with. */
  public record Urgency(Priority priority, long endByMs) {}

  private final Function<JobId, RequestedUrgency> jobs;
  private final DependencyGraph graph;

  /** Jobs that are more urgent than they request. */
  private final Map<JobId, Urgency> inherited = new HashMap<>();

  /**
   * @param jobs returns what an open job requests, or null if the job has ended or is unknown
   */
  public UrgencyPropagation(Function<JobId, RequestedUrgency> jobs, DependencyGraph graph) {
    this.jobs = jobs;
    this.graph = graph;
  }

  /** Returns the urgency that a job inherits, or null if it keeps its own. */
  public Urgency inherited(JobId id) {
    return inherited.get(id);
  }

  /**
   * Re-evaluates jobs whose own urgency or whose dependents have changed; {@code changed} is called
   * with each job whose urgency changes.
   */
  public void update(Collection<JobId> first, Consumer<JobId> changed) {
    ArrayDeque<JobId> queue = new ArrayDeque<>(first);
    while (!queue.isEmpty()) {
      JobId id = queue.poll();
      RequestedUrgency requested = jobs.apply(id);
      Urgency now = requested == null ? null : urgency(id, requested);
      Urgency next =
          requested == null || now.equals(new Urgency(requested.priority(), requested.endByMs()))
              ? null
              : now;
      Urgency before = next == null ? inherited.remove(id) : inherited.put(id, next);
      if (next == null ? before != null : !next.equals(before)) {
        changed.accept(id);
        queue.addAll(graph.dependenciesOf(id));
      }
    }
  }

  private Urgency urgency(JobId id, RequestedUrgency requested) {
    Priority priority = requested.priority();
    long endBy = requested.endByMs();
    for (JobId dependent : graph.dependentsOf(id)) {
      RequestedUrgency ofDependent = jobs.apply(dependent);
      if (ofDependent == null) {
        continue;
      }
      Urgency inheritedByDependent = inherited.get(dependent);
      Priority dependentPriority =
          inheritedByDependent == null ? ofDependent.priority() : inheritedByDependent.priority();
      // The highest priority is served by a separate path for tasks that have to start within
      // seconds, so it is not inherited.
      dependentPriority =
          dependentPriority == Priority.PRODUCTION ? Priority.HIGH : dependentPriority;
      long dependentEndBy =
          inheritedByDependent == null ? ofDependent.endByMs() : inheritedByDependent.endByMs();
      priority = dependentPriority.isHigherThan(priority) ? dependentPriority : priority;
      endBy =
          dependentEndBy == NO_DEADLINE
              ? endBy
              : Math.min(endBy, dependentEndBy - ofDependent.runMs());
    }
    return new Urgency(priority, endBy);
  }
}
