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
 * Jobs that wait for others: whom each names in its submission, and their users, who submit them
 * one after the other.
 */
final class DependentJobs {
  /** When a user submits a job that needs others. */
  enum Submitted {
    /** As soon as those that it needs are accepted. */
    ONCE_ACCEPTED,
    /** Only when those that it needs are done or cancelled. */
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

  /** The jobs that a job named; none where it is in no pipeline. */
  Set<JobId> waitsOn(JobId id) {
    Job job = around.job(id);
    return job == null ? Set.of() : job.dependencies();
  }

  /** The jobs that a job needs, directly or through others. */
  Set<JobId> before(JobId id) {
    return reached(id, this::waitsOn);
  }

  /** The jobs that need a job, directly or through others. */
  Set<JobId> after(JobId id) {
    return reached(id, each -> followers.getOrDefault(each, Set.of()));
  }

  /** Goes from a job to those that need it, and on from each for which it is {@code news}. */
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

  /** Whether a job that it needs has not been called done or cancelled. */
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

  /** Has a job submitted as soon as it is time for it, which may be now. */
  void submit(Step step) {
    held.add(step);
    submitHeld();
  }

  /** A job is submitted now, whatever has become of those that it names. */
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

  /** Users were told of a job. */
  void told(JobId id, String state) {
    around.pipelineRules().told(id, state);
    if (state.equals("cancelled")) {
      around.served().cancelled(id, around.now()); // with one that it needs, perhaps
    }
    if (!held.isEmpty()) {
      submitHeld();
    }
  }

  /** A submission was answered for good. */
  void answered(JobId id, int status) {
    if (!waitsOn(id).isEmpty()) {
      around.pipelineRules().answered(id, status);
    }
  }

  // ---- whom it serves ----

  /**
   * All tasks of a job are done: what is expected of those that waited for it alone counts from
   * now.
   */
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
