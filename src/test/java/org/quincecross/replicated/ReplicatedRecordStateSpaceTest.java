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
class ReplicatedRecordStateSpaceTest {
  private static final int NODES = 2;
  private static final int LEADER = 0;
  private static final int OWNER = 1;

  /** Bits of the keys. */
  private static final int RECORD = 1;

  private static final int FENCE = 2;
  private static final int ALLOCATION = 4;
  private static final GateKind GATE = new GateKind();
  private static final CommandOrigin NOW = new CommandOrigin(1_000_000, 10, "");
  private static final GateKind.Command[] COMMANDS = {
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
    ANSWERED_WHEN_DURABLE,
    /** What the leader writes is guarded by the fence. */
    ALLOCATED_BY_FENCE,
    /** A change that blocks tasks raises the fence. */
    BLOCKING_RAISES_FENCE,
    /** The leader removes a task from its allocation only once the shard owner has released it. */
    FREED_AFTER_RELEASE,
    /** The proof uses records at least as new as the closing. */
    PROVEN_BY_NEW_RECORDS,
    /** A shard owner does not restart a released task under the same allocation. */
    RELEASED_FOR_GOOD
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
  private record Transaction(
      Write write,
      int request,
      ReplicatedRecord<GateKind.State> next,
      boolean raises,
      int guards) {}

  /** The complete state. */
  private static final class State implements Cloneable {
    private ReplicatedRecord<GateKind.State> record = ReplicatedRecord.initial(GATE);
    private boolean allocated;
    private boolean runs;

    /** The shard owner has released the task under the allocation that it knows. */
    private boolean released;

    private boolean proven;
    private int changes;
    private int changed;
    private int answered;
    private ReplicatedRecord<?>[] known = {
      ReplicatedRecord.initial(GATE), ReplicatedRecord.initial(GATE)
    };
    private boolean[] knownAllocated = new boolean[NODES];
    private int[] stale = new int[NODES];
    private Transaction[] pending = new Transaction[NODES];
    private Transaction[] unanswered = new Transaction[NODES];

    private State copy() {
      try {
        State copy = (State) clone();
        copy.known = known.clone();
        copy.knownAllocated = knownAllocated.clone();
        copy.stale = stale.clone();
        copy.pending = pending.clone();
        copy.unanswered = unanswered.clone();
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
          answered,
          Arrays.asList(known),
          Arrays.hashCode(knownAllocated),
          Arrays.hashCode(stale),
          Arrays.asList(pending),
          Arrays.asList(unanswered));
    }

    private void written(int keys) {
      for (int i = 0; i < NODES; i++) {
        stale[i] |= keys;
        pending[i] = pending[i] != null && (pending[i].guards() & keys) != 0 ? null : pending[i];
        unanswered[i] =
            unanswered[i] != null && (unanswered[i].guards() & keys) != 0 ? null : unanswered[i];
      }
    }

    @SuppressWarnings("unchecked")
    private ReplicatedRecord<GateKind.State> known(int node) {
      return (ReplicatedRecord<GateKind.State>) known[node];
    }
  }

  private final Set<Guard> guards = EnumSet.allOf(Guard.class);
  private String violation;

  private void checkNot(boolean violated, String description) {
    if (violated && violation == null) {
      violation = description;
    }
  }

  private static void read(State state, int node) {
    state.known[node] = state.record;
    if (node == OWNER && state.knownAllocated[node] != state.allocated) {
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
      crash.unanswered[node] =
          crash.pending[node] == null ? crash.unanswered[node] : crash.pending[node];
      crash.pending[node] = null;
      read(crash, node);
      next.accept(crash);
      if (from.pending[node] != null) {
        State unanswered = from.copy();
        unanswered.unanswered[node] = from.pending[node];
        unanswered.pending[node] = null;
        next.accept(unanswered);
        apply(from, node, true, next);
      } else {
        sendRequests(from, node, next);
      }
      if (from.unanswered[node] != null) {
        apply(from, node, false, next);
      }
      prove(from, node, next);
    }
    stepLeader(from, next);
    stepShardOwner(from, next);
  }

  /** A request arrives, for the first time or repeated. */
  private void sendRequests(State from, int node, Consumer<State> next) {
    for (int request = 0; request < COMMANDS.length; request++) {
      ReplicatedRecord<GateKind.State> known = from.known(node);
      if (!guards.contains(Guard.ONCE_BY_NAME)) {
        known = new ReplicatedRecord<>(known.state(), known.change(), List.of(), known.trail());
      }
      ReplicatedRecord.Result<GateKind.State> result =
          known.apply(GATE, "g", Revision.NONE, "r" + request, -1, COMMANDS[request], NOW);
      State state = from.copy();
      if (result instanceof ReplicatedRecord.Result.AlreadyApplied) {
        state.answered |= 1 << request;
      } else if (result instanceof ReplicatedRecord.Result.Write<GateKind.State> write) {
        if ((from.stale[node] & RECORD) != 0 && guards.contains(Guard.CHANGE_BY_VERSION)) {
          continue; // would fail
        }
        // The audit trail grows with each change and is irrelevant here.
        ReplicatedRecord<GateKind.State> kept =
            new ReplicatedRecord<>(
                write.next().state(), write.next().change(), write.next().requests(), List.of());
        state.pending[node] =
            new Transaction(
                Write.CHANGE,
                request,
                kept,
                write.raisesFence() && guards.contains(Guard.BLOCKING_RAISES_FENCE),
                guards.contains(Guard.CHANGE_BY_VERSION) ? RECORD : 0);
        if (!guards.contains(Guard.ANSWERED_WHEN_DURABLE)) {
          state.answered |= 1 << request;
        }
      }
      next.accept(state);
    }
  }

  private void apply(State from, int node, boolean answered, Consumer<State> next) {
    State state = from.copy();
    Transaction transaction = answered ? state.pending[node] : state.unanswered[node];
    if (answered) {
      state.pending[node] = null;
    } else {
      state.unanswered[node] = null;
    }
    switch (transaction.write()) {
      case CHANGE -> {
        if (transaction.next().change() > 0
            && transaction
                .next()
                .requests()
                .get(transaction.next().requests().size() - 1)
                .unchangedReason()
                .isEmpty()) {
          state.changes++;
          checkNot((state.changed & 1 << transaction.request()) != 0, "a request is two changes");
          state.changed |= 1 << transaction.request();
        }
        state.record = transaction.next();
        checkNot(state.record.change() != state.changes, "a change is lost");
        state.proven &= state.record.state().closed();
        state.written(transaction.raises() ? RECORD | FENCE : RECORD);
        if (answered) {
          state.answered |= 1 << transaction.request();
        }
      }
      case ALLOCATE -> {
        state.allocated = true;
        state.written(ALLOCATION);
        checkNot(state.proven, "allocated after it was proven that it cannot be");
      }
      case FREE -> {
        state.allocated = false;
        state.written(ALLOCATION);
      }
      default -> throw new IllegalStateException(transaction.write().toString());
    }
    for (int request = 0; request < COMMANDS.length; request++) {
      String name = "r" + request;
      checkNot(
          (state.answered & 1 << request) != 0
              && state.record.requests().stream().noneMatch(each -> each.name().equals(name)),
          "answered but not in the record");
    }
    next.accept(state);
  }

  private void stepLeader(State from, Consumer<State> next) {
    if (from.pending[LEADER] != null || from.unanswered[LEADER] != null) {
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
      state.pending[LEADER] = new Transaction(Write.ALLOCATE, 0, null, false, ALLOCATION | fence);
      next.accept(state);
    } else if (from.knownAllocated[LEADER]
        && (from.released || (!guards.contains(Guard.FREED_AFTER_RELEASE) && closed))) {
      state.pending[LEADER] = new Transaction(Write.FREE, 0, null, false, ALLOCATION | fence);
      next.accept(state);
    }
  }

  /** The shard owner acts on the records that it knows, however old. */
  private void stepShardOwner(State from, Consumer<State> next) {
    boolean closed = from.known(OWNER).state().closed();
    State state = from.copy();
    if (!from.runs
        && from.knownAllocated[OWNER]
        && !closed
        && !(from.released && guards.contains(Guard.RELEASED_FOR_GOOD))) {
      state.runs = true;
      checkNot(from.proven, "started after it was proven that it cannot be");
    } else if (from.runs && closed) {
      state.runs = false;
      state.released = true;
    } else if (!from.runs && closed && from.knownAllocated[OWNER] && !from.released) {
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
      checkNot(state.runs, "runs although it is proven that it does not");
      next.accept(state);
    }
  }

  private int explore() {
    Set<List<Object>> seen = new HashSet<>();
    ArrayDeque<State> open = new ArrayDeque<>(List.of(new State()));
    boolean[] proven = new boolean[1];
    while (!open.isEmpty() && violation == null) {
      State state = open.poll();
      proven[0] |= state.proven && state.changes == COMMANDS.length;
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
  void requestsAreAppliedOnceAndProofsHold() {
    int states = explore();
    assertNull(violation);
    assertTrue(states > 20_000, states + " states");
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void disablingAnyGuardCausesViolation(Guard guard) {
    guards.remove(guard);
    explore();
    assertNotEquals(null, violation, guard.toString());
  }
}
