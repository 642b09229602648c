package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.model.JobId;
import org.quincecross.model.Resources;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.rollout.Build;

/**
 * Three controllers are replaced under load, pipelines arrive once all of them are new, and the
 * state service lowers its limits, in virtual time.
 */
@Timeout(60)
class DependencyUpgradeTest {
  private static final Settings.StoreLimits LOW = ClusterSpec.TRY_OUT_NEXT;
  private static final Build OLD = Build.present("old", 1);
  private static final Build NEW = Build.present("new", 2);
  private static final double FIRST_REPLACED_S = 20;
  private static final double ALL_REPLACED_S = 31;
  private static final double PIPELINES_START_S = 60;
  private static final double MAX_REFUSED_S = 5;

  private final SimulatedCluster cluster =
      new SimulatedCluster(
          ClusterSpec.tryOut(BusyCluster.MACHINES, true),
          6,
          Meter.OFF,
          new Features(null, null, OLD));
  private final List<JobId> services = new ArrayList<>();
  private final List<JobId> arrays = new ArrayList<>();
  private final List<JobId> dependentJobs = new ArrayList<>();

  DependencyUpgradeTest() throws MalformedMessageException {
    BusyCluster.submit(cluster, services, arrays);
  }

  /** Another event during the upgrade. */
  enum ConcurrentEvent {
    NOTHING,
    LEADER_ENDS,
    ONE_REFUSED,
    OUTAGE_AS_THE_LIMITS_FALL
  }

  private void submitPipelines() {
    PipelineGenerator draws =
        new PipelineGenerator(
            cluster.random(), List.of("web", "batch"), new Resources(0.5, 0, 1), 700_000);
    for (double at = ALL_REPLACED_S; at < ALL_REPLACED_S + PIPELINES_START_S; at += 3) {
      cluster
          .time()
          .at(
              at,
              () ->
                  draws
                      .nextPipeline(arrays)
                      .forEach(
                          step -> {
                            dependentJobs.add(step.job().id());
                            cluster.environment().pipelines().submit(step);
                          }));
    }
  }

  /**
   * Whatever happens, on no day without faults is a job with dependencies refused for 5 s after all
   * controllers are new.
   */
  @ParameterizedTest
  @CsvSource({
    "36, NOTHING",
    "50, NOTHING",
    "33, LEADER_ENDS",
    "45, ONE_REFUSED",
    "40, OUTAGE_AS_THE_LIMITS_FALL"
  })
  void acceptsPipelinesDuringUpgradeWithFallingLimits(double fallAt, ConcurrentEvent meanwhile) {
    for (int node = 0; node < cluster.nodeCount(); node++) {
      int each = node;
      cluster
          .time()
          .at(
              FIRST_REPLACED_S + 5 * node,
              () -> {
                cluster.configureNextLimits(each, LOW);
                cluster.upgrade(each, NEW);
              });
    }
    submitPipelines();
    cluster.time().at(fallAt, () -> cluster.state().limit(LOW));
    switch (meanwhile) {
      case LEADER_ENDS ->
          cluster.time().at(ALL_REPLACED_S + 1, () -> cluster.crash(Math.max(0, cluster.leader())));
      case ONE_REFUSED ->
          cluster
              .time()
              .at(ALL_REPLACED_S + 1, () -> cluster.state().refuse(ClusterSpec.nodeName(1), 20));
      case OUTAGE_AS_THE_LIMITS_FALL ->
          cluster.time().at(fallAt - 2, () -> cluster.state().outage(9));
      default -> {}
    }
    cluster.time().runUntil(240);
    assertEquals(List.of(), cluster.invariants().violations());
    assertTrue(dependentJobs.size() > 60, dependentJobs.size() + " jobs in pipelines");
    for (JobId id : dependentJobs) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
    }
    if (meanwhile == ConcurrentEvent.NOTHING) {
      double longest =
          dependentJobs.stream()
              .mapToDouble(cluster.users().acceptedAfter()::get)
              .max()
              .orElseThrow();
      assertTrue(longest < MAX_REFUSED_S, "accepted after " + longest);
    }
    assertEquals(
        36, services.stream().mapToInt(cluster.invariants()::onMachines).sum(), "replicas");
  }
}
