package org.quincecross.modelserving;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.TimeSpan;
import org.quincecross.modelserving.Model.Phase;
import org.quincecross.replicated.Transition;

/**
 * A model with one replica, two machines and two controllers, either of which may lead, gone
 * through whole: views that lag, commands that are applied whenever they like, crashes, a machine
 * that is lost. The record changes by {@link ModelRules}; what the controllers do around it is said
 * here in a few lines.
 */
class ModelMachineTest {
  private static final int NODES = 2;
  private static final MachineId[] MACHINES = {new MachineId("m-0"), new MachineId("m-1")};
  private static final ModelKind KIND = new ModelKind();
  private static final int MOST_STATES = 3_000_000;

  /** What can be left out, to see that it is missed. */
  private enum Guard {
    /** A controller that sees its model go down, though it was wanted there, wakes it again. */
    WAKES_AGAIN,
    /** What a leader decided in one epoch is refused in another. */
    DECIDED_IN_THIS_EPOCH,
    /** A place is chosen only for a replica that is surely nowhere. */
    CHOSEN_BY_PROOF,
    /** It is at zero only once nothing is allocated of it. */
    ZERO_BY_PROOF,
    /** What a leader allocates fails once more is withheld than it knew. */
    FENCE,
    /** A drain that is turned back is a new epoch. */
    TURNED_BACK_IN_A_NEW_EPOCH
  }

  private static final class State implements Cloneable {
    private Model record =
        new Model(
            new JobId("job-1"),
            new Model.Terms(1, 1, 1, TimeSpan.ofSeconds(60), 0),
            Phase.ZERO,
            1,
            0,
            Map.of(),
            Set.of(),
            0,
            0,
            "");
    private Model[] view = {record, record};
    private ModelCommand[] pending = new ModelCommand[NODES];
    private boolean[] wanted = new boolean[NODES];
    private boolean[] touched = new boolean[NODES];
    private int leader;
    private int allocated = -1;

    /** The epoch in which something was last withheld that was not before. */
    private long fence;

    private boolean released;
    private boolean[] runs = new boolean[2];
    private boolean[] lost = new boolean[2];
    private Set<Long> started = Set.of();
    private int wakes;
    private int drains;
    private int troubles;
    private int losses;
    private String wrong;

    private State copy() {
      try {
        State copy = (State) clone();
        copy.view = view.clone();
        copy.pending = pending.clone();
        copy.wanted = wanted.clone();
        copy.touched = touched.clone();
        copy.runs = runs.clone();
        copy.lost = lost.clone();
        return copy;
      } catch (CloneNotSupportedException e) {
        throw new IllegalStateException(e);
      }
    }

    private static String text(Model model) {
      return "" + model.phase().ordinal() + model.epoch() + model.places() + model.avoided();
    }

    private String key() {
      return text(record)
          + "|"
          + text(view[0])
          + "|"
          + text(view[1])
          + Arrays.toString(pending)
          + Arrays.toString(wanted)
          + Arrays.toString(touched)
          + leader
          + allocated
          + released
          + Arrays.toString(runs)
          + Arrays.toString(lost)
          + started
          + wakes
          + drains
          + troubles
          + losses
          + "f"
          + fence;
    }

    private int place(Model model) {
      Model.Place place = model.isUp() ? model.places().get(0) : null;
      return place == null ? -1 : List.of(MACHINES).indexOf(place.machine());
    }
  }

  private Set<Guard> without = EnumSet.noneOf(Guard.class);
  private final Set<String> seen = new HashSet<>();
  private final ArrayDeque<State> todo = new ArrayDeque<>();
  private boolean moved;
  private String wrong;

  private boolean has(Guard guard) {
    return !without.contains(guard);
  }

  private void go(State from, boolean byItself, Consumer<State> change) {
    State next = from.copy();
    change.accept(next);
    moved |= byItself;
    if (next.record.phase() == Phase.ZERO
        && (next.allocated >= 0 || next.runs[0] || next.runs[1])) {
      next.wrong = "not at zero";
    }
    if (next.wrong != null) {
      wrong = next.wrong + ": " + next.key();
    }
    if (seen.add(next.key())) {
      todo.add(next);
    }
  }

  /** Looks at every state that can be reached; what is wrong with one of them, or null. */
  private String play(int wakes, int drains, int troubles, int losses) {
    State first = new State();
    first.wakes = wakes;
    first.drains = drains;
    first.troubles = troubles;
    first.losses = losses;
    seen.add(first.key());
    todo.add(first);
    while (!todo.isEmpty() && wrong == null) {
      assertTrue(seen.size() < MOST_STATES, "too many states");
      State state = todo.poll();
      moved = false;
      for (int node = 0; node < NODES; node++) {
        goOn(state, node);
        hold(state, node);
        if (state.leader == node) {
          lead(state, node);
        }
        disturb(state, node);
      }
      if (!moved && wrong == null) {
        atRest(state);
      }
    }
    return wrong;
  }

  /** Nothing more comes by itself: who wanted the model has it. */
  private void atRest(State state) {
    boolean isWanted = state.touched[0] || state.touched[1] || state.wanted[0] || state.wanted[1];
    int place = state.place(state.record);
    boolean serves = state.record.phase() == Phase.WARM && place >= 0 && state.runs[place];
    if ((isWanted || state.record.isUp()) && !serves) {
      wrong = "wanted and not served: " + state.key();
    }
  }

  // What a node saw is the very record that was written.
  @SuppressWarnings("ReferenceEquality")
  private void goOn(State state, int node) {
    if (state.view[node] != state.record) {
      go(state, true, next -> read(next, node));
    }
    if (state.wanted[node] && state.pending[node] == null) {
      go(state, true, next -> next.pending[node] = new ModelCommand.Wake());
    }
    if (state.pending[node] != null) {
      go(state, true, next -> apply(next, node));
    }
  }

  private void read(State state, int node) {
    boolean wasUp = state.view[node].isUp();
    state.view[node] = state.record;
    if (state.record.isUp()) {
      state.wanted[node] = false;
    } else if (wasUp && state.touched[node] && has(Guard.WAKES_AGAIN)) {
      state.wanted[node] = true;
    }
  }

  private void apply(State state, int node) {
    ModelCommand command = state.pending[node];
    state.pending[node] = null;
    if (!has(Guard.DECIDED_IN_THIS_EPOCH)) {
      command = renewed(command, state.record.epoch());
    }
    Model before = state.record;
    if (ModelRules.step(before, command, 0) instanceof Transition.Changed<Model> changed) {
      state.record = changed.next();
      state.fence =
          KIND.startsWithholding(before, state.record) ? state.record.epoch() : state.fence;
      if (command instanceof ModelCommand.Wake
          && !has(Guard.TURNED_BACK_IN_A_NEW_EPOCH)
          && !before.places().isEmpty()) {
        state.record = state.record.with(before.places());
      }
      if (command instanceof ModelCommand.Lose && !state.lost[state.place(before)]) {
        state.wrong = "a place is given up that was not lost";
      }
    }
  }

  private static ModelCommand renewed(ModelCommand command, long epoch) {
    if (command instanceof ModelCommand.Lose lose) {
      return new ModelCommand.Lose(epoch, lose.replicas(), lose.bad(), lose.why());
    }
    if (command instanceof ModelCommand.Gone) {
      return new ModelCommand.Gone(epoch);
    }
    return command instanceof ModelCommand.Choose choose
        ? new ModelCommand.Choose(epoch, choose.places())
        : command;
  }

  /** The holder of the block of one machine. */
  private void hold(State state, int node) {
    int machine = node;
    Model view = state.view[node];
    if (state.allocated != machine || state.released) {
      return;
    }
    if (view.withheld(1).contains(0)) {
      go(
          state,
          true,
          next -> {
            next.runs[machine] = false;
            next.released = true;
          });
    } else if (state.place(view) == machine && !state.runs[machine] && !state.lost[machine]) {
      long epoch = view.places().get(0).epoch();
      go(
          state,
          true,
          next -> {
            next.runs[machine] = true;
            next.wrong = state.started.contains(epoch) ? "two starts in epoch " + epoch : null;
            Set<Long> started = new HashSet<>(state.started);
            started.add(epoch);
            next.started = started;
          });
    }
  }

  private void lead(State state, int node) {
    Model view = state.view[node];
    int place = state.place(view);
    boolean mayAllocate =
        place >= 0 && state.allocated < 0 && (!has(Guard.FENCE) || view.epoch() >= state.fence);
    if (mayAllocate) {
      go(
          state,
          true,
          next -> {
            next.allocated = place;
            next.released = false;
          });
    }
    if (state.allocated >= 0 && state.released) {
      go(
          state,
          true,
          next -> {
            next.allocated = -1;
            next.released = false;
          });
    }
    if (state.pending[node] != null) {
      return;
    }
    if (view.isUp() && place < 0 && (state.allocated < 0 || !has(Guard.CHOSEN_BY_PROOF))) {
      for (int machine = 0; machine < 2; machine++) {
        if (!state.lost[machine]) {
          ask(state, node, new ModelCommand.Choose(view.epoch(), Map.of(0, MACHINES[machine])));
        }
      }
    }
    if (place >= 0 && state.lost[place]) {
      ask(state, node, new ModelCommand.Lose(view.epoch(), Set.of(0), Set.of(MACHINES[place]), ""));
    } else if (place >= 0 && view.phase() == Phase.STARTING && state.runs[place]) {
      ask(state, node, new ModelCommand.Ready(view.epoch()));
    }
    if (view.phase() == Phase.WARM && !state.touched[node] && state.drains > 0) {
      State fewer = state.copy();
      fewer.drains--;
      go(fewer, false, next -> next.pending[node] = new ModelCommand.Drain(view.epoch(), 0, ""));
    }
    if (view.phase() == Phase.DRAINING && (state.allocated < 0 || !has(Guard.ZERO_BY_PROOF))) {
      ask(state, node, new ModelCommand.Gone(view.epoch()));
    }
  }

  // What a node saw is the very record that was written.
  @SuppressWarnings("ReferenceEquality")
  private void ask(State state, int node, ModelCommand command) {
    // What would change nothing any more is not asked for by who knows.
    boolean useful =
        state.view[node] != state.record
            || ModelRules.step(state.record, command, 0) instanceof Transition.Changed<Model>;
    if (useful) {
      go(state, true, next -> next.pending[node] = command);
    }
  }

  private void disturb(State state, int node) {
    if (state.wakes > 0) {
      go(
          state,
          false,
          next -> {
            next.wakes--;
            next.touched[node] = true;
            next.wanted[node] = !next.view[node].isUp();
          });
    }
    if (state.touched[node] && !state.wanted[node]) {
      go(state, false, next -> next.touched[node] = false);
    }
    if (state.troubles > 0) {
      go(
          state,
          false,
          next -> {
            next.troubles--;
            next.leader = 1 - next.leader;
          });
      go(
          state,
          false,
          next -> {
            // Killed and back: it has read all anew and knows of no demand; what it sent may still
            // arrive.
            next.troubles--;
            next.view[node] = next.record;
            next.wanted[node] = false;
            next.touched[node] = false;
          });
    }
    if (state.losses > 0) {
      go(
          state,
          false,
          next -> {
            next.losses--;
            next.lost[node] = true;
            next.runs[node] = false;
          });
    }
  }

  @ParameterizedTest
  @CsvSource({"2, 2, 0, 0", "2, 1, 1, 0", "2, 1, 0, 1", "1, 1, 1, 1", "1, 0, 2, 1"})
  void everyStateIsRight(int wakes, int drains, int troubles, int losses) {
    String found = play(wakes, drains, troubles, losses);
    System.out.println("models: " + seen.size() + " states");
    assertNull(found);
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void everyGuardIsMissed(Guard guard) {
    without = EnumSet.of(guard);
    assertNotEquals(null, play(2, 1, 1, 1), guard + " is not missed");
  }
}
