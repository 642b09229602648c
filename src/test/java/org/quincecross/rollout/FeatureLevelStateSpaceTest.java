package org.quincecross.rollout;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Explores all states of a level change: three controllers, two builds, joins, leaves, crashes, and
 * transactions applied at any later time. A transaction's guard is on a key, and holds as long as
 * the key has not been written since its controller last read, so no versions are counted and the
 * states are finite.
 */
class FeatureLevelStateSpaceTest {
  private static final int NODES = 3;

  /**
   * Bits of the keys: the level, the leadership, and the records of all members, which only the
   * level change is guarded by.
   */
  private static final int LEVEL = 1;

  private static final int LEADER = 2;

  /**
   * Protocol rules that can be disabled, to show that the search finds a violation without each of
   * them.
   */
  private enum Guard {
    /** The level change is guarded by the record of every member. */
    SWITCH_BY_MEMBERS,
    /** A controller joins on condition that the level is the one it knows. */
    JOIN_BY_LEVEL,
    /**
     * What the leader writes is guarded by the level and by the leadership record; either alone is
     * sufficient.
     */
    WRITE_BY_LEVEL_AND_LEADERSHIP,
    /** The level change waits for every controller in the settings, not only for the live ones. */
    SWITCH_WAITS_FOR_ALL,
    /** A member that does not support the level in effect leaves. */
    UNABLE_LEAVES
  }

  private enum Kind {
    NONE,
    JOIN,
    LEAD,
    SWITCH,
    WRITE_OLD,
    WRITE_NEW
  }

  private static final int MEMBERS = 4;

  /** The complete state; small numbers only, so that equal states are recognised. */
  private static final class State implements Cloneable {
    private int level = 1;
    private int leader = -1;

    /** The member records: 0 for none, else the highest level of the build that wrote it. */
    private int[] record = new int[NODES];

    /** What is running: 0 for nothing, else the highest level of the build. */
    private int[] build = new int[NODES];

    private boolean[] live = new boolean[NODES];
    private int[] knownLevel = {1, 1, 1};

    /** Whether, as last read, all controllers supported level 2; and all live ones did. */
    private boolean[] knownAllCan = new boolean[NODES];

    private boolean[] knownLiveCan = new boolean[NODES];

    /** The keys that have changed since this controller last read. */
    private int[] stale = new int[NODES];

    private Kind[] pending = {Kind.NONE, Kind.NONE, Kind.NONE};

    /**
     * The keys whose change makes the pending transaction fail; a failed transaction is dropped.
     */
    private int[] guards = new int[NODES];

    private State copy() {
      try {
        State copy = (State) clone();
        copy.record = record.clone();
        copy.build = build.clone();
        copy.live = live.clone();
        copy.knownLevel = knownLevel.clone();
        copy.knownAllCan = knownAllCan.clone();
        copy.knownLiveCan = knownLiveCan.clone();
        copy.stale = stale.clone();
        copy.pending = pending.clone();
        copy.guards = guards.clone();
        return copy;
      } catch (CloneNotSupportedException e) {
        throw new IllegalStateException(e);
      }
    }

    private String key() {
      StringBuilder key = new StringBuilder().append(level).append(leader + 1);
      for (int i = 0; i < NODES; i++) {
        key.append(record[i])
            .append(build[i])
            .append(live[i] ? 1 : 0)
            .append(knownLevel[i])
            .append(knownAllCan[i] ? 1 : 0)
            .append(knownLiveCan[i] ? 1 : 0)
            .append(stale[i])
            .append(pending[i].ordinal())
            .append(guards[i]);
      }
      return key.toString();
    }

    private void changed(int key) {
      for (int i = 0; i < NODES; i++) {
        stale[i] |= key;
        if ((guards[i] & key) != 0) {
          drop(i);
        }
      }
    }

    private void drop(int node) {
      pending[node] = Kind.NONE;
      guards[node] = 0;
    }

    /** Resets what no further step reads, so that equivalent states are equal. */
    private State normalised() {
      for (int i = 0; i < NODES; i++) {
        if (build[i] == 0 || !live[i]) {
          knownAllCan[i] = false;
          knownLiveCan[i] = false;
          stale[i] &= LEVEL;
        }
        if (build[i] == 0) {
          knownLevel[i] = 1;
          stale[i] = 0;
        }
      }
      return this;
    }
  }

  private final Set<Guard> guards = EnumSet.allOf(Guard.class);
  private String violation;

  private void plan(State from, int node, Kind kind, int keys, Consumer<State> next) {
    if (from.pending[node] != Kind.NONE || (from.stale[node] & keys) != 0) {
      return; // one at a time, and a transaction known to be stale would fail
    }
    State state = from.copy();
    state.pending[node] = kind;
    state.guards[node] = keys;
    next.accept(state);
  }

  /**
   * The lease of an incarnation ends or expires: its records are removed, and transactions under
   * the lease fail.
   */
  private void end(State state, int node) {
    state.live[node] = false;
    state.record[node] = 0;
    state.changed(MEMBERS);
    if (state.leader == node) {
      state.leader = -1;
      state.changed(LEADER);
    }
    if (state.pending[node] != Kind.WRITE_OLD && state.pending[node] != Kind.WRITE_NEW) {
      state.drop(node);
    }
  }

  /** Generates all successors. */
  private void steps(State from, Consumer<State> next) {
    for (int node = 0; node < NODES; node++) {
      int me = node;
      if (from.build[node] == 0) {
        for (int build = 1; build <= 2; build++) {
          State state = from.copy();
          state.build[node] = build;
          read(state, node);
          next.accept(state);
        }
      } else {
        State crash = from.copy();
        crash.live[node] = false; // its record stays until its lease expires
        crash.build[node] = 0;
        if (crash.pending[node] == Kind.JOIN) {
          crash.drop(node); // the lease that the record is attached to is no longer renewed
        }
        next.accept(crash);
        State read = from.copy();
        read(read, node);
        next.accept(read);
        planTransactions(from, me, next);
      }
      if (!from.live[node] && from.record[node] != 0) {
        State expired = from.copy();
        end(expired, node);
        next.accept(expired);
      }
      if (from.pending[node] != Kind.NONE) {
        apply(from, node, next);
      }
    }
  }

  private void read(State state, int node) {
    state.stale[node] = 0;
    state.knownLevel[node] = state.level;
    boolean all = true;
    boolean liveCan = true;
    for (int record : state.record) {
      all &= record == 2;
      liveCan &= record != 1;
    }
    state.knownAllCan[node] = all;
    state.knownLiveCan[node] = liveCan;
    if (guards.contains(Guard.UNABLE_LEAVES)
        && state.build[node] < state.level
        && state.live[node]) {
      end(state, node);
    }
  }

  private void planTransactions(State from, int node, Consumer<State> next) {
    boolean supportsLevel =
        from.build[node] >= from.knownLevel[node] || !guards.contains(Guard.UNABLE_LEAVES);
    if (!from.live[node]) {
      if (supportsLevel && from.record[node] == 0) { // the former incarnation has to be ended first
        plan(from, node, Kind.JOIN, guards.contains(Guard.JOIN_BY_LEVEL) ? LEVEL : 0, next);
      }
      return;
    }
    if (from.leader != node) {
      if (from.leader == -1) {
        plan(from, node, Kind.LEAD, LEVEL | LEADER, next);
      }
      return;
    }
    int write = guards.contains(Guard.WRITE_BY_LEVEL_AND_LEADERSHIP) ? LEADER : 0;
    plan(from, node, from.knownLevel[node] == 2 ? Kind.WRITE_NEW : Kind.WRITE_OLD, write, next);
    boolean waited =
        guards.contains(Guard.SWITCH_WAITS_FOR_ALL)
            ? from.knownAllCan[node]
            : from.knownLiveCan[node];
    if (from.knownLevel[node] == 1 && from.build[node] == 2 && waited) {
      int members = guards.contains(Guard.SWITCH_BY_MEMBERS) ? MEMBERS : 0;
      plan(from, node, Kind.SWITCH, LEVEL | LEADER | members, next);
    }
  }

  private void apply(State from, int node, Consumer<State> next) {
    State state = from.copy();
    Kind kind = state.pending[node];
    state.drop(node);
    switch (kind) {
      case JOIN -> {
        state.record[node] = state.build[node];
        state.live[node] = true;
        state.changed(MEMBERS);
        checkNot(
            state.level == 2 && state.build[node] == 1,
            "a controller joins that cannot read the stored records");
      }
      case LEAD -> {
        state.leader = node;
        state.changed(LEADER);
      }
      case SWITCH -> {
        state.level = 2;
        state.changed(LEVEL | LEADER);
        for (int other = 0; other < NODES; other++) {
          checkNot(
              state.build[other] == 1 && state.live[other],
              "a live controller cannot read what the level allows to be written");
          checkNot(
              state.record[other] == 0, "an unreachable controller may return with its old build");
        }
      }
      case WRITE_OLD ->
          checkNot(state.level == 2, "written in the old format after the level change");
      case WRITE_NEW -> {
        for (int other = 0; other < NODES; other++) {
          checkNot(
              state.live[other] && state.build[other] == 1,
              "a live controller cannot read what was written");
        }
      }
      default -> throw new IllegalStateException(kind.toString());
    }
    next.accept(state);
  }

  private void checkNot(boolean violated, String description) {
    if (violated && violation == null) {
      violation = description;
    }
  }

  /** Explores all states, or up to the first violation; returns their number. */
  private int explore() {
    Set<String> seen = new HashSet<>();
    ArrayDeque<State> open = new ArrayDeque<>(List.of(new State()));
    seen.add(open.peek().key());
    boolean switched = false;
    while (!open.isEmpty() && violation == null) {
      State state = open.poll();
      switched |= state.level == 2;
      List<State> following = new ArrayList<>();
      steps(state, following::add);
      for (State each : following) {
        State next = each.normalised();
        if (seen.add(next.key())) {
          open.add(next);
        }
      }
    }
    assertTrue(switched || violation != null, "no level change was ever reached");
    return seen.size();
  }

  @Test
  void noReachableStateViolatesInvariants() {
    int states = explore();
    assertNull(violation);
    assertTrue(states > 100_000, states + " states");
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void disablingAnyGuardCausesViolation(Guard guard) {
    guards.remove(guard);
    explore();
    assertNotEquals(null, violation, guard.toString());
  }
}
