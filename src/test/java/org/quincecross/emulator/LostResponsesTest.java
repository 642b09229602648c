package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;

/**
 * Transactions that are applied at once and of which only the answer is lost, with three
 * controllers in virtual time.
 */
class LostResponsesTest {
  private final SimulatedCluster cluster = new SimulatedCluster(4);

  private void loseAnswers(double fromS, double untilS, double share, String what) {
    DelayedTransactions lost =
        DelayedTransactions.atOnce(
            share,
            () -> cluster.time().seconds() >= fromS && cluster.time().seconds() < untilS,
            new Random(5));
    cluster
        .state()
        .delayTransactions(
            transaction ->
                transaction.contains(what) ? lost.afterS(transaction) : DelayedTransactions.PROMPT);
  }

  /**
   * For each kind of write, while all controllers read the result: it counts once, users are told
   * only what is recorded, and all jobs that were submitted or cancelled meanwhile end as done or
   * cancelled. Jobs are submitted one at a time, together, and cancelled at once.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "q/job/",
        "q/bundle/",
        "\"cancelled\"",
        "q/block/",
        "q/alloc/",
        "q/change/",
        "q/page/",
        "\"done\"",
        "q/member/",
        "q/lead",
        "q/"
      })
  void everyKindOfWriteCountsOnce(String what) {
    cluster.state().applyLate(0);
    loseAnswers(what.equals("q/member/") || what.equals("q/lead") ? 0 : 12, 70, 0.5, what);
    for (int i = 0; i < 40; i++) {
      int number = 100 + i;
      cluster.time().at(i % 2 == 1 ? 20 : 3 + 1.5 * i, () -> cluster.users().submit(number));
      if (i % 4 == 0) {
        cluster.time().at(6 + 1.5 * i, () -> cluster.users().cancel(new JobId("job-" + number)));
      }
    }
    cluster.time().at(30, () -> cluster.crash((cluster.leader() + 1) % cluster.nodeCount()));
    cluster.time().at(45, () -> cluster.crash(Math.max(0, cluster.leader())));
    cluster.time().runUntil(200);
    assertTrue(
        what.equals("q/page/")
            || what.equals("q/change/")
            || cluster.state().lateOutcomes().contains(200),
        cluster.state().lateOutcomes().toString());
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals(40, cluster.users().reportedStates().size());
    cluster
        .users()
        .reportedStates()
        .forEach(
            (id, state) ->
                assertTrue(state.equals("done") || state.equals("cancelled"), id + " " + state));
  }

  /**
   * The announcement of a starting controller is applied and its answer is lost. The controller is
   * a member by the record, and its lease is renewed from then on, rather than expiring while it
   * announces itself again (docs/incidents/announced-and-not-told.md).
   */
  @Test
  void announcementWithLostAnswerKeepsItsLease() {
    cluster.state().applyLate(0);
    cluster.time().runUntil(30);
    int node = (cluster.leader() + 1) % cluster.nodeCount();
    cluster.crash(node);
    boolean[] lost = new boolean[1];
    cluster
        .state()
        .delayTransactions(
            transaction -> {
              if (lost[0]
                  || !transaction.contains("\"Set\":\"q/member/" + ClusterSpec.nodeName(node))) {
                return DelayedTransactions.PROMPT;
              }
              lost[0] = true;
              return DelayedTransactions.AT_ONCE;
            });
    Object process = null;
    for (double at = 30; at < 60; at += 0.1) {
      cluster.time().runUntil(at);
      Object record = cluster.state().value("q/member/" + ClusterSpec.nodeName(node));
      if (lost[0]) {
        assertTrue(record != null, "no member any more at " + at);
        Object now = ((Map<?, ?>) record).get("life");
        assertTrue(process == null || process.equals(now), "another process at " + at);
        process = now;
      }
    }
    assertTrue(lost[0]);
  }

  /**
   * One in five writes that accept jobs loses its answer, or is applied seconds later. Users whose
   * job is recorded are told so in time, and submissions of other users are not delayed
   * (docs/incidents/an-answer-that-holds-up-others.md).
   */
  @ParameterizedTest
  @CsvSource({"0, 0, 0.9, 5", "2, 12, 0.7, 15"})
  void lostAnswersDoNotDelayOtherSubmissions(
      double leastS, double mostS, double inTime, double longestS) {
    cluster.state().applyLate(0);
    Random draws = new Random(6);
    DelayedTransactions late =
        leastS == 0
            ? DelayedTransactions.atOnce(0.2, () -> true, draws)
            : DelayedTransactions.share(0.2, leastS, mostS, () -> true, draws);
    cluster
        .state()
        .delayTransactions(
            transaction ->
                cluster.time().seconds() > 20
                        && (transaction.contains("\"Set\":\"q/bundle/")
                            || (transaction.contains("\"Set\":\"q/job/")
                                && transaction.contains("\"open\"")))
                    ? late.afterS(transaction)
                    : DelayedTransactions.PROMPT);
    for (int i = 0; i < 240; i++) {
      int number = 1000 + i;
      cluster.time().at(20 + 0.25 * i, () -> cluster.users().submit(number));
    }
    cluster.time().runUntil(160);
    assertEquals(List.of(), cluster.invariants().violations());
    double[] after =
        cluster.users().acceptedAfter().values().stream()
            .mapToDouble(each -> each)
            .sorted()
            .toArray();
    assertEquals(240, after.length);
    long quick = Arrays.stream(after).filter(each -> each < 0.6).count();
    assertTrue(quick >= inTime * after.length, quick + " within 0.6 s");
    assertTrue(after[after.length - 1] <= longestS, "the last after " + after[after.length - 1]);
  }
}
