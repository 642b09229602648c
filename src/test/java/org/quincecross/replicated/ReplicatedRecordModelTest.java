package org.quincecross.replicated;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quincecross.model.Revision;

/**
 * Explores all states of replicated records: two controllers, three requests sent to either at any
 * time and repeated, a leader that allocates one task, a shard owner that starts it, crashes, and
 * transactions applied at any later time. The transitions are those of {@link ReplicatedRecord}. A
 * guard holds as long as its key has not been written since its controller last read, so the states
 * are finite.
 */
class ReplicatedRecordModelTest {
  private static final int NODES = 2;
  private static final int LEADER = 0;
  private static final int HOLDER = 1;

  /** Bits of the keys. */
  private static final int RECORD = 1;

  private static final int FENCE = 2;
  private static final int ALLOCATION = 4;
  private static final GateKind GATE = new GateKind();
  private static final CommandOrigin NOW = new CommandOrigin(1_000_000, 10, "");
  private static final GateKind.Command[] REQUESTS = {
    GateKind.Command.CLOSE, GateKind.Command.OPEN, GateKind.Command.CLOSE
  };

  /**
   * Protocol rules that can be disabled, to show that the search finds a violation without each of
   * them.
   */
  private enum Guard {
    /** A change is guarded by the version of its record. */
    CHANGE_BY_VERSION,
    /** A request that the record knows by its name is not applied again. */
    ONCE_BY_NAME,
    /** A caller is answered only once its change is durable. */
    TOLD_WHEN_DURABLE,
    /** What the leader writes is guarded by the fence. */
    ALLOCATED_BY_FENCE,
    /** A change that blocks tasks raises the fence. */
    CLOSING_RAISES,
    /** The leader removes a task from its allocation only once the shard owner has released it. */
    FREED_WHEN_GONE,
    /** The proof uses records at least as new as the closing. */
    PROVEN_BY_NEW_RECORDS,
    /** A shard owner does not restart a released task under the same allocation. */
    GIVEN_BACK_FOR_GOOD
  }

  private enum Write {
    CHANGE,
    ALLOCATE,
    FREE
  }

  /**
   * A transaction in flight or without an answer: it is applied at any time, or never; a failed
   * guard voids it.
   */
  private record Txn(
      Write write,
      int request,
      ReplicatedRecord<GateKind.State> next,
      boolean raises,
      int guards) {}

  /** The complete state. */
  private static final class State implements Cloneable {
    private ReplicatedRecord<GateKind.State> record = ReplicatedRecord.none(GATE);
    private boolean allocated;
    private boolean runs;

    /** The shard owner has released the task under the allocation that it knows. */
    private boolean released;

    private boolean proven;
    private int changes;
    private int changed;
    private int told;
    private ReplicatedRecord<?>[] known = {
      ReplicatedRecord.none(GATE), ReplicatedRecord.none(GATE)
    };
    private boolean[] knownAllocated = new boolean[NODES];
    private int[] stale = new int[NODES];
    private Txn[] txn = new Txn[NODES];
    private Txn[] late = new Txn[NODES];

    private State copy() {
      try {
        State copy = (State) clone();
        copy.known = known.clone();
        copy.knownAllocated = knownAllocated.clone();
        copy.stale = stale.clone();
        copy.txn = txn.clone();
        copy.late = late.clone();
        return copy;
      } catch (CloneNotSupportedException e) {
        throw new IllegalStateException(e);
      }
    }

    private List<Object> key() {
      return Arrays.asList(
          record,
          allocated,
          runs,
          released,
          proven,
          changes,
          changed,
          told,
          Arrays.asList(known),
          Arrays.hashCode(knownAllocated),
          Arrays.hashCode(stale),
          Arrays.asList(txn),
          Arrays.asList(late));
    }

    private void written(int keys) {
      for (int i = 0; i < NODES; i++) {
        stale[i] |= keys;
        txn[i] = txn[i] != null && (txn[i].guards() & keys) != 0 ? null : txn[i];
        late[i] = late[i] != null && (late[i].guards() & keys) != 0 ? null : late[i];
      }
    }

    @SuppressWarnings("unchecked")
    private ReplicatedRecord<GateKind.State> known(int node) {
      return (ReplicatedRecord<GateKind.State>) known[node];
    }
  }

  private final Set<Guard> guards = EnumSet.allOf(Guard.class);
  private String violation;

  private void wrong(boolean is, String what) {
    if (is && violation == null) {
      violation = what;
    }
  }

  private static void read(State state, int node) {
    state.known[node] = state.record;
    if (node == HOLDER && state.knownAllocated[node] != state.allocated) {
      state.released = false; // a different allocation
    }
    state.knownAllocated[node] = state.allocated;
    state.stale[node] = 0;
  }

  private void steps(State from, Consumer<State> next) {
    for (int node = 0; node < NODES; node++) {
      State read = from.copy();
      read(read, node);
      next.accept(read);
      State crash = from.copy();
      crash.late[node] = crash.txn[node] == null ? crash.late[node] : crash.txn[node];
      crash.txn[node] = null;
      read(crash, node);
      next.accept(crash);
      if (from.txn[node] != null) {
        State unanswered = from.copy();
        unanswered.late[node] = from.txn[node];
        unanswered.txn[node] = null;
        next.accept(unanswered);
        apply(from, node, true, next);
      } else {
        ask(from, node, next);
      }
      if (from.late[node] != null) {
        apply(from, node, false, next);
      }
      prove(from, node, next);
    }
    lead(from, next);
    hold(from, next);
  }

  /** A request arrives, for the first time or repeated. */
  private void ask(State from, int node, Consumer<State> next) {
    for (int request = 0; request < REQUESTS.length; request++) {
      ReplicatedRecord<GateKind.State> known = from.known(node);
      if (!guards.contains(Guard.ONCE_BY_NAME)) {
        known = new ReplicatedRecord<>(known.state(), known.change(), List.of(), known.trail());
      }
      ReplicatedRecord.Result<GateKind.State> result =
          known.apply(GATE, "g", Revision.NONE, "r" + request, -1, REQUESTS[request], NOW);
      State state = from.copy();
      if (result instanceof ReplicatedRecord.Result.Known) {
        state.told |= 1 << request;
      } else if (result instanceof ReplicatedRecord.Result.Write<GateKind.State> write) {
        if ((from.stale[node] & RECORD) != 0 && guards.contains(Guard.CHANGE_BY_VERSION)) {
          continue; // would fail
        }
        // The audit trail grows with each change and is irrelevant here.
        ReplicatedRecord<GateKind.State> kept =
            new ReplicatedRecord<>(
                write.next().state(), write.next().change(), write.next().requests(), List.of());
        state.txn[node] =
            new Txn(
                Write.CHANGE,
                request,
                kept,
                write.withholds() && guards.contains(Guard.CLOSING_RAISES),
                guards.contains(Guard.CHANGE_BY_VERSION) ? RECORD : 0);
        if (!guards.contains(Guard.TOLD_WHEN_DURABLE)) {
          state.told |= 1 << request;
        }
      }
      next.accept(state);
    }
  }

  private void apply(State from, int node, boolean answered, Consumer<State> next) {
    State state = from.copy();
    Txn txn = answered ? state.txn[node] : state.late[node];
    if (answered) {
      state.txn[node] = null;
    } else {
      state.late[node] = null;
    }
    switch (txn.write()) {
      case CHANGE -> {
        if (txn.next().change() > 0
            && txn.next().requests().get(txn.next().requests().size() - 1).same().isEmpty()) {
          state.changes++;
          wrong((state.changed & 1 << txn.request()) != 0, "a request is two changes");
          state.changed |= 1 << txn.request();
        }
        state.record = txn.next();
        wrong(state.record.change() != state.changes, "a change is lost");
        state.proven &= state.record.state().closed();
        state.written(txn.raises() ? RECORD | FENCE : RECORD);
        if (answered) {
          state.told |= 1 << txn.request();
        }
      }
      case ALLOCATE -> {
        state.allocated = true;
        state.written(ALLOCATION);
        wrong(state.proven, "allocated after it was proven that it cannot be");
      }
      case FREE -> {
        state.allocated = false;
        state.written(ALLOCATION);
      }
      default -> throw new IllegalStateException(txn.write().toString());
    }
    for (int request = 0; request < REQUESTS.length; request++) {
      String name = "r" + request;
      wrong(
          (state.told & 1 << request) != 0
              && state.record.requests().stream().noneMatch(each -> each.name().equals(name)),
          "answered but not in the record");
    }
    next.accept(state);
  }

  private void lead(State from, Consumer<State> next) {
    if (from.txn[LEADER] != null || from.late[LEADER] != null) {
      return; // the leader first rewrites its leadership record, which makes unanswered
      // transactions fail
    }
    int fence = guards.contains(Guard.ALLOCATED_BY_FENCE) ? FENCE : 0;
    if ((from.stale[LEADER] & (ALLOCATION | fence)) != 0) {
      return;
    }
    boolean closed = from.known(LEADER).state().closed();
    State state = from.copy();
    if (!from.knownAllocated[LEADER] && !closed) {
      state.txn[LEADER] = new Txn(Write.ALLOCATE, 0, null, false, ALLOCATION | fence);
      next.accept(state);
    } else if (from.knownAllocated[LEADER]
        && (from.released || (!guards.contains(Guard.FREED_WHEN_GONE) && closed))) {
      state.txn[LEADER] = new Txn(Write.FREE, 0, null, false, ALLOCATION | fence);
      next.accept(state);
    }
  }

  /** The shard owner acts on the records that it knows, however old. */
  private void hold(State from, Consumer<State> next) {
    boolean closed = from.known(HOLDER).state().closed();
    State state = from.copy();
    if (!from.runs
        && from.knownAllocated[HOLDER]
        && !closed
        && !(from.released && guards.contains(Guard.GIVEN_BACK_FOR_GOOD))) {
      state.runs = true;
      wrong(from.proven, "started after it was proven that it cannot be");
    } else if (from.runs && closed) {
      state.runs = false;
      state.released = true;
    } else if (!from.runs && closed && from.knownAllocated[HOLDER] && !from.released) {
      state.released = true;
    } else {
      return;
    }
    next.accept(state);
  }

  private void prove(State from, int node, Consumer<State> next) {
    boolean closed = from.record.state().closed();
    boolean knows =
        guards.contains(Guard.PROVEN_BY_NEW_RECORDS)
            ? from.known(node).state().closed() && from.known(node).change() == from.record.change()
            : closed;
    if (closed && knows && !from.knownAllocated[node] && !from.proven) {
      State state = from.copy();
      state.proven = true;
      wrong(state.runs, "runs although it is proven that it does not");
      next.accept(state);
    }
  }

  private int explore() {
    Set<List<Object>> seen = new HashSet<>();
    ArrayDeque<State> open = new ArrayDeque<>(List.of(new State()));
    boolean[] proven = new boolean[1];
    while (!open.isEmpty() && violation == null) {
      State state = open.poll();
      proven[0] |= state.proven && state.changes == REQUESTS.length;
      steps(
          state,
          each -> {
            if (seen.add(each.key())) {
              open.add(each);
            }
          });
    }
    assertTrue(proven[0] || violation != null, "never was all of it done");
    return seen.size();
  }

  @Test
  void eachRequestIsOneChangeAndWhatIsProvenHolds() {
    int states = explore();
    assertNull(violation);
    assertTrue(states > 20_000, states + " states");
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void withoutAGuardTheModelFindsWhatItGuardsAgainst(Guard guard) {
    guards.remove(guard);
    explore();
    assertNotEquals(null, violation, guard.toString());
  }
}
