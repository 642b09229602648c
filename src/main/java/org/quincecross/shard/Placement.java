package org.quincecross.shard;

import org.quincecross.model.Attempt;
import org.quincecross.model.Job;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;

/**
 * The state of a task that is allocated to the shard. Each state that waits for a message names
 * what ends the wait if the message never comes; a state without such an end is an error
 * (docs/incidents/unanswered-start.md).
 */
final class Placement {
  /** The states of a placement. */
  enum State {
    /**
     * A former owner may have started the task, so it must not start before all machines are fenced
     * or lost. Waits for each machine's heartbeat, for the expiry of its lease as of the last
     * confirmation by the store, or for its termination.
     */
    UNSETTLED,
    /**
     * Certainly on no machine. Waits for capacity, or returns to the pool: after 10 s if no machine
     * accepts tasks, at once if it has failed on all, a gang after 30 s, everything else after 90 s
     * and twice its estimate.
     */
    WAITING,
    /**
     * A start has been decided and may be in flight. Waits for a heartbeat that has it: every
     * response to a heartbeat without it repeats the start; a machine that does not report is lost
     * with its lease.
     */
    STARTING,
    /**
     * Its machine reports it. Waits for its exit; a machine that reports without it has lost it,
     * one that does not report is lost with its lease, and a gang that does not come together exits
     * by itself.
     */
    ACTIVE,
    /**
     * To be stopped, and not known to be gone. Waits for its exit, or a heartbeat without it: every
     * response repeats the stop, and every heartbeat settles whether an earlier response was
     * executed.
     */
    STOPPING,
    /**
     * Completed; its machine keeps the result until it is durable. Waits for the records: until
     * then, it is part of every report on the shard, so that any leader knows it.
     */
    COMPLETED,
    /**
     * On no machine, and released: never started again under this allocation. Waits for an
     * allocation without it; reported as completions are.
     */
    RELEASED
  }

  /** Notified of every change, so that indexes stay in step. */
  interface Observer {
    /**
     * Called when a placement has changed from {@code before} on machine {@code from} (null: none)
     * to its present state.
     */
    void placementChanged(Placement placement, State before, MachineId from);
  }

  private final Observer observer;
  private final TaskId task;
  private final Job job;
  private State state;
  private MonotonicTime since;
  private MachineId machine;
  private Attempt attempt = Attempt.NONE;
  private TimeSpan gracePeriod = TimeSpan.ZERO;
  private boolean requeueWhenStopped;
  private boolean commandSent;
  private boolean running;
  private boolean countedAsRunning;
  private MonotonicTime runningSince;
  private int failures;

  Placement(Observer observer, TaskId task, Job job, State state, MonotonicTime now) {
    this.observer = observer;
    this.task = task;
    this.job = job;
    enter(state, null, now);
  }

  /** The only method that changes the state. */
  private void enter(State next, MachineId where, MonotonicTime now) {
    State before = state;
    MachineId from = machine;
    state = next;
    machine = where;
    since = now;
    commandSent = false;
    observer.placementChanged(this, before, from);
  }

  TaskId task() {
    return task;
  }

  Job job() {
    return job;
  }

  State state() {
    return state;
  }

  MonotonicTime since() {
    return since;
  }

  MachineId machine() {
    return machine;
  }

  Attempt attempt() {
    return attempt;
  }

  TimeSpan gracePeriod() {
    return gracePeriod;
  }

  int failures() {
    return failures;
  }

  /** Whether its machine has to count it. */
  boolean isOnMachine() {
    return state == State.STARTING || state == State.ACTIVE || state == State.STOPPING;
  }

  boolean isAttemptOn(MachineId where, Attempt which) {
    return isOnMachine() && machine.equals(where) && attempt.equals(which);
  }

  boolean isRunning() {
    return running && (state == State.ACTIVE || state == State.STOPPING);
  }

  /** Records whether the task is counted as running; true if that changed. */
  boolean countAsRunning(boolean now) {
    boolean isNew = now != countedAsRunning;
    countedAsRunning = now;
    return isNew;
  }

  MonotonicTime runningSince() {
    return runningSince;
  }

  void start(MachineId where, Attempt which, MonotonicTime now) {
    attempt = which;
    running = false;
    enter(State.STARTING, where, now);
  }

  /** Called when a machine reports the task, started by this owner or a former one. */
  void reported(MachineId where, Attempt which, boolean runs, MonotonicTime now) {
    attempt = which;
    boolean changed = runs != running;
    if (runs && changed) {
      runningSince = now;
    }
    running = runs;
    if (state != State.ACTIVE && state != State.STOPPING) {
      enter(State.ACTIVE, where, now);
    } else if (changed) {
      observer.placementChanged(this, state, machine);
    }
  }

  /**
   * Stops the task; with {@code requeue} it then returns to the pool rather than to a queue of the
   * shard.
   */
  void stop(TimeSpan saveTime, boolean requeue, MonotonicTime now) {
    requeueWhenStopped |= requeue;
    if (state == State.STOPPING) {
      if (saveTime.nanos() < gracePeriod.nanos()) {
        gracePeriod = saveTime;
        commandSent = false;
      }
      return;
    }
    gracePeriod = saveTime;
    enter(State.STOPPING, machine, now);
  }

  void completed(MachineId where, Attempt which, MonotonicTime now) {
    attempt = which;
    enter(State.COMPLETED, where, now);
  }

  /** Called when the task is certainly on no machine. */
  void leftMachine(MonotonicTime now) {
    running = false;
    enter(requeueWhenStopped ? State.RELEASED : State.WAITING, null, now);
  }

  void release(MonotonicTime now) {
    enter(State.RELEASED, null, now);
  }

  void countFailure() {
    failures++;
  }

  /** Whether the command for the present state has been sent to the machine. */
  boolean isCommandSent() {
    return commandSent;
  }

  void markCommandSent() {
    commandSent = true;
  }

  void markCommandUnsent() {
    commandSent = false;
  }
}
