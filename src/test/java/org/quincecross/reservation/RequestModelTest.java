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
 * A request and room for one task as a small model, gone through whole: two controllers that are
 * asked for anything at any time, either of which may lead or think so, crashes, and transactions
 * that are applied whenever they like. A guard holds as long as nothing has been written under its
 * key since its controller last read, so no versions need be counted. The steps are those of {@link
 * RequestKind}.
 */
class RequestModelTest {
  private static final int RECORD = 1;
  private static final int FENCE = 2;
  private static final int LEADER = 4;
  private static final int ROOM = 8;
  private static final CommandOrigin NOW = new CommandOrigin(1000, 10, "");
  private static final RequestKind KIND = new RequestKind(id -> "", 0);
  private static final RequestCommand POLICE = arrive("police");
  private static final RequestCommand CARRIER = arrive("carrier");
  private static final List<RequestCommand> ASKED =
      List.of(POLICE, CARRIER, new RequestCommand.Answer(-1), new RequestCommand.Withdraw(""));
  private static final int CRASHES = 2;

  /** What can be left out, to see that the model finds what it guards against. */
  private enum Guard {
    /** A change is guarded by the version of its record. */
    BY_VERSION,
    /** What the leader allocates is guarded by the fence, which rises with each reservation. */
    BY_FENCE,
    /** One reference has one set of figures. */
    SAME_FIGURES,
    /** What is over gets no room. */
    OVER_STAYS_OVER
  }

  private static RequestCommand arrive(String kind) {
    return new RequestCommand.Arrive(
        new Request(
            "",
            kind,
            1,
            2000,
            new Need("front", "red", 1, new Resources(1, 0, 1), Set.of()),
            0,
            Request.State.ARRIVED,
            Map.of(),
            "",
            0,
            0));
  }

  /** A transaction that is under way: {@code next} null allocates the room to other work. */
  private record Pending(Request next, int guards, int command) {}

  private record State(
      Request record,
      boolean taken,
      boolean room,
      int leader,
      int crashes,
      int ends,
      int acked,
      List<Request> views,
      List<Boolean> seenTaken,
      List<Integer> stale,
      List<Pending> pending,
      List<Pending> late) {
    State with(Request next, boolean nextTaken, boolean nextRoom, int nextLeader) {
      return new State(
          next,
          nextTaken,
          nextRoom,
          nextLeader,
          crashes,
          ends,
          acked,
          views,
          seenTaken,
          stale,
          pending,
          late);
    }

    State ended() {
      return new State(
          record, taken, room, leader, crashes, ends + 1, acked, views, seenTaken, stale, pending,
          late);
    }

    State acked(int command) {
      return new State(
          record,
          taken,
          room,
          leader,
          crashes,
          ends,
          acked | 1 << command,
          views,
          seenTaken,
          stale,
          pending,
          late);
    }

    State crashed() {
      return new State(
          record,
          taken,
          room,
          leader,
          crashes + 1,
          ends,
          acked,
          views,
          seenTaken,
          stale,
          pending,
          late);
    }

    State view(int node, Request view, boolean sawTaken, int staleNow) {
      return new State(
          record,
          taken,
          room,
          leader,
          crashes,
          ends,
          acked,
          set(views, node, view),
          set(seenTaken, node, sawTaken),
          set(stale, node, staleNow),
          pending,
          late);
    }

    State pending(int node, Pending one) {
      return new State(
          record,
          taken,
          room,
          leader,
          crashes,
          ends,
          acked,
          views,
          seenTaken,
          stale,
          set(pending, node, one),
          late);
    }

    State late(int node, Pending one) {
      return new State(
          record,
          taken,
          room,
          leader,
          crashes,
          ends,
          acked,
          views,
          seenTaken,
          stale,
          pending,
          set(late, node, one));
    }

    /**
     * Something is written under keys: what goes by what was there before fails, and is as good as
     * none.
     */
    State written(int keys) {
      State next = this;
      for (int node = 0; node < 2; node++) {
        next =
            next.view(
                node, next.views.get(node), next.seenTaken.get(node), next.stale.get(node) | keys);
        next =
            next.pending.get(node) != null && (next.pending.get(node).guards & keys) != 0
                ? next.pending(node, null)
                : next;
        next =
            next.late.get(node) != null && (next.late.get(node).guards & keys) != 0
                ? next.late(node, null)
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

  private Transition<Request> step(Request state, RequestCommand command) {
    if (!guards.contains(Guard.SAME_FIGURES) && command instanceof RequestCommand.Arrive) {
      return KIND.step(Request.NONE, command, NOW);
    }
    if (!guards.contains(Guard.OVER_STAYS_OVER) && command instanceof RequestCommand.Place place) {
      return new Transition.Changed<>(state.reserved(place.zones()), List.of());
    }
    return KIND.step(state, command, NOW);
  }

  private void go(State state) {
    if (seen.add(state)) {
      toDo.add(state);
    }
  }

  private void plan(State from, int node, Request next, int keys, int command) {
    int by =
        keys
            & ~((guards.contains(Guard.BY_VERSION) ? 0 : RECORD)
                | (guards.contains(Guard.BY_FENCE) ? 0 : FENCE));
    if (from.pending.get(node) == null && (from.stale.get(node) & by) == 0) {
      go(from.pending(node, new Pending(next, by, command)));
    }
  }

  private void ask(State from, int node, RequestCommand command, int number) {
    if (from.pending.get(node) != null) {
      return;
    }
    Transition<Request> step = step(from.views.get(node), command);
    if (step instanceof Transition.Changed<Request> changed) {
      plan(from, node, changed.next(), RECORD, number);
    } else if (step instanceof Transition.Same<Request> && number >= 0) {
      go(from.acked(number));
    }
  }

  private void commit(State from, Pending one) {
    if (one.next == null) {
      if (from.record.state() == Request.State.RESERVED) {
        violation = "room that is reserved is given to other work: " + from;
      }
      go(from.with(from.record, true, from.room, from.leader).written(ROOM));
      return;
    }
    State next = from.with(one.next, from.taken, from.room, from.leader);
    boolean over = !from.record.state().isOpen() && from.record.state() != Request.State.NONE;
    if (over && !one.next.equals(from.record)) {
      violation = "what was over has changed: " + from.record + " to " + one.next;
    }
    next = !over && !one.next.state().isOpen() ? next.ended() : next;
    if (next.ends > 1) {
      violation = "given back twice";
    }
    next = next.written(RECORD | (KIND.startsWithholding(from.record, one.next) ? FENCE : 0));
    go(one.command >= 0 ? next.acked(one.command) : next);
  }

  private void check(State state) {
    boolean police = (state.acked & 1) != 0;
    boolean carrier = (state.acked & 2) != 0;
    if (police && carrier) {
      violation = "one reference was accepted with two sets of figures";
    }
    if ((police && !state.record.kind().equals("police"))
        || (carrier && !state.record.kind().equals("carrier"))) {
      violation = "an accepted request is lost: " + state;
    }
    if ((state.acked & 4) != 0 && state.record.state() != Request.State.ANSWERED) {
      violation = "an answer that was recorded is lost: " + state;
    }
    if (!state.record.state().isOpen() && state.record.reserved() > 0) {
      violation = "what is over has room: " + state;
    }
  }

  private void next(State state) {
    for (int node = 0; node < 2; node++) {
      go(state.view(node, state.record, state.taken, 0));
      for (int command = 0; command < ASKED.size(); command++) {
        ask(state, node, ASKED.get(command), command);
      }
      // Who thinks that he leads may no longer: his allocations are guarded by the leadership, his
      // steps on requests are not.
      Request view = state.views.get(node);
      if (state.room && !state.seenTaken.get(node) && view.state() == Request.State.ARRIVED) {
        ask(state, node, new RequestCommand.Place(Map.of("a", 1)), -1);
      }
      if (!guards.contains(Guard.OVER_STAYS_OVER)
          && state.room
          && !view.state().isOpen()
          && view.state() != Request.State.NONE) {
        ask(state, node, new RequestCommand.Place(Map.of("a", 1)), -1);
      }
      if (view.state() == Request.State.RESERVED && (state.seenTaken.get(node) || !state.room)) {
        ask(state, node, new RequestCommand.Lose("gone"), -1);
      }
      if (state.leader == node
          && state.room
          && !state.seenTaken.get(node)
          && view.state() != Request.State.RESERVED) {
        plan(state, node, null, LEADER | FENCE | ROOM, -1);
      }
      if (state.leader != node) {
        go(state.with(state.record, state.taken, state.room, node).written(LEADER));
      }
      if (state.pending.get(node) != null) {
        commit(state.pending(node, null), state.pending.get(node));
        if (state.crashes < CRASHES) {
          go(
              state
                  .crashed()
                  .late(node, state.pending.get(node))
                  .pending(node, null)
                  .view(node, Request.NONE, false, 15));
        }
      }
      if (state.late.get(node) != null) {
        commit(state.late(node, null), state.late.get(node));
        go(state.late(node, null));
      }
    }
    if (state.taken) {
      go(state.with(state.record, false, state.room, state.leader).written(ROOM));
    }
    if (state.room) {
      go(state.with(state.record, state.taken, false, state.leader));
    }
  }

  private int explore() {
    List<Pending> none = java.util.Arrays.asList(null, null);
    go(
        new State(
            Request.NONE,
            false,
            true,
            0,
            0,
            0,
            0,
            List.of(Request.NONE, Request.NONE),
            List.of(false, false),
            List.of(0, 0),
            none,
            none));
    while (!toDo.isEmpty() && violation == null) {
      State state = toDo.poll();
      check(state);
      next(state);
    }
    return seen.size();
  }

  @Test
  void everyStateIsSound() {
    int states = explore();
    assertNull(violation);
    System.err.println("a request: " + states + " states");
    assertTrue(states > 10_000, states + " states");
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void everyGuardIsNeeded(Guard guard) {
    guards.remove(guard);
    explore();
    assertNotEquals(null, violation, "without " + guard);
  }
}
