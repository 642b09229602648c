package org.quincecross.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;

/**
 * Jobs with dependencies: what each names in its submission, and the users who submit them one
 * after the other.
 */
final class DependentJobs {
  /** When a user submits a job with dependencies. */
  enum SubmitCondition {
    /** As soon as its dependencies are accepted. */
    ONCE_ACCEPTED,
    /** Only when its dependencies are done or cancelled. */
    ONCE_OVER
  }

  /** A job of a pipeline, and when it is submitted. */
  record PipelineJob(Job job, SubmitCondition when) {}

  private final ClusterEnvironment environment;
  private final Map<JobId, Set<JobId>> dependents = new HashMap<>();
  private final List<PipelineJob> pending = new ArrayList<>();

  DependentJobs(ClusterEnvironment environment) {
    this.environment = environment;
  }

  /** The direct dependencies of a job; none if it is in no pipeline. */
  Set<JobId> dependencies(JobId id) {
    Job job = environment.job(id);
    return job == null ? Set.of() : job.dependencies();
  }

  /** All dependencies of a job, direct and indirect. */
  Set<JobId> allDependencies(JobId id) {
    return reached(id, this::dependencies);
  }

  /** All jobs that depend on a job, directly or indirectly. */
  Set<JobId> allDependents(JobId id) {
    return reached(id, each -> dependents.getOrDefault(each, Set.of()));
  }

  /**
   * Visits the dependents of a job, and continues from each one that {@code shouldContinue}
   * accepts.
   */
  void visitDependents(JobId from, Predicate<JobId> shouldContinue) {
    Deque<JobId> queue = new ArrayDeque<>(List.of(from));
    while (!queue.isEmpty()) {
      dependents.getOrDefault(queue.poll(), Set.of()).stream()
          .filter(shouldContinue)
          .forEach(queue::add);
    }
  }

  private static Set<JobId> reached(JobId from, Function<JobId, ? extends Iterable<JobId>> next) {
    Set<JobId> reached = new LinkedHashSet<>();
    Deque<JobId> queue = new ArrayDeque<>(List.of(from));
    while (!queue.isEmpty()) {
      for (JobId each : next.apply(queue.poll())) {
        if (reached.add(each)) {
          queue.add(each);
        }
      }
    }
    return reached;
  }

  /** Whether some dependency has been reported neither done nor cancelled. */
  boolean isWaiting(JobId id) {
    return dependencies(id).stream().anyMatch(each -> !isOver(each));
  }

  private boolean isOver(JobId id) {
    String state = environment.users().reportedStates().get(id);
    return "done".equals(state) || "cancelled".equals(state);
  }

  private boolean isReleased(JobId id) {
    return dependencies(id).stream().allMatch(each -> environment.invariants().isComplete(each));
  }

  // ---- submissions ----

  /** Submits a job as soon as its condition holds, which may be now. */
  void submit(PipelineJob step) {
    pending.add(step);
    submitPending();
  }

  /** A job is submitted now, whatever the state of its dependencies. */
  void submitted(Job job) {
    job.dependencies()
        .forEach(
            each -> dependents.computeIfAbsent(each, named -> new LinkedHashSet<>()).add(job.id()));
    environment.dependencyInvariants().submitted(job.id());
    if (isReleased(job.id())) {
      environment.accounting().accepted(job, environment.now());
    }
  }

  private void submitPending() {
    for (PipelineJob step : List.copyOf(pending)) {
      boolean due =
          step.job().dependencies().stream()
              .allMatch(
                  step.when() == SubmitCondition.ONCE_OVER
                      ? this::isOver
                      : environment.users().reportedStates()::containsKey);
      if (due && pending.remove(step)) {
        environment.users().submit(step.job());
      }
    }
  }

  /** Users were told the state of a job. */
  void onStateReported(JobId id, String state) {
    environment.dependencyInvariants().knownCancelled(id, state);
    if (state.equals("cancelled")) {
      environment
          .accounting()
          .cancelled(id, environment.now()); // possibly cancelled with a dependency
    }
    if (!pending.isEmpty()) {
      submitPending();
    }
  }

  /** A submission got a final answer. */
  void onSubmissionAnswered(JobId id, int status) {
    if (!dependencies(id).isEmpty()) {
      environment.dependencyInvariants().answered(id, status);
    }
  }

  // ---- service levels ----

  /** All tasks of a job are done: the objectives of jobs that waited only for it apply from now. */
  void completed(JobId id) {
    for (JobId each : dependents.getOrDefault(id, Set.of())) {
      if (isReleased(each)
          && !environment.invariants().isComplete(each)
          && environment.invariants().cancelledAt(each) == null) {
        environment.accounting().accepted(environment.job(each), environment.now());
      }
    }
  }
}
