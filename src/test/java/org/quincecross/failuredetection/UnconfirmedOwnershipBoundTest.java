package org.quincecross.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.quincecross.model.TimeSpan;

class UnconfirmedOwnershipBoundTest {
  private static final double DRIFT = 0.0005;
  private static final double MESSAGES_S = 0.9;

  /**
   * The worst case of the proof with every clock off in a different direction: an owner whose last
   * store contact is just before the cancellation became durable, a machine that it answered last,
   * and a user who is told as early as possible.
   */
  @Property(tries = 2000, seed = "31")
  void tasksEndInTimeForAnySettings(
      @ForAll @DoubleRange(min = 0.1, max = 86_400) double lease,
      @ForAll @DoubleRange(min = 0.1, max = 86_400) double cancel) {
    check(lease, cancel);
  }

  @Property(tries = 2000, seed = "32")
  void tasksEndInTimeForOrdinarySettings(
      @ForAll @DoubleRange(min = 0.5, max = 120) double lease,
      @ForAll @DoubleRange(min = 0.5, max = 120) double cancel) {
    check(lease, cancel);
  }

  private static void check(double lease, double cancel) {
    if (!UnconfirmedOwnershipBound.isPossible(
        TimeSpan.ofSeconds(lease), TimeSpan.ofSeconds(cancel))) {
      assertTrue(
          lease * 1.002 - cancel * 0.998 > 38,
          "no bound for a lease of " + lease + " and a cancellation within " + cancel);
      return;
    }
    UnconfirmedOwnershipBound bound =
        UnconfirmedOwnershipBound.of(TimeSpan.ofSeconds(lease), TimeSpan.ofSeconds(cancel));
    double t = bound.maxUnconfirmed().seconds();
    double confirmAfter = bound.confirmCancellationAfter().seconds();
    assertTrue(t > 4.9, "T is long enough for a brief disturbance: " + bound);
    assertTrue(
        confirmAfter >= 8 && confirmAfter < 45.1, "users still retry when D has passed: " + bound);
    double endedAfterDurable = t * (1 + DRIFT) + lease * (1 + DRIFT) + MESSAGES_S;
    double confirmedAt = confirmAfter * (1 - DRIFT);
    assertTrue(
        endedAfterDurable <= confirmedAt + cancel,
        bound + " at lease " + lease + ", cancel " + cancel);
    if (bound.acknowledgementSuffices()) {
      assertTrue(
          lease * (1 + DRIFT) + 12 + MESSAGES_S <= cancel,
          "one lease and a delayed start fit: " + bound);
    }
  }

  @Example
  void boundIsUnchangedForDeployedSettings() {
    assertEquals(
        new UnconfirmedOwnershipBound(
            TimeSpan.ofSeconds(36.0 + 8 - 11 * 1.002 - 1.5), TimeSpan.ofSeconds(8), true),
        of(11, 36));
    assertEquals(
        new UnconfirmedOwnershipBound(
            TimeSpan.ofSeconds(42.5 + 8 - 17.5 * 1.002 - 1.5), TimeSpan.ofSeconds(8), true),
        of(17.5, 42.5));
    assertEquals(
        new UnconfirmedOwnershipBound(
            TimeSpan.ofSeconds(54.0 + 8 - 24 * 1.002 - 1.5), TimeSpan.ofSeconds(8), true),
        of(24, 54));
  }

  /**
   * T below one second used to be rounded up to one second, and tasks outlived their cancellation.
   */
  @Example
  void longLeasesDelayConfirmation() {
    UnconfirmedOwnershipBound bound = of(60, 36);
    assertEquals(5, bound.maxUnconfirmed().seconds(), 1e-6);
    assertEquals(5 + 60.12 + 1.5 - 36, bound.confirmCancellationAfter().seconds(), 1e-6);
    assertTrue(
        !bound.acknowledgementSuffices(), "a machine that misses the stop continues for a lease");
    assertThrows(IllegalArgumentException.class, () -> of(80, 36));
  }

  private static UnconfirmedOwnershipBound of(double lease, double cancel) {
    return UnconfirmedOwnershipBound.of(TimeSpan.ofSeconds(lease), TimeSpan.ofSeconds(cancel));
  }
}
