package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.model.JobId;

/**
 * The state service answers slowly while users submit, ask and cancel, in virtual time: each is
 * answered or refused before it stops waiting, what the controllers have under way stays bounded,
 * and soon after it each question is answered again.
 */
class SlowStoreTest {
  private static final double FROM_S = 30;
  private static final double SECONDS = 60;
  private static final double MOST_CHANGE_S = 3.3;
  private static final double MOST_POLL_S = 1.7;

  @ParameterizedTest
  @CsvSource({"0.2, 1", "1, 1.5", "1, 3", "3, 6"})
  void everyRequestIsAnsweredInTimeAndNothingPilesUp(double leastS, double mostS) {
    SimulatedCluster world = new SimulatedCluster(7);
    for (int i = 0; i < 200; i++) {
      int number = 1000 + i;
      world.time().at(4 + i * 0.5, () -> world.users().submit(number));
    }
    world
        .time()
        .at(
            FROM_S,
            () -> {
              world.state().slowDown(leastS, mostS, SECONDS, new Random(3));
              world.users().storm(4, SECONDS);
            });
    // All that is accepted is cancelled while it is slow.
    world
        .time()
        .at(
            FROM_S + 5,
            () -> {
              List<JobId> told = new ArrayList<>(world.users().told().keySet());
              told.forEach(world.users()::cancel);
            });
    world.time().runUntil(FROM_S + SECONDS);
    world.users().polls().onFault();
    world.time().runUntil(FROM_S + SECONDS + 100);
    Map<String, Double> longest = world.longestAnswers();
    longest.forEach(
        (what, seconds) -> {
          if (what.contains("/vN")) {
            double most = what.startsWith("GET") ? MOST_POLL_S : MOST_CHANGE_S;
            assertTrue(seconds <= most, what + " was answered after " + seconds + " s");
          }
        });
    assertEquals(List.of(), world.rules().violations());
    double unanswered =
        world.users().told().keySet().stream()
            .mapToDouble(id -> world.users().polls().longestGapS(id, true))
            .max()
            .orElseThrow();
    assertTrue(unanswered < 20, "without an answer for " + unanswered + " s");
    assertTrue(
        world.state().maxPendingRequests() < 100,
        "under way " + world.state().maxPendingRequests());
  }
}
