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
 * The state service answers slowly while users submit, poll and cancel, in virtual time. Each
 * request is answered or refused before its user times out, the number of pending requests of the
 * controllers stays bounded, and soon afterwards every poll is answered again.
 */
class SlowStoreTest {
  private static final double START_S = 30;
  private static final double DURATION_S = 60;
  private static final double MAX_CHANGE_RESPONSE_S = 3.3;
  private static final double MAX_POLL_RESPONSE_S = 1.7;

  @ParameterizedTest
  @CsvSource({"0.2, 1", "1, 1.5", "1, 3", "3, 6"})
  void requestsAreAnsweredInTimeWithBoundedQueue(double leastS, double mostS) {
    SimulatedCluster cluster = new SimulatedCluster(7);
    for (int i = 0; i < 200; i++) {
      int number = 1000 + i;
      cluster.time().at(4 + i * 0.5, () -> cluster.users().submit(number));
    }
    cluster
        .time()
        .at(
            START_S,
            () -> {
              cluster.state().slowDown(leastS, mostS, DURATION_S, new Random(3));
              cluster.users().multiplyPolls(4, DURATION_S);
            });
    // All accepted jobs are cancelled while the state service is slow.
    cluster
        .time()
        .at(
            START_S + 5,
            () -> {
              List<JobId> told = new ArrayList<>(cluster.users().reportedStates().keySet());
              told.forEach(cluster.users()::cancel);
            });
    cluster.time().runUntil(START_S + DURATION_S);
    cluster.users().polls().onFault();
    cluster.time().runUntil(START_S + DURATION_S + 100);
    Map<String, Double> longest = cluster.longestAnswers();
    longest.forEach(
        (what, seconds) -> {
          if (what.contains("/vN")) {
            double most = what.startsWith("GET") ? MAX_POLL_RESPONSE_S : MAX_CHANGE_RESPONSE_S;
            assertTrue(seconds <= most, what + " was answered after " + seconds + " s");
          }
        });
    assertEquals(List.of(), cluster.invariants().violations());
    double unanswered =
        cluster.users().reportedStates().keySet().stream()
            .mapToDouble(id -> cluster.users().polls().longestGapS(id, true))
            .max()
            .orElseThrow();
    assertTrue(unanswered < 20, "no answer for " + unanswered + " s");
    assertTrue(
        cluster.state().maxPendingRequests() < 100,
        "under way " + cluster.state().maxPendingRequests());
  }
}
