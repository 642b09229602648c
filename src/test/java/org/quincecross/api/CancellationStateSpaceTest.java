package org.quincecross.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Cancelling as a small model, gone through whole, in steps of time: one task of one job, a block
 * of one machine, the holder that the block has and one to which it is leased at any time, a
 * controller that tells the user, which may crash, and the cancellation, applied any time after it
 * was made. Whether the state service answers is part of no state: a controller that asks it is
 * answered, late, or not at all, at any time. What is sent to the machine arrives or is lost, and a
 * start sent straight to it is executed at any time while token and session match.
 *
 * <p>Ages stand for times and count no further than anything asks for, so the states are finite
 * though time has no end. The bounds are those of the program without the margin for clocks and
 * messages: nothing in the model takes any of it.
 */
class CancellationStateSpaceTest {
  /**
   * The values of {@code cancel_s}, {@code lease_s} and the delay of {@link Cancellations}, in
   * steps.
   */
  private static final int CANCEL = 2;

  private static final int LEASE = 1;
  private static final int DELAY = 1;
  private static final int MAX_UNCONFIRMED = CANCEL + DELAY - LEASE;

  /** As in {@code shard.UnacknowledgedResponses}. */
  private static final int MAX_UNACKNOWLEDGED = MAX_UNCONFIRMED - DELAY;

  private static final int OWNERS = 2;

  /** How long an agent waits for a response, and a controller for one of the store. */
  private static final int WAIT = 1;

  private static final int NONE = -1;

  /**
   * Protocol rules that can be disabled, to show that the search finds a violation without each of
   * them.
   */
  private enum Guard {
    /** An owner responds only for a limited time after its last contact with the store. */
    ENTITLED_FOR_A_TIME,
    /** The records are complete as of when the answered request was sent. */
    CONFIRMED_AS_OF_SENDING,
    /** If owners have not reported that they know, the user is told after the delay. */
    TOLD_AFTER_DELAY,
    /** The delay runs from when the record was first seen durable, not from when it was created. */
    DELAY_FROM_FIRST_SEEN,
    /** The user is told at once only if the owner has seen the cancellation. */
    TOLD_WHEN_NOTED,
    /** The user is told at once only if all machines of the shard are fenced. */
    TOLD_WHEN_FENCED,
    /** An owner that knows of the cancellation starts nothing. */
    NOTED_STARTS_NOTHING,
    /** Each response repeats what is to be stopped. */
    STOPS_REPEATED,
    /** The task is released only once no start of it may still arrive. */
    GIVEN_BACK_WHEN_GONE,
    /**
     * A machine that may still execute the start of a cancelled task gets responses only for a
     * limited time.
     */
    DOUBTED_LET_GO,
    /**
     * A machine that is not fenced yet and may have a cancelled task gets responses only for a
     * limited time.
     */
    UNFENCED_LET_GO
  }

  /** The progress of the start that an owner sent directly to the machine. */
  private static final int NOT_SENT = 0;

  private static final int DELAYED = 1;
  private static final int OVER = 2;

  /** The complete state; ages are {@link #NONE} if not applicable. */
  private static final class State implements Cloneable {
    private int formed = NONE;
    private boolean durable;
    private boolean leaseRenewed;

    /** Before the current step, and before the previous one. */
    private boolean[] wasDurable = new boolean[2];

    private boolean[] wasLeaseRenewed = new boolean[2];
    private boolean allocated = true;
    // the controller that tells the user
    private int seen = NONE;
    private boolean knowsNewLease;
    private boolean knowsAllocated = true;
    private int confirmationAge = NONE;
    // the owners
    private boolean[] owns = {true, false};
    private int[] confirmed = {0, MAX_UNCONFIRMED + 1};
    private boolean[] hasSeen = new boolean[OWNERS];
    private boolean[] fenced = {true, false};

    /** A start was sent that no heartbeat has shown. */
    private boolean[] unseenStart = new boolean[OWNERS];

    /** The last heartbeat had the task, or none has arrived, so it may be running. */
    private boolean[] mayRun = {false, true};

    private boolean[] knowsAllocation = {true, true};
    private boolean[] stopSent = new boolean[OWNERS];

    /** Reported to the others: has seen the cancellation, all machines fenced. */
    private boolean[] reported = new boolean[OWNERS];

    // the machine
    private int token;
    private boolean runs;
    private int leaseAge;
    private int[] start = new int[OWNERS];
    private int report = NONE;
    private int reportToken;
    private boolean reportRuns;

    /**
     * Made before something that its owner has received since: it may wait for a response, and
     * proves nothing.
     */
    private boolean overtaken;

    /**
     * Whether the heartbeat has each owner's attempt, in whatever state, or is of a later session.
     */
    private boolean[] reportEnds = new boolean[OWNERS];

    private State copy() {
      try {
        State copy = (State) clone();
        copy.wasDurable = wasDurable.clone();
        copy.wasLeaseRenewed = wasLeaseRenewed.clone();
        copy.owns = owns.clone();
        copy.confirmed = confirmed.clone();
        copy.hasSeen = hasSeen.clone();
        copy.fenced = fenced.clone();
        copy.unseenStart = unseenStart.clone();
        copy.mayRun = mayRun.clone();
        copy.knowsAllocation = knowsAllocation.clone();
        copy.stopSent = stopSent.clone();
        copy.reported = reported.clone();
        copy.start = start.clone();
        copy.reportEnds = reportEnds.clone();
        return copy;
      } catch (CloneNotSupportedException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Encodes the state in one number. */
    private long key() {
      long key = 1;
      for (int i = 0; i < OWNERS; i++) {
        key =
            ((key << 3 | confirmed[i]) << 2 | start[i]) << 9
                | bits(
                    owns[i],
                    hasSeen[i],
                    fenced[i],
                    unseenStart[i],
                    mayRun[i],
                    stopSent[i],
                    reported[i],
                    reportEnds[i],
                    knowsAllocation[i]);
      }
      for (int each : new int[] {formed, seen, confirmationAge, leaseAge, report}) {
        key = key << 3 | each + 1;
      }
      return key << 14
          | bits(
              wasDurable[1],
              wasLeaseRenewed[1],
              overtaken,
              wasDurable[0],
              wasLeaseRenewed[0],
              durable,
              leaseRenewed,
              allocated,
              knowsNewLease,
              knowsAllocated,
              token == 1,
              runs,
              reportToken == 1,
              reportRuns);
    }

    private static int bits(boolean... all) {
      int bits = 0;
      for (boolean each : all) {
        bits = bits << 1 | (each ? 1 : 0);
      }
      return bits;
    }

    private static State of(long key) {
      State state = new State();
      state.durable = (key & 256) != 0;
      state.leaseRenewed = (key & 128) != 0;
      state.allocated = (key & 64) != 0;
      state.knowsNewLease = (key & 32) != 0;
      state.knowsAllocated = (key & 16) != 0;
      state.token = (key & 8) != 0 ? 1 : 0;
      state.runs = (key & 4) != 0;
      state.reportToken = (key & 2) != 0 ? 1 : 0;
      state.reportRuns = (key & 1) != 0;
      state.overtaken = (key & 2048) != 0;
      state.wasDurable = new boolean[] {(key & 1024) != 0, (key & 8192) != 0};
      state.wasLeaseRenewed = new boolean[] {(key & 512) != 0, (key & 4096) != 0};
      state.report = (int) (key >> 14 & 7) - 1;
      state.leaseAge = (int) (key >> 17 & 7) - 1;
      state.confirmationAge = (int) (key >> 20 & 7) - 1;
      state.seen = (int) (key >> 23 & 7) - 1;
      state.formed = (int) (key >> 26 & 7) - 1;
      for (int i = 0; i < OWNERS; i++) {
        long of = key >> (i == 0 ? 43 : 29);
        state.knowsAllocation[i] = (of & 1) != 0;
        state.reportEnds[i] = (of & 2) != 0;
        state.reported[i] = (of & 4) != 0;
        state.stopSent[i] = (of & 8) != 0;
        state.mayRun[i] = (of & 16) != 0;
        state.unseenStart[i] = (of & 32) != 0;
        state.fenced[i] = (of & 64) != 0;
        state.hasSeen[i] = (of & 128) != 0;
        state.owns[i] = (of & 256) != 0;
        state.start[i] = (int) (of >> 9 & 3);
        state.confirmed[i] = (int) (of >> 11 & 7);
      }
      return state;
    }
  }

  private final Set<Guard> guards = EnumSet.allOf(Guard.class);
  private final StateSet seen = new StateSet();
  private long[] open = new long[1 << 16];
  private int opened;
  private State violation;
  private boolean confirmedAtOnce;
  private boolean confirmedLate;

  /** The longest time that the task was running after its user was told. */
  private int longestRunAfterConfirmation;

  /** The reached states, in an open-addressing hash table of numbers. */
  private static final class StateSet {
    private long[] table = new long[1 << 20];
    private int size;

    private boolean add(long key) {
      if (size * 2 > table.length) {
        long[] old = table;
        table = new long[old.length * 2];
        Arrays.stream(old).filter(each -> each != 0).forEach(this::put);
      }
      if (!put(key)) {
        return false;
      }
      size++;
      return true;
    }

    private boolean put(long key) {
      long mixed = (key ^ key >>> 29) * 0x9E3779B97F4A7C15L;
      for (int i = (int) (mixed >>> 32) & table.length - 1; ; i = i + 1 & table.length - 1) {
        if (table[i] == key) {
          return false;
        }
        if (table[i] == 0) {
          table[i] = key;
          return true;
        }
      }
    }
  }

  private boolean isEnabled(Guard guard) {
    return guards.contains(guard);
  }

  /** Adds a successor state. */
  private void addSuccessor(State state) {
    longestRunAfterConfirmation =
        state.runs
            ? Math.max(longestRunAfterConfirmation, state.confirmationAge)
            : longestRunAfterConfirmation;
    if (longestRunAfterConfirmation > CANCEL && violation == null) {
      violation = state;
    }
    for (int i = 0; i < OWNERS; i++) {
      normalise(state, i);
    }
    if (state.confirmationAge > CANCEL && !mayRunAgain(state)) {
      return; // in no successor is the task on any machine
    }
    if (seen.add(state.key())) {
      if (opened == open.length) {
        open = Arrays.copyOf(open, opened * 2);
      }
      open[opened++] = state.key();
    }
  }

  /** Resets what no step reads, so that equivalent states are equal. */
  private void normalise(State state, int i) {
    state.stopSent[i] &= !isEnabled(Guard.STOPS_REPEATED);
    if (state.hasSeen[i] && state.owns[i] && state.fenced[i]) {
      state.reported[i] = true; // a report stays valid, and reporting earlier is the worse case
    }
    if (!state.owns[i] && i == 0) {
      state.confirmed[i] = 0;
      state.unseenStart[i] = false;
      state.mayRun[i] = false;
      state.fenced[i] = false;
      state.hasSeen[i] = false;
    }
    if (state.report == NONE) {
      state.reportToken = 0;
      state.reportRuns = false;
      state.overtaken = false;
      state.reportEnds[i] = false;
    }
  }

  private static boolean mayRunAgain(State state) {
    boolean may = state.runs;
    for (int i = 0; i < OWNERS; i++) {
      may |= state.start[i] == DELAYED || (!state.hasSeen[i] && state.start[i] == NOT_SENT);
    }
    return may;
  }

  private void steps(State from) {
    passTime(from);
    for (int i = 0; i < OWNERS; i++) {
      if (from.owns[i] || i == 1) {
        readStore(from, i);
      }
      if (from.owns[i]) {
        stepOwner(from, i);
      }
    }
    stepMachine(from);
    stepConfirmingController(from);
    stepStore(from);
  }

  private static int older(int age, int most) {
    return age == NONE ? NONE : Math.min(age + 1, most);
  }

  private static int waited(int age) {
    return age == NONE || age == WAIT ? NONE : age + 1;
  }

  private void passTime(State from) {
    State state = from.copy();
    state.wasDurable = new boolean[] {state.durable, state.wasDurable[0]};
    state.wasLeaseRenewed = new boolean[] {state.leaseRenewed, state.wasLeaseRenewed[0]};
    state.formed = older(state.formed, MAX_UNACKNOWLEDGED + 1);
    state.seen = older(state.seen, DELAY);
    state.confirmationAge = older(state.confirmationAge, CANCEL + 1);
    state.report = waited(state.report);
    for (int i = 0; i < OWNERS; i++) {
      state.confirmed[i] = Math.min(state.confirmed[i] + 1, MAX_UNCONFIRMED + 1);
    }
    if (++state.leaseAge > LEASE) {
      // The agent kills and forgets all tasks and starts its next session; starts for the former
      // session do not match it.
      state.leaseAge = 0;
      state.runs = false;
      state.report = NONE;
      for (int i = 0; i < OWNERS; i++) {
        state.start[i] = state.start[i] == DELAYED ? OVER : state.start[i];
      }
    }
    addSuccessor(state);
  }

  private void stepStore(State from) {
    if (from.formed == NONE) {
      State state = from.copy();
      state.formed = 0;
      addSuccessor(state);
    } else if (!from.durable) {
      State state = from.copy();
      state.durable = true;
      addSuccessor(state);
    }
    if (!from.leaseRenewed) {
      State state = from.copy();
      state.leaseRenewed = true;
      addSuccessor(state);
    }
    // The leader removes from the allocation what the current owner has released.
    int holder = from.leaseRenewed ? 1 : 0;
    boolean gone =
        !from.mayRun[holder]
            && !(from.unseenStart[holder] && isEnabled(Guard.GIVEN_BACK_WHEN_GONE));
    if (from.allocated
        && from.owns[holder]
        && from.hasSeen[holder]
        && from.fenced[holder]
        && gone) {
      State state = from.copy();
      state.allocated = false;
      addSuccessor(state);
    }
  }

  private void stepConfirmingController(State from) {
    if (from.confirmationAge != NONE) {
      return;
    }
    if (from.durable) {
      State state =
          from.copy(); // it reads the records: all that is new at once, or again after a crash
      state.seen = Math.max(from.seen, 0);
      state.knowsNewLease = from.leaseRenewed;
      state.knowsAllocated = from.allocated;
      addSuccessor(state);
    }
    if (from.seen == NONE) {
      return;
    }
    State crash = from.copy();
    crash.seen = NONE;
    addSuccessor(crash);
    int holder = from.knowsNewLease ? 1 : 0;
    boolean says = from.reported[holder];
    if (!isEnabled(Guard.TOLD_WHEN_NOTED)) {
      says |= from.owns[holder] && from.fenced[holder];
    }
    if (!isEnabled(Guard.TOLD_WHEN_FENCED)) {
      says |= from.owns[holder] && from.hasSeen[holder];
    }
    boolean late =
        (isEnabled(Guard.DELAY_FROM_FIRST_SEEN) ? from.seen : from.formed)
            >= (isEnabled(Guard.TOLD_AFTER_DELAY) ? DELAY : 0);
    if (says || !from.knowsAllocated || late) {
      confirmedAtOnce |= !late;
      confirmedLate |= !says;
      State state = from.copy();
      state.confirmationAge = 0;
      state.seen = NONE; // no user asks any more
      state.knowsNewLease = false;
      state.knowsAllocated = false;
      addSuccessor(state);
    }
  }

  /** An owner sends a request to the store, and is answered at once or a step later. */
  private void readStore(State from, int i) {
    State now = from.copy();
    applyStoreResponse(now, i, from.durable, from.leaseRenewed, 0);
    addSuccessor(now);
    State late = from.copy();
    applyStoreResponse(
        late,
        i,
        from.wasDurable[1],
        from.wasLeaseRenewed[1],
        isEnabled(Guard.CONFIRMED_AS_OF_SENDING) ? 1 : 0);
    addSuccessor(late);
  }

  private void applyStoreResponse(State state, int i, boolean noted, boolean newLease, int age) {
    state.hasSeen[i] |= noted;
    state.confirmed[i] = Math.min(state.confirmed[i], age);
    if (i == 0 && newLease) {
      state.owns[i] = false;
    } else if (i == 1 && newLease && !state.owns[i]) {
      state.owns[i] = true;
      state.knowsAllocation[i] = state.allocated;
    }
  }

  private boolean mayRespond(State state, int i) {
    return state.confirmed[i] <= MAX_UNCONFIRMED || !isEnabled(Guard.ENTITLED_FOR_A_TIME);
  }

  private void stepOwner(State from, int i) {
    if (!mayRespond(from, i)) {
      return;
    }
    // The command that shows the token; the response to it is a status, and renews no lease.
    if (from.token <= i) {
      State state = from.copy();
      state.token = i;
      state.overtaken = true;
      applyHeartbeat(
          state, i, i, from.runs, new boolean[] {from.start[0] == OVER, from.start[1] == OVER});
      addSuccessor(state);
      State unanswered = from.copy();
      unanswered.token = i;
      addSuccessor(unanswered);
    }
    boolean open = !from.hasSeen[i] || !isEnabled(Guard.NOTED_STARTS_NOTHING);
    if (open
        && from.knowsAllocation[i]
        && from.fenced[i]
        && !from.mayRun[i]
        && from.start[i] == NOT_SENT) {
      State state = from.copy();
      state.start[i] = DELAYED;
      state.unseenStart[i] = true;
      addSuccessor(state);
    }
    if (from.report != NONE && from.reportToken <= i) {
      respondToHeartbeat(from, i);
    }
  }

  /** Applies a heartbeat; one that shows the current token is complete. */
  private static void applyHeartbeat(State state, int i, int token, boolean runs, boolean[] ends) {
    if (token == i) {
      state.fenced[i] = true;
      state.mayRun[i] = runs;
      state.unseenStart[i] &= !ends[i];
    }
  }

  private void respondToHeartbeat(State from, int i) {
    State state = from.copy();
    if (!from.overtaken || from.token != i) {
      applyHeartbeat(state, i, from.reportToken, from.reportRuns, from.reportEnds);
    }
    State unanswered = state.copy();
    addSuccessor(unanswered); // or the response is lost
    boolean doubtful = state.unseenStart[i] && isEnabled(Guard.DOUBTED_LET_GO);
    boolean unfenced =
        !state.fenced[i] && state.knowsAllocation[i] && isEnabled(Guard.UNFENCED_LET_GO);
    if ((state.hasSeen[i] && (doubtful || unfenced) && state.formed > MAX_UNACKNOWLEDGED)
        || state.token > i) {
      return;
    }
    boolean stop = state.fenced[i] && state.hasSeen[i] && state.mayRun[i] && !state.stopSent[i];
    unanswered = state.copy();
    unanswered.stopSent[i] |= stop;
    addSuccessor(unanswered);
    state.stopSent[i] |= stop;
    state.token = i;
    state.leaseAge = Math.min(state.leaseAge, state.report);
    state.report = NONE;
    state.runs &= !stop;
    addSuccessor(state);
  }

  private void stepMachine(State from) {
    State report = from.copy();
    report.report = 0;
    report.overtaken = false;
    report.reportToken = from.token;
    report.reportRuns = from.runs;
    for (int i = 0; i < OWNERS; i++) {
      report.reportEnds[i] = from.start[i] == OVER;
    }
    addSuccessor(report);
    for (int i = 0; i < OWNERS; i++) {
      if (from.start[i] == DELAYED) {
        State state = from.copy();
        state.start[i] = OVER;
        state.runs |= from.token == i; // otherwise it is rejected
        addSuccessor(state);
      }
    }
  }

  private int explore() {
    addSuccessor(new State());
    while (opened > 0 && violation == null) {
      steps(
          State.of(
              open[--opened])); // all states are explored, and violations are found sooner than
      // breadth first
    }
    return seen.size;
  }

  @Test
  void cancelledTaskEndsInTimeAfterConfirmation() {
    int states = explore();
    assertNull(violation);
    assertTrue(confirmedAtOnce && confirmedLate);
    assertEquals(CANCEL, longestRunAfterConfirmation, "the bounds are tight");
    assertEquals(749_437, states);
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void disablingAnyGuardCausesViolation(Guard guard) {
    guards.remove(guard);
    explore();
    assertNotEquals(null, violation, guard.toString());
  }
}
