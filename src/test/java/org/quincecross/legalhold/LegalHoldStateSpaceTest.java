package org.quincecross.legalhold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quincecross.legalhold.LegalHold.State;
import org.quincecross.model.Revision;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.ReplicatedRecord;

/**
 * Explores all states of a hold and one task of a sweep with two controllers: each may believe to
 * lead, sees the records late, has transactions that are applied at any later time or never, and
 * loses its memory in a crash. One of them owns the task's shard. Operators open, close and reopen
 * the hold, and each of their requests may arrive twice.
 */
class LegalHoldStateSpaceTest {
  private static final int MAX_STATES = 600_000;

  /**
   * Protocol rules that can be disabled, to show that the search finds a violation without each of
   * them.
   */
  private enum Guard {
    NONE,
    FENCE,
    RECORD_VERSION,
    ALLOCATION_PROOF,
    OPENING_OF_CLOSE,
    REQUEST_NAMES,
    RELEASED_BEFORE_FREED
  }

  private static final LegalHoldKind KIND = new LegalHoldKind();
  private static final CommandOrigin AT = new CommandOrigin(1000, 0, "magistrate");
  private static final LegalHoldCommand OPEN =
      new LegalHoldCommand.Open(List.of(RecordSelector.parse("cdr/2026-03")), 0, 0);

  /**
   * The stored records: the hold and its version, the fence, and whether and since which version
   * the task is allocated.
   */
  private record Store(
      ReplicatedRecord<LegalHold> hold,
      int version,
      int fence,
      boolean allocated,
      int allocation) {}

  /** A transaction in flight; null guards are not compared. */
  private record Transaction(
      Integer version,
      Integer fence,
      Integer allocation,
      ReplicatedRecord<LegalHold> hold,
      boolean fences,
      Boolean allocate) {}

  private record World(
      Store store,
      Store seenA,
      Store seenB,
      List<Transaction> inFlight,
      boolean runs,
      int startedIn,
      int releasedIn,
      Set<String> sent) {
    World with(Store next) {
      return new World(next, seenA, seenB, inFlight, runs, startedIn, releasedIn, sent);
    }

    World inFlight(Transaction txn) {
      if (inFlight.contains(txn) || inFlight.size() >= 2) {
        return null;
      }
      List<Transaction> more = new ArrayList<>(inFlight);
      more.add(txn);
      return new World(store, seenA, seenB, more, runs, startedIn, releasedIn, sent);
    }
  }

  private Guard disabledGuard = Guard.NONE;
  private final Set<World> seen = new HashSet<>();
  private final ArrayDeque<World> todo = new ArrayDeque<>();
  private String violation;

  private Store commit(Store store, Transaction transaction) {
    boolean guardsHold =
        (transaction.version() == null || transaction.version() == store.version())
            && (transaction.fence() == null || transaction.fence() == store.fence())
            && (transaction.allocation() == null || transaction.allocation() == store.allocation());
    if (!guardsHold) {
      return store;
    }
    return new Store(
        transaction.hold() == null ? store.hold() : transaction.hold(),
        store.version() + (transaction.hold() == null ? 0 : 1),
        store.fence() + (transaction.fences() ? 1 : 0),
        transaction.allocate() == null ? store.allocated() : transaction.allocate(),
        store.allocation() + (transaction.allocate() == null ? 0 : 1));
  }

  private Transaction change(Store view, String request, LegalHoldCommand command) {
    ReplicatedRecord<LegalHold> known =
        disabledGuard == Guard.REQUEST_NAMES
            ? new ReplicatedRecord<>(
                view.hold().state(), view.hold().change(), List.of(), List.of())
            : view.hold();
    ReplicatedRecord.Result<LegalHold> result =
        known.apply(KIND, "ref", new Revision(1), request, -1, command, AT);
    if (result instanceof ReplicatedRecord.Result.Write<LegalHold> write) {
      ReplicatedRecord<LegalHold> next = write.next();
      // The audit trail grows with each change and is irrelevant here.
      next = new ReplicatedRecord<>(next.state(), next.change(), next.requests(), List.of());
      return new Transaction(
          disabledGuard == Guard.RECORD_VERSION && request == null
              ? null
              : (Integer) view.version(),
          null,
          null,
          next,
          write.raisesFence(),
          null);
    }
    return null;
  }

  private void addSuccessors(World from, Consumer<World> to) {
    // A transaction in flight is applied or lost.
    for (Transaction transaction : from.inFlight()) {
      List<Transaction> rest = new ArrayList<>(from.inFlight());
      rest.remove(transaction);
      World without =
          new World(
              from.store(),
              from.seenA(),
              from.seenB(),
              rest,
              from.runs(),
              from.startedIn(),
              from.releasedIn(),
              from.sent());
      to.accept(without);
      to.accept(without.with(commit(from.store(), transaction)));
    }
    // A controller reads the current records: by watching them, or after a crash.
    to.accept(
        new World(
            from.store(),
            from.store(),
            from.seenB(),
            from.inFlight(),
            from.runs(),
            from.startedIn(),
            from.releasedIn(),
            from.sent()));
    to.accept(
        new World(
            from.store(),
            from.seenA(),
            from.store(),
            from.inFlight(),
            from.runs(),
            from.startedIn(),
            from.releasedIn(),
            from.sent()));
    for (Store view : new HashSet<>(List.of(from.seenA(), from.seenB()))) {
      stepOperators(from, view, to);
      stepLeader(from, view, to);
    }
    stepShardOwner(from, to);
  }

  /**
   * Each request comes in this order, and any of them may be repeated at any time. A close of the
   * first opening under another request name may come late.
   */
  private void stepOperators(World from, Store view, Consumer<World> to) {
    List<String> requests = List.of("open-1", "close-1", "open-2", "close-1-too");
    for (int i = 0; i < requests.size(); i++) {
      if (i > 0 && !from.sent().contains(requests.get(i - 1))) {
        continue;
      }
      // The last request comes from another operator, who has seen the first opening but not its
      // close.
      LegalHoldCommand command =
          i % 2 == 0
              ? OPEN
              : new LegalHoldCommand.Close(
                  disabledGuard == Guard.OPENING_OF_CLOSE
                      ? Math.max(1, view.hold().state().opening())
                      : 1);
      Transaction transaction = change(view, requests.get(i), command);
      World later = transaction == null ? null : from.inFlight(transaction);
      if (later != null) {
        Set<String> sent = new HashSet<>(from.sent());
        sent.add(requests.get(i));
        to.accept(
            new World(
                later.store(),
                later.seenA(),
                later.seenB(),
                later.inFlight(),
                later.runs(),
                later.startedIn(),
                later.releasedIn(),
                sent));
      }
    }
  }

  private void stepLeader(World from, Store view, Consumer<World> to) {
    LegalHold hold = view.hold().state();
    Integer fence = disabledGuard == Guard.FENCE ? null : (Integer) view.fence();
    if (!view.allocated() && !hold.isInEffect() && view.allocation() < 2) {
      add(from.inFlight(new Transaction(null, fence, view.allocation(), null, false, true)), to);
    }
    // A task is removed from the allocation only once its owner has released it there.
    boolean released =
        disabledGuard == Guard.RELEASED_BEFORE_FREED || from.releasedIn() == view.allocation();
    if (view.allocated() && released) {
      add(from.inFlight(new Transaction(null, fence, view.allocation(), null, false, false)), to);
    }
    if (hold.state() == State.PINNING
        && (!view.allocated() || disabledGuard == Guard.ALLOCATION_PROOF)) {
      Transaction transaction =
          change(
              view,
              null,
              new LegalHoldCommand.Pinned(hold.opening(), hold.scope(), view.version(), "", 0));
      add(transaction == null ? null : from.inFlight(transaction), to);
    }
  }

  /**
   * The first controller owns the shard: it starts tasks by the records it sees, and releases those
   * it sees blocked.
   */
  private void stepShardOwner(World from, Consumer<World> to) {
    Store view = from.seenA();
    boolean blocked = view.hold().state().isInEffect();
    if (!from.runs() && view.allocated() && !blocked && from.releasedIn() != view.allocation()) {
      to.accept(
          new World(
              from.store(),
              view,
              from.seenB(),
              from.inFlight(),
              true,
              view.allocation(),
              from.releasedIn(),
              from.sent()));
    }
    if (from.runs() && blocked) {
      to.accept(
          new World(
              from.store(),
              view,
              from.seenB(),
              from.inFlight(),
              false,
              0,
              from.releasedIn(),
              from.sent()));
    }
    if (!from.runs() && view.allocated() && blocked) {
      to.accept(
          new World(
              from.store(),
              view,
              from.seenB(),
              from.inFlight(),
              false,
              0,
              view.allocation(),
              from.sent()));
    }
  }

  private static void add(World world, Consumer<World> to) {
    if (world != null) {
      to.accept(world);
    }
  }

  private void check(World world) {
    LegalHold hold = world.store().hold().state();
    if (hold.state() == State.PINNED && world.runs()) {
      violation = "pinned although a task that accesses the records runs";
    } else if (hold.state() == State.PINNED && world.store().allocated()) {
      violation = "pinned although a task that accesses the records is allocated";
    } else if (hold.opening() > 2 || (hold.opening() == 2 && !world.sent().contains("open-2"))) {
      violation = "opened more often than asked for";
    } else if (hold.opening() == 2 && hold.state() == State.CLOSED) {
      violation = "the second opening was closed by the close of the first";
    }
  }

  private int explore() {
    Store first = new Store(ReplicatedRecord.initial(KIND), 0, 0, false, 0);
    World start = new World(first, first, first, List.of(), false, 0, -1, Set.of());
    todo.add(start);
    seen.add(start);
    while (!todo.isEmpty() && violation == null && seen.size() < MAX_STATES) {
      World world = todo.poll();
      check(world);
      addSuccessors(
          world,
          next -> {
            if (seen.add(next)) {
              todo.add(next);
            }
          });
    }
    return seen.size();
  }

  @Test
  void noTaskRunsOncePinnedAndRequestsAreAppliedOnce() {
    int states = explore();
    assertEquals(null, violation);
    assertTrue(states > 10_000 && states < MAX_STATES, "states: " + states);
    for (State state : State.values()) {
      if (state != State.FUTURE) {
        assertTrue(
            seen.stream().anyMatch(world -> world.store().hold().state().state() == state),
            state.toString());
      }
    }
  }

  @ParameterizedTest
  @EnumSource(value = Guard.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void disablingAnyGuardCausesViolation(Guard guard) {
    LegalHoldStateSpaceTest model = new LegalHoldStateSpaceTest();
    model.disabledGuard = guard;
    model.explore();
    assertFalse(
        model.violation == null, guard + " can be disabled without a violation being found");
  }
}
