package org.quincecross.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.quincecross.model.ControllerId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Tests the detectors of broken links, of controllers that do not reach machines, and of pauses of
 * the own process.
 */
class FailureDetectionTest {
  private static final ControllerId CONTROLLER = new ControllerId("n1");

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime(TimeSpan.ofSeconds(seconds).nanos());
  }

  /**
   * While a link is unacknowledged, a new connection is requested repeatedly, but never twice
   * within the receipt timeout.
   */
  @Property(tries = 200)
  void reconnectsUnacknowledgedLinkInTimeAndNotTooOften(
      @ForAll @DoubleRange(min = 0.1, max = 0.9) double every,
      @ForAll @IntRange(min = 0, max = 40) int acknowledged) {
    LinkMonitor link = new LinkMonitor();
    double lastReconnect = Double.NEGATIVE_INFINITY;
    double quietFrom = acknowledged * every;
    for (int i = 0; i < 200; i++) {
      double now = i * every;
      link.sent(at(now));
      if (i < acknowledged) {
        link.receipt(i, false, at(now));
      }
      if (link.takeReconnectNeeded(at(now))) {
        assertTrue(now > quietFrom, "the link was acknowledged until " + quietFrom);
        assertTrue(now - lastReconnect > 2.999);
        lastReconnect = now;
      }
      assertTrue(now - Math.max(lastReconnect, quietFrom) < 3 + 3 * every, "not noticed at " + now);
    }
  }

  @Test
  void receiptWithGapAcknowledgesLink() {
    LinkMonitor link = new LinkMonitor();
    for (double now = 0; now < 20; now += 0.5) {
      link.sent(at(now));
      link.receipt(7, true, at(now));
      assertFalse(link.takeReconnectNeeded(at(now)));
    }
  }

  /**
   * A controller that stays unreachable is probed at growing intervals; once it is reachable it is
   * treated like the others.
   */
  @Test
  void probesUnreachableControllerAtGrowingIntervals() {
    ReachabilityMap reachability = new ReachabilityMap();
    int trials = 0;
    double reachableFrom = 600;
    reachability.unreachable(CONTROLLER, "a", at(0));
    assertEquals(
        ReachabilityMap.State.HEARS, reachability.state(CONTROLLER, "b", at(1)), "another zone");
    double given = 0;
    for (double now = 0; now < 900; now += 0.5) {
      ReachabilityMap.State state = reachability.state(CONTROLLER, "a", at(now));
      if (state == ReachabilityMap.State.TO_BE_TRIED) {
        reachability.probeStarted(CONTROLLER, "a", at(now));
        given = now;
        trials++;
      } else if (state == ReachabilityMap.State.ON_TRIAL && now - given >= 4) {
        if (now < reachableFrom) {
          reachability.unreachable(CONTROLLER, "a", at(now));
        } else {
          reachability.reachable(CONTROLLER, "a", at(now));
        }
      }
      if (now == 300) {
        assertTrue(trials <= 5, trials + " trials in 300 s");
      }
    }
    assertEquals(ReachabilityMap.State.HEARS, reachability.state(CONTROLLER, "a", at(900)));
    assertTrue(trials <= 9, trials + " trials");
  }

  @Test
  void probeWithoutOutcomeHasFailed() {
    ReachabilityMap reachability = new ReachabilityMap();
    reachability.unreachable(CONTROLLER, "a", at(0));
    reachability.probeStarted(CONTROLLER, "a", at(13));
    assertEquals(ReachabilityMap.State.ON_TRIAL, reachability.state(CONTROLLER, "a", at(14)));
    reachability.reachable(CONTROLLER, "b", at(14));
    assertEquals(ReachabilityMap.State.DEAF, reachability.state(CONTROLLER, "a", at(26)));
  }

  /**
   * A gap is reported once, at the first event after it, and ends with a confirmation after it or
   * by timeout.
   */
  @Property(tries = 200)
  void detectsPauseUntilStateIsConfirmed(
      @ForAll @DoubleRange(min = 0, max = 120) double gap,
      @ForAll @DoubleRange(min = 0, max = 3) double confirmedAfter) {
    PauseDetector detector = new PauseDetector(at(0));
    assertEquals(TimeSpan.ZERO, detector.tick(at(0.2)));
    double woke = 0.2 + gap;
    TimeSpan noticed = detector.tick(at(woke));
    boolean wasPaused = gap > 1.5;
    assertEquals(wasPaused, !noticed.equals(TimeSpan.ZERO));
    assertEquals(
        wasPaused,
        detector.isWaking(at(0.1), at(woke)),
        "a confirmation before the pause does not count");
    assertEquals(TimeSpan.ZERO, detector.tick(at(woke + 0.1)));
    assertFalse(
        detector.isWaking(at(0.1), at(woke + 2.1)), "waking ends by timeout during a store outage");
    if (wasPaused) {
      PauseDetector other = new PauseDetector(at(0));
      other.tick(at(woke));
      double now = woke + confirmedAfter;
      assertEquals(confirmedAfter <= 2, other.isWaking(at(woke - 0.01), at(now)));
      assertFalse(other.isWaking(at(woke + 0.01), at(now)));
    }
  }
}
