package org.quincecross.shard;

import org.quincecross.model.Attempt;
import org.quincecross.model.Job;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;

/**
 * Where a task that the block has stands. Each state that waits for a message says what ends the
 * wait if the message never comes; a state of which that cannot be said is an error
 * (docs/incidents/unanswered-start.md).
 */
final class Placement {
  /** The states of a placement. */
  enum State {
    /**
     * The former holder may have started it: it may not start before all machines are fenced or
     * released. Waits for each machine's report; without it, for the end of its lease as of the
     * state service's last word, or its return to the cloud.
     */
    UNSETTLED,
    /**
     * On no machine, surely. Waits for room; without it, goes back to the pool: after 10 s where no
     * machine takes work, at once where it has failed on all, a gang after 30 s, everything else
     * after 90 s and twice its estimate.
     */
    WAITING,
    /**
     * Its start has been decided and may be under way. Waits for a report that has it: every answer
     * to a report without it repeats the start; a machine that does not report is lost with its
     * lease.
     */
    STARTING,
    /**
     * Its machine reports it. Waits for its exit; a machine that reports without it has lost it,
     * one that does not report is lost with its lease, a gang that does not come together exits by
     * itself.
     */
    ACTIVE,
    /**
     * To be stopped, and not yet known to be gone. Waits for its exit, or a report without it:
     * every answer repeats the stop. Where its start was never answered and never shows, no report
     * is proof; then the block is leased anew ({@link ShardOwner#isInDoubt}).
     */
    STOPPING,
    /**
     * Completed; its machine keeps the result until that is durable. Waits for the records to say
     * so: until they do, it is part of what every controller is told of the block, so whoever leads
     * knows it.
     */
    COMPLETED,
    /**
     * On no machine, and given back: never to be started again under this allocation. Waits for an
     * allocation without it; told as completions are.
     */
    RELEASED
  }

  /** Told of every change, so that what finds placements stays in step. */
  interface Observer {
    /**
     * A placement was in {@code before}, on {@code from} (null: nowhere), and now is as it says
     * itself.
     */
    void moved(Placement placement, State before, MachineId from);
  }

  private final Observer observer;
  private final TaskId task;
  private final Job job;
  private State state;
  private MonotonicTime since;
  private MachineId machine;
  private Attempt attempt = Attempt.NONE;
  private TimeSpan grace = TimeSpan.ZERO;
  private boolean giveBack;
  private boolean told;
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

  /** The one place where a placement changes its state. */
  private void enter(State next, MachineId where, MonotonicTime now) {
    State before = state;
    MachineId from = machine;
    state = next;
    machine = where;
    since = now;
    told = false;
    observer.moved(this, before, from);
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

  TimeSpan grace() {
    return grace;
  }

  int failures() {
    return failures;
  }

  /** Whether its machine has to count it. */
  boolean isBound() {
    return state == State.STARTING || state == State.ACTIVE || state == State.STOPPING;
  }

  boolean isBoundTo(MachineId where, Attempt which) {
    return isBound() && machine.equals(where) && attempt.equals(which);
  }

  boolean isRunning() {
    return running && (state == State.ACTIVE || state == State.STOPPING);
  }

  /** Notes whether it is counted among what runs; true if that is new. */
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

  /**
   * A machine reports the task: one that this holder started, or one that the former holder did.
   */
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
      observer.moved(this, state, machine);
    }
  }

  /**
   * Has the task stopped; {@code back}: it then returns to the pool rather than to a queue of the
   * block.
   */
  void stop(TimeSpan saveTime, boolean back, MonotonicTime now) {
    giveBack |= back;
    if (state == State.STOPPING) {
      if (saveTime.nanos() < grace.nanos()) {
        grace = saveTime;
        told = false;
      }
      return;
    }
    grace = saveTime;
    enter(State.STOPPING, machine, now);
  }

  void completed(MachineId where, Attempt which, MonotonicTime now) {
    attempt = which;
    enter(State.COMPLETED, where, now);
  }

  /** The task is surely on no machine. */
  void gone(MonotonicTime now) {
    running = false;
    enter(giveBack ? State.RELEASED : State.WAITING, null, now);
  }

  void release(MonotonicTime now) {
    enter(State.RELEASED, null, now);
  }

  void failed() {
    failures++;
  }

  /** Whether the machine has been told of the present state. */
  boolean isTold() {
    return told;
  }

  void tell() {
    told = true;
  }

  void untell() {
    told = false;
  }
}
