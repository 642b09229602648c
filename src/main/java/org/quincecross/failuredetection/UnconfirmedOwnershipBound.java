package org.quincecross.failuredetection;

import org.quincecross.model.TimeSpan;

/**
 * For how long a holder goes on without word from the state service, and what users who cancel pay
 * for it; both follow from the settings' {@code lease_s} (L) and {@code cancel_s} (C) alone.
 *
 * <p><b>Rule.</b> A holder answers its machines for {@link #maxUnconfirmed} (T) after it
 * <em>sent</em> the last request to the state service that was answered, and no longer. Nobody is
 * told that a job is cancelled before one of these is so:
 *
 * <ol>
 *   <li>the records allocate none of its tasks;
 *   <li>{@link #acknowledgementSuffices}, and every holder of a block that the records allocate
 *       tasks of it to has noted the cancellation, with all machines of the block fenced;
 *   <li>{@link #confirmCancellationAfter} (D) has passed since whoever tells it saw the record
 *       first.
 * </ol>
 *
 * <p><b>Claim.</b> C after the first telling no task of the job is on a machine, nor can one start.
 *
 * <p><b>Proof.</b> Let the cancellation become durable at d and be told at t. A holder's copy of
 * the records has everything that had happened when it sent the last request that was answered (at
 * c), and it takes them in their order.
 *
 * <ul>
 *   <li>By 3, t &ge; d + D. A holder that has not noted the cancellation has c &lt; d. It answers
 *       no report after c + T, a machine goes on for L after it sent the last report that was
 *       answered, and executes a start, however late, in the session of that time alone; so all is
 *       over by c + T + L. A holder that has noted it is bounded by what follows, with d + D in
 *       place of t.
 *   <li>By 2, what a holder of an older lease sends is refused by fenced machines, and the holder
 *       of the present one starts nothing of the job from before t on. Each answer that a fenced
 *       machine takes after that has a stop for each task of the job in the report that it answers.
 *       So a task goes on without an answer being taken, for L at most; or its start was held up
 *       beyond an answer that was taken after t. Of one held up for {@code HELD_UP} at most all is
 *       over by t + {@code HELD_UP} + L; for one that is held up longer the machine is answered no
 *       more in time ({@code block.UnacknowledgedResponses}, with the proof). Whoever succeeds that
 *       holder, also after a crash, knows of the cancellation before it begins.
 *   <li>By 1, a task leaves the records once it is proven to be on no machine, and what is
 *       allocated later is allocated to a holder that has seen the cancellation first.
 * </ul>
 *
 * Clocks of two machines differ by 0.05% at most; that, messages and workers that notice late are
 * the margin M, so it suffices that T + 1.002 L + M &le; D + C, and for 2 that {@code HELD_UP} +
 * 1.002 L + M &le; C. D is 8 s where that leaves T what a holder needs to live through an ordinary
 * hiccup (two heartbeats and two unanswered barriers; a stillness of a second and what follows it),
 * and as much longer as it takes elsewhere. Users try for 60 s, so there is a longest D; settings
 * that need more have no bound.
 *
 * @param maxUnconfirmed T: how long a holder may answer its machines after it last heard from the
 *     state service
 * @param confirmCancellationAfter D: how long after it was seen first a cancellation may be told in
 *     any case
 * @param acknowledgementSuffices whether it may be told sooner, once all holders have noted it
 */
public record UnconfirmedOwnershipBound(
    TimeSpan maxUnconfirmed, TimeSpan confirmCancellationAfter, boolean acknowledgementSuffices) {
  private static final double LEAST_TOLD_AFTER_S = 8;
  private static final double LONGEST_TOLD_AFTER_S = 45;
  private static final double LEAST_UNCONFIRMED_S = 5;
  private static final double HELD_UP_S = 12;

  /** Two clocks against a third one, and what a worker takes to notice. */
  private static final double LEASE_FACTOR = 1.002;

  private static final double DRIFT = 0.001;
  private static final double LEAST_MARGIN_S = 1.5;
  private static final double MESSAGES_S = 1;

  /**
   * Whether a bound can be made; where not, leases are too long for the time that a cancellation
   * has.
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
   * How long after the last word a start may be sent in any case ({@link StartPermission} has when
   * else): D - M. Of a cancellation that is not noted here, made durable at d, d is later than that
   * word at c, and by 3 its user is told at d + D or later, after c + D: so what is sent up to c +
   * D - M left before anybody was told. By 1 and 2 a holder that has not noted it has none of its
   * tasks, or nobody is told (docs/incidents/started-without-word.md).
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
