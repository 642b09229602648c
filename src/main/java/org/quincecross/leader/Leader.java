package org.quincecross.leader;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Machine;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.overload.Overload;
import org.quincecross.peer.PeerViews;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.protocol.Settings;
import org.quincecross.replicated.StartBlock;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ControllerRecord;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.JobRecord;
import org.quincecross.state.KeyValueStoreClient;
import org.quincecross.state.Membership;
import org.quincecross.state.ModelIndex;
import org.quincecross.state.StateWatcher;
import org.quincecross.state.StoreKeys;
import org.quincecross.state.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader election, and the loop of transactions by which a leader writes shard leases,
 * allocations and completions. There is one transaction at a time. Its preconditions are the
 * leadership and the version of every changed key, and each is planned on a cache that contains the
 * one before.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final TimeSpan TICK = TimeSpan.ofMillis(500);

  /** The delay after a refused transaction. */
  private static final TimeSpan RETRY = TimeSpan.ofMillis(100);

  /** The minimum interval between two plans, so that events in quick succession share one. */
  private static final TimeSpan PLAN_SPACING = TimeSpan.ofMillis(40);

  /** The same without urgent events: every plan costs a pass over all pending work. */
  private static final TimeSpan CALM_SPACING = TimeSpan.ofMillis(120);

  private static final TimeSpan MIN_STEP_DELAY = TimeSpan.ofMillis(10);
  private static final TimeSpan UNCONFIRMED = TimeSpan.ofSeconds(2);
  private static final int MIN_MUTATIONS = 2;

  /** The states of the leader election. */
  public enum State {
    /** Another controller leads, or none can. */
    FOLLOWER,
    /** This controller tries to become the leader. */
    CANDIDATE,
    /** This controller leads. */
    LEADER,
    /** This controller leads and has to invalidate a transaction whose outcome is unknown. */
    RECOVERING
  }

  private final Timers timers;
  private final KeyValueStoreClient store;
  private final ClusterStateCache cache;
  private final StateWatcher watcher;
  private final Membership membership;
  private final Settings settings;
  private final Autoscaler autoscaler;
  private final Overload overload;
  private final PeerViews views;
  private final BooleanSupplier isWaking;
  private final AllocationIndex allocationIndex;
  private final TeamLimits teamLimits;
  private final ShardLeaseManager leases;
  private final AllocationPlanner allocationPlanner;
  private final SchedulingPlanner schedulingPlanner;
  private final FeatureLevelController featureLevels;
  private final TransactionLimits limits;
  private final PendingReasons pendingReasons;
  private final AuditTrailArchiver auditTrails;
  private final MachineTypeWriter machineTypes;
  private final AdmissionExtensions extensions;
  private final MachineStateCollector machineStates;
  private State state = State.FOLLOWER;
  private boolean writing;
  private Revision awaited = Revision.NONE;
  private MonotonicTime plannedAt;
  private MonotonicTime stepAt;

  /** Whether known changes wait for others of their kind or for room in a transaction. */
  private boolean hasWaitingChanges;

  private boolean retryScheduled;

  /**
   * Creates a follower that has not started.
   *
   * @param clockMs the time of day in milliseconds
   * @param isWaking whether this process was paused and has not confirmed the records since
   * @param overload null if work is ordered by due time alone
   * @param startBlock tasks that must not be allocated
   */
  public Leader(
      Timers timers,
      KeyValueStoreClient store,
      ClusterStateCache cache,
      StateWatcher watcher,
      Membership membership,
      Settings settings,
      Autoscaler autoscaler,
      DemandForecast forecast,
      PeerViews views,
      LongSupplier clockMs,
      BooleanSupplier isWaking,
      Overload overload,
      StartBlock startBlock) {
    this.timers = timers;
    this.store = store;
    this.cache = cache;
    this.watcher = watcher;
    this.membership = membership;
    this.settings = settings;
    this.autoscaler = autoscaler;
    this.views = views;
    this.isWaking = isWaking;
    this.overload = overload;
    this.allocationIndex = new AllocationIndex(cache, startBlock);
    CurrentPeerViews currentViews = new CurrentPeerViews(timers, cache, views);
    LeaderContext context =
        new LeaderContext(timers, cache, settings, currentViews, allocationIndex, forecast);
    this.teamLimits = new TeamLimits(context);
    this.extensions = new AdmissionExtensions(teamLimits::teams, allocationIndex::teamUsage);
    this.machineStates = new MachineStateCollector(context, extensions);
    this.featureLevels = new FeatureLevelController(cache, settings, membership);
    this.limits = new TransactionLimits(settings.storeLimits());
    AllocationWriter allocationWriter = new AllocationWriter(cache, featureLevels::isLowering);
    this.leases = new ShardLeaseManager(context, autoscaler, allocationWriter);
    CompletionWriter completionWriter =
        new CompletionWriter(timers, cache, views, allocationIndex, clockMs);
    PendingDemand pendingDemand =
        new PendingDemand(
            cache, settings, allocationIndex, clockMs, overload, currentViews::running);
    this.allocationPlanner =
        new AllocationPlanner(
            context, autoscaler, pendingDemand, extensions, allocationWriter, limits);
    this.schedulingPlanner =
        new SchedulingPlanner(
            context, leases, completionWriter, allocationPlanner, allocationWriter, featureLevels);
    this.pendingReasons =
        new PendingReasons(
            cache, allocationIndex, pendingDemand, views, autoscaler, teamLimits::teams);
    this.auditTrails = new AuditTrailArchiver(cache);
    this.machineTypes = new MachineTypeWriter(cache);
    this.plannedAt = timers.now();
  }

  /** Starts to follow the records and to take part in elections. */
  public void start() {
    views.addListener(
        (member, shards) -> {
          allocationPlanner.shardsChanged(shards);
          scheduleStep(false);
        });
    // Events trigger steps of their own; the tick covers what changes with time alone.
    timers.every(TICK, this::step);
  }

  /** The present state. */
  public State state() {
    return state;
  }

  /** Whether this controller is the leader. */
  public boolean isLeading() {
    return state == State.LEADER || state == State.RECOVERING;
  }

  /** The only method that changes the state. */
  private void enter(State next) {
    if (next != state) {
      LOG.info("leader election: {} -> {}", state, next);
    }
    state = next;
  }

  /** Called when the records have changed. */
  public void cacheChanged(ClusterStateCache.Changes changes) {
    allocationIndex.cacheChanged(changes);
    auditTrails.cacheChanged(changes);
    allocationPlanner.shardsChanged(changes.shards());
    scheduleStep(isUrgent(changes));
  }

  /** Whether a service was submitted, or controllers have joined or left. */
  private boolean isUrgent(ClusterStateCache.Changes changes) {
    if (changes.reloaded() || (changes.jobs().isEmpty() && changes.shards().isEmpty())) {
      return true;
    }
    for (JobId id : changes.jobs()) {
      JobRecord record = cache.job(id);
      if (record != null
          && record.phase() == JobPhase.OPEN
          && record.job().priority() == Priority.PRODUCTION) {
        return true;
      }
    }
    return false;
  }

  /** Called when the set of blocked tasks of some jobs has changed. */
  public void startBlockChanged(Set<JobId> jobs) {
    allocationIndex.startBlockChanged(jobs);
    scheduleStep(false);
  }

  /** Reserves capacity for deadline requests while this controller leads. */
  public void enableReservations(ReservationManager reservations) {
    extensions.add(reservations);
  }

  /** Scales served models while this controller leads. */
  public void enableModelServing(ReplicatedFeatureContext base, ModelIndex records) {
    extensions.add(new ModelAutoscaler(base, records, views, allocationIndex, teamLimits::teams));
  }

  /**
   * Adds a machine that reports and is in no shard.
   *
   * @param isThere whether the machine has just responded to a request
   * @return false if it has to be asked first whether it still exists
   */
  public boolean addNewcomer(Machine machine, boolean isThere) {
    boolean isTaken = isThere || leases.knowsAllTerminated();
    if (isTaken && leases.addNewcomer(machine)) {
      scheduleStep(false);
    }
    return isTaken;
  }

  /** Adds a listener for allocated tasks, whichever controller leads. */
  public void addListener(AllocationListener listener) {
    allocationIndex.addListener(listener);
  }

  /** Schedules a step as soon as possible. */
  public void scheduleStep() {
    scheduleStep(true);
  }

  /** Applies recorded changes to the allocation index; a leader does so with every plan. */
  public void refreshAllocations() {
    allocationIndex.jobsWithPendingTasks();
  }

  /** For each of some jobs, the number of pending tasks that exceed its team's limit. */
  public Map<JobId, Integer> tasksOverTeamLimit(Collection<JobId> jobs) {
    return teamLimits.tasksOverLimit(jobs);
  }

  /**
   * The overload ordering; null if work is ordered by due time alone or another controller leads.
   */
  public Overload overload() {
    return isLeading() ? overload : null;
  }

  /**
   * What an open job's pending tasks wait for; null if there are none or another controller leads.
   */
  public String pendingReason(JobId id) {
    return isLeading() ? pendingReasons.of(id) : null;
  }

  /** The control of the feature level. */
  public FeatureLevelController featureLevels() {
    return featureLevels;
  }

  // ---- steps ----

  /** Schedules one step for all events until then; it comes later if none of them is urgent. */
  private void scheduleStep(boolean urgent) {
    TimeSpan spacing = urgent ? PLAN_SPACING : CALM_SPACING;
    MonotonicTime now = timers.now();
    long delay = Math.max(MIN_STEP_DELAY.nanos(), spacing.nanos() - now.since(plannedAt).nanos());
    MonotonicTime at = now.plus(new TimeSpan(delay));
    if (stepAt == null || at.isBefore(stepAt)) {
      stepAt = at;
      timers.after(
          at.since(now),
          () -> {
            if (at.equals(stepAt)) {
              stepAt = null;
              step();
            }
          });
    }
  }

  /** Schedules one step after a refusal, however many there were. */
  private void retry() {
    if (!retryScheduled) {
      retryScheduled = true;
      timers.after(
          RETRY,
          () -> {
            retryScheduled = false;
            step();
          });
    }
  }

  private void scheduleStepIf(boolean current) {
    if (current) {
      scheduleStep(true);
    }
  }

  private boolean isLeaderOnRecord() {
    ControllerRecord leader = cache.leader();
    return leader != null
        && leader.id().equals(settings.self())
        && leader.incarnation().equals(membership.life());
  }

  private void step() {
    if (!cache.isLoaded() || writing || isWaking.getAsBoolean()) {
      return;
    }
    if (awaited.isAfter(cache.revision())) {
      watcher.barrier(this::scheduleStepIf);
      return;
    }
    if (!membership.incompatibility().isEmpty() || !isLeaderOnRecord()) {
      follow();
      return;
    }
    if (state == State.RECOVERING) {
      renewLeadership();
      return;
    }
    enter(State.LEADER);
    // A leader that alone has lost the store can decide nothing: its transactions would be rejected
    // repeatedly, while another controller leads already.
    if (!timers.now().since(watcher.confirmedAt()).isLongerThan(UNCONFIRMED)) {
      lead();
    }
  }

  private void follow() {
    enter(State.FOLLOWER);
    store.setLeading(false);
    leases.forgetNewcomers();
    autoscaler.stop();
    extensions.stop();
    if (cache.leader() == null && membership.isLive()) {
      standForElection();
    }
  }

  private void standForElection() {
    enter(State.CANDIDATE);
    write(
        List.of(
            new Precondition(cache.leaderKey(), Revision.NONE),
            new Precondition(StoreKeys.LEVEL, cache.level().version()),
            membership.aliveCondition(cache)),
        List.of(new Mutation(cache.leaderKey(), membership.record(), membership.life())),
        true);
  }

  /**
   * Rewrites the leadership after a transaction without a response. That transaction may be applied
   * at any later time, and its mutations may not fit what is decided from now on; with a new
   * version of the leadership its preconditions fail.
   */
  private void renewLeadership() {
    String key = cache.leaderKey();
    write(
        List.of(new Precondition(key, cache.version(key))),
        List.of(new Mutation(key, membership.record(), membership.life())),
        true);
  }

  // ---- transactions ----

  private void write(List<Precondition> preconditions, List<Mutation> mutations, boolean urgent) {
    writing = true;
    store.commit(preconditions, mutations, urgent, result -> written(result, mutations));
  }

  private void written(TransactionResult result, List<Mutation> mutations) {
    writing = false;
    switch (result.kind()) {
      case COMMITTED -> {
        awaited = result.revision();
        if (state == State.RECOVERING) {
          enter(State.LEADER);
        }
        scheduleStep(schedulingPlanner.isTransactionFull());
      }
      case CONFLICT -> {
        LOG.debug("transaction conflict on {}", result.failedKeys());
        awaited = result.revision();
        watcher.barrier(ok -> scheduleStep(true));
      }
      case UNKNOWN -> {
        LOG.info("no response to a transaction: its outcome is unknown");
        if (isLeading()) {
          enter(State.RECOVERING);
        }
        watcher.barrier(this::scheduleStepIf);
      }
      case TOO_LARGE -> {
        limits.recordRefusal(mutations, timers.now());
        if (mutations.stream().anyMatch(mutation -> mutation.lease() != null)) {
          // Without the record of the leadership nothing else can ever be written.
          membership.omitLimits();
        }
        retry();
      }
      case THROTTLED, UNAVAILABLE, LEASE_EXPIRED -> retry();
      default -> throw new IllegalStateException("unexpected outcome " + result.kind());
    }
  }

  private void lead() {
    plannedAt = timers.now();
    store.setLeading(true);
    autoscaler.lead(machineStates::collect);
    // Limited to the present budget, because a transaction that waits for its turn is out of date
    // when it is sent.
    int mutations = Math.min(limits.maxMutations(), store.affordableMutations());
    hasWaitingChanges = mutations < MIN_MUTATIONS;
    if (hasWaitingChanges) {
      retry();
      return;
    }
    if (featureLevels.evaluate(timers.now())) {
      write(featureLevels.preconditions(), featureLevels.mutations(), true);
      return;
    }
    TransactionBuilder transaction = limits.newTransaction(cache, mutations, plannedAt);
    transaction.requireLeadership();
    if (auditTrails.isDue(plannedAt)) {
      auditTrails.plan(transaction, plannedAt);
      if (!transaction.isEmpty()) {
        write(transaction.preconditions(), transaction.mutations(), false);
        return;
      }
    }
    if (!machineTypes.plan(transaction, autoscaler.catalog(), plannedAt)) {
      hasWaitingChanges = true;
      retry();
      return;
    }
    hasWaitingChanges = schedulingPlanner.plan(transaction);
    if (!transaction.isEmpty()) {
      write(transaction.preconditions(), transaction.mutations(), false);
    } else if (hasWaitingChanges) {
      scheduleStep(false);
    }
  }
}
