package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.quincecross.model.ControllerId;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.overload.Overload;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.protocol.Settings;
import org.quincecross.replicated.StartBlock;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.scheduling.Admission;
import org.quincecross.scheduling.Headroom;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ControllerRecord;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.JobRecord;
import org.quincecross.state.KeyValueStoreClient;
import org.quincecross.state.Membership;
import org.quincecross.state.ModelIndex;
import org.quincecross.state.ShardLease;
import org.quincecross.state.StateWatcher;
import org.quincecross.state.StoreKeys;
import org.quincecross.state.TransactionResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stands for leadership and, while leading, writes block leases, allocations and results: one
 * transaction at a time, each guarded by the version of the leadership and of every key that it
 * changes, and each planned on a ledger that shows the one before.
 */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final TimeSpan TICK = TimeSpan.ofMillis(500);

  /** A refused or unanswered transaction is followed by another after so long. */
  private static final TimeSpan RETRY = TimeSpan.ofMillis(100);

  /** Plans are at least this far apart: what comes together is planned together. */
  private static final TimeSpan PLAN_SPACING = TimeSpan.ofMillis(40);

  /**
   * The same where nothing urgent has come: each plan looks at all that waits, however little is
   * new.
   */
  private static final TimeSpan CALM_SPACING = TimeSpan.ofMillis(120);

  private static final TimeSpan MOST_GATHERING = TimeSpan.ofSeconds(2);
  private static final TimeSpan SWEEP_EVERY = TimeSpan.ofSeconds(10);
  private static final TimeSpan UNCONFIRMED = TimeSpan.ofSeconds(2);
  private static final int LEAST_CHANGES = 2;

  /** A block whose record names so many tasks that are done is worth writing anew. */
  private static final int MOST_STALE = 60;

  /** The states of a controller with regard to leading. */
  public enum State {
    FOLLOWER,
    CANDIDATE,
    LEADER,
    RECOVERING
  }

  private final Timers timers;
  private final KeyValueStoreClient store;
  private final ClusterStateCache cache;
  private final StateWatcher watcher;
  private final Membership membership;
  private final Settings settings;
  private final Autoscaler fleet;
  private final DemandForecast foresight;
  private final Overload overload;
  private final PendingDemand demands;
  private final PeerViews views;
  private final BooleanSupplier isWaking;
  private final AllocationIndex books;
  private final Map<ShardId, Admission.Block> admissionBlocks = new TreeMap<>();
  private final ObservedCapacity seenRoom = new ObservedCapacity();
  private final Set<ShardId> toLookAt = new HashSet<>();
  private final Set<ShardId> stale = new HashSet<>();
  private final Map<ControllerId, Boolean> wasFresh = new HashMap<>();
  private final Map<ShardId, MonotonicTime> writtenAt = new HashMap<>();
  private final CurrentPeerViews fresh;
  private final ShardLeaseManager leases;
  private final AllocationWriter allocations;
  private final FeatureLevelController levels;
  private final TransactionLimits bounds;
  private final CompletionWriter results;
  private final PendingReasons poolWaits;
  private final AuditTrailArchiver trails;
  private final MachineTypeWriter types;
  private final AdmissionExtensions keepers;
  private State state = State.FOLLOWER;
  private boolean writing;
  private Revision awaited = Revision.NONE;
  private MonotonicTime planned;
  private MonotonicTime swept;
  private MonotonicTime stepAt;

  /**
   * Whether something is known that is to be written, and waits for more of its kind or for room.
   */
  private boolean waits;

  /** Whether the last transaction had no room for all that was to be written. */
  private boolean full;

  private boolean retryPlanned;
  private boolean resultsFirst;

  /**
   * @param clockMs tells the time of day
   * @param isWaking whether this process has stood still, and has not been told since how things
   *     are
   * @param overload null where work is ordered by due time alone
   * @param startBlock tasks that are not to be allocated
   */
  public Leader(
      Timers timers,
      KeyValueStoreClient store,
      ClusterStateCache cache,
      StateWatcher watcher,
      Membership membership,
      Settings settings,
      Autoscaler fleet,
      DemandForecast foresight,
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
    this.fleet = fleet;
    this.foresight = foresight;
    this.views = views;
    this.isWaking = isWaking;
    this.books = new AllocationIndex(cache, startBlock);
    this.keepers = new AdmissionExtensions(this::teams, books::teamUse);
    this.fresh = new CurrentPeerViews(timers, cache, views);
    this.levels = new FeatureLevelController(cache, settings, membership);
    this.bounds = new TransactionLimits(settings.storeLimits());
    this.allocations = new AllocationWriter(cache, levels::isLowering);
    this.leases =
        new ShardLeaseManager(timers, cache, settings, fleet, foresight, books, fresh, allocations);
    this.results = new CompletionWriter(timers, cache, views, books, clockMs);
    this.overload = overload;
    this.demands = new PendingDemand(cache, settings, books, clockMs, overload, this::running);
    this.poolWaits = new PendingReasons(cache, books, demands, views, fleet, this::teams);
    this.trails = new AuditTrailArchiver(cache);
    this.types = new MachineTypeWriter(cache);
    this.planned = timers.now();
    this.swept = timers.now();
  }

  public void start() {
    views.listen(
        (member, blocks) -> {
          toLookAt.addAll(blocks);
          soon(false);
        });
    // What changes with time alone changes slowly; all else has this controller step when it
    // happens.
    timers.every(TICK, this::step);
  }

  public State state() {
    return state;
  }

  public boolean isLeading() {
    return state == State.LEADER || state == State.RECOVERING;
  }

  /** The one place where leading changes its state. */
  private void enter(State next) {
    if (next != state) {
      LOG.info("{} -> {}", state, next);
    }
    state = next;
  }

  /** Follows the records. */
  public void ledgerChanged(ClusterStateCache.Changes changes) {
    books.changed(changes);
    trails.changed(changes);
    toLookAt.addAll(changes.shards());
    soon(isUrgent(changes));
  }

  /** Whether a service was submitted, or controllers have come or gone. */
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

  /** Other tasks of some jobs are kept back than before. */
  public void withheldChanged(Set<JobId> jobs) {
    books.withheldChanged(jobs);
    soon(false);
  }

  /** Has room reserved for requests, while it leads. */
  public void keep(ReservationManager keeper) {
    keepers.add(keeper);
  }

  /**
   * A machine that is in no block reports; {@code isThere}: it has just answered. False where it
   * has to be asked first.
   */
  public boolean newcomer(Machine machine, boolean isThere) {
    boolean isTaken = isThere || leases.knowsAllGone();
    if (isTaken && leases.newcomer(machine)) {
      soon(false);
    }
    return isTaken;
  }

  /** Has {@code listener} told of tasks that are given to blocks, by whichever leader. */
  public void listen(AllocationListener listener) {
    books.listen(listener);
  }

  /** Has models kept, each with as many replicas as are wanted. */
  public void keepModels(ReplicatedFeatureContext base, ModelIndex records) {
    keepers.add(new ModelAutoscaler(base, records, views, books, this::teams));
  }

  /** Steps a moment from now, whatever has happened. */
  public void lookAgain() {
    soon(true);
  }

  /** Takes note of what others have allocated: a leader does so as it plans. */
  public void lookAtBooks() {
    books.waiting();
  }

  /**
   * How many tasks in the pool of each of some jobs could not go to any block, because its team
   * would be over its limit.
   */
  public Map<JobId, Integer> heldBack(Collection<JobId> jobs) {
    Map<String, Resources> use = books.teamUse();
    Map<JobId, Integer> heldBack = new HashMap<>();
    Map<String, Team> teams = teams();
    for (JobId id : jobs) {
      AllocationIndex.Account account = books.account(id);
      Team team = account == null ? null : teams.get(account.job().team());
      heldBack.put(
          id,
          team == null || account.pool().isEmpty()
              ? 0
              : Math.max(
                  0,
                  account.pool().size()
                      - team.limit()
                          .minus(use.getOrDefault(team.name(), Resources.NONE))
                          .capacityFor(account.job().taskResources())));
    }
    return heldBack;
  }

  /** How many tasks of a job run, as the holders of their blocks have told lately. */
  private int running(JobId job) {
    int running = 0;
    for (ShardId id : cache.shardsOf(job)) {
      ShardLease lease = cache.shard(id);
      PeerViews.BlockView view = lease == null ? null : fresh.of(lease);
      running += view == null ? 0 : view.running().getOrDefault(job, 0);
    }
    return running;
  }

  /**
   * The teams with the limits that hold: while controllers have been told different ones, the
   * lowest.
   */
  private Map<String, Team> teams() {
    return AnnouncedLimits.lowest(settings.teams(), cache.announcedLimits().values());
  }

  /**
   * What is known of an overload; null where work is ordered by due time alone, or nobody leads
   * here.
   */
  public Overload overload() {
    return isLeading() ? overload : null;
  }

  /**
   * What the tasks of an open job that are in the pool wait for, in words; null where none are, or
   * nobody leads here.
   */
  public String poolWait(JobId id) {
    return isLeading() ? poolWaits.of(id) : null;
  }

  /**
   * Steps a moment from now, once for all that happens until then; later where nothing urgent does.
   */
  private void soon(boolean urgent) {
    TimeSpan spacing = urgent ? PLAN_SPACING : CALM_SPACING;
    MonotonicTime now = timers.now();
    MonotonicTime at =
        now.plus(
            new TimeSpan(
                Math.max(
                    TimeSpan.ofMillis(10).nanos(), spacing.nanos() - now.since(planned).nanos())));
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

  /** Steps again after a refusal: once, however many there were. */
  private void again() {
    if (!retryPlanned) {
      retryPlanned = true;
      timers.after(
          RETRY,
          () -> {
            retryPlanned = false;
            step();
          });
    }
  }

  private void stepIf(boolean current) {
    if (current) {
      soon(true);
    }
  }

  private boolean leadsByLedger() {
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
      watcher.barrier(this::stepIf);
      return;
    }
    if (!membership.incompatibility().isEmpty() || !leadsByLedger()) {
      enter(State.FOLLOWER);
      store.setLeading(false);
      leases.forgetNewcomers();
      fleet.stop();
      keepers.stop();
      if (cache.leader() == null && membership.isLive()) {
        stand();
      }
      return;
    }
    if (state == State.RECOVERING) {
      mend();
      return;
    }
    enter(State.LEADER);
    // A leader that alone has lost the state service can decide nothing: its plans would be
    // refused, again and
    // again, while another one leads already.
    if (!timers.now().since(watcher.confirmedAt()).isLongerThan(UNCONFIRMED)) {
      lead();
    }
  }

  private void stand() {
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
   * A transaction was not answered: it may be applied at any later time, and what it wrote may not
   * go together with what would be decided now. Writing the leadership anew makes its guards fail
   * from here on.
   */
  private void mend() {
    String key = cache.leaderKey();
    write(
        List.of(new Precondition(key, cache.version(key))),
        List.of(new Mutation(key, membership.record(), membership.life())),
        true);
  }

  private void write(List<Precondition> guards, List<Mutation> changes, boolean urgent) {
    writing = true;
    store.commit(guards, changes, urgent, result -> written(result, changes));
  }

  private void written(TransactionResult result, List<Mutation> changes) {
    writing = false;
    switch (result.kind()) {
      case COMMITTED -> {
        awaited = result.revision();
        if (state == State.RECOVERING) {
          enter(State.LEADER);
        }
        soon(full);
      }
      case CONFLICT -> {
        LOG.debug("transaction out of date: {}", result.failedKeys());
        awaited = result.revision();
        watcher.barrier(ok -> soon(true));
      }
      case UNKNOWN -> {
        LOG.info("transaction not answered");
        if (isLeading()) {
          enter(State.RECOVERING);
        }
        watcher.barrier(this::stepIf);
      }
      case TOO_LARGE -> {
        bounds.refused(changes, timers.now());
        if (changes.stream().anyMatch(change -> change.lease() != null)) {
          membership.omitLimits(); // who leads: without this record nothing else is ever planned
        }
        again();
      }
      case THROTTLED, UNAVAILABLE, LEASE_EXPIRED -> again();
      default -> throw new IllegalStateException(result.kind().toString());
    }
  }

  // ---- leading ----

  private void lead() {
    planned = timers.now();
    store.setLeading(true);
    fleet.lead(this::fleetView);
    // As large as the budget is now: a transaction that waits for its turn is out of date when it
    // goes out.
    int changes = Math.min(bounds.changes(), store.affordableMutations());
    waits = changes < LEAST_CHANGES;
    if (waits) {
      again();
      return;
    }
    if (levels.look(timers.now())) {
      write(levels.guards(), levels.changes(), true);
      return;
    }
    TransactionBuilder transaction = bounds.plan(cache, changes, planned);
    transaction.guardAll();
    if (trails.isDue(planned)) {
      trails.plan(transaction, planned);
      if (!transaction.isEmpty()) {
        write(transaction.guards(), transaction.changes(), false);
        return;
      }
    }
    if (!types.plan(transaction, fleet.catalog(), planned)) {
      waits = true;
      again();
      return;
    }
    Set<ShardId> leased = leases.plan(transaction);
    // Neither results nor starts may crowd the other out of a small budget.
    resultsFirst = !resultsFirst;
    Map<JobId, TaskSet> completed = results.completions();
    if (resultsFirst) {
      results.plan(transaction, completed);
    }
    planAllocations(transaction, leased, completed);
    if (!resultsFirst) {
      results.plan(transaction, completed);
    }
    if (transaction.isEmpty()) {
      planSweep(transaction);
      waits |= planMigration(transaction);
    }
    full = transaction.room() < 1;
    waits |= full || !completed.isEmpty();
    if (!transaction.isEmpty()) {
      write(transaction.guards(), transaction.changes(), false);
    } else if (waits) {
      soon(false);
    }
  }

  /** Now and then, when there is nothing else to write: bundles that say nothing any more. */
  private void planSweep(TransactionBuilder transaction) {
    if (SWEEP_EVERY.isLongerThan(timers.now().since(swept))) {
      return;
    }
    swept = timers.now();
    cache.obsoleteBundles().stream()
        .sorted()
        .limit(transaction.room())
        .forEach(transaction::delete);
  }

  /** In the slack: rewrites what a level that is to come could not read; whether more is left. */
  private boolean planMigration(TransactionBuilder transaction) {
    for (ShardId id : levels.toRewrite()) {
      if (transaction.room() < 2) {
        return true;
      }
      allocations.putWhole(transaction, id, cache.allocation(id).tasks());
    }
    return false;
  }

  /** What is known of the level and what holds the next one back. */
  public FeatureLevelController levels() {
    return levels;
  }

  // ---- allocations ----

  private void planAllocations(
      TransactionBuilder transaction, Set<ShardId> leased, Map<JobId, TaskSet> completed) {
    refreshAdmissionBlocks(completed);
    keepers.look(timers.now());
    List<Admission.Block> blocks = new ArrayList<>();
    Map<ShardId, List<Headroom>> reserves = new HashMap<>();
    admissionBlocks.forEach(
        (id, block) -> {
          if (!leased.contains(id)) {
            blocks.add(block);
            reserves.put(id, foresight.headroomForPlan(id, timers.now()));
            block.leaveOver(seenRoom.still(id, timers.now()));
          }
        });
    fleet.unmet(keepers.admit(blocks, reserves, demands.demands(blocks, timers.now())));
    List<ShardId> toWrite = new ArrayList<>();
    TimeSpan gathering =
        TimeSpan.ofSeconds(
            Math.min(
                MOST_GATHERING.seconds(),
                cache.shards().size() / settings.storeLimits().writesPerSecond()));
    MonotonicTime now = timers.now();
    for (Admission.Block block : blocks) {
      MonotonicTime written = writtenAt.get(block.id());
      boolean gathered = written == null || now.since(written).isLongerThan(gathering);
      boolean due =
          block.admittedRank() != null
              || stale.contains(block.id())
              || !released(block.id()).isEmpty();
      if (due && (block.admittedRank() == Priority.PRODUCTION || gathered)) {
        toWrite.add(block.id());
      }
      waits |= due && !gathered;
      if (block.admittedRank() != null) {
        toLookAt.add(
            block.id()); // what was admitted is in the ledger next time, or it was not written
      }
    }
    // Changes are few: what must start within seconds goes first, then whatever has waited longest
    // to be written.
    toWrite.sort(
        Comparator.comparing(
                (ShardId id) -> admissionBlocks.get(id).admittedRank() != Priority.PRODUCTION)
            .thenComparing(id -> writtenAt.getOrDefault(id, MonotonicTime.ZERO))
            .thenComparing(id -> id));
    for (ShardId id : toWrite) {
      if (transaction.room() < 1) {
        break;
      }
      Map<JobId, TaskSet> next = new LinkedHashMap<>(books.held(id));
      for (TaskId task : released(id)) {
        next.computeIfPresent(task.job(), (job, tasks) -> tasks.without(task.index()));
      }
      admissionBlocks
          .get(id)
          .admitted()
          .forEach(
              (job, tasks) -> {
                TaskSet all = next.containsKey(job) ? next.get(job).copy() : new TaskSet();
                all.addAll(tasks);
                next.put(job, all);
              });
      if (allocations.put(transaction, id, next)) {
        writtenAt.put(id, now);
      }
    }
  }

  /** Brings the blocks of which something has changed up to date for admission. */
  private void refreshAdmissionBlocks(Map<JobId, TaskSet> completed) {
    toLookAt.addAll(books.takeChangedBlocks());
    for (ControllerId member : cache.members().keySet()) {
      boolean isFresh = fresh.of(member) != null;
      if (!Boolean.valueOf(isFresh).equals(wasFresh.put(member, isFresh))) {
        toLookAt.addAll(cache.shards().keySet());
      }
    }
    for (ShardId id : toLookAt) {
      ShardLease lease = cache.shard(id);
      if (lease == null) {
        admissionBlocks.remove(id);
        seenRoom.forget(id);
        stale.remove(id);
        writtenAt.remove(id);
        continue;
      }
      Admission.Block block =
          seenRoom.block(
              lease,
              cache.machineTypes().get(lease.type()),
              fresh.of(lease),
              bounds.value(),
              timers.now());
      books.eachHeld(
          id,
          (job, tasks, open) -> {
            TaskSet done = completed.get(job.id());
            block.count(
                job,
                open,
                open - (done == null ? 0 : tasks.intersectionSize(done)),
                settings.isBestEffort(job));
          });
      admissionBlocks.put(id, block);
      if (books.stale(id) > MOST_STALE) {
        stale.add(id);
      } else {
        stale.remove(id);
      }
    }
    toLookAt.clear();
  }

  /**
   * What a holder gives back, of the allocation as it stands: a late report must not take away what
   * the block has been given again since. It counts until the allocation without it is durable:
   * only the next plan may give it to another block, for this one's write may not find room in the
   * transaction.
   */
  private List<TaskId> released(ShardId id) {
    ShardLease lease = cache.shard(id);
    PeerViews.BlockView view = lease == null ? null : fresh.of(lease);
    return view != null && view.allocation().equals(cache.allocation(id).version())
        ? view.released()
        : List.of();
  }

  private Autoscaler.View fleetView() {
    Map<MachineId, PeerHeartbeat.MachineState> states = new HashMap<>();
    Set<MachineId> strays = new HashSet<>();
    for (ShardLease block : cache.shards().values()) {
      PeerViews.BlockView view = fresh.of(block);
      for (MachineId machine : view == null ? Set.<MachineId>of() : block.machines().keySet()) {
        PeerHeartbeat.MachineState state = view.machines().get(machine);
        if (state != null) {
          states.put(machine, keepers.seenByFleet(state));
        }
      }
    }
    for (ControllerId member : cache.members().keySet()) {
      PeerViews.View view = fresh.of(member);
      if (view != null) {
        strays.addAll(view.strays());
      }
    }
    return new Autoscaler.View(states, strays);
  }
}
