package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Users poll all controllers within milliseconds and repeat the submission, as soon as anything has
 * happened to a job. Three controllers, in virtual time.
 */
class ConcurrentReadersTest {
  private static final int JOBS = 72;
  private static final double DURATION_S = 60;

  private SimulatedCluster runWithReaders(long seed, double cancelShare, double atEndShare) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    Random random = new Random(seed);
    ConcurrentReaders.begin(cluster.environment(), 1, cancelShare, DURATION_S, random);
    if (atEndShare > 0) {
      LateCancellations.atEnd(
          cluster.environment(), atEndShare, seed % 2 == 0 ? 0 : 1.6, DURATION_S, random);
    }
    for (int i = 0; i < JOBS; i++) {
      int number = 100 + i;
      // Some are submitted together, so that they share a record.
      cluster.time().at(5 + 0.6 * (i / 3 * 3), () -> cluster.users().submit(number));
    }
    cluster.time().runUntil(DURATION_S + 50);
    return cluster;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noControllerAnswersWithOlderState(long seed) {
    SimulatedCluster cluster = runWithReaders(seed, 0.3, 0);
    assertEquals(List.of(), cluster.invariants().violations());
    assertTrue(
        cluster.users().answers().getOrDefault("poll 200", 0) > 10 * JOBS,
        cluster.users().answers().toString());
    assertTrue(
        cluster.users().reportedStates().values().stream().filter("cancelled"::equals).count()
            > JOBS / 10);
  }

  /** A day from a fixed seed, with other faults; {@link SeedsTest} runs more of them. */
  @ParameterizedTest
  @ValueSource(longs = 2)
  void keepsRulesWithUserErrors(long seed) {
    assertEquals(
        List.of(), RandomScenario.withCombinedFaults(seed).with(UserErrorFaults::inject).run());
  }

  /**
   * A cancellation, polls and a repeated submission coincide with the end of the last task: the
   * outcome is reported once and is the same at all controllers.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void cancellationAtEndOfLastTaskHasOneOutcome(long seed) {
    SimulatedCluster cluster = runWithReaders(seed, 0, 0.7);
    assertEquals(List.of(), cluster.invariants().violations());
    long done =
        cluster.users().reportedStates().entrySet().stream()
            .filter(
                each ->
                    each.getValue().equals("done")
                        && cluster.users().isCancelRequested(each.getKey()))
            .count();
    long cancelled =
        cluster.users().reportedStates().entrySet().stream()
            .filter(
                each ->
                    each.getValue().equals("cancelled")
                        && cluster.invariants().completedTasks(each.getKey())
                            == cluster.job(each.getKey()).taskCount())
            .count();
    assertTrue(
        cancelled > 3 && (seed % 2 == 0 || done > 0),
        "called off at the end: done " + done + ", cancelled " + cancelled);
  }
}
