package org.quincecross.api;

import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.quincecross.admin.AccountingLog;
import org.quincecross.admin.AdminApi;
import org.quincecross.admin.Metrics;
import org.quincecross.admin.StallDetector;
import org.quincecross.failuredetection.IsolationDetector;
import org.quincecross.failuredetection.PauseDetector;
import org.quincecross.failuredetection.StartPermission;
import org.quincecross.failuredetection.UnconfirmedOwnershipBound;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.leader.Autoscaler;
import org.quincecross.leader.Leader;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.HttpHandler;
import org.quincecross.net.InstrumentedTimers;
import org.quincecross.net.Timers;
import org.quincecross.overload.Overload;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.protocol.AgentCodec;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Settings;
import org.quincecross.replicated.StartBlock;
import org.quincecross.scheduling.Headroom;
import org.quincecross.shard.OwnedShards;
import org.quincecross.shard.RemoteCapacityHint;
import org.quincecross.shard.ShardContext;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.JobRecord;
import org.quincecross.state.KeyValueStoreClient;
import org.quincecross.state.Membership;
import org.quincecross.state.ShardLease;
import org.quincecross.state.StateWatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A controller, except for its sockets and its clock. */
public final class Controller implements HttpHandler, ShardContext {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private final Timers timers;
  private final HttpCaller http;
  private final Settings settings;
  private final ClusterStateCache cache = new ClusterStateCache();
  private final DemandForecast forecast;
  private final StateWatcher watcher;
  private final Membership membership;
  private final OwnedShards ownedShards;
  private final ReplicatedFeatures replicatedFeatures;
  private final Leader leader;
  private final Autoscaler autoscaler;
  private final UserApi users;
  private final AgentApi agents;
  private final AdminApi admin;
  private final StallDetector stalls;
  private final AccountingLog accounting;
  private final Cancellations cancellations;
  private final Metrics metrics = new Metrics();
  private final PeerViews views = new PeerViews();
  private final RemoteCapacityHint remoteCapacity;
  private final PauseDetector pauseDetector;
  private final IsolationDetector isolation;
  private final UnconfirmedOwnershipBound unconfirmedBound;
  private final StartPermission startPermission;
  private final LongSupplier clockMs;
  private final PeerReporter peerReporter;
  private final StoreConnectivity connectivity;

  /**
   * Creates a controller that has not started.
   *
   * @param features the features that are switched on
   * @param clockMs the time of day in milliseconds
   * @param memoryIsShort whether there is no memory for more jobs
   */
  // Puts a whole controller together, each part after those that it needs.
  @SuppressWarnings("MethodLength")
  public Controller(
      Timers clock,
      HttpCaller caller,
      PeerSender peers,
      Settings settings,
      Features features,
      LongSupplier clockMs,
      BooleanSupplier memoryIsShort) {
    // Every event begins with a timer, a response, a request or a frame, and each first checks for
    // a pause of the process.
    pauseDetector = new PauseDetector(clock.now());
    timers = InstrumentedTimers.timers(clock, this::detectPause);
    http = InstrumentedTimers.caller(caller, this::detectPause);
    this.settings = settings;
    this.clockMs = clockMs;
    KeyValueStoreClient store =
        new KeyValueStoreClient(timers, http, settings.storeAddress(), settings.storeLimits());
    watcher = new StateWatcher(timers, store, cache);
    isolation =
        new IsolationDetector(
            settings.peers().stream().allMatch(other -> settings.self().compareTo(other.id()) < 0),
            clock.now());
    membership =
        new Membership(
            timers,
            store,
            settings.self(),
            settings.zone(),
            features.build(),
            features.replicatedFeatures() == null
                ? settings.announcedLimits()
                : settings
                    .announcedLimits()
                    .withPart(
                        "agreed parts", ReplicatedFeatures.checksum(features.replicatedFeatures())),
            settings.storeLimits().plannedValueBytes());
    unconfirmedBound = settings.agentTimeouts().unconfirmedBound();
    startPermission =
        new StartPermission(
            settings.peers().stream()
                .map(Settings.Peer::id)
                .filter(other -> !other.equals(settings.self()))
                .collect(Collectors.toSet()),
            unconfirmedBound.maxUnconfirmedStarts());
    replicatedFeatures =
        new ReplicatedFeatures(
            timers,
            store,
            watcher,
            cache,
            membership,
            views,
            settings,
            features.replicatedFeatures(),
            clockMs,
            unconfirmedBound.maxUnconfirmed());
    forecast = new DemandForecast(cache, replicatedFeatures.startBlock());
    remoteCapacity = new RemoteCapacityHint(cache, views, this::headroom);
    ownedShards = new OwnedShards(this, settings.self(), membership::life);
    autoscaler =
        new Autoscaler(
            timers,
            http,
            cache,
            settings,
            forecast,
            membership::life,
            () -> AdminApi.settings(cache));
    leader =
        new Leader(
            timers,
            store,
            cache,
            watcher,
            membership,
            settings,
            autoscaler,
            forecast,
            views,
            clockMs,
            this::isWaking,
            features.overload() == null ? null : new Overload(features.overload()),
            replicatedFeatures.startBlock());
    cancellations = new Cancellations(timers, cache, ownedShards, views, unconfirmedBound);
    users =
        new UserApi(
            timers,
            cache,
            watcher,
            store,
            settings,
            this::running,
            clockMs,
            cancellations,
            membership::life,
            memoryIsShort,
            isolation::state);
    agents =
        new AgentApi(timers, cache, ownedShards, leader, views, http, settings.self(), isolation);
    connectivity = new StoreConnectivity(timers, watcher, views, settings.peers(), isolation);
    peerReporter =
        new PeerReporter(
            timers,
            cache,
            settings.self(),
            settings.peers().stream().map(Settings.Peer::id).toList(),
            peers,
            views,
            ownedShards,
            startPermission,
            connectivity::update,
            membership::life,
            this::ownReport);
    stalls =
        new StallDetector(
            timers, cache, ownedShards, leader, this::running, replicatedFeatures.startBlock());
    accounting =
        features.accountingInterval() == null
            ? null
            : new AccountingLog(
                timers,
                cache,
                leader,
                settings,
                clockMs,
                features.accountingInterval(),
                replicatedFeatures.startBlock());
    admin =
        new AdminApi(
            timers,
            cache,
            watcher,
            membership,
            store,
            ownedShards,
            leader,
            metrics,
            stalls,
            accounting,
            settings.self(),
            settings.storeLimits());
  }

  /** The context of the features based on replicated records; null if there are none. */
  public ReplicatedFeatureContext replicatedFeatures() {
    return replicatedFeatures.context();
  }

  /** Starts all parts. */
  public void start() {
    cache.addListener(changes -> membership.ledgerChanged(cache));
    replicatedFeatures.listen(cache, ownedShards, leader, accounting, this::running);
    replicatedFeatures.enableReservations(forecast, leader);
    cache.addListener(ownedShards::cacheChanged);
    cache.addListener(cancellations::cacheChanged);
    cache.addListener(peerReporter::forgetFormerOwners);
    cache.addListener(leader::cacheChanged);
    cache.addListener(agents::cacheChanged);
    membership.start();
    watcher.start();
    ownedShards.start();
    leader.start();
    autoscaler.start();
    stalls.start();
    if (accounting != null) {
      accounting.start();
    }
    peerReporter.start();
  }

  /**
   * Detects that this process was paused while its clocks ran on, before acting on outdated state.
   * The silence of others during the pause is then not held against them.
   */
  private void detectPause() {
    TimeSpan gap = pauseDetector.tick(timers.now());
    if (gap.equals(TimeSpan.ZERO) || watcher.confirmedAt() == null) {
      return;
    }
    LOG.info("process paused for {}: no decisions before the records are confirmed", gap);
    views.excusePause(gap);
    ownedShards.excusePause(gap);
    watcher.barrier(confirmed -> leader.scheduleStep());
  }

  private boolean isWaking() {
    return pauseDetector.isWaking(watcher.confirmedAt(), timers.now());
  }

  private PeerHeartbeat ownReport(long number, long base) {
    MonotonicTime lastContact = watcher.lastBarrierStart();
    TimeSpan unconfirmed =
        lastContact == null ? TimeSpan.ofSeconds(1e6) : timers.now().since(lastContact);
    return new PeerHeartbeat(
        settings.self(),
        membership.life(),
        number,
        base,
        views.receipts(),
        cache.revision(),
        unconfirmed,
        ownedShards.since(base),
        agents.foreignHeartbeats(),
        replicatedFeatures.sections());
  }

  /** Applies a frame from another controller; false if it cannot be read. */
  public boolean frame(byte[] frame) {
    detectPause();
    return peerReporter.receive(frame);
  }

  private int running(JobId job) {
    int count = ownedShards.running(job);
    for (ShardId id : cache.shardsOf(job)) {
      ShardLease lease = ownedShards.get(id) == null ? cache.shard(id) : null;
      PeerViews.View view = lease == null ? null : views.of(lease.owner());
      PeerViews.ShardView shardView = view == null ? null : view.shards().get(id);
      count += shardView == null ? 0 : shardView.running().getOrDefault(job, 0);
    }
    return count;
  }

  @Override
  public void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    detectPause();
    MonotonicTime startedAt = timers.now();
    String path = request.path();
    String requestType =
        path.startsWith(JobCodec.JOBS_PATH)
            ? request.method() + (path.endsWith(JobCodec.CANCEL_SUFFIX) ? " cancel" : " job")
            : path.equals(AgentCodec.HEARTBEAT_PATH) ? "report" : "other";
    route(
        request,
        path,
        response -> {
          metrics.record(requestType, response.status(), timers.now().since(startedAt));
          reply.accept(response);
        });
  }

  private void route(HttpRequest request, String path, Consumer<HttpResponse> reply) {
    if (isIncompatible()
        && (path.equals(AgentCodec.HEARTBEAT_PATH) || path.startsWith(JobCodec.JOBS_PATH))) {
      reply.accept(HttpResponse.of(503, JobCodec.writeError("this controller cannot take part")));
    } else if (path.equals(AgentCodec.HEARTBEAT_PATH)) {
      if (request.method().equals("POST")) {
        agents.heartbeat(request.body(), reply);
      } else {
        reply.accept(HttpResponse.of(405));
      }
    } else if (path.equals(JobCodec.JOBS_PATH) || path.startsWith(JobCodec.JOBS_PATH + "/")) {
      users.handle(request, reply);
    } else if (path.equals(JobCodec.HEALTH_PATH)) {
      reply.accept(
          request.method().equals("GET")
              ? HttpResponse.of(isHealthy() ? 200 : 503)
              : HttpResponse.of(405));
    } else if (ReplicatedFeatures.handles(path)) {
      replicatedFeatures.handle(request, reply);
    } else if (path.startsWith(AdminApi.ROOT + "/")) {
      admin.handle(request, reply);
    } else {
      reply.accept(HttpResponse.of(404));
    }
  }

  /**
   * Also applies before it is a member, or between two incarnations: a job whose record was skipped
   * must not be reported as unknown.
   */
  private boolean isIncompatible() {
    return !membership.incompatibility().isEmpty() || !cache.unreadable().isEmpty();
  }

  /**
   * Whether users should be sent here. If this controller alone cannot reach the store, it sends
   * them elsewhere; if no controller can, users stay, so that they are served as soon as the store
   * returns.
   */
  private boolean isHealthy() {
    if (!cache.isLoaded() || isIncompatible()) {
      return false;
    }
    connectivity.update();
    return isolation.state().takesUsers();
  }

  @Override
  public Timers timers() {
    return timers;
  }

  @Override
  public HttpCaller http() {
    return http;
  }

  @Override
  public ClusterStateCache cache() {
    return cache;
  }

  @Override
  public List<Headroom> headroom(ShardId shard) {
    return forecast.headroomFor(shard, timers.now());
  }

  @Override
  public Settings.AgentTimeouts agentTimeouts() {
    return settings.agentTimeouts();
  }

  @Override
  public StartBlock startBlock() {
    return replicatedFeatures.startBlock();
  }

  @Override
  public Set<MachineId> machinesFor(Job job, int index) {
    return replicatedFeatures.places(job, index);
  }

  @Override
  public boolean isBestEffort(Job job) {
    return settings.isBestEffort(job);
  }

  @Override
  public TimeSpan startTimeLimit(String jobClass) {
    return settings.startTimeLimit(jobClass);
  }

  @Override
  public boolean hasCapacityElsewhere(Job job, ShardId here) {
    return remoteCapacity.exists(job, here);
  }

  @Override
  public List<String> imagesOf(MachineId machine) {
    ShardLease shard = cache.shardOf(machine);
    return shard == null ? List.of() : views.imagesOf(shard.id(), machine);
  }

  @Override
  public MonotonicTime confirmedAt() {
    return watcher.confirmedAt();
  }

  @Override
  public boolean mayCommand() {
    MonotonicTime confirmed = confirmedAt();
    return confirmed != null
        && !isWaking()
        && !isIncompatible()
        && !timers.now().since(confirmed).isLongerThan(unconfirmedBound.maxUnconfirmed());
  }

  @Override
  public boolean mayStartTasks() {
    return mayCommand() && startPermission.isGranted(confirmedAt(), cache.revision(), timers.now());
  }

  @Override
  public TimeSpan maxUnconfirmedOwnership() {
    return unconfirmedBound.maxUnconfirmed();
  }

  @Override
  public boolean isCancellationExpiring(JobId id) {
    JobRecord record = cache.job(id);
    if (record == null || record.phase() != JobPhase.CANCELLED) {
      return false;
    }
    // The cancellation was made at this time or later, within the clock error, and was confirmed no
    // earlier.
    TimeSpan atMost =
        TimeSpan.ofMillis(clockMs.getAsLong() - record.cancelledMs())
            .plus(settings.clockBound().times(2));
    return atMost
        .plus(unconfirmedBound.confirmCancellationAfter())
        .isLongerThan(unconfirmedBound.maxUnconfirmed());
  }

  @Override
  public boolean allControllersHaveSeen(Revision revision) {
    for (Settings.Peer peer : settings.peers()) {
      PeerViews.View view = views.of(peer.id());
      if (!peer.id().equals(settings.self())
          && (view == null || revision.isAfter(view.cacheRevision()))) {
        return false;
      }
    }
    return true;
  }

  @Override
  public void notifyLeader() {
    peerReporter.notifyLeader();
  }
}
