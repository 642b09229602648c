package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Whatever the state service does, users are answered well before they time out: 5 s for a
 * submission or a cancellation, 2 s for a poll.
 */
class ResponseDeadlineTest {
  private static final double MAX_CHANGE_RESPONSE_S = 3.3;
  private static final double MAX_POLL_RESPONSE_S = 1.7;

  enum Fault {
    OUT,
    REFUSED_ALONE,
    SILENT,
    HELD,
    SLOW_AND_LATE,
    OUT_AGAIN_AND_AGAIN,
    ALL_CRASH_IN_AN_OUTAGE
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void requestsAreAnsweredInTime(Fault fault) {
    SimulatedCluster cluster = new SimulatedCluster(7);
    for (int i = 0; i < 150; i++) {
      int number = 1000 + i;
      cluster.time().at(4 + i * 0.35, () -> cluster.users().submit(number));
    }
    cluster.time().at(15, () -> injectFault(cluster, fault));
    cluster.time().runUntil(110);
    Map<String, Double> longest = cluster.longestAnswers();
    longest.forEach(
        (what, seconds) -> {
          if (what.contains("/vN")) {
            double most = what.startsWith("GET") ? MAX_POLL_RESPONSE_S : MAX_CHANGE_RESPONSE_S;
            assertTrue(seconds <= most, what + " was answered after " + seconds + " s");
          }
        });
    assertEquals(
        3,
        longest.keySet().stream().filter(what -> what.contains("/vN")).count(),
        longest.toString());
    boolean refusedSome =
        cluster.users().answers().keySet().stream().anyMatch(answer -> answer.equals("submit 503"));
    assertTrue(refusedSome, "the fault had no effect: " + cluster.users().answers());
    assertEquals(List.of(), cluster.invariants().violations());
  }

  private static void injectFault(SimulatedCluster cluster, Fault fault) {
    switch (fault) {
      case OUT -> cluster.state().outage(25);
      case REFUSED_ALONE -> cluster.state().refuse(ClusterSpec.nodeName(0), 25);
      case SILENT -> cutAll(cluster, true);
      case HELD -> cutAll(cluster, false);
      case SLOW_AND_LATE -> cluster.state().applyLate(2);
      case OUT_AGAIN_AND_AGAIN -> {
        for (int i = 0; i < 10; i++) {
          cluster.time().after(4.0 * i, () -> cluster.state().outage(1.9));
        }
      }
      case ALL_CRASH_IN_AN_OUTAGE -> {
        cluster.state().outage(25);
        for (int node = 0; node < cluster.nodeCount(); node++) {
          cluster.crash(node);
        }
      }
      default -> throw new IllegalStateException();
    }
  }

  private static void cutAll(SimulatedCluster cluster, boolean lose) {
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.cut(ClusterSpec.nodeName(node), "state", 25, lose);
    }
  }
}
