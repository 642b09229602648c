package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/**
 * A leader allocates a task to a shard and fails. Its write is delayed until its successor, which
 * cannot reach that shard's machines, has allocated the task to another shard. No key of the late
 * write has changed since, so only the leadership precondition refuses it.
 */
class LeadershipGuardTest {
  private static final double WRITE_DELAY_S = 14;

  /**
   * Long enough for the successor to choose another shard, and over before the late write arrives,
   * because the shard would start the task at once.
   */
  private static final double PARTITION_S = 9;

  private String shard;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void taskAllocatedByTwoLeadersIsInOneShard(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(ClusterSpec.tryOut(30, true), seed, Meter.OFF);
    JobId id = new JobId("job-1");
    cluster.injectFaultAt(
        request -> {
          boolean gives = request.startsWith("POST /txn") && request.contains("\"Set\":\"q/alloc/");
          if (gives) {
            shard = request.replaceFirst("(?s).*\"Set\":\"q/alloc/([^\"]*)\".*", "$1");
            cluster.time().after(0.01, () -> failLeader(cluster));
          }
          return gives;
        },
        WRITE_DELAY_S,
        SimulatedCluster.SendFault.HELD);
    // Into the leader's zone, where it owns all shards itself: so the chosen shard gets a new
    // owner, which no machine there obeys yet.
    cluster
        .time()
        .at(
            20,
            () ->
                cluster
                    .users()
                    .submit(
                        Job.builder(id)
                            .jobClass("long")
                            .team("batch")
                            .kind(JobKind.ARRAY)
                            .priority(Priority.NORMAL)
                            .taskCount(1)
                            .taskResources(new Resources(2, 0, 2))
                            .zone(cluster.spec().nodeZones().get(cluster.leader()))
                            .image("img-1")
                            .imageGb(1)
                            .estimate(TimeSpan.ofSeconds(60))
                            .build()));
    cluster.time().runUntil(20 + WRITE_DELAY_S - 1);
    assertNotNull(shard);
    assertEquals(
        1, cluster.invariants().onMachines(id), "runs elsewhere before the late write comes");
    cluster.time().runUntil(20 + WRITE_DELAY_S + 6);
    assertEquals(List.of(), cluster.invariants().violations());
    assertNull(cluster.state().value("q/alloc/" + shard), "the late write");
    cluster.time().runUntil(130);
    assertEquals(List.of(), cluster.invariants().violations());
    assertEquals(1, cluster.invariants().starts());
    assertEquals("done", cluster.users().reportedStates().get(id));
  }

  /**
   * The leader fails, and no controller reaches the machines that it has just allocated the task
   * to.
   */
  private void failLeader(SimulatedCluster cluster) {
    cluster.stopFor(cluster.leader(), 60);
    List<?> machines =
        (List<?>) ((Map<?, ?>) cluster.state().value("q/block/" + shard)).get("machines");
    for (Object machine : machines) {
      for (int node = 0; node < cluster.nodeCount(); node++) {
        cluster.cut(
            ClusterSpec.nodeName(node), (String) ((List<?>) machine).get(0), PARTITION_S, true);
      }
    }
  }
}
