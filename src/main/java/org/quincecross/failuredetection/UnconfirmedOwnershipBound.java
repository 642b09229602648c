package org.quincecross.failuredetection;

import org.quincecross.model.TimeSpan;

/**
 * The bound on how long an owner acts without contact to the store, and on how long users who
 * cancel have to wait for it. Both follow from the settings' {@code lease_s} (L) and {@code
 * cancel_s} (C) alone.
 *
 * <p><b>Rule.</b> An owner responds to its machines for {@link #maxUnconfirmed} (T) after it
 * <em>sent</em> the last request to the store that was answered, and no longer. No user is told
 * that a job is cancelled before one of these holds:
 *
 * <ol>
 *   <li>the records allocate none of its tasks;
 *   <li>{@link #acknowledgementSuffices}, and every owner of a shard that the records allocate
 *       tasks of it to has seen the cancellation, with all machines of the shard fenced;
 *   <li>{@link #confirmCancellationAfter} (D) has passed since the controller that confirms it
 *       first saw the record.
 * </ol>
 *
 * <p><b>Claim.</b> C after the first confirmation no task of the job is on a machine, and none can
 * start.
 *
 * <p><b>Proof.</b> Let the cancellation become durable at d and be confirmed at t. An owner's copy
 * of the records contains everything that had happened when it sent the last request that was
 * answered (at c), and it applies changes in order.
 *
 * <ul>
 *   <li>By 3, t &ge; d + D. An owner that has not seen the cancellation has c &lt; d. It responds
 *       to no heartbeat after c + T. A machine continues for L after it sent the last heartbeat
 *       that got a response, and executes a start, however late, only in the session of that time;
 *       so everything has ended by c + T + L. An owner that has seen it is bounded as follows, with
 *       d + D in place of t.
 *   <li>By 2, what an owner of an older lease sends is rejected by fenced machines, and the current
 *       owner starts nothing of the job from before t on. Each response that a fenced machine
 *       accepts after that contains a stop for each task of the job in the heartbeat that it
 *       responds to. So either a task continues without a response being accepted, for at most L;
 *       or its start was delayed beyond a response that was accepted after t. If it was delayed by
 *       {@code DELAYED_START_S} at most, everything has ended by t + {@code DELAYED_START_S} + L;
 *       if longer, the machine gets no more responses in time ({@code
 *       shard.UnacknowledgedResponses}, with the proof). A successor of that owner, also after a
 *       crash, knows of the cancellation before it begins.
 *   <li>By 1, a task leaves the records once it is proven to be on no machine, and what is
 *       allocated later is allocated to an owner that has seen the cancellation first.
 * </ul>
 *
 * Clocks of two machines differ by 0.05% at most. That, message delays and agents that notice late
 * make up the margin M, so it suffices that T + 1.002 L + M &le; D + C, and for 2 that {@code
 * DELAYED_START_S} + 1.002 L + M &le; C. D is 8 s if that leaves T as long as an owner needs to
 * survive a brief disturbance (two store confirmations and two unanswered barriers; a pause of a
 * second and its consequences), and otherwise as much longer as needed. Users retry for 60 s, so D
 * has an upper limit; settings that need more have no bound.
 *
 * @param maxUnconfirmed T: how long an owner may respond to its machines after its last contact
 *     with the store
 * @param confirmCancellationAfter D: how long after it was first seen a cancellation may be
 *     confirmed in any case
 * @param acknowledgementSuffices whether it may be confirmed sooner, once all owners have seen it
 */
public record UnconfirmedOwnershipBound(
    TimeSpan maxUnconfirmed, TimeSpan confirmCancellationAfter, boolean acknowledgementSuffices) {
  private static final double MIN_CONFIRM_AFTER_S = 8;
  private static final double MAX_CONFIRM_AFTER_S = 45;
  private static final double MIN_UNCONFIRMED_S = 5;
  private static final double DELAYED_START_S = 12;

  /** Covers the drift of two clocks against a third one, and the delay of an agent. */
  private static final double LEASE_FACTOR = 1.002;

  private static final double DRIFT = 0.001;
  private static final double MIN_MARGIN_S = 1.5;
  private static final double MESSAGES_S = 1;

  /**
   * Whether a bound exists; if not, leases are too long for the time allowed for a cancellation.
   */
  public static boolean isPossible(TimeSpan lease, TimeSpan cancel) {
    return confirmAfterS(lease.seconds(), cancel.seconds()) <= MAX_CONFIRM_AFTER_S;
  }

  /**
   * Returns the bound for these durations.
   *
   * @throws IllegalArgumentException if {@link #isPossible} is false
   */
  public static UnconfirmedOwnershipBound of(TimeSpan lease, TimeSpan cancel) {
    if (!isPossible(lease, cancel)) {
      throw new IllegalArgumentException(
          "no bound for a lease of " + lease + " and a cancellation within " + cancel);
    }
    double confirmAfter = confirmAfterS(lease.seconds(), cancel.seconds());
    double margin = marginS(cancel.seconds(), confirmAfter);
    double unconfirmed = cancel.seconds() + confirmAfter - lease.seconds() * LEASE_FACTOR - margin;
    return new UnconfirmedOwnershipBound(
        TimeSpan.ofSeconds(unconfirmed),
        TimeSpan.ofSeconds(confirmAfter),
        DELAYED_START_S + lease.seconds() * LEASE_FACTOR + margin <= cancel.seconds());
  }

  /**
   * How long after the last contact a start may be sent in any case: D - M; {@link StartPermission}
   * decides in which other cases it may. A cancellation that the owner has not seen became durable
   * at d, later than that contact at c, and by 3 its user is told at d + D or later, so after c +
   * D: what is sent up to c + D - M is sent before anyone is told. By 1 and 2 an owner that has not
   * seen it has none of its tasks, or no one is told (docs/incidents/started-without-word.md).
   */
  public TimeSpan maxUnconfirmedStarts() {
    return new TimeSpan(
        confirmCancellationAfter.nanos()
            - TimeSpan.ofSeconds(MIN_MARGIN_S)
                .nanos()); // over 45 s two clocks differ by less than 0.1 s
  }

  /** T and D together are less than C + 2 D, and each is measured by a different clock. */
  private static double marginS(double cancel, double confirmAfter) {
    return Math.max(MIN_MARGIN_S, MESSAGES_S + DRIFT * (cancel + 2 * confirmAfter));
  }

  /**
   * The smallest D for which T reaches its minimum. The margin grows with D, so the equation is
   * solved for each case of the margin.
   */
  private static double confirmAfterS(double lease, double cancel) {
    double withoutMargin = MIN_UNCONFIRMED_S + lease * LEASE_FACTOR - cancel;
    double byMinMargin = withoutMargin + MIN_MARGIN_S;
    double byDrift = (withoutMargin + MESSAGES_S + DRIFT * cancel) / (1 - 2 * DRIFT);
    return Math.max(MIN_CONFIRM_AFTER_S, Math.max(byMinMargin, byDrift));
  }
}
