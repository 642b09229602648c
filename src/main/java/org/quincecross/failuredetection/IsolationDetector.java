package org.quincecross.failuredetection;

import java.util.Collection;
import org.quincecross.model.FencingToken;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Whether a controller without word from the state service is alone in that, and so had better send
 * its users elsewhere, or whether nobody has any, and users' way back had better stay open.
 *
 * <p>The state service cannot tell the two apart for it: a 503 that it alone gets looks as an
 * outage does. Nor can the links to the other controllers where they are lost in the same instant.
 * The machines can. A block is leased anew by a write, and its new holder tells its machines the
 * new token: a machine that shows a token later than all that is known here proves that somebody
 * writes. That a controller's own machines go on reporting for long and show none says that nobody
 * does: its membership ended seconds after the loss, and its blocks would be with others.
 */
public final class IsolationDetector {
  /**
   * Without word for so long a controller asks whose silence it is; others' word that is older says
   * nothing.
   */
  public static final TimeSpan SILENCE_TIMEOUT = TimeSpan.ofSeconds(3);

  /**
   * Who has had word within so long is served: in an outage of all the last word of one may be half
   * a second after another's.
   */
  static final TimeSpan RECENT_CONTACT = TimeSpan.ofSeconds(2);

  /**
   * Membership ends 3 s after the last renewal, and renewals are 0.9 s apart: no block is taken
   * from the silent earlier.
   */
  static final TimeSpan MIN_FAILOVER_TIME = TimeSpan.ofSeconds(2);

  /** Blocks of a member that is out are with others, and their machines told so, well before. */
  static final TimeSpan MAX_FAILOVER_TIME = TimeSpan.ofSeconds(12);

  /**
   * Once back, the state service has to be heard for so long: each removal by the balancer doubles
   * its pause.
   */
  static final TimeSpan STABILITY_TIME = TimeSpan.ofSeconds(2);

  /** The states of a controller with regard to the state service and the others. */
  public enum State {
    /** The state service is heard. */
    CONNECTED(true),
    /**
     * It is not, and nothing says yet whose silence it is. Ends with any word, or with {@link
     * #MAX_FAILOVER_TIME}.
     */
    UNDETERMINED(true),
    /**
     * Nobody hears it, as far as can be known. Ends with word from it, or with a proof that others
     * do hear it.
     */
    STORE_OUTAGE(true),
    /**
     * Others hear it. Ends with word from it, or when all others say that they have none either.
     */
    ISOLATED(false),
    /** Heard again, not yet for {@link #STABILITY_TIME}. */
    RECOVERING(false);

    private final boolean takesUsers;

    State(boolean takesUsers) {
      this.takesUsers = takesUsers;
    }

    /** Whether users should come here. */
    public boolean takesUsers() {
      return takesUsers;
    }
  }

  /**
   * What another controller said last.
   *
   * @param at when that came; null: never
   * @param unconfirmed how long it had been without word from the state service then
   */
  public record PeerContact(MonotonicTime at, TimeSpan unconfirmed) {
    private boolean isFresh(MonotonicTime now) {
      return at != null && !now.since(at).isLongerThan(SILENCE_TIMEOUT);
    }

    private TimeSpan unconfirmedBy(MonotonicTime now) {
      return unconfirmed.plus(now.since(at));
    }

    private boolean isServed(MonotonicTime now) {
      return at != null && !unconfirmedBy(now).isLongerThan(RECENT_CONTACT);
    }

    private boolean isOut(MonotonicTime now) {
      return isFresh(now) && unconfirmedBy(now).isLongerThan(SILENCE_TIMEOUT);
    }
  }

  private final boolean first;
  private State state = State.CONNECTED;
  private MonotonicTime since;
  private MonotonicTime confirmed;

  /** Tokens up to here may have been written before the loss. */
  private FencingToken tokenFloor = FencingToken.NONE;

  private boolean othersReachStore;
  private MonotonicTime ownMachine;

  /** Since when others have had word again while this one has none; null where none has. */
  private MonotonicTime othersRecoveredAt;

  /**
   * @param first whether this controller stays in where nothing at all tells whose silence it is:
   *     one of all does
   */
  public IsolationDetector(boolean first, MonotonicTime now) {
    this.first = first;
    this.since = now;
    this.confirmed = now;
  }

  public State state() {
    return state;
  }

  /** The one place where the state changes. */
  private void enter(State next, MonotonicTime now) {
    if (next != state) {
      state = next;
      since = now;
    }
  }

  /**
   * A machine has reported.
   *
   * @param token the highest that it has seen
   * @param known everything that was written up to here is known to this controller
   * @param own whether this controller holds its block, as far as it knows
   */
  public void machineReported(
      FencingToken token, FencingToken known, boolean own, MonotonicTime now) {
    TimeSpan silence = now.since(confirmed);
    if (!silence.isLongerThan(MIN_FAILOVER_TIME)) {
      // Written in the very moment of the loss, perhaps: says nothing of what came after.
      tokenFloor = token.isAfter(tokenFloor) ? token : tokenFloor;
    } else if (token.isAfter(known) && token.isAfter(tokenFloor)) {
      othersReachStore = true;
    } else if (own && silence.isLongerThan(MAX_FAILOVER_TIME)) {
      ownMachine = now;
    }
  }

  /**
   * Weighs what there is; to be called twice a second and where it matters.
   *
   * @param heard when the state service was asked what it last answered
   * @param words what each of the others said last
   */
  public void evaluate(MonotonicTime heard, Collection<PeerContact> words, MonotonicTime now) {
    if (confirmed.isBefore(heard)) {
      confirmed = heard;
    }
    boolean othersServed = words.stream().anyMatch(word -> word.isServed(now));
    if (!now.since(confirmed).isLongerThan(SILENCE_TIMEOUT)) {
      back(othersServed, now);
      return;
    }
    boolean allSayOut = !words.isEmpty() && words.stream().allMatch(word -> word.isOut(now));
    boolean someSayOut = words.stream().anyMatch(word -> word.isOut(now));
    if (!othersServed) {
      othersRecoveredAt = null;
    } else if (othersRecoveredAt == null) {
      othersRecoveredAt = now;
    }
    if (othersServed
        && (state != State.STORE_OUTAGE
            || now.since(othersRecoveredAt).isLongerThan(SILENCE_TIMEOUT))) {
      enter(State.ISOLATED, now);
    } else if (othersServed) {
      enter(State.STORE_OUTAGE, now); // it is over, and word reaches one a moment before another
    } else if (allSayOut) {
      // Whatever was proven before: by now all of them are out, and say so themselves.
      othersReachStore = false;
      enter(State.STORE_OUTAGE, now);
    } else if (othersReachStore) {
      enter(State.ISOLATED, now);
    } else if (someSayOut) {
      enter(State.STORE_OUTAGE, now);
    } else if (state == State.RECOVERING) {
      enter(State.ISOLATED, now);
    } else if (state != State.ISOLATED) {
      nobodySaysAnything(now);
    }
  }

  private void nobodySaysAnything(MonotonicTime now) {
    if (!now.since(confirmed).isLongerThan(MAX_FAILOVER_TIME)) {
      if (state == State.CONNECTED) {
        enter(State.UNDETERMINED, now);
      }
    } else if (first
        || state == State.STORE_OUTAGE
        || (ownMachine != null && confirmed.isBefore(ownMachine))) {
      enter(State.STORE_OUTAGE, now);
    } else if (now.since(confirmed).isLongerThan(MAX_FAILOVER_TIME.plus(SILENCE_TIMEOUT))) {
      enter(State.ISOLATED, now);
    }
  }

  private void back(boolean othersServed, MonotonicTime now) {
    othersReachStore = false;
    othersRecoveredAt = null;
    switch (state) {
      case ISOLATED -> enter(othersServed ? State.RECOVERING : State.CONNECTED, now);
      case RECOVERING -> {
        if (!othersServed || now.since(since).isLongerThan(STABILITY_TIME)) {
          enter(State.CONNECTED, now);
        }
      }
      default -> enter(State.CONNECTED, now);
    }
  }
}
