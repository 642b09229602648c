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
  enum Submitted {
    /** As soon as its dependencies are accepted. */
    ONCE_ACCEPTED,
    /** Only when its dependencies are done or cancelled. */
    ONCE_OVER
  }

  /** A job of a pipeline, and when it is submitted. */
  record Step(Job job, Submitted when) {}

  private final ClusterEnvironment around;
  private final Map<JobId, Set<JobId>> followers = new HashMap<>();
  private final List<Step> held = new ArrayList<>();

  DependentJobs(ClusterEnvironment around) {
    this.around = around;
  }

  /** The direct dependencies of a job; none if it is in no pipeline. */
  Set<JobId> waitsOn(JobId id) {
    Job job = around.job(id);
    return job == null ? Set.of() : job.dependencies();
  }

  /** All dependencies of a job, direct and indirect. */
  Set<JobId> before(JobId id) {
    return reached(id, this::waitsOn);
  }

  /** All jobs that depend on a job, directly or indirectly. */
  Set<JobId> after(JobId id) {
    return reached(id, each -> followers.getOrDefault(each, Set.of()));
  }

  /**
   * Visits the dependents of a job, and continues from each one that {@code shouldContinue}
   * accepts.
   */
  void spread(JobId from, Predicate<JobId> news) {
    Deque<JobId> open = new ArrayDeque<>(List.of(from));
    while (!open.isEmpty()) {
      followers.getOrDefault(open.poll(), Set.of()).stream().filter(news).forEach(open::add);
    }
  }

  private static Set<JobId> reached(JobId from, Function<JobId, ? extends Iterable<JobId>> next) {
    Set<JobId> reached = new LinkedHashSet<>();
    Deque<JobId> open = new ArrayDeque<>(List.of(from));
    while (!open.isEmpty()) {
      for (JobId each : next.apply(open.poll())) {
        if (reached.add(each)) {
          open.add(each);
        }
      }
    }
    return reached;
  }

  /** Whether some dependency has been reported neither done nor cancelled. */
  boolean isWaiting(JobId id) {
    return waitsOn(id).stream().anyMatch(each -> !isOver(each));
  }

  private boolean isOver(JobId id) {
    String told = around.users().told().get(id);
    return "done".equals(told) || "cancelled".equals(told);
  }

  private boolean isReleased(JobId id) {
    return waitsOn(id).stream().allMatch(each -> around.rules().isComplete(each));
  }

  // ---- submissions ----

  /** Submits a job as soon as its condition holds, which may be now. */
  void submit(Step step) {
    held.add(step);
    submitHeld();
  }

  /** A job is submitted now, whatever the state of its dependencies. */
  void submitted(Job job) {
    job.dependencies()
        .forEach(
            each -> followers.computeIfAbsent(each, named -> new LinkedHashSet<>()).add(job.id()));
    around.pipelineRules().submitted(job.id());
    if (isReleased(job.id())) {
      around.served().accepted(job, around.now());
    }
  }

  private void submitHeld() {
    for (Step step : List.copyOf(held)) {
      boolean due =
          step.job().dependencies().stream()
              .allMatch(
                  step.when() == Submitted.ONCE_OVER
                      ? this::isOver
                      : around.users().told()::containsKey);
      if (due && held.remove(step)) {
        around.users().submit(step.job());
      }
    }
  }

  /** Users were told the state of a job. */
  void told(JobId id, String state) {
    around.pipelineRules().told(id, state);
    if (state.equals("cancelled")) {
      around.served().cancelled(id, around.now()); // possibly cancelled with a dependency
    }
    if (!held.isEmpty()) {
      submitHeld();
    }
  }

  /** A submission got a final answer. */
  void answered(JobId id, int status) {
    if (!waitsOn(id).isEmpty()) {
      around.pipelineRules().answered(id, status);
    }
  }

  // ---- service levels ----

  /** All tasks of a job are done: the objectives of jobs that waited only for it apply from now. */
  void completed(JobId id) {
    for (JobId each : followers.getOrDefault(id, Set.of())) {
      if (isReleased(each)
          && !around.rules().isComplete(each)
          && around.rules().cancelledAt(each) == null) {
        around.served().accepted(around.job(each), around.now());
      }
    }
  }
}
