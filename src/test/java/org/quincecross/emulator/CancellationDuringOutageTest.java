package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.MalformedMessageException;

/**
 * The state service refuses only the leader, users cancel through the other controllers, and then
 * the service is down for all, for longer than the cancellation timeout. The machines keep
 * reporting to the former leader. All tasks of a cancelled job must have ended in time after its
 * user was told.
 */
class CancellationDuringOutageTest extends BusyCluster {
  private static final double REFUSAL_START_S = 30;
  private static final double OUTAGE_START_S = 32;
  private static final double REFUSAL_DURATION_S = 14;
  private static final int LONG_JOBS = 20;
  private static final int JOBS_NOT_CANCELLED = 4;

  private final double cancelS = spec.workers().cancelTimeout().seconds();
  private final double outageDurationS = cancelS + 12;
  private final List<JobId> longJobs = new ArrayList<>();
  private double outageStartS = OUTAGE_START_S;
  private int leader;

  CancellationDuringOutageTest() throws MalformedMessageException {}

  @BeforeEach
  void submitLongArrays() {
    for (int i = 0; i < LONG_JOBS; i++) {
      Job job =
          Job.builder(new JobId("job-" + (30_000 + i)))
              .jobClass("long")
              .team("batch")
              .kind(JobKind.ARRAY)
              .priority(Priority.NORMAL)
              .taskCount(i == JOBS_NOT_CANCELLED ? 60 : 6)
              .taskResources(new Resources(1, 0, 2))
              .image("long")
              .imageGb(0.5)
              .estimate(TimeSpan.ofSeconds(300))
              .build();
      longJobs.add(job.id());
      cluster.time().at(5 + 0.3 * i, () -> cluster.users().submit(job));
    }
    cluster.time().at(REFUSAL_START_S - 1, () -> cluster.users().multiplyPolls(6, 100));
    cluster.time().runUntil(REFUSAL_START_S);
    leader = cluster.leader();
    assertTrue(
        longJobs.stream().mapToInt(cluster.invariants()::onMachines).sum() > 100, "long tasks run");
  }

  private String leaderName() {
    return ClusterSpec.nodeName(leader);
  }

  private List<JobId> cancelled() {
    return longJobs.subList(JOBS_NOT_CANCELLED, LONG_JOBS);
  }

  private void injectRefusalAndOutage() {
    cluster
        .time()
        .at(REFUSAL_START_S, () -> cluster.state().refuse(leaderName(), REFUSAL_DURATION_S));
    cluster.time().at(OUTAGE_START_S, () -> cluster.state().outage(outageDurationS));
  }

  /**
   * All jobs are cancelled just after the refusal began, so most cancellations are durable before
   * the outage and reported during it.
   */
  private void cancelAll(double fromS) {
    for (int i = 0; i < cancelled().size(); i++) {
      JobId id = cancelled().get(i);
      cluster.time().at(fromS + 0.07 * i, () -> cluster.users().cancel(id));
    }
  }

  private long confirmedBy(double atS) {
    return cancelled().stream()
        .filter(
            id ->
                cluster.invariants().cancelledAt(id) != null
                    && cluster.invariants().cancelledAt(id) < atS)
        .count();
  }

  /**
   * Runs to the end: no rule is broken, cancelled jobs are reported and gone, and other jobs
   * continue.
   */
  private void assertCancellationsWereKept() {
    assertAllCancelledAreGone();
    for (JobId id : longJobs.subList(0, JOBS_NOT_CANCELLED)) {
      assertEquals(6, cluster.invariants().onMachines(id), id.text());
    }
    assertEquals(36, replicas());
  }

  private void assertAllCancelledAreGone() {
    cluster.time().runUntil(outageStartS + outageDurationS + 100);
    assertEquals(List.of(), cluster.invariants().violations());
    for (JobId id : cancelled()) {
      assertEquals("cancelled", cluster.users().reportedStates().get(id), id.text());
      assertEquals(0, cluster.invariants().onMachines(id), id.text());
    }
  }

  /** The basic sequence: refusal of the leader, then outage for all. */
  @Test
  void cancelsInTimeWhenLeaderThenAllAreRefused() {
    injectRefusalAndOutage();
    cancelAll(REFUSAL_START_S + 0.2);
    cluster.time().runUntil(OUTAGE_START_S + 10);
    assertTrue(
        confirmedBy(OUTAGE_START_S + 10) > 10,
        "most are told in the outage, after 8 s: " + confirmedBy(OUTAGE_START_S + 10));
    assertTrue(
        cancelled().stream().mapToInt(cluster.invariants()::onMachines).sum() > 0,
        "what the refused leader holds goes on meanwhile");
    assertCancellationsWereKept();
  }

  /**
   * The cancelling change is delayed for longer than the confirmation delay, and becomes durable
   * only when the leader is already refused. Its wall-clock time is old, but users must not be told
   * at once (docs/incidents/told-by-an-old-time.md).
   */
  @Test
  void cancelsInTimeWhenChangeBecomesDurableLate() {
    JobId large = cancelled().get(0);
    double heldS = 11;
    cluster
        .time()
        .at(
            REFUSAL_START_S + 0.1,
            () ->
                cluster.injectFaultAt(
                    request -> request.startsWith("POST /txn") && request.contains("\"cancelled\""),
                    heldS,
                    SimulatedCluster.SendFault.STILL_BEFORE));
    cluster
        .time()
        .at(
            REFUSAL_START_S + 0.2,
            () ->
                cluster.sendDirectly(
                    (leader + 1) % 3,
                    HttpRequest.post("/v2/runs/" + large + "/cancel", new byte[0]),
                    answer -> {}));
    double durableS = REFUSAL_START_S + 0.2 + heldS;
    cluster
        .time()
        .at(
            durableS - 0.3,
            () -> {
              leader = cluster.leader();
              cluster.state().refuse(leaderName(), REFUSAL_DURATION_S);
            });
    cluster.time().at(durableS + 1, () -> cluster.state().outage(outageDurationS));
    cluster.time().at(durableS + 0.2, () -> cluster.users().cancel(large));
    cluster
        .time()
        .at(
            REFUSAL_START_S + 4,
            () -> cancelled().subList(1, cancelled().size()).forEach(cluster.users()::cancel));
    cluster.time().runUntil(durableS + 1);
    assertNotEquals(-1, cluster.faultedController());
    assertNotEquals(leader, cluster.faultedController());
    assertTrue(
        cluster.invariants().onMachines(large) > 0, "what the refused leader holds of it goes on");
    outageStartS = durableS + 1;
    assertCancellationsWereKept();
  }

  /**
   * The other controllers restart before the outage: the records do not tell them when the
   * cancellation became durable.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.9, 1.2})
  void cancelsInTimeWhenOthersRestartBeforeOutage(double afterS) {
    injectRefusalAndOutage();
    cancelAll(REFUSAL_START_S + 0.1);
    cluster
        .time()
        .at(
            REFUSAL_START_S + afterS,
            () -> {
              cluster.stopFor((leader + 1) % 3, 0.1);
              cluster.stopFor((leader + 2) % 3, 0.1);
            });
    assertCancellationsWereKept();
  }

  /**
   * The leader is refused, served briefly, refused again, then the outage follows; or the outage
   * comes first and the leader is refused after it.
   */
  @ParameterizedTest
  @CsvSource({"4, 0.3, 1", "4, 1.5, 6"})
  void cancelsInTimeWhenLeaderIsRefusedTwice(double firstS, double servedS, double outAfterS) {
    cluster.time().at(REFUSAL_START_S, () -> cluster.state().refuse(leaderName(), firstS));
    cluster
        .time()
        .at(
            REFUSAL_START_S + firstS + servedS,
            () -> cluster.state().refuse(leaderName(), REFUSAL_DURATION_S));
    cluster
        .time()
        .at(
            REFUSAL_START_S + firstS + servedS + outAfterS,
            () -> cluster.state().outage(outageDurationS));
    cancelAll(REFUSAL_START_S + firstS + servedS - 0.3);
    assertCancellationsWereKept();
  }

  @Test
  void cancelsInTimeWhenLeaderIsRefusedAfterOutage() {
    injectRefusalAndOutage();
    cancelAll(REFUSAL_START_S + 0.5);
    cluster
        .time()
        .at(
            OUTAGE_START_S + outageDurationS + 0.02,
            () -> cluster.state().refuse(leaderName(), 12));
    assertCancellationsWereKept();
  }

  /**
   * The leader is suspended before its time without confirmation ends, and resumes after it, with
   * machines whose leases are still valid.
   */
  @ParameterizedTest
  @CsvSource({"55, 7", "40, 25"})
  void cancelsInTimeWhenLeaderIsSuspended(double fromS, double seconds) {
    injectRefusalAndOutage();
    cancelAll(REFUSAL_START_S + 0.5);
    cluster.time().at(fromS, () -> cluster.suspend(leader, seconds));
    assertCancellationsWereKept();
  }

  /**
   * All owners have seen the cancellation and users are told at once; then an owner fails or is
   * suspended, and nobody can succeed it during the outage.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void cancelsInTimeWhenOwnerFailsAfterSeeingCancellation(boolean ends) {
    cancelAll(REFUSAL_START_S);
    cluster.time().at(REFUSAL_START_S + 1.9, () -> cluster.state().outage(outageDurationS));
    cluster
        .time()
        .at(
            REFUSAL_START_S + 1.5,
            () -> {
              if (ends) {
                cluster.stopFor(leader, outageDurationS);
              } else {
                cluster.suspend(leader, outageDurationS);
              }
            });
    cluster.time().runUntil(OUTAGE_START_S);
    assertTrue(
        confirmedBy(OUTAGE_START_S) > 10, "told before the outage: " + confirmedBy(OUTAGE_START_S));
    assertCancellationsWereKept();
  }

  /**
   * Some of the days of {@link SeedsTest}; the first three break the rule if the time in the record
   * counts.
   */
  @ParameterizedTest
  @ValueSource(longs = {7, 38, 115, 280})
  void keepsRulesOnFixedSeeds(long seed) {
    assertEquals(List.of(), new CancellationDuringOutageScenario(seed).run());
  }
}
