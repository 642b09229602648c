package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.MalformedMessageException;

/**
 * A controller without the state service and the other controllers, but with its machines and
 * users; for comparison, outages that affect all controllers.
 */
class IsolatedControllerTest {
  private static final double FAULT_START_S = 40;
  private static final double SUBMISSIONS_PER_SECOND = 4;

  /** Submissions accepted within this time count as in time. */
  private static final double IN_TIME_S = 3;

  /** The result of a day. */
  private record Outcome(
      double inTime, double worst, double longestUnanswered, int fewestReplicas, int refused) {}

  private SimulatedCluster cluster;
  private LoadBalancerSimulator loadBalancer;

  private static Job oneTaskJob(int number) {
    return Job.builder(new JobId("job-" + number))
        .jobClass("late")
        .team("batch")
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(1)
        .taskResources(new Resources(0.5, 0, 1))
        .image("late")
        .imageGb(0.5)
        .estimate(TimeSpan.ofSeconds(2))
        .build();
  }

  /** Runs a day with a fault that begins at {@link #FAULT_START_S} and lasts for some time. */
  private Outcome run(long seed, double seconds, IntConsumer fault)
      throws MalformedMessageException {
    cluster = new SimulatedCluster(ClusterSpec.tryOut(BusyCluster.MACHINES, true), seed, Meter.OFF);
    loadBalancer = cluster.users().useLoadBalancer();
    List<JobId> services = new ArrayList<>();
    List<JobId> arrays = new ArrayList<>();
    BusyCluster.submit(cluster, services, arrays);
    List<JobId> late = new ArrayList<>();
    for (int i = 0; i < SUBMISSIONS_PER_SECOND * (seconds + 20); i++) {
      Job job = oneTaskJob(60_000 + i);
      late.add(job.id());
      cluster
          .time()
          .at(FAULT_START_S + i / SUBMISSIONS_PER_SECOND, () -> cluster.users().submit(job));
    }
    cluster.time().runUntil(FAULT_START_S);
    cluster.users().polls().onFault();
    fault.accept(cluster.leader());
    int fewest = Integer.MAX_VALUE;
    for (double at = FAULT_START_S; at < FAULT_START_S + seconds + 20; at += 0.5) {
      cluster.time().runUntil(at);
      fewest = Math.min(fewest, services.stream().mapToInt(cluster.invariants()::onMachines).sum());
    }
    cluster.time().runUntil(FAULT_START_S + seconds + 100);
    double longest = 0;
    for (JobId id : cluster.users().reportedStates().keySet()) {
      longest = Math.max(longest, cluster.users().polls().longestGapS(id, true));
    }
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals(
        36, services.stream().mapToInt(cluster.invariants()::onMachines).sum(), "replicas");
    for (JobId id : late) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
    }
    return new Outcome(
        late.stream().filter(id -> cluster.users().acceptedAfter().get(id) <= IN_TIME_S).count()
            / (double) late.size(),
        late.stream().mapToDouble(cluster.users().acceptedAfter()::get).max().orElseThrow(),
        longest,
        fewest,
        cluster.users().answers().getOrDefault("submit 503", 0));
  }

  /**
   * The leader is isolated, or another controller while the leader restarts: its users are soon
   * connected to the other controllers.
   */
  @ParameterizedTest
  @CsvSource({"0, false", "1, true"})
  void usersOfIsolatedControllerMoveToOthersSoon(int afterLeader, boolean lose)
      throws MalformedMessageException {
    double seconds = 20;
    Outcome outcome =
        run(
            7,
            seconds,
            leader -> {
              int lone = (leader + afterLeader) % cluster.nodeCount();
              cluster.separate(lone, seconds, lose);
              if (lose) {
                cluster.time().after(4, () -> cluster.crash(leader));
              }
              cluster.time().after(12, () -> assertFalse(loadBalancer.isHealthy(lone)));
            });
    assertTrue(outcome.inTime() > 0.95, outcome.toString());
    assertTrue(outcome.longestUnanswered() < 16, outcome.toString());
    assertEquals(36, outcome.fewestReplicas());
  }

  /**
   * All controllers lose the state service and each other: none leaves the load balancer, and the
   * first attempts after the outage are accepted.
   */
  @Test
  void outageOfAllRemovesNoControllerFromLoadBalancer() throws MalformedMessageException {
    double seconds = 20;
    Outcome outcome =
        run(
            7,
            seconds,
            leader -> {
              cluster.state().outage(seconds);
              for (int node = 0; node < cluster.nodeCount(); node++) {
                cluster.refuseLinks(node, seconds);
                int each = node;
                for (int at = 1; at < seconds; at++) {
                  cluster.time().after(at, () -> assertTrue(loadBalancer.isHealthy(each)));
                }
              }
            });
    assertTrue(outcome.inTime() > 0.5, outcome.toString());
  }
}
