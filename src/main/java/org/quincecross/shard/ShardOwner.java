package org.quincecross.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.failuredetection.StaleHeartbeatFilter.Verdict;
import org.quincecross.model.Attempt;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.protocol.Heartbeat;
import org.quincecross.protocol.Heartbeat.TaskStatus;
import org.quincecross.quarantine.FaultEvidence;
import org.quincecross.scheduling.QueueEntry;
import org.quincecross.scheduling.ShardScheduler;
import org.quincecross.state.Allocation;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ShardLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds one block: queues the tasks allocated to it on its machines, starts them, and follows what
 * becomes of them.
 *
 * <p>No task is started while it may be on another machine. What a former holder may have started
 * stays {@link Placement.State#UNSETTLED} until every machine of the block has shown the present
 * token (its report is then complete, and no older command can follow) or has surely lost its
 * lease.
 */
public final class ShardOwner {
  private static final Logger LOG = LoggerFactory.getLogger(ShardOwner.class);

  /**
   * An attempt is the block's token, then this many bits of a count: larger under every later
   * lease.
   */
  private static final int ATTEMPT_BITS = 20;

  private final ShardContext context;
  private final Map<MachineId, AgentSession> sessions = new LinkedHashMap<>();
  private final Placements placements = new Placements();
  private final Map<TaskId, QueueEntry> entries = new HashMap<>();
  private final ShardScheduler scheduler = new ShardScheduler();
  private final FaultEvidence evidence = new FaultEvidence();
  private final Set<MachineId> toUpdate = new LinkedHashSet<>();
  private final ShardReporter reporter;
  private final AgentCommandSender commands;
  private final HeartbeatProcessor intake;
  private final MachineLivenessMonitor watch;
  private final MachineSnapshots views;
  private final Preemptor rooms;
  private final Requeuer givingBack;
  private final StartGate withholding;
  private ShardLease lease;
  private boolean settled;
  private boolean superseded;
  private boolean stirred = true;
  private boolean entitled, mayStart;
  private MonotonicTime wakeAt;
  private Revision synced = Revision.NONE;
  private long attempts;

  /**
   * Takes over a block whose former holder, if cut off, may go on answering its machines for a
   * while.
   */
  public ShardOwner(ShardContext context, ShardLease lease) {
    this.context = context;
    this.lease = lease;
    this.reporter = new ShardReporter(this);
    this.commands = new AgentCommandSender(context, this, placements, sessions);
    this.intake = new HeartbeatProcessor(context, this, placements, evidence);
    this.watch = new MachineLivenessMonitor(context, this, intake, sessions);
    this.views = new MachineSnapshots(context, this, placements, sessions, scheduler, watch);
    this.rooms = new Preemptor(context, this, placements, entries, sessions, scheduler);
    this.givingBack =
        new Requeuer(context, this, placements, entries, sessions, evidence, scheduler);
    this.withholding = new StartGate(context, this);
    MonotonicTime now = context.now();
    for (Machine machine : lease.machines().values()) {
      addMachine(machine, now.plus(context.longestUnconfirmed()));
    }
    settle();
    sync();
    if (!superseded) {
      commands.fence();
    }
  }

  public ShardLease lease() {
    return lease;
  }

  public ShardId id() {
    return lease.id();
  }

  /** Whether every machine obeys this holder alone. */
  public boolean hasAllFenced() {
    return !superseded
        && sessions.values().stream()
            .allMatch(session -> session.state() == AgentSession.State.FENCED);
  }

  /**
   * The block was leased anew, be it to this controller: this holder has nothing to say any more.
   */
  void retire() {
    superseded = true;
  }

  /**
   * Whether a machine has shown that another controller has the block, though the ledger here does
   * not say so yet.
   */
  public boolean isSuperseded() {
    return superseded;
  }

  private FencingToken token() {
    return lease.token();
  }

  /** The version of the allocation that the placements follow. */
  Revision allocated() {
    return synced;
  }

  // ---- the lease and the allocation, as the ledger has them ----

  private void addMachine(Machine machine, MonotonicTime leaseFrom) {
    MachineType type = context.ledger().machineTypes().get(machine.type());
    Resources capacity = type == null ? Resources.NONE : type.capacity();
    AgentSession session =
        new AgentSession(
            machine, capacity, type == null ? 0 : type.cacheGb(), context.now(), leaseFrom);
    context.imagesOf(machine.id()).forEach(session::inheritImage);
    sessions.put(machine.id(), session);
    scheduler.addMachine(machine.id(), capacity, session::hasImage);
    stir(session);
  }

  /**
   * What a machine has or may be given has changed: to be looked at before the next work starts.
   */
  void stir(AgentSession session) {
    toUpdate.add(session.machine().id());
    stirred = true;
  }

  /**
   * The lease was written anew under the same token: machines came or went, and nobody else has
   * held the block.
   */
  public void renewed(ShardLease next) {
    lease = next;
    MonotonicTime now = context.now();
    for (MachineId machine : List.copyOf(sessions.keySet())) {
      if (!next.machines().containsKey(machine)) {
        // The leader takes a machine out only once it is gone, and all that was on it.
        intake.freeAll(machine, now);
        sessions.remove(machine);
        scheduler.removeMachine(machine);
      }
    }
    for (Machine machine : next.machines().values()) {
      if (!sessions.containsKey(machine.id())) {
        // A machine that joins has none of this block's tasks, and no other block's.
        addMachine(machine, now);
      }
    }
    sessions.values().forEach(this::stir);
    reporter.begin();
    settle();
    sync();
    if (!superseded) {
      commands.fence();
    }
  }

  /** Brings the placements in line with the allocation, if that has changed. */
  public void sync() {
    Allocation allocation = context.ledger().allocation(id());
    if (!allocation.version().equals(synced)) {
      synced = allocation.version();
      reporter.headerChanged();
      take(allocation);
    }
    act();
  }

  /** Brings the placements of jobs whose records have changed in line with them. */
  public void jobsChanged(Set<JobId> jobs) {
    MonotonicTime now = context.now();
    boolean ours = false;
    for (JobId job : jobs) {
      JobRecord record = context.ledger().job(job);
      if (record == null || record.phase().isTerminal()) {
        evidence.forget(job);
      }
      if (!placements.hasJob(job)) {
        continue;
      }
      for (Placement placement : placements.ofJob(job)) {
        ours = true;
        syncPlacement(placement, now);
      }
    }
    if (ours) {
      act();
    }
  }

  private void take(Allocation allocation) {
    MonotonicTime now = context.now();
    for (Map.Entry<JobId, TaskSet> allocated : allocation.tasks().entrySet()) {
      JobRecord job = context.ledger().job(allocated.getKey());
      if (job == null || job.job() == null) {
        continue; // a done job: nothing of it is left to do
      }
      TaskSet tasks = allocated.getValue();
      for (int i = tasks.nextMember(0); i >= 0; i = tasks.nextMember(i + 1)) {
        TaskId task = job.id().task(i);
        if (!placements.has(task) && !context.ledger().isCompleted(job.id(), i)) {
          placements.add(
              task, job.job(), settled ? Placement.State.WAITING : Placement.State.UNSETTLED, now);
        }
      }
    }
    placements.all().forEach(placement -> syncPlacement(placement, now));
  }

  private void syncPlacement(Placement placement, MonotonicTime now) {
    TaskId task = placement.task();
    if (placements.get(task) != placement) {
      return; // dropped since
    }
    JobRecord job = context.ledger().job(task.job());
    boolean allocated = context.ledger().allocation(id()).contains(task.job(), task.index());
    if (context.ledger().isCompleted(task.job(), task.index())
        || job == null
        || job.phase() == JobPhase.DONE) {
      if (placement.isBound()) {
        placement.stop(TimeSpan.ZERO, true, now); // done once already: a second run serves nobody
      } else {
        drop(placement);
      }
    } else if (job.phase() == JobPhase.CANCELLED || !allocated) {
      switch (placement.state()) {
        case STARTING, ACTIVE, STOPPING -> placement.stop(TimeSpan.ZERO, true, now);
        case WAITING, COMPLETED -> {
          dequeue(task);
          placement.release(now);
          context.newsForLeader();
        }
        case UNSETTLED, RELEASED -> {}
        default -> throw new IllegalStateException(placement.state().toString());
      }
      if (!allocated && placement.state() == Placement.State.RELEASED) {
        drop(placement);
      }
    } else {
      withholding.sync(placement, now);
    }
  }

  private void drop(Placement placement) {
    dequeue(placement.task());
    placements.remove(placement);
  }

  void dequeue(TaskId task) {
    QueueEntry entry = entries.remove(task);
    if (entry != null) {
      scheduler.remove(entry);
      entry.tasks().forEach(entries::remove);
    }
  }

  /** Puts what waits into queues; a gang as a whole, once all of its tasks wait. */
  private void enqueueWaiting() {
    for (Placement placement : placements.in(Placement.State.WAITING)) {
      if (placement.state() != Placement.State.WAITING
          || entries.containsKey(placement.task())
          || !withholding.mayStart(placement)) {
        continue; // gathering a gang may have moved it on
      }
      Job job = placement.job();
      if (givingBack.keepsBack(placement)) {
        continue;
      }
      List<TaskId> unit = job.kind() == JobKind.GANG ? gatherGang(job) : List.of(placement.task());
      if (unit.isEmpty()) {
        continue;
      }
      JobRecord record = context.ledger().job(job.id());
      QueueEntry entry = new QueueEntry(job, unit, record.version());
      entry.onlyOn(context.places(job, placement.task().index()));
      if (wouldBeLateByFetch(job)) {
        entry.avoidFetch();
      }
      if (placement.failures() > 0) {
        entry.avoided().addAll(evidence.failedOn(job.id()));
        double wait = Math.min(30, 0.5 * Math.pow(2, Math.min(placement.failures(), 6)));
        MonotonicTime ready = context.now().plus(TimeSpan.ofSeconds(wait));
        entry.holdBack(ready);
        wakeBy(ready);
      }
      if (scheduler.enqueue(entry)) {
        unit.forEach(task -> entries.put(task, entry));
      }
    }
  }

  /** The jobs that the block should not be given. */
  Set<JobId> declined() {
    return evidence.declined(context.now());
  }

  private boolean wouldBeLateByFetch(Job job) {
    MachineType type = context.ledger().machineTypes().get(lease.type());
    TimeSpan within = context.startWithin(job.jobClass());
    return type != null
        && within != null
        && type.pullGbPerSecond() > 0
        && TimeSpan.ofSeconds(job.imageGb() / type.pullGbPerSecond()).isLongerThan(within);
  }

  /** Some machines have been found to fail what they are given. */
  void callSick(Set<MachineId> machines) {
    for (MachineId machine : machines) {
      AgentSession session = sessions.get(machine);
      if (session != null && !session.isSick()) {
        LOG.info("block {}: machine {} fails what it is given: no more work there", id(), machine);
        session.markSick();
        stir(session);
        context.newsForLeader();
      }
    }
  }

  /** Whether a task of a job is queued here or on a machine, other than {@code task}. */
  boolean hasAnotherUnderWay(Placement task) {
    return placements.ofJob(task.task().job()).stream()
        .anyMatch(other -> other != task && (other.isBound() || entries.containsKey(other.task())));
  }

  /** Has the queues looked at again at a time, though nothing may have happened by then. */
  void wakeBy(MonotonicTime time) {
    if (wakeAt == null || time.isBefore(wakeAt)) {
      wakeAt = time;
    }
  }

  /**
   * The tasks of a gang, if all of them wait here; else none. A gang that has lost a task cannot go
   * on: what is left of it is stopped, or it would occupy its places until it notices; and one that
   * the block does not have whole goes back to the pool whole.
   */
  private List<TaskId> gatherGang(Job job) {
    MonotonicTime now = context.now();
    List<Placement> waiting = new ArrayList<>();
    boolean unclear = false;
    for (int i = 0; i < job.taskCount(); i++) {
      Placement member = placements.get(job.id().task(i));
      if (member == null || member.state() == Placement.State.RELEASED) {
        continue;
      }
      switch (member.state()) {
        case WAITING -> waiting.add(member);
        case STARTING, ACTIVE -> {
          member.stop(TimeSpan.ZERO, false, now);
          unclear = true;
        }
        default -> unclear = true;
      }
    }
    if (waiting.size() == job.taskCount()) {
      return waiting.stream().map(Placement::task).toList();
    }
    if (!unclear) {
      waiting.forEach(member -> member.release(now));
      context.newsForLeader();
    }
    return List.of();
  }

  // ---- reports ----

  /** Answers a worker's report; null where this controller is not entitled to. */
  public byte[] answer(Heartbeat heartbeat) {
    AgentSession session = sessions.get(heartbeat.machine().id());
    MonotonicTime now = context.now();
    if (session == null || superseded || !context.isEntitled()) {
      return null;
    }
    if (!take(session, heartbeat, true)) {
      return null;
    }
    session.hear(now);
    if (!commands.mayAnswer(session)) {
      return null;
    }
    session.answered(heartbeat, now);
    if (!session.wasOpen() && isOpen(session)) {
      stir(session);
    }
    settleChanges();
    byte[] answer = commands.answer(session);
    commands.sendUntold();
    return answer;
  }

  /**
   * Takes what is news; false where the sender has no right to an answer, or most likely does not
   * wait for one.
   */
  private boolean take(AgentSession session, Heartbeat heartbeat, boolean beat) {
    if (heartbeat.token().isAfter(token())) {
      // Someone else has leased the block: the ledger will say so soon.
      LOG.info(
          "block {}: machine {} has a higher token, stepping back", id(), session.machine().id());
      superseded = true;
      return false;
    }
    MonotonicTime now = context.now();
    Verdict verdict = session.judge(heartbeat, beat, now);
    if (verdict == Verdict.LATE || verdict == Verdict.OVERTAKEN) {
      return verdict == Verdict.OVERTAKEN;
    }
    if (verdict == Verdict.NEWS && watch.reported(session, heartbeat, beat)) {
      settle();
    }
    Heartbeat before = session.report();
    boolean newSession =
        (before != null && before.session() != heartbeat.session())
            || verdict == Verdict.BEGUN_ANEW;
    if (verdict == Verdict.BEGUN_ANEW) {
      LOG.info("block {}: machine {} has begun anew", id(), session.machine().id());
      session.enter(AgentSession.State.UNFENCED); // it has forgotten the token
      session.answered(heartbeat, now); // its lease runs from when it began
    }
    session.take(heartbeat, beat, now);
    if (before == null
        || newSession
        || heartbeat.terminationNotice() != null
        || !before.tasks().equals(heartbeat.tasks())) {
      stir(session);
    }
    if (newSession || session.state() == AgentSession.State.LOST) {
      // The worker has killed and forgotten all that it had, and what it has now is in this report.
      intake.freeUnreported(session, now);
      if (session.state() == AgentSession.State.LOST) {
        session.enter(AgentSession.State.UNFENCED);
        stir(session);
      }
    }
    if (!heartbeat.token().equals(token())) {
      return true; // what an unfenced machine reports may yet change
    }
    if (session.state() != AgentSession.State.FENCED) {
      session.enter(AgentSession.State.FENCED);
      if (before != null && token().isAfter(before.token())) {
        session
            .hearing()
            .shownToken(now); // an equal token that it has shown all along says nothing
      }
      stir(session);
      LOG.debug("block {}: machine {} fenced", id(), session.machine().id());
    }
    for (TaskStatus piece : heartbeat.tasks()) {
      intake.takePiece(session, piece, now);
    }
    intake.freeMissing(session, beat, now);
    settle();
    return true;
  }

  /**
   * Once every machine has been fenced or lost, what none of them reported is surely nowhere. That
   * each was once is enough: from then on no command of a former holder counts there, and this one
   * gives none for what is not settled.
   */
  private void settle() {
    if (settled || !sessions.values().stream().allMatch(AgentSession::wasCleared)) {
      return;
    }
    settled = true;
    LOG.info("block {}: all {} machines fenced or lost, token {}", id(), sessions.size(), token());
    MonotonicTime now = context.now();
    placements.in(Placement.State.UNSETTLED).forEach(placement -> placement.gone(now));
  }

  // ---- what goes on by itself ----

  /** To be called several times a second. */
  public void tick() {
    if (watch.tick()) {
      settle();
    }
    MonotonicTime now = context.now();
    if (entitled != context.isEntitled()
        || mayStart != context.mayStart()
        || (wakeAt != null && !now.isBefore(wakeAt))) {
      stirred = true;
    }
    act();
    if (!superseded) {
      commands.fence();
    }
  }

  /** For so long no machine was listened to. Their leases ran on all the same. */
  void excuse(TimeSpan gap) {
    watch.excuse(gap);
  }

  /** A machine has answered a direct command. */
  void answered(AgentSession session, Heartbeat heartbeat) {
    take(session, heartbeat, false);
    if (session.hasBegunAnew()) {
      session.hear(context.now()); // its own reports are told from late ones only under a new token
    }
    act();
  }

  private void act() {
    settleChanges();
    if (!superseded) {
      commands.sendUntold();
    }
  }

  /**
   * Lets what has changed follow the ledger, then starts what can start; costs next to nothing
   * where nothing changed.
   */
  private void settleChanges() {
    MonotonicTime now = context.now();
    while (placements.hasChanged()) {
      placements.takeChanged().forEach(placement -> syncPlacement(placement, now));
    }
    if (placements.takeStirred() || stirred) {
      schedule();
    }
  }

  boolean isOpen(AgentSession session) {
    return session.takesWork()
        && !lease.leaving().contains(session.machine().id())
        && watch.isInTouch(session);
  }

  private void schedule() {
    entitled = context.isEntitled();
    mayStart = context.mayStart();
    stirred = false;
    if (superseded || !entitled) {
      return;
    }
    wakeAt = null;
    enqueueWaiting();
    MonotonicTime now = context.now();
    toUpdate.addAll(placements.takeChangedMachines());
    for (MachineId machine : toUpdate) {
      AgentSession session = sessions.get(machine);
      if (session != null) {
        session.found(isOpen(session));
        scheduler.update(
            machine, views.used(session), views.displaceable(machine), session.wasOpen());
        scheduler.fetching(machine, views.fetching(session));
      }
    }
    reporter.machinesChanged(toUpdate);
    toUpdate.clear();
    scheduler.reserve(views.lessLent(context.reserves(id())));
    for (ShardScheduler.Start start :
        mayStart ? scheduler.schedule(now) : List.<ShardScheduler.Start>of()) {
      start.entry().tasks().forEach(entries::remove);
      if (!start.entry().tasks().stream()
          .allMatch(task -> withholding.mayStart(placements.get(task)))) {
        continue;
      }
      Attempt attempt = new Attempt((token().value() << ATTEMPT_BITS) + ++attempts);
      for (int i = 0; i < start.machines().size(); i++) {
        MachineId machine = start.machines().get(i);
        Placement placement = placements.get(start.entry().tasks().get(i));
        placement.start(machine, attempt, now);
        LOG.debug(
            "block {}: {} starts on {}, image there {}",
            id(),
            placement.task(),
            machine,
            sessions.get(machine).hasImage(placement.job().image()));
        // The machine fetches the image for all tasks that need it, so the next of them is at home
        // there too.
        sessions.get(machine).usedImage(placement.job().image(), placement.job().imageGb());
      }
    }
    givingBack.giveBack(now);
    rooms.makeRoom(now);
    rooms.clearNoticed(now);
    rooms.clearLeaving(now);
  }

  // ---- what others want to know ----

  /** Completed tasks whose completion is not yet durable. */
  public List<TaskId> completed() {
    return inState(Placement.State.COMPLETED);
  }

  /** Tasks that are on no machine and go back to the pool. */
  public List<TaskId> released() {
    return inState(Placement.State.RELEASED);
  }

  private List<TaskId> inState(Placement.State state) {
    return placements.seenIn(state).stream().map(Placement::task).toList();
  }

  /** How many tasks of a job run here. */
  public int running(JobId job) {
    return placements.running().getOrDefault(job, 0);
  }

  public boolean runs(TaskId task) {
    Placement placement = placements.get(task);
    return placement != null && placement.isRunning();
  }

  /** How many tasks of each job run here; it changes as they do. */
  Map<JobId, Integer> running() {
    return placements.running();
  }

  /** Whether something waits here that no message of this lease will end. */
  boolean isInDoubt() {
    return TokenRenewal.any(placements, sessions, context.now());
  }

  /** What the tasks of a job wait for here, in words; none where all of them run. */
  public List<String> waits(JobId job) {
    return UnplacedReasons.of(job, this, placements, sessions);
  }

  /** The jobs that have tasks here. */
  public Collection<JobId> jobs() {
    return placements.jobs();
  }

  /** What is known of a machine, or null if it is not in the block. */
  PeerHeartbeat.MachineState machine(MachineId id) {
    return views.machine(id);
  }

  boolean hasAged(PeerHeartbeat.MachineState told) {
    return views.hasAged(told);
  }

  Resources used(AgentSession session) {
    return views.used(session);
  }

  public ShardReporter reporter() {
    return reporter;
  }

  public List<PeerHeartbeat.MachineState> machines() {
    return sessions.keySet().stream().map(views::machine).toList();
  }

  public int waitingCount() {
    return scheduler.waiting().size();
  }
}
