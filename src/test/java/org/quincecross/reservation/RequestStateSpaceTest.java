package org.quincecross.reservation;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quincecross.model.Resources;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.Transition;

/**
 * Explores all states of a request and capacity for one task: two controllers that receive any
 * command at any time, either of which may lead or believe that it does, crashes, and transactions
 * applied at any later time. A transaction fails once one of its keys has been written after its
 * controller last read, so no versions are counted. The transitions are those of {@link
 * RequestKind}.
 */
class RequestStateSpaceTest {
  private static final int RECORD = 1;
  private static final int FENCE = 2;
  private static final int LEADER = 4;
  private static final int CAPACITY = 8;
  private static final CommandOrigin NOW = new CommandOrigin(1000, 10, "");
  private static final RequestKind KIND = new RequestKind(id -> "", 0);
  private static final RequestCommand POLICE = arrive("police");
  private static final RequestCommand CARRIER = arrive("carrier");
  private static final List<RequestCommand> USER_COMMANDS =
      List.of(POLICE, CARRIER, new RequestCommand.Answer(-1), new RequestCommand.Withdraw(""));
  private static final int MAX_CRASHES = 2;

  /**
   * Protocol rules that can be disabled, to show that the search finds a violation without each of
   * them.
   */
  private enum Guard {
    /** A change is guarded by the version of the record. */
    BY_VERSION,
    /** Allocations are guarded by the fence, which rises with each reservation. */
    BY_FENCE,
    /** A reference has one set of fields. */
    ONE_SET_OF_FIELDS,
    /** A closed request receives no reservation. */
    CLOSED_IS_FINAL
  }

  private static RequestCommand arrive(String kind) {
    return new RequestCommand.Arrive(
        new DeadlineRequest(
            "",
            kind,
            1,
            2000,
            new CapacityNeed("front", "red", 1, new Resources(1, 0, 1), Set.of()),
            0,
            DeadlineRequest.State.ARRIVED,
            Map.of(),
            "",
            0,
            0));
  }

  /** A transaction in flight; {@code next} null allocates the capacity to other work. */
  private record Pending(DeadlineRequest next, int guards, int command) {}

  private record State(
      DeadlineRequest record,
      boolean allocated,
      boolean capacityExists,
      int leader,
      int crashes,
      int closings,
      int acknowledged,
      List<DeadlineRequest> views,
      List<Boolean> seenAllocated,
      List<Integer> stale,
      List<Pending> pending,
      List<Pending> delayed) {
    State with(
        DeadlineRequest next, boolean nextAllocated, boolean nextCapacityExists, int nextLeader) {
      return new State(
          next,
          nextAllocated,
          nextCapacityExists,
          nextLeader,
          crashes,
          closings,
          acknowledged,
          views,
          seenAllocated,
          stale,
          pending,
          delayed);
    }

    State withClosing() {
      return new State(
          record,
          allocated,
          capacityExists,
          leader,
          crashes,
          closings + 1,
          acknowledged,
          views,
          seenAllocated,
          stale,
          pending,
          delayed);
    }

    State acknowledged(int command) {
      return new State(
          record,
          allocated,
          capacityExists,
          leader,
          crashes,
          closings,
          acknowledged | 1 << command,
          views,
          seenAllocated,
          stale,
          pending,
          delayed);
    }

    State withCrash() {
      return new State(
          record,
          allocated,
          capacityExists,
          leader,
          crashes + 1,
          closings,
          acknowledged,
          views,
          seenAllocated,
          stale,
          pending,
          delayed);
    }

    State view(int node, DeadlineRequest view, boolean sawAllocated, int staleNow) {
      return new State(
          record,
          allocated,
          capacityExists,
          leader,
          crashes,
          closings,
          acknowledged,
          set(views, node, view),
          set(seenAllocated, node, sawAllocated),
          set(stale, node, staleNow),
          pending,
          delayed);
    }

    State pending(int node, Pending transaction) {
      return new State(
          record,
          allocated,
          capacityExists,
          leader,
          crashes,
          closings,
          acknowledged,
          views,
          seenAllocated,
          stale,
          set(pending, node, transaction),
          delayed);
    }

    State delayed(int node, Pending transaction) {
      return new State(
          record,
          allocated,
          capacityExists,
          leader,
          crashes,
          closings,
          acknowledged,
          views,
          seenAllocated,
          stale,
          pending,
          set(delayed, node, transaction));
    }

    /** Writes keys: transactions guarded by the former versions fail, and are dropped. */
    State written(int keys) {
      State next = this;
      for (int node = 0; node < 2; node++) {
        next =
            next.view(
                node,
                next.views.get(node),
                next.seenAllocated.get(node),
                next.stale.get(node) | keys);
        next =
            next.pending.get(node) != null && (next.pending.get(node).guards & keys) != 0
                ? next.pending(node, null)
                : next;
        next =
            next.delayed.get(node) != null && (next.delayed.get(node).guards & keys) != 0
                ? next.delayed(node, null)
                : next;
      }
      return next;
    }
  }

  private static <T> List<T> set(List<T> list, int at, T value) {
    List<T> next = new ArrayList<>(list);
    next.set(at, value);
    return next;
  }

  private final Set<Guard> guards = EnumSet.allOf(Guard.class);
  private final Set<State> seen = new HashSet<>();
  private final ArrayDeque<State> toDo = new ArrayDeque<>();
  private String violation;

  private Transition<DeadlineRequest> step(DeadlineRequest state, RequestCommand command) {
    if (!guards.contains(Guard.ONE_SET_OF_FIELDS) && command instanceof RequestCommand.Arrive) {
      return KIND.step(DeadlineRequest.NONE, command, NOW);
    }
    if (!guards.contains(Guard.CLOSED_IS_FINAL)
        && command instanceof RequestCommand.Reserve reserve) {
      return new Transition.Changed<>(state.reservedTasks(reserve.zones()), List.of());
    }
    return KIND.step(state, command, NOW);
  }

  private void addState(State state) {
    if (seen.add(state)) {
      toDo.add(state);
    }
  }

  private void plan(State from, int node, DeadlineRequest next, int keys, int command) {
    int guardKeys =
        keys
            & ~((guards.contains(Guard.BY_VERSION) ? 0 : RECORD)
                | (guards.contains(Guard.BY_FENCE) ? 0 : FENCE));
    if (from.pending.get(node) == null && (from.stale.get(node) & guardKeys) == 0) {
      addState(from.pending(node, new Pending(next, guardKeys, command)));
    }
  }

  private void send(State from, int node, RequestCommand command, int number) {
    if (from.pending.get(node) != null) {
      return;
    }
    Transition<DeadlineRequest> step = step(from.views.get(node), command);
    if (step instanceof Transition.Changed<DeadlineRequest> changed) {
      plan(from, node, changed.next(), RECORD, number);
    } else if (step instanceof Transition.Unchanged<DeadlineRequest> && number >= 0) {
      addState(from.acknowledged(number));
    }
  }

  private void commit(State from, Pending transaction) {
    if (transaction.next == null) {
      if (from.record.state() == DeadlineRequest.State.RESERVED) {
        violation = "reserved capacity is allocated to other work: " + from;
      }
      addState(from.with(from.record, true, from.capacityExists, from.leader).written(CAPACITY));
      return;
    }
    State next = from.with(transaction.next, from.allocated, from.capacityExists, from.leader);
    boolean isClosed =
        !from.record.state().isOpen() && from.record.state() != DeadlineRequest.State.NONE;
    if (isClosed && !transaction.next.equals(from.record)) {
      violation = "a closed request has changed: " + from.record + " to " + transaction.next;
    }
    next = !isClosed && !transaction.next.state().isOpen() ? next.withClosing() : next;
    if (next.closings > 1) {
      violation = "a reservation is released twice";
    }
    next = next.written(RECORD | (KIND.blocksMoreTasks(from.record, transaction.next) ? FENCE : 0));
    addState(transaction.command >= 0 ? next.acknowledged(transaction.command) : next);
  }

  private void check(State state) {
    boolean police = (state.acknowledged & 1) != 0;
    boolean carrier = (state.acknowledged & 2) != 0;
    if (police && carrier) {
      violation = "one reference was accepted with two sets of fields";
    }
    if ((police && !state.record.kind().equals("police"))
        || (carrier && !state.record.kind().equals("carrier"))) {
      violation = "an accepted request is lost: " + state;
    }
    if ((state.acknowledged & 4) != 0 && state.record.state() != DeadlineRequest.State.ANSWERED) {
      violation = "an answer that was recorded is lost: " + state;
    }
    if (!state.record.state().isOpen() && state.record.reservedTasks() > 0) {
      violation = "a closed request has a reservation: " + state;
    }
  }

  private void addSuccessors(State state) {
    for (int node = 0; node < 2; node++) {
      addState(state.view(node, state.record, state.allocated, 0));
      for (int command = 0; command < USER_COMMANDS.size(); command++) {
        send(state, node, USER_COMMANDS.get(command), command);
      }
      // A deposed leader may still believe that it leads: its allocations are guarded by the
      // leadership, its commands on requests are not.
      DeadlineRequest view = state.views.get(node);
      if (state.capacityExists
          && !state.seenAllocated.get(node)
          && view.state() == DeadlineRequest.State.ARRIVED) {
        send(state, node, new RequestCommand.Reserve(Map.of("a", 1)), -1);
      }
      if (!guards.contains(Guard.CLOSED_IS_FINAL)
          && state.capacityExists
          && !view.state().isOpen()
          && view.state() != DeadlineRequest.State.NONE) {
        send(state, node, new RequestCommand.Reserve(Map.of("a", 1)), -1);
      }
      if (view.state() == DeadlineRequest.State.RESERVED
          && (state.seenAllocated.get(node) || !state.capacityExists)) {
        send(state, node, new RequestCommand.LoseReservation("gone"), -1);
      }
      if (state.leader == node
          && state.capacityExists
          && !state.seenAllocated.get(node)
          && view.state() != DeadlineRequest.State.RESERVED) {
        plan(state, node, null, LEADER | FENCE | CAPACITY, -1);
      }
      if (state.leader != node) {
        addState(
            state.with(state.record, state.allocated, state.capacityExists, node).written(LEADER));
      }
      if (state.pending.get(node) != null) {
        commit(state.pending(node, null), state.pending.get(node));
        if (state.crashes < MAX_CRASHES) {
          addState(
              state
                  .withCrash()
                  .delayed(node, state.pending.get(node))
                  .pending(node, null)
                  .view(node, DeadlineRequest.NONE, false, 15));
        }
      }
      if (state.delayed.get(node) != null) {
        commit(state.delayed(node, null), state.delayed.get(node));
        addState(state.delayed(node, null));
      }
    }
    if (state.allocated) {
      addState(
          state.with(state.record, false, state.capacityExists, state.leader).written(CAPACITY));
    }
    if (state.capacityExists) {
      addState(state.with(state.record, state.allocated, false, state.leader));
    }
  }

  private int explore() {
    List<Pending> none = java.util.Arrays.asList(null, null);
    addState(
        new State(
            DeadlineRequest.NONE,
            false,
            true,
            0,
            0,
            0,
            0,
            List.of(DeadlineRequest.NONE, DeadlineRequest.NONE),
            List.of(false, false),
            List.of(0, 0),
            none,
            none));
    while (!toDo.isEmpty() && violation == null) {
      State state = toDo.poll();
      check(state);
      addSuccessors(state);
    }
    return seen.size();
  }

  @Test
  void noReachableStateViolatesInvariants() {
    int states = explore();
    assertNull(violation);
    System.err.println("a request: " + states + " states");
    assertTrue(states > 10_000, states + " states");
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void disablingAnyGuardCausesViolation(Guard guard) {
    guards.remove(guard);
    explore();
    assertNotEquals(null, violation, "without " + guard);
  }
}
