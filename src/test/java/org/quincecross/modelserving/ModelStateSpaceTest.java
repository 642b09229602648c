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
 * Explores all states of a model with one replica, two machines and two controllers, either of
 * which may be the leader: stale views, commands applied at any later time, crashes, and loss of a
 * machine. The record changes by {@link ModelRules}; the controllers around it are modelled here.
 */
class ModelStateSpaceTest {
  private static final int NODES = 2;
  private static final MachineId[] MACHINES = {new MachineId("m-0"), new MachineId("m-1")};
  private static final ModelKind KIND = new ModelKind();
  private static final int MAX_STATES = 3_000_000;

  /**
   * Protocol rules that can be disabled, to show that the search finds a violation without each of
   * them.
   */
  private enum Guard {
    /** A controller that sees its model go down after local demand wakes it again. */
    REWAKES_AFTER_DRAIN,
    /** A command decided by the leader in one epoch is rejected in another. */
    REJECTS_STALE_EPOCH,
    /** A machine is chosen only for a replica that is proven to be on no machine. */
    PLACED_AFTER_TERMINATION_PROOF,
    /** The model is at ZERO only once none of its replicas is allocated. */
    ZERO_AFTER_TERMINATION_PROOF,
    /** An allocation fails if more replicas are blocked than the leader knew of. */
    FENCES_ALLOCATION,
    /** Reverting a drain starts a new epoch. */
    NEW_EPOCH_ON_REVERTED_DRAIN
  }

  private static final class State implements Cloneable {
    private Model record =
        new Model(
            new JobId("job-1"),
            new Model.ScalingLimits(1, 1, 1, TimeSpan.ofSeconds(60), 0),
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
    private boolean[] wakePending = new boolean[NODES];
    private boolean[] hasDemand = new boolean[NODES];
    private int leader;
    private int allocated = -1;

    /** The last epoch in which a replica was blocked that was not blocked before. */
    private long fence;

    private boolean released;
    private boolean[] runs = new boolean[2];
    private boolean[] lost = new boolean[2];
    private Set<Long> started = Set.of();
    private int wakes;
    private int drains;
    private int faults;
    private int losses;
    private String violation;

    private State copy() {
      try {
        State copy = (State) clone();
        copy.view = view.clone();
        copy.pending = pending.clone();
        copy.wakePending = wakePending.clone();
        copy.hasDemand = hasDemand.clone();
        copy.runs = runs.clone();
        copy.lost = lost.clone();
        return copy;
      } catch (CloneNotSupportedException e) {
        throw new IllegalStateException(e);
      }
    }

    private static String text(Model model) {
      return ""
          + model.phase().ordinal()
          + model.epoch()
          + model.placements()
          + model.avoidedMachines();
    }

    private String key() {
      return text(record)
          + "|"
          + text(view[0])
          + "|"
          + text(view[1])
          + Arrays.toString(pending)
          + Arrays.toString(wakePending)
          + Arrays.toString(hasDemand)
          + leader
          + allocated
          + released
          + Arrays.toString(runs)
          + Arrays.toString(lost)
          + started
          + wakes
          + drains
          + faults
          + losses
          + "f"
          + fence;
    }

    private int placedMachine(Model model) {
      Model.Placement place = model.isUp() ? model.placements().get(0) : null;
      return place == null ? -1 : List.of(MACHINES).indexOf(place.machine());
    }
  }

  private Set<Guard> disabledGuards = EnumSet.noneOf(Guard.class);
  private final Set<String> seen = new HashSet<>();
  private final ArrayDeque<State> todo = new ArrayDeque<>();
  private boolean spontaneousStep;
  private String violation;

  private boolean isEnabled(Guard guard) {
    return !disabledGuards.contains(guard);
  }

  private void addSuccessor(State from, boolean spontaneous, Consumer<State> change) {
    State next = from.copy();
    change.accept(next);
    spontaneousStep |= spontaneous;
    if (next.record.phase() == Phase.ZERO
        && (next.allocated >= 0 || next.runs[0] || next.runs[1])) {
      next.violation = "a replica is allocated or running in phase ZERO";
    }
    if (next.violation != null) {
      violation = next.violation + ": " + next.key();
    }
    if (seen.add(next.key())) {
      todo.add(next);
    }
  }

  /** Explores every reachable state; returns a violation found in one of them, or null. */
  private String explore(int wakes, int drains, int faults, int losses) {
    State first = new State();
    first.wakes = wakes;
    first.drains = drains;
    first.faults = faults;
    first.losses = losses;
    seen.add(first.key());
    todo.add(first);
    while (!todo.isEmpty() && violation == null) {
      assertTrue(seen.size() < MAX_STATES, "more states than the search limit");
      State state = todo.poll();
      spontaneousStep = false;
      for (int node = 0; node < NODES; node++) {
        stepController(state, node);
        stepShardOwner(state, node);
        if (state.leader == node) {
          stepLeader(state, node);
        }
        injectFaults(state, node);
      }
      if (!spontaneousStep && violation == null) {
        checkQuiescentState(state);
      }
    }
    return violation;
  }

  /** Checks a state without further spontaneous steps: a requested model must be served. */
  private void checkQuiescentState(State state) {
    boolean isWanted =
        state.hasDemand[0] || state.hasDemand[1] || state.wakePending[0] || state.wakePending[1];
    int place = state.placedMachine(state.record);
    boolean serves = state.record.phase() == Phase.WARM && place >= 0 && state.runs[place];
    if ((isWanted || state.record.isUp()) && !serves) {
      violation = "requested but not served: " + state.key();
    }
  }

  // Compares identities on purpose: a node's view is the very record that was written.
  @SuppressWarnings("ReferenceEquality")
  private void stepController(State state, int node) {
    if (state.view[node] != state.record) {
      addSuccessor(state, true, next -> readRecord(next, node));
    }
    if (state.wakePending[node] && state.pending[node] == null) {
      addSuccessor(state, true, next -> next.pending[node] = new ModelCommand.Wake());
    }
    if (state.pending[node] != null) {
      addSuccessor(state, true, next -> applyCommand(next, node));
    }
  }

  private void readRecord(State state, int node) {
    boolean wasUp = state.view[node].isUp();
    state.view[node] = state.record;
    if (state.record.isUp()) {
      state.wakePending[node] = false;
    } else if (wasUp && state.hasDemand[node] && isEnabled(Guard.REWAKES_AFTER_DRAIN)) {
      state.wakePending[node] = true;
    }
  }

  private void applyCommand(State state, int node) {
    ModelCommand command = state.pending[node];
    state.pending[node] = null;
    if (!isEnabled(Guard.REJECTS_STALE_EPOCH)) {
      command = withEpoch(command, state.record.epoch());
    }
    Model before = state.record;
    if (ModelRules.step(before, command, 0) instanceof Transition.Changed<Model> changed) {
      state.record = changed.next();
      state.fence = KIND.blocksMoreTasks(before, state.record) ? state.record.epoch() : state.fence;
      if (command instanceof ModelCommand.Wake
          && !isEnabled(Guard.NEW_EPOCH_ON_REVERTED_DRAIN)
          && !before.placements().isEmpty()) {
        state.record = state.record.withPlacements(before.placements());
      }
      if (command instanceof ModelCommand.RemoveReplicas
          && !state.lost[state.placedMachine(before)]) {
        state.violation = "a placement on a machine that was not lost is removed";
      }
    }
  }

  private static ModelCommand withEpoch(ModelCommand command, long epoch) {
    if (command instanceof ModelCommand.RemoveReplicas lose) {
      return new ModelCommand.RemoveReplicas(
          epoch, lose.replicas(), lose.badMachines(), lose.reason());
    }
    if (command instanceof ModelCommand.MarkDrained) {
      return new ModelCommand.MarkDrained(epoch);
    }
    return command instanceof ModelCommand.Place choose
        ? new ModelCommand.Place(epoch, choose.machines())
        : command;
  }

  /** A step of the owner of one machine's shard. */
  private void stepShardOwner(State state, int node) {
    int machine = node;
    Model view = state.view[node];
    if (state.allocated != machine || state.released) {
      return;
    }
    if (view.blockedReplicas(1).contains(0)) {
      addSuccessor(
          state,
          true,
          next -> {
            next.runs[machine] = false;
            next.released = true;
          });
    } else if (state.placedMachine(view) == machine
        && !state.runs[machine]
        && !state.lost[machine]) {
      long epoch = view.placements().get(0).epoch();
      addSuccessor(
          state,
          true,
          next -> {
            next.runs[machine] = true;
            next.violation = state.started.contains(epoch) ? "two starts in epoch " + epoch : null;
            Set<Long> started = new HashSet<>(state.started);
            started.add(epoch);
            next.started = started;
          });
    }
  }

  private void stepLeader(State state, int node) {
    Model view = state.view[node];
    int placedMachine = state.placedMachine(view);
    boolean mayAllocate =
        placedMachine >= 0
            && state.allocated < 0
            && (!isEnabled(Guard.FENCES_ALLOCATION) || view.epoch() >= state.fence);
    if (mayAllocate) {
      addSuccessor(
          state,
          true,
          next -> {
            next.allocated = placedMachine;
            next.released = false;
          });
    }
    if (state.allocated >= 0 && state.released) {
      addSuccessor(
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
    if (view.isUp()
        && placedMachine < 0
        && (state.allocated < 0 || !isEnabled(Guard.PLACED_AFTER_TERMINATION_PROOF))) {
      for (int machine = 0; machine < 2; machine++) {
        if (!state.lost[machine]) {
          sendCommand(
              state, node, new ModelCommand.Place(view.epoch(), Map.of(0, MACHINES[machine])));
        }
      }
    }
    if (placedMachine >= 0 && state.lost[placedMachine]) {
      sendCommand(
          state,
          node,
          new ModelCommand.RemoveReplicas(
              view.epoch(), Set.of(0), Set.of(MACHINES[placedMachine]), ""));
    } else if (placedMachine >= 0 && view.phase() == Phase.STARTING && state.runs[placedMachine]) {
      sendCommand(state, node, new ModelCommand.MarkWarm(view.epoch()));
    }
    if (view.phase() == Phase.WARM && !state.hasDemand[node] && state.drains > 0) {
      State afterDrain = state.copy();
      afterDrain.drains--;
      addSuccessor(
          afterDrain,
          false,
          next -> next.pending[node] = new ModelCommand.Drain(view.epoch(), 0, ""));
    }
    if (view.phase() == Phase.DRAINING
        && (state.allocated < 0 || !isEnabled(Guard.ZERO_AFTER_TERMINATION_PROOF))) {
      sendCommand(state, node, new ModelCommand.MarkDrained(view.epoch()));
    }
  }

  // Compares identities on purpose: a node's view is the very record that was written.
  @SuppressWarnings("ReferenceEquality")
  private void sendCommand(State state, int node, ModelCommand command) {
    // A node whose view is current does not send commands without effect.
    boolean useful =
        state.view[node] != state.record
            || ModelRules.step(state.record, command, 0) instanceof Transition.Changed<Model>;
    if (useful) {
      addSuccessor(state, true, next -> next.pending[node] = command);
    }
  }

  private void injectFaults(State state, int node) {
    if (state.wakes > 0) {
      addSuccessor(
          state,
          false,
          next -> {
            next.wakes--;
            next.hasDemand[node] = true;
            next.wakePending[node] = !next.view[node].isUp();
          });
    }
    if (state.hasDemand[node] && !state.wakePending[node]) {
      addSuccessor(state, false, next -> next.hasDemand[node] = false);
    }
    if (state.faults > 0) {
      addSuccessor(
          state,
          false,
          next -> {
            next.faults--;
            next.leader = 1 - next.leader;
          });
      addSuccessor(
          state,
          false,
          next -> {
            // The node is killed and restarted: it has read the current record and knows of no
            // demand, but commands it sent before may still arrive.
            next.faults--;
            next.view[node] = next.record;
            next.wakePending[node] = false;
            next.hasDemand[node] = false;
          });
    }
    if (state.losses > 0) {
      addSuccessor(
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
  void noReachableStateViolatesInvariants(int wakes, int drains, int faults, int losses) {
    String found = explore(wakes, drains, faults, losses);
    System.out.println("models: " + seen.size() + " states");
    assertNull(found);
  }

  @ParameterizedTest
  @EnumSource(Guard.class)
  void disablingAnyGuardCausesViolation(Guard guard) {
    disabledGuards = EnumSet.of(guard);
    assertNotEquals(
        null, explore(2, 1, 1, 1), guard + " can be disabled without a violation being found");
  }
}
