package org.quincecross.shard;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.protocol.Heartbeat;
import org.quincecross.state.ShardLease;

/**
 * Owns one shard: queues the tasks allocated to it on its machines, starts them, and follows what
 * becomes of them.
 *
 * <p>No task is started while it may be on another machine. A task that a former owner may have
 * started stays {@link Placement.State#UNSETTLED} until every machine of the shard has shown the
 * present token (its heartbeat is then complete, and no older command can follow) or has certainly
 * lost its lease.
 */
public final class ShardOwner {
  private final ShardContext context;
  private final ShardState state;
  private final TaskStatusProcessor taskStatuses;
  private final MachineLivenessMonitor monitor;
  private final MachineSnapshots snapshots;
  private final ShardReporter reporter;
  private final HeartbeatProcessor heartbeats;
  private final AgentCommandSender commands;
  private final PlacementReconciler reconciler;
  private final TaskEnqueuer enqueuer;
  private final TaskStarter starter;
  private final Requeuer requeuer;
  private final Preemptor preemptor;
  private boolean couldCommand;
  private boolean couldStartTasks;

  /** Takes over a shard whose former owner may go on responding to its machines for a while. */
  public ShardOwner(ShardContext context, ShardLease lease) {
    this.context = context;
    this.state = new ShardState(context, lease);
    this.taskStatuses = new TaskStatusProcessor(state);
    this.monitor = new MachineLivenessMonitor(state, taskStatuses);
    this.snapshots = new MachineSnapshots(state, monitor);
    this.reporter = new ShardReporter(state, snapshots);
    this.heartbeats = new HeartbeatProcessor(state, monitor, taskStatuses);
    this.commands = new AgentCommandSender(state, this::commandAnswered);
    StartGate startGate = new StartGate(state);
    this.reconciler = new PlacementReconciler(state, startGate);
    this.requeuer = new Requeuer(state, monitor, reporter);
    this.enqueuer = new TaskEnqueuer(state, startGate, requeuer);
    this.starter = new TaskStarter(state, startGate);
    this.preemptor = new Preemptor(state, snapshots, monitor);
    MonotonicTime formerOwnerUntil = context.now().plus(context.maxUnconfirmedOwnership());
    for (Machine machine : lease.machines().values()) {
      addMachine(machine, formerOwnerUntil);
    }
    state.settleIfAllCleared();
    sync();
    requestStatus();
  }

  /** The lease under which the shard is owned. */
  public ShardLease lease() {
    return state.lease();
  }

  /** The shard's id. */
  public ShardId id() {
    return state.id();
  }

  /** Whether every machine obeys this owner alone. */
  public boolean hasAllFenced() {
    return !state.isSuperseded()
        && state.sessions().values().stream()
            .allMatch(session -> session.state() == AgentSession.State.FENCED);
  }

  /** Called when the shard was leased under another token, even to this controller. */
  void retire() {
    state.supersede();
  }

  /**
   * Whether a machine has shown that another controller owns the shard, although the cache does not
   * say so yet.
   */
  public boolean isSuperseded() {
    return state.isSuperseded();
  }

  /** The version of the allocation that the placements follow. */
  Revision syncedAllocation() {
    return state.syncedAllocation();
  }

  // ---- the lease and the allocation ----

  private void addMachine(Machine machine, MonotonicTime leaseFrom) {
    MachineType type = context.cache().machineTypes().get(machine.type());
    Resources capacity = type == null ? Resources.NONE : type.capacity();
    double cacheGb = type == null ? 0 : type.cacheGb();
    AgentSession session = new AgentSession(machine, capacity, cacheGb, context.now(), leaseFrom);
    context.imagesOf(machine.id()).forEach(session::inheritImage);
    state.sessions().put(machine.id(), session);
    state.scheduler().addMachine(machine.id(), capacity, session::hasImage);
    state.markDirty(session);
  }

  /**
   * Follows a newer record of the lease under the same token: machines have joined or left, and the
   * shard had no other owner meanwhile.
   */
  public void renewed(ShardLease next) {
    state.setLease(next);
    MonotonicTime now = context.now();
    for (MachineId machine : List.copyOf(state.sessions().keySet())) {
      if (!next.machines().containsKey(machine)) {
        // The leader removes a machine only after it is gone with everything on it.
        taskStatuses.freeAll(machine, now);
        state.sessions().remove(machine);
        state.scheduler().removeMachine(machine);
      }
    }
    for (Machine machine : next.machines().values()) {
      if (!state.sessions().containsKey(machine.id())) {
        // A machine that joins has no tasks of this shard, nor of any other.
        addMachine(machine, now);
      }
    }
    state.sessions().values().forEach(state::markDirty);
    reporter.reportAll();
    state.settleIfAllCleared();
    sync();
    requestStatus();
  }

  /** Follows the shard's allocation. */
  public void sync() {
    if (reconciler.allocationChanged()) {
      reporter.headerChanged();
    }
    act();
  }

  /** Follows the records of jobs. */
  public void jobsChanged(Set<JobId> jobs) {
    if (reconciler.jobsChanged(jobs)) {
      act();
    }
  }

  // ---- heartbeats ----

  /** The response to a heartbeat; null if this controller must not respond. */
  public byte[] respond(Heartbeat heartbeat) {
    AgentSession session = state.sessions().get(heartbeat.machine().id());
    MonotonicTime now = context.now();
    if (session == null || state.isSuperseded() || !context.mayCommand()) {
      return null;
    }
    if (!heartbeats.process(session, heartbeat, true)) {
      return null;
    }
    session.recordContact(now);
    if (!commands.mayRespond(session)) {
      return null;
    }
    session.responseSent(heartbeat, now);
    if (!session.isOpen() && monitor.isOpen(session)) {
      state.markDirty(session);
    }
    scheduleIfNeeded();
    byte[] response = commands.response(session);
    commands.sendUnsent();
    return response;
  }

  /** Called with the status in an agent's response to a direct command. */
  private void commandAnswered(AgentSession session, Heartbeat heartbeat) {
    heartbeats.process(session, heartbeat, false);
    if (session.hasRestarted()) {
      // Only under a new token can its own heartbeats be told from late ones.
      session.recordContact(context.now());
    }
    act();
  }

  // ---- scheduling ----

  /** Called several times a second. */
  public void tick() {
    if (monitor.tick()) {
      state.settleIfAllCleared();
    }
    if (couldCommand != context.mayCommand()
        || couldStartTasks != context.mayStartTasks()
        || state.isWakeUpDue(context.now())) {
      state.requestScheduling();
    }
    act();
    requestStatus();
  }

  /** Called after a pause of this process, during which no machine could be heard. */
  void excusePause(TimeSpan gap) {
    monitor.excusePause(gap);
  }

  private void requestStatus() {
    if (!state.isSuperseded()) {
      commands.requestStatus();
    }
  }

  private void act() {
    scheduleIfNeeded();
    if (!state.isSuperseded()) {
      commands.sendUnsent();
    }
  }

  /** Reconciles what has changed, then starts what can start; cheap if nothing has changed. */
  private void scheduleIfNeeded() {
    reconciler.reconcileChanged();
    if (state.placements().takeSchedulingNeeded() || state.isSchedulingNeeded()) {
      schedule();
    }
  }

  private void schedule() {
    couldCommand = context.mayCommand();
    couldStartTasks = context.mayStartTasks();
    state.schedulingStarted();
    if (state.isSuperseded() || !couldCommand) {
      return;
    }
    state.clearWakeUp();
    enqueuer.enqueueWaiting();
    MonotonicTime now = context.now();
    updateScheduler();
    if (couldStartTasks) {
      starter.startScheduled(now);
    }
    requeuer.requeue(now);
    preemptor.preempt(now);
    preemptor.drainNoticed(now);
    preemptor.drainLeaving(now);
  }

  private void updateScheduler() {
    Set<MachineId> dirty = state.dirtyMachines();
    dirty.addAll(state.placements().takeChangedMachines());
    for (MachineId machine : dirty) {
      AgentSession session = state.sessions().get(machine);
      if (session != null) {
        session.setOpen(monitor.isOpen(session));
        state
            .scheduler()
            .update(
                machine, snapshots.used(session), snapshots.preemptible(machine), session.isOpen());
        state.scheduler().setImagesBeingPulled(machine, snapshots.imagesBeingPulled(session));
      }
    }
    reporter.machinesChanged(dirty);
    dirty.clear();
    state.scheduler().setHeadroom(snapshots.withoutLent(context.headroom(id())));
  }

  // ---- queries ----

  /** The completed tasks whose completion is not durable yet. */
  public List<TaskId> completed() {
    return state.tasksIn(Placement.State.COMPLETED);
  }

  /** The tasks that are on no machine and return to the pool. */
  public List<TaskId> released() {
    return state.tasksIn(Placement.State.RELEASED);
  }

  /** The number of a job's running tasks. */
  public int running(JobId job) {
    return state.placements().running().getOrDefault(job, 0);
  }

  /** The number of running tasks of each job, as a live view. */
  Map<JobId, Integer> running() {
    return state.placements().running();
  }

  /** Whether a task is running. */
  public boolean runs(TaskId task) {
    Placement placement = state.placements().get(task);
    return placement != null && placement.isRunning();
  }

  /** The jobs that the shard should not be allocated. */
  Set<JobId> declinedJobs() {
    return state.declinedJobs();
  }

  /** Whether pending work can finish only under a new fencing token. */
  boolean needsTokenRenewal() {
    return state.needsTokenRenewal();
  }

  /** What a job's tasks in this shard wait for; empty if all of them run. */
  public List<String> unplacedReasons(JobId job) {
    return UnplacedReasons.of(job, state);
  }

  /** The jobs with tasks in this shard. */
  public Collection<JobId> jobs() {
    return state.placements().jobs();
  }

  /** The state of a machine, or null if it is not in the shard. */
  PeerHeartbeat.MachineState machine(MachineId id) {
    return snapshots.snapshot(id);
  }

  /** The shard's part of reports to other controllers. */
  public ShardReporter reporter() {
    return reporter;
  }

  /** The states of all machines. */
  public List<PeerHeartbeat.MachineState> machines() {
    return state.sessions().keySet().stream().map(snapshots::snapshot).toList();
  }

  /** The number of queued tasks and gangs. */
  public int waitingCount() {
    return state.scheduler().waiting().size();
  }
}
