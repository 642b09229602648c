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
class LegalHoldModelTest {
  private static final int MOST_STATES = 600_000;

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
    GIVEN_BACK_LAST
  }

  private static final LegalHoldKind KIND = new LegalHoldKind();
  private static final CommandOrigin AT = new CommandOrigin(1000, 0, "magistrate");
  private static final LegalHoldCommand OPEN =
      new LegalHoldCommand.Open(List.of(Records.parse("cdr/2026-03")), 0, 0);

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
  private record Txn(
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
      List<Txn> late,
      boolean runs,
      int startedIn,
      int returned,
      Set<String> sent) {
    World with(Store next) {
      return new World(next, seenA, seenB, late, runs, startedIn, returned, sent);
    }

    World late(Txn txn) {
      if (late.contains(txn) || late.size() >= 2) {
        return null;
      }
      List<Txn> more = new ArrayList<>(late);
      more.add(txn);
      return new World(store, seenA, seenB, more, runs, startedIn, returned, sent);
    }
  }

  private Guard out = Guard.NONE;
  private final Set<World> seen = new HashSet<>();
  private final ArrayDeque<World> todo = new ArrayDeque<>();
  private String wrong;

  private Store commit(Store store, Txn txn) {
    boolean holds =
        (txn.version() == null || txn.version() == store.version())
            && (txn.fence() == null || txn.fence() == store.fence())
            && (txn.allocation() == null || txn.allocation() == store.allocation());
    if (!holds) {
      return store;
    }
    return new Store(
        txn.hold() == null ? store.hold() : txn.hold(),
        store.version() + (txn.hold() == null ? 0 : 1),
        store.fence() + (txn.fences() ? 1 : 0),
        txn.allocate() == null ? store.allocated() : txn.allocate(),
        store.allocation() + (txn.allocate() == null ? 0 : 1));
  }

  private Txn change(Store view, String request, LegalHoldCommand command) {
    ReplicatedRecord<LegalHold> kept =
        out == Guard.REQUEST_NAMES
            ? new ReplicatedRecord<>(
                view.hold().state(), view.hold().change(), List.of(), List.of())
            : view.hold();
    ReplicatedRecord.Result<LegalHold> result =
        kept.apply(KIND, "ref", new Revision(1), request, -1, command, AT);
    if (result instanceof ReplicatedRecord.Result.Write<LegalHold> write) {
      ReplicatedRecord<LegalHold> next = write.next();
      // The audit trail grows with each change and is irrelevant here.
      next = new ReplicatedRecord<>(next.state(), next.change(), next.requests(), List.of());
      return new Txn(
          out == Guard.RECORD_VERSION && request == null ? null : (Integer) view.version(),
          null,
          null,
          next,
          write.withholds(),
          null);
    }
    return null;
  }

  private void next(World from, Consumer<World> to) {
    // A transaction in flight is applied or lost.
    for (Txn txn : from.late()) {
      List<Txn> rest = new ArrayList<>(from.late());
      rest.remove(txn);
      World without =
          new World(
              from.store(),
              from.seenA(),
              from.seenB(),
              rest,
              from.runs(),
              from.startedIn(),
              from.returned(),
              from.sent());
      to.accept(without);
      to.accept(without.with(commit(from.store(), txn)));
    }
    // A controller reads the current records: by watching them, or after a crash.
    to.accept(
        new World(
            from.store(),
            from.store(),
            from.seenB(),
            from.late(),
            from.runs(),
            from.startedIn(),
            from.returned(),
            from.sent()));
    to.accept(
        new World(
            from.store(),
            from.seenA(),
            from.store(),
            from.late(),
            from.runs(),
            from.startedIn(),
            from.returned(),
            from.sent()));
    for (Store view : new HashSet<>(List.of(from.seenA(), from.seenB()))) {
      operators(from, view, to);
      leader(from, view, to);
    }
    holder(from, to);
  }

  /**
   * Each request comes in this order, and any of them may be repeated at any time. A close of the
   * first opening under another request name may come late.
   */
  private void operators(World from, Store view, Consumer<World> to) {
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
                  out == Guard.OPENING_OF_CLOSE ? Math.max(1, view.hold().state().opening()) : 1);
      Txn txn = change(view, requests.get(i), command);
      World later = txn == null ? null : from.late(txn);
      if (later != null) {
        Set<String> sent = new HashSet<>(from.sent());
        sent.add(requests.get(i));
        to.accept(
            new World(
                later.store(),
                later.seenA(),
                later.seenB(),
                later.late(),
                later.runs(),
                later.startedIn(),
                later.returned(),
                sent));
      }
    }
  }

  private void leader(World from, Store view, Consumer<World> to) {
    LegalHold hold = view.hold().state();
    Integer fence = out == Guard.FENCE ? null : (Integer) view.fence();
    if (!view.allocated() && !hold.isInForce() && view.allocation() < 2) {
      add(from.late(new Txn(null, fence, view.allocation(), null, false, true)), to);
    }
    // A task is removed from the allocation only once its owner has released it there.
    boolean gone = out == Guard.GIVEN_BACK_LAST || from.returned() == view.allocation();
    if (view.allocated() && gone) {
      add(from.late(new Txn(null, fence, view.allocation(), null, false, false)), to);
    }
    if (hold.state() == State.PINNING && (!view.allocated() || out == Guard.ALLOCATION_PROOF)) {
      Txn txn =
          change(
              view,
              null,
              new LegalHoldCommand.Pinned(hold.opening(), hold.scope(), view.version(), "", 0));
      add(txn == null ? null : from.late(txn), to);
    }
  }

  /**
   * The first controller owns the shard: it starts tasks by the records it sees, and releases those
   * it sees blocked.
   */
  private void holder(World from, Consumer<World> to) {
    Store view = from.seenA();
    boolean withheld = view.hold().state().isInForce();
    if (!from.runs() && view.allocated() && !withheld && from.returned() != view.allocation()) {
      to.accept(
          new World(
              from.store(),
              view,
              from.seenB(),
              from.late(),
              true,
              view.allocation(),
              from.returned(),
              from.sent()));
    }
    if (from.runs() && withheld) {
      to.accept(
          new World(
              from.store(),
              view,
              from.seenB(),
              from.late(),
              false,
              0,
              from.returned(),
              from.sent()));
    }
    if (!from.runs() && view.allocated() && withheld) {
      to.accept(
          new World(
              from.store(),
              view,
              from.seenB(),
              from.late(),
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
      wrong = "pinned although a task that accesses the records runs";
    } else if (hold.state() == State.PINNED && world.store().allocated()) {
      wrong = "pinned although a task that accesses the records is allocated";
    } else if (hold.opening() > 2 || (hold.opening() == 2 && !world.sent().contains("open-2"))) {
      wrong = "opened more often than asked for";
    } else if (hold.opening() == 2 && hold.state() == State.CLOSED) {
      wrong = "the second opening was closed by the close of the first";
    }
  }

  private int play() {
    Store first = new Store(ReplicatedRecord.none(KIND), 0, 0, false, 0);
    World start = new World(first, first, first, List.of(), false, 0, -1, Set.of());
    todo.add(start);
    seen.add(start);
    while (!todo.isEmpty() && wrong == null && seen.size() < MOST_STATES) {
      World world = todo.poll();
      check(world);
      next(
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
  void noTaskRunsOncePinnedAndEachRequestIsOneChange() {
    int states = play();
    assertEquals(null, wrong);
    assertTrue(states > 10_000 && states < MOST_STATES, "states: " + states);
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
  void eachGuardTakenOutIsFound(Guard guard) {
    LegalHoldModelTest model = new LegalHoldModelTest();
    model.out = guard;
    model.play();
    assertFalse(model.wrong == null, guard + " can be disabled without a violation being found");
  }
}
