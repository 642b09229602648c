package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The cost of doubling the fleet, counted in calls and bytes rather than timed. */
class CostScalingTest {
  private static final double DAY_S = 100;

  private static Meter play(int machines) {
    Meter meter = new Meter(true);
    SimulatedCluster cluster = new SimulatedCluster(ClusterSpec.fleet(machines), 3, meter);
    WorkloadGenerator load = new WorkloadGenerator(cluster.environment(), 3);
    cluster.time().at(10, () -> load.begin(15));
    cluster.time().runUntil(DAY_S);
    return meter;
  }

  /**
   * The number of events grows with the machines; the number of periodic calls and the cost of one
   * event do not.
   */
  @Test
  void twiceTheMachinesDoublesEventsOnly() {
    Meter small = play(120);
    Meter large = play(240);
    assertTrue(calls(large, "POST /agent/…") > 1.5 * calls(small, "POST /agent/…"));
    for (String timer :
        new String[] {
          "timer Leader",
          "timer PeerReporter",
          "timer OwnedShards",
          "timer Autoscaler",
          "peer report"
        }) {
      assertTrue(
          calls(large, timer) < 1.4 * calls(small, timer),
          timer + ": " + calls(small, timer) + " calls, then " + calls(large, timer));
    }
    for (String event : new String[] {"POST /agent/…", "GET /vN/…", "answer /orders"}) {
      double before = bytes(small, event);
      double after = bytes(large, event);
      assertTrue(after < 1.6 * before, event + ": " + before + " bytes each, then " + after);
    }
  }

  /** Three controllers whose only work is to answer thirty machines. */
  @Test
  void idleClusterCausesFewCalls() {
    Meter meter = new Meter(true);
    SimulatedCluster cluster = new SimulatedCluster(ClusterSpec.tryOut(30, false), 3, meter);
    cluster.time().runUntil(30);
    long before = meter.costs().values().stream().mapToLong(Meter.Cost::calls).sum();
    long reports = calls(meter, "POST /agent/…");
    cluster.time().runUntil(60);
    long all = meter.costs().values().stream().mapToLong(Meter.Cost::calls).sum() - before;
    long perControllerAndSecond = (all - (calls(meter, "POST /agent/…") - reports)) / 3 / 30;
    assertTrue(
        perControllerAndSecond < 26, perControllerAndSecond + " calls a second beside reports");
  }

  private static long calls(Meter meter, String kind) {
    return meter.costs().get(kind).calls();
  }

  private static double bytes(Meter meter, String kind) {
    return (double) meter.costs().get(kind).bytes() / meter.costs().get(kind).calls();
  }
}
