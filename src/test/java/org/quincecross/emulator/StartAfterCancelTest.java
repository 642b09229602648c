package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;

/**
 * A start is delayed in the network while its job is cancelled and the user is told so. Then the
 * state service is down for all controllers, so no new token settles whether the start can still
 * arrive (incident start-after-cancel).
 */
class StartAfterCancelTest {
  private static final JobId JOB = new JobId("job-1");

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void lateStartOfCancelledJobIsNotExecuted(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    boolean[] out = new boolean[1];
    cluster.injectFaultAt(
        request ->
            request.startsWith("POST /orders")
                && request.contains("\"start\"")
                && request.contains("job-1/0"),
        40,
        SimulatedCluster.SendFault.HELD);
    cluster.time().at(20, () -> cluster.users().submitService(1));
    for (int i = 0; i < 2000; i++) {
      cluster
          .time()
          .at(
              20 + i * 0.005,
              () -> {
                if (cluster.faultedController() >= 0) {
                  cluster.users().cancel(JOB);
                }
                if (!out[0] && "cancelled".equals(cluster.invariants().lastReportedState(JOB))) {
                  out[0] = true;
                  cluster.state().outage(60);
                }
              });
    }
    cluster.time().runUntil(120);
    assertTrue(out[0]);
    assertEquals(List.of(), cluster.invariants().violations());
  }
}
