package org.quincecross.failuredetection;

import org.quincecross.model.TimeSpan;

/**
 * The bound on how long an owner acts without contact to the store, and on what users who cancel
 * pay for it; both follow from the settings' {@code lease_s} (L) and {@code cancel_s} (C) alone.
 *
 * <p><b>Rule.</b> An owner responds to its machines for {@link #maxUnconfirmed} (T) after it
 * <em>sent</em> the last request to the store that was answered, and no longer. No one is told that
 * a job is cancelled before one of these is so:
 *
 * <ol>
 *   <li>the records allocate none of its tasks;
 *   <li>{@link #acknowledgementSuffices}, and every owner of a shard that the records allocate
 *       tasks of it to has seen the cancellation, with all machines of the shard fenced;
 *   <li>{@link #confirmCancellationAfter} (D) has passed since whoever confirms it saw the record
 *       first.
 * </ol>
 *
 * <p><b>Claim.</b> C after the first confirmation no task of the job is on a machine, nor can one
 * start.
 *
 * <p><b>Proof.</b> Let the cancellation become durable at d and be confirmed at t. An owner's copy
 * of the records has everything that had happened when it sent the last request that was answered
 * (at c), and it applies changes in order.
 *
 * <ul>
 *   <li>By 3, t &ge; d + D. An owner that has not seen the cancellation has c &lt; d. It responds
 *       to no heartbeat after c + T, a machine goes on for L after it sent the last heartbeat that
 *       got a response, and executes a start, however late, in the session of that time alone; so
 *       all is over by c + T + L. An owner that has seen it is bounded by what follows, with d + D
 *       in place of t.
 *   <li>By 2, what an owner of an older lease sends is refused by fenced machines, and the owner of
 *       the present one starts nothing of the job from before t on. Each response that a fenced
 *       machine accepts after that has a stop for each task of the job in the heartbeat that it
 *       responds to. So a task goes on without a response being accepted, for L at most; or its
 *       start was delayed beyond a response that was accepted after t. Of one delayed for {@code
 *       HELD_UP} at most all is over by t + {@code HELD_UP} + L; for one that is delayed longer the
 *       machine gets no more responses in time ({@code shard.UnacknowledgedResponses}, with the
 *       proof). Whoever succeeds that owner, also after a crash, knows of the cancellation before
 *       it begins.
 *   <li>By 1, a task leaves the records once it is proven to be on no machine, and what is
 *       allocated later is allocated to an owner that has seen the cancellation first.
 * </ul>
 *
 * Clocks of two machines differ by 0.05% at most; that, messages and agents that notice late are
 * the margin M, so it suffices that T + 1.002 L + M &le; D + C, and for 2 that {@code HELD_UP} +
 * 1.002 L + M &le; C. D is 8 s where that leaves T what an owner needs to live through an ordinary
 * hiccup (two store confirmations and two unanswered barriers; a pause of a second and what follows
 * it), and as much longer as it takes elsewhere. Users try for 60 s, so there is a longest D;
 * settings that need more have no bound.
 *
 * @param maxUnconfirmed T: how long an owner may respond to its machines after its last contact
 *     with the store
 * @param confirmCancellationAfter D: how long after it was seen first a cancellation may be
 *     confirmed in any case
 * @param acknowledgementSuffices whether it may be confirmed sooner, once all owners have seen it
 */
public record UnconfirmedOwnershipBound(
    TimeSpan maxUnconfirmed, TimeSpan confirmCancellationAfter, boolean acknowledgementSuffices) {
  private static final double LEAST_TOLD_AFTER_S = 8;
  private static final double LONGEST_TOLD_AFTER_S = 45;
  private static final double LEAST_UNCONFIRMED_S = 5;
  private static final double HELD_UP_S = 12;

  /** Two clocks against a third one, and what an agent takes to notice. */
  private static final double LEASE_FACTOR = 1.002;

  private static final double DRIFT = 0.001;
  private static final double LEAST_MARGIN_S = 1.5;
  private static final double MESSAGES_S = 1;

  /**
   * Whether a bound exists; if not, leases are too long for the time that a cancellation may take.
   */
  public static boolean isPossible(TimeSpan lease, TimeSpan cancel) {
    return toldAfterS(lease.seconds(), cancel.seconds()) <= LONGEST_TOLD_AFTER_S;
  }

  /**
   * The bound for these leases and cancellations.
   *
   * @throws IllegalArgumentException where {@link #isPossible} says no
   */
  public static UnconfirmedOwnershipBound of(TimeSpan lease, TimeSpan cancel) {
    if (!isPossible(lease, cancel)) {
      throw new IllegalArgumentException(
          "no bound for a lease of " + lease + " and a cancellation within " + cancel);
    }
    double toldAfter = toldAfterS(lease.seconds(), cancel.seconds());
    double margin = marginS(cancel.seconds(), toldAfter);
    double unconfirmed = cancel.seconds() + toldAfter - lease.seconds() * LEASE_FACTOR - margin;
    return new UnconfirmedOwnershipBound(
        TimeSpan.ofSeconds(unconfirmed),
        TimeSpan.ofSeconds(toldAfter),
        HELD_UP_S + lease.seconds() * LEASE_FACTOR + margin <= cancel.seconds());
  }

  /**
   * How long after the last contact a start may be sent in any case ({@link StartPermission} tells
   * when else): D - M. Of a cancellation that the owner has not seen, made durable at d, d is later
   * than that contact at c, and by 3 its user is told at d + D or later, after c + D: so what is
   * sent up to c + D - M left before anyone was told. By 1 and 2 an owner that has not seen it has
   * none of its tasks, or no one is told (docs/incidents/started-without-word.md).
   */
  public TimeSpan maxUnconfirmedStarts() {
    return new TimeSpan(
        confirmCancellationAfter.nanos()
            - TimeSpan.ofSeconds(LEAST_MARGIN_S)
                .nanos()); // over 45 s two clocks differ by less than 0.1 s
  }

  /** T and D are less than C + 2 D together, and each is measured by a clock of its own. */
  private static double marginS(double cancel, double toldAfter) {
    return Math.max(LEAST_MARGIN_S, MESSAGES_S + DRIFT * (cancel + 2 * toldAfter));
  }

  /**
   * The least D for which T comes out at its minimum or more; the margin grows with D, so it is
   * solved for each of its cases.
   */
  private static double toldAfterS(double lease, double cancel) {
    double without = LEAST_UNCONFIRMED_S + lease * LEASE_FACTOR - cancel;
    double byLeast = without + LEAST_MARGIN_S;
    double byDrift = (without + MESSAGES_S + DRIFT * cancel) / (1 - 2 * DRIFT);
    return Math.max(LEAST_TOLD_AFTER_S, Math.max(byLeast, byDrift));
  }
}
