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
  private final ClusterEnvironment around;
  private final BiConsumer<String, Object> breaks;

  /** Since when the users of a job know that one of its dependencies is cancelled. */
  private final Map<JobId, Double> cancelledBefore = new HashMap<>();

  /** The jobs known to be cancelled; their dependents are looked up once. */
  private final Set<JobId> told = new HashSet<>();

  /** The jobs that must be cancelled because a dependency was. */
  private final Set<JobId> withAnother = new HashSet<>();

  private final Set<JobId> orphaned = new HashSet<>();
  private final Set<JobId> late = new HashSet<>();

  /**
   * @param breaks receives a broken rule and what broke it
   */
  DependencyInvariants(ClusterEnvironment around, BiConsumer<String, Object> breaks) {
    this.around = around;
    this.breaks = breaks;
  }

  /** A job with dependencies is submitted; some of them may already be known to be cancelled. */
  void submitted(JobId id) {
    for (JobId each : around.pipelines().before(id)) {
      Double at = around.rules().cancelledAt(each);
      if (at != null) {
        cancelledBefore.merge(id, at, Math::min);
      }
    }
  }

  /**
   * A submission with dependencies got a final answer: it must be accepted if all of its
   * dependencies were, and otherwise refused.
   */
  void answered(JobId id, int status) {
    boolean known =
        around.pipelines().waitsOn(id).stream().allMatch(around.users().told()::containsKey);
    boolean accepted = status == 200 || status == 201;
    if (accepted && !known) {
      breaks.accept(
          "names_unknown", id + " is accepted, and names " + around.pipelines().waitsOn(id));
    } else if (!accepted && known) {
      breaks.accept(
          "refused",
          id
              + " gets "
              + status
              + ", and all that it names were accepted: "
              + around.pipelines().waitsOn(id));
    }
  }

  /** A task is now on a machine. */
  void starts(TaskId task) {
    for (JobId each : around.pipelines().waitsOn(task.job())) {
      if (!around.rules().isComplete(each)) {
        breaks.accept("too_early", task + " before " + each);
      }
    }
    checkGone(task.job());
  }

  /** Checks what depends on time; called periodically. */
  void check() {
    cancelledBefore.keySet().forEach(this::checkGone);
  }

  private boolean isTime(JobId id) {
    Double at = cancelledBefore.get(id);
    return at != null
        && around.clock().seconds() > at + around.site().workers().cancelTimeout().seconds();
  }

  private void checkGone(JobId id) {
    if (isTime(id) && around.rules().onMachines(id) > 0 && late.add(id)) {
      breaks.accept("ran_cancelled", id + " after one that it needs was cancelled");
    }
  }

  /** Users were told the state of a job. */
  void told(JobId id, String state) {
    if (state.equals("cancelled") && told.add(id)) {
      around
          .pipelines()
          .spread(id, each -> cancelledBefore.putIfAbsent(each, around.clock().seconds()) == null);
    } else if (state.equals("done") && around.users().isCancelAsked(id)) {
      around.pipelines().after(id).forEach(this::checkCancelled);
    } else if ((state.equals("queued") || state.equals("running"))
        && isTime(id)
        && orphaned.add(id)) {
      breaks.accept("orphaned", id + " is called " + state);
    }
  }

  /** A cancellation that was answered with {@code done} cancels no dependent job. */
  private void checkCancelled(JobId id) {
    if ("cancelled".equals(around.rules().lastTold(id))
        && !around.users().isCancelAsked(id)
        && !isCancelledBefore(id)) {
      breaks.accept(
          "went_back",
          id + " is cancelled, and what it needs was done before it could be cancelled");
    }
  }

  /**
   * Whether cancellation of a dependency was requested, and its user has not been told that it is
   * done.
   */
  boolean isCancelledBefore(JobId id) {
    if (!withAnother.contains(id)) {
      List<JobId> asked =
          around.pipelines().before(id).stream()
              .filter(
                  each ->
                      around.users().isCancelAsked(each)
                          && !"done".equals(around.rules().lastTold(each)))
              .toList();
      if (asked.stream().noneMatch(each -> "cancelled".equals(around.rules().lastTold(each)))) {
        return !asked.isEmpty();
      }
      withAnother.add(id);
    }
    return true;
  }
}
