package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.quincecross.model.JobId;

/**
 * Users who cancel jobs at the most critical times: as the last task ends, or many long-running
 * jobs at once.
 */
final class LateCancellations {
  private static final double CANCEL_WINDOW_S = 0.2;
  private static final int MAX_HANGING_MACHINES = 8;

  private LateCancellations() {}

  /**
   * For some seconds, cancels a share of the ending jobs as their last task ends.
   *
   * @param withinS the maximum delay after the end; 0 cancels at that very moment
   */
  static void atEnd(
      ClusterEnvironment environment, double share, double withinS, double seconds, Random random) {
    double untilS = environment.clock().seconds() + seconds;
    environment
        .users()
        .addListener(
            (moment, id) -> {
              if (moment == UserSimulator.JobEvent.LAST_TASK_ENDED
                  && environment.clock().seconds() < untilS
                  && random.nextDouble() < share) {
                environment
                    .clock()
                    .after(withinS * random.nextDouble(), () -> environment.users().cancel(id));
              }
            });
  }

  /**
   * Within a fifth of a second, cancels the {@code count} running jobs that have the most work
   * left.
   *
   * @param hangS for how long up to eight of their machines hang; 0 for none
   * @return the cancelled jobs
   */
  static List<JobId> cancelLongRunning(
      ClusterEnvironment environment, int count, double hangS, Random random) {
    List<JobId> running = new ArrayList<>();
    for (JobId id : environment.users().reportedStates().keySet()) {
      if (environment.users().isOpen(id)
          && !environment.users().isCancelRequested(id)
          && environment.invariants().onMachines(id) > 0) {
        running.add(id);
      }
    }
    Collections.shuffle(running, random);
    running.sort(
        (one, other) ->
            Double.compare(
                environment.job(other).estimate().seconds(),
                environment.job(one).estimate().seconds()));
    List<JobId> called = List.copyOf(running.subList(0, Math.min(count, running.size())));
    called.forEach(
        id ->
            environment
                .clock()
                .after(
                    CANCEL_WINDOW_S * random.nextDouble(), () -> environment.users().cancel(id)));
    if (hangS > 0) {
      Set<JobId> theirs = new HashSet<>(called);
      environment.cloud().workers().stream()
          .filter(worker -> environment.invariants().runsAny(worker.machine().id(), theirs))
          .limit(MAX_HANGING_MACHINES)
          .forEach(worker -> worker.suspend(hangS));
    }
    return called;
  }
}
