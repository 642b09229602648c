package org.quincecross.failuredetection;

import java.util.Collection;
import org.quincecross.model.FencingToken;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Decides whether a controller without contact to the store is isolated and should send its users
 * elsewhere, or whether the store is down for everyone and users should be able to stay.
 *
 * <p>The store cannot tell which: a 503 that only this controller receives looks like an outage.
 * Neither can the links to the other controllers, if they are lost at the same moment. The machines
 * can. A shard is leased to another controller by a write, and its new owner sends its machines the
 * new token: a machine that shows a token later than everything known here proves that someone
 * writes. If this controller's own machines go on reporting for long and show no such token, no one
 * writes: its membership ended seconds after the loss, and otherwise its shards would be with other
 * controllers.
 */
public final class IsolationDetector {
  /**
   * Time without contact after which a controller evaluates whether it is isolated; older reports
   * of other controllers prove nothing.
   */
  public static final TimeSpan SILENCE_TIMEOUT = TimeSpan.ofSeconds(3);

  /**
   * A controller with contact within this time is served: in an outage, the last contact of one may
   * be half a second after another's.
   */
  static final TimeSpan RECENT_CONTACT = TimeSpan.ofSeconds(2);

  /**
   * Membership ends 3 s after the last renewal, and renewals are 0.9 s apart, so no shard fails
   * over earlier.
   */
  static final TimeSpan MIN_FAILOVER_TIME = TimeSpan.ofSeconds(2);

  /**
   * Well before this time the shards of a lost member have new owners, and their machines show it.
   */
  static final TimeSpan MAX_FAILOVER_TIME = TimeSpan.ofSeconds(12);

  /**
   * How long the store has to be reachable again, because each removal by the load balancer doubles
   * its pause.
   */
  static final TimeSpan STABILITY_TIME = TimeSpan.ofSeconds(2);

  /** The states of a controller with regard to the store and the other controllers. */
  public enum State {
    /** The store is reachable. */
    CONNECTED(true),
    /**
     * The store is unreachable, and it is not known yet for whom. Ends with contact, or after
     * {@link #MAX_FAILOVER_TIME}.
     */
    UNDETERMINED(true),
    /**
     * The store is unreachable for everyone, as far as can be known. Ends with contact, or with a
     * proof that others reach it.
     */
    STORE_OUTAGE(true),
    /** Others reach the store. Ends with contact, or when all others report that they do not. */
    ISOLATED(false),
    /** Reachable again, but not yet for {@link #STABILITY_TIME}. */
    RECOVERING(false);

    private final boolean takesUsers;

    State(boolean takesUsers) {
      this.takesUsers = takesUsers;
    }

    /** Whether users should be sent here. */
    public boolean takesUsers() {
      return takesUsers;
    }
  }

  /**
   * The last report of another controller.
   *
   * @param receivedAt when it arrived; null: never
   * @param unconfirmed how long that controller had no contact with the store then
   */
  public record PeerContact(MonotonicTime receivedAt, TimeSpan unconfirmed) {
    private boolean isFresh(MonotonicTime now) {
      return receivedAt != null && !now.since(receivedAt).isLongerThan(SILENCE_TIMEOUT);
    }

    private TimeSpan unconfirmedBy(MonotonicTime now) {
      return unconfirmed.plus(now.since(receivedAt));
    }

    private boolean hasContact(MonotonicTime now) {
      return receivedAt != null && !unconfirmedBy(now).isLongerThan(RECENT_CONTACT);
    }

    private boolean reportsOutage(MonotonicTime now) {
      return isFresh(now) && unconfirmedBy(now).isLongerThan(SILENCE_TIMEOUT);
    }
  }

  private final boolean first;
  private State state = State.CONNECTED;
  private MonotonicTime since;
  private MonotonicTime lastContact;

  /** Tokens up to this one may have been written before the loss. */
  private FencingToken tokenFloor = FencingToken.NONE;

  private boolean othersReachStore;
  private MonotonicTime ownMachineReportedAt;

  /**
   * Since when other controllers have had contact again while this one has none; null if none has.
   */
  private MonotonicTime othersRecoveredAt;

  /**
   * Creates a detector.
   *
   * @param first whether this controller keeps its users if there is no evidence for whom the store
   *     is unreachable; true for exactly one controller
   */
  public IsolationDetector(boolean first, MonotonicTime now) {
    this.first = first;
    this.since = now;
    this.lastContact = now;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** The only method that changes the state. */
  private void enter(State next, MonotonicTime now) {
    if (next != state) {
      state = next;
      since = now;
    }
  }

  /**
   * Called when a machine has reported.
   *
   * @param token the highest token that it has seen
   * @param known this controller knows everything that was written up to here
   * @param own whether this controller owns the machine's shard, as far as it knows
   */
  public void machineReported(
      FencingToken token, FencingToken known, boolean own, MonotonicTime now) {
    TimeSpan silence = now.since(lastContact);
    if (!silence.isLongerThan(MIN_FAILOVER_TIME)) {
      // The token may have been written at the moment of the loss, so it proves nothing about the
      // time afterwards.
      tokenFloor = token.isAfter(tokenFloor) ? token : tokenFloor;
    } else if (token.isAfter(known) && token.isAfter(tokenFloor)) {
      othersReachStore = true;
    } else if (own && silence.isLongerThan(MAX_FAILOVER_TIME)) {
      ownMachineReportedAt = now;
    }
  }

  /**
   * Evaluates the evidence; called twice a second and whenever the state is needed.
   *
   * @param heard when the last answered request to the store was sent
   * @param contacts the last report of each other controller
   */
  public void evaluate(MonotonicTime heard, Collection<PeerContact> contacts, MonotonicTime now) {
    if (lastContact.isBefore(heard)) {
      lastContact = heard;
    }
    boolean othersHaveContact = contacts.stream().anyMatch(contact -> contact.hasContact(now));
    if (!now.since(lastContact).isLongerThan(SILENCE_TIMEOUT)) {
      contactRestored(othersHaveContact, now);
      return;
    }
    boolean allReportOutage =
        !contacts.isEmpty() && contacts.stream().allMatch(contact -> contact.reportsOutage(now));
    boolean someReportOutage = contacts.stream().anyMatch(contact -> contact.reportsOutage(now));
    if (!othersHaveContact) {
      othersRecoveredAt = null;
    } else if (othersRecoveredAt == null) {
      othersRecoveredAt = now;
    }
    if (othersHaveContact
        && (state != State.STORE_OUTAGE
            || now.since(othersRecoveredAt).isLongerThan(SILENCE_TIMEOUT))) {
      enter(State.ISOLATED, now);
    } else if (othersHaveContact) {
      enter(
          State.STORE_OUTAGE,
          now); // the outage is over, and some controllers notice it a moment earlier than others
    } else if (allReportOutage) {
      // Regardless of earlier proof, all other controllers now report that they cannot reach the
      // store.
      othersReachStore = false;
      enter(State.STORE_OUTAGE, now);
    } else if (othersReachStore) {
      enter(State.ISOLATED, now);
    } else if (someReportOutage) {
      enter(State.STORE_OUTAGE, now);
    } else if (state == State.RECOVERING) {
      enter(State.ISOLATED, now);
    } else if (state != State.ISOLATED) {
      evaluateWithoutEvidence(now);
    }
  }

  private void evaluateWithoutEvidence(MonotonicTime now) {
    if (!now.since(lastContact).isLongerThan(MAX_FAILOVER_TIME)) {
      if (state == State.CONNECTED) {
        enter(State.UNDETERMINED, now);
      }
    } else if (first
        || state == State.STORE_OUTAGE
        || (ownMachineReportedAt != null && lastContact.isBefore(ownMachineReportedAt))) {
      enter(State.STORE_OUTAGE, now);
    } else if (now.since(lastContact).isLongerThan(MAX_FAILOVER_TIME.plus(SILENCE_TIMEOUT))) {
      enter(State.ISOLATED, now);
    }
  }

  private void contactRestored(boolean othersHaveContact, MonotonicTime now) {
    othersReachStore = false;
    othersRecoveredAt = null;
    switch (state) {
      case ISOLATED -> enter(othersHaveContact ? State.RECOVERING : State.CONNECTED, now);
      case RECOVERING -> {
        if (!othersHaveContact || now.since(since).isLongerThan(STABILITY_TIME)) {
          enter(State.CONNECTED, now);
        }
      }
      default -> enter(State.CONNECTED, now);
    }
  }
}
