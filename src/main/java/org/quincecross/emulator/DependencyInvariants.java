package org.quincecross.emulator;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskId;

/** Checks the rules for jobs with dependencies against what machines do and what users are told. */
final class DependencyInvariants {
  private final ClusterEnvironment environment;
  private final BiConsumer<String, Object> violations;

  /** Since when the users of a job know that one of its dependencies is cancelled. */
  private final Map<JobId, Double> dependencyCancelledAt = new HashMap<>();

  /** The jobs known to be cancelled; their dependents are looked up once. */
  private final Set<JobId> knownCancelled = new HashSet<>();

  /** The jobs that must be cancelled because a dependency was. */
  private final Set<JobId> cancelledWithDependency = new HashSet<>();

  private final Set<JobId> orphaned = new HashSet<>();
  private final Set<JobId> late = new HashSet<>();

  /**
   * @param breaks receives a broken rule and what broke it
   */
  DependencyInvariants(ClusterEnvironment environment, BiConsumer<String, Object> breaks) {
    this.environment = environment;
    this.violations = breaks;
  }

  /** A job with dependencies is submitted; some of them may already be known to be cancelled. */
  void submitted(JobId id) {
    for (JobId each : environment.pipelines().allDependencies(id)) {
      Double at = environment.invariants().cancelledAt(each);
      if (at != null) {
        dependencyCancelledAt.merge(id, at, Math::min);
      }
    }
  }

  /**
   * A submission with dependencies got a final answer: it must be accepted if all of its
   * dependencies were, and otherwise refused.
   */
  void answered(JobId id, int status) {
    boolean known =
        environment.pipelines().dependencies(id).stream()
            .allMatch(environment.users().reportedStates()::containsKey);
    boolean accepted = status == 200 || status == 201;
    if (accepted && !known) {
      violations.accept(
          "names_unknown",
          id + " is accepted, and names " + environment.pipelines().dependencies(id));
    } else if (!accepted && known) {
      violations.accept(
          "refused",
          id
              + " gets "
              + status
              + ", and all that it names were accepted: "
              + environment.pipelines().dependencies(id));
    }
  }

  /** A task is now on a machine. */
  void starts(TaskId task) {
    for (JobId each : environment.pipelines().dependencies(task.job())) {
      if (!environment.invariants().isComplete(each)) {
        violations.accept("too_early", task + " before " + each);
      }
    }
    checkGone(task.job());
  }

  /** Checks what depends on time; called periodically. */
  void check() {
    dependencyCancelledAt.keySet().forEach(this::checkGone);
  }

  private boolean mustBeCancelledByNow(JobId id) {
    Double at = dependencyCancelledAt.get(id);
    return at != null
        && environment.clock().seconds()
            > at + environment.spec().workers().cancelTimeout().seconds();
  }

  private void checkGone(JobId id) {
    if (mustBeCancelledByNow(id) && environment.invariants().onMachines(id) > 0 && late.add(id)) {
      violations.accept("ran_cancelled", id + " after one that it needs was cancelled");
    }
  }

  /** Users were told the state of a job. */
  void knownCancelled(JobId id, String state) {
    if (state.equals("cancelled") && knownCancelled.add(id)) {
      environment
          .pipelines()
          .visitDependents(
              id,
              each ->
                  dependencyCancelledAt.putIfAbsent(each, environment.clock().seconds()) == null);
    } else if (state.equals("done") && environment.users().isCancelRequested(id)) {
      environment.pipelines().allDependents(id).forEach(this::checkCancelled);
    } else if ((state.equals("queued") || state.equals("running"))
        && mustBeCancelledByNow(id)
        && orphaned.add(id)) {
      violations.accept("orphaned", id + " is called " + state);
    }
  }

  /** A cancellation that was answered with {@code done} cancels no dependent job. */
  private void checkCancelled(JobId id) {
    if ("cancelled".equals(environment.invariants().lastReportedState(id))
        && !environment.users().isCancelRequested(id)
        && !isDependencyCancelRequested(id)) {
      violations.accept(
          "went_back",
          id + " is cancelled, and what it needs was done before it could be cancelled");
    }
  }

  /**
   * Whether cancellation of a dependency was requested, and its user has not been told that it is
   * done.
   */
  boolean isDependencyCancelRequested(JobId id) {
    if (!cancelledWithDependency.contains(id)) {
      List<JobId> asked =
          environment.pipelines().allDependencies(id).stream()
              .filter(
                  each ->
                      environment.users().isCancelRequested(each)
                          && !"done".equals(environment.invariants().lastReportedState(each)))
              .toList();
      if (asked.stream()
          .noneMatch(
              each -> "cancelled".equals(environment.invariants().lastReportedState(each)))) {
        return !asked.isEmpty();
      }
      cancelledWithDependency.add(id);
    }
    return true;
  }
}
