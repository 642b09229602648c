package org.quincecross.api;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.quincecross.failuredetection.IsolationDetector;
import org.quincecross.http.HttpResponse;
import org.quincecross.leader.Leader;
import org.quincecross.model.ControllerId;
import org.quincecross.model.FencingToken;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.protocol.AgentCodec;
import org.quincecross.protocol.Heartbeat;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.shard.OwnedShards;
import org.quincecross.shard.ShardOwner;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ShardLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles agents' heartbeats: the owner of the machine's shard responds to them, all other
 * controllers redirect them.
 */
final class AgentApi {
  private static final Logger LOG = LoggerFactory.getLogger(AgentApi.class);

  /**
   * How long a heartbeat waits for a response while its shard is being leased; agents give up after
   * 4 s.
   */
  private static final TimeSpan MAX_WAIT_FOR_LEASE = TimeSpan.ofSeconds(2.5);

  private static final TimeSpan RECHECK_INTERVAL = TimeSpan.ofMillis(250);

  /** An older report of an owner does not show which machines it currently reaches. */
  private static final TimeSpan MAX_VIEW_AGE = TimeSpan.ofSeconds(2.5);

  /** A machine that its owner has not heard for this long is not redirected to it. */
  private static final TimeSpan UNHEARD_AFTER = TimeSpan.ofSeconds(3);

  private record Waiting(Heartbeat heartbeat, MonotonicTime until, Consumer<HttpResponse> reply) {}

  private final Timers timers;
  private final ClusterStateCache cache;
  private final OwnedShards ownedShards;
  private final Leader leader;
  private final PeerViews views;
  private final ControllerId self;
  private final ForeignHeartbeats foreignHeartbeats = new ForeignHeartbeats();
  private final UnassignedMachines unassignedMachines;
  private final IsolationDetector isolation;
  private List<Waiting> waiting = new ArrayList<>();
  private boolean recheckPlanned;

  AgentApi(
      Timers timers,
      ClusterStateCache cache,
      OwnedShards ownedShards,
      Leader leader,
      PeerViews views,
      HttpCaller http,
      ControllerId self,
      IsolationDetector isolation) {
    this.timers = timers;
    this.cache = cache;
    this.ownedShards = ownedShards;
    this.leader = leader;
    this.views = views;
    this.self = self;
    this.unassignedMachines = new UnassignedMachines(timers, http, leader);
    this.isolation = isolation;
  }

  /** Machines of other controllers' shards that have reported here recently. */
  List<MachineId> foreignHeartbeats() {
    return foreignHeartbeats.recentMachines(timers.now());
  }

  void heartbeat(byte[] body, Consumer<HttpResponse> reply) {
    Heartbeat heartbeat;
    try {
      heartbeat = AgentCodec.readHeartbeat(Json.parseFields(body));
    } catch (MalformedMessageException e) {
      LOG.info("heartbeat cannot be read: {}", e.getMessage());
      reply.accept(HttpResponse.of(400, JobCodec.writeError(e.getMessage())));
      return;
    }
    if (!cache.isLoaded()) {
      reply.accept(HttpResponse.of(503));
      return;
    }
    ShardLease lease = cache.shardOf(heartbeat.machine().id());
    isolation.machineReported(
        heartbeat.token(),
        new FencingToken(cache.revision().value()),
        lease != null && lease.owner().equals(self),
        timers.now());
    route(heartbeat, timers.now().plus(MAX_WAIT_FOR_LEASE), reply);
  }

  private void route(Heartbeat heartbeat, MonotonicTime until, Consumer<HttpResponse> reply) {
    MachineId machine = heartbeat.machine().id();
    ShardLease lease = cache.shardOf(machine);
    if (lease == null) {
      if (leader.isLeading()) {
        unassignedMachines.reported(heartbeat);
        waitForLease(heartbeat, until, reply);
      } else if (cache.leader() != null) {
        redirect(cache.leader().id(), reply);
      } else {
        waitForLease(heartbeat, until, reply);
      }
      return;
    }
    if (lease.owner().equals(self)) {
      ShardOwner owner = ownedShards.get(lease.id());
      byte[] answer = owner == null ? null : owner.respond(heartbeat);
      if (answer != null) {
        foreignHeartbeats.answered(heartbeat, timers.now());
        reply.accept(HttpResponse.of(200, answer));
      } else if (owner != null && owner.isSuperseded()) {
        // Another controller owns the shard and this one does not know yet which. The next
        // controller can tell, and every second that the agent waits here is lost to its lease.
        reply.accept(HttpResponse.of(503));
      } else {
        // Also if the owner cannot distinguish the heartbeat from a late copy: no one waits for the
        // response to a copy, and a restarted agent is queried meanwhile and gets its response once
        // the restart is proven.
        waitForLease(heartbeat, until, reply);
      }
      return;
    }
    foreignHeartbeats.onForeignHeartbeat(heartbeat, timers.now());
    // An agent that is redirected to a controller which it cannot reach loses five seconds of its
    // lease, and a short lease does not allow that (docs/incidents/inc-6ced.md). The leader is told
    // of the machine and moves the shard.
    if (cache.members().containsKey(lease.owner()) && !isReportedUnreachable(lease, machine)) {
      redirect(lease.owner(), reply);
    } else {
      waitForLease(heartbeat, until, reply);
    }
  }

  /** Whether the owner of a shard itself reports that it has not heard a machine for a while. */
  private boolean isReportedUnreachable(ShardLease lease, MachineId machine) {
    PeerViews.View view = views.of(lease.owner());
    if (view == null || timers.now().since(view.at()).isLongerThan(MAX_VIEW_AGE)) {
      return false;
    }
    PeerViews.ShardView shardView = view.shards().get(lease.id());
    PeerHeartbeat.MachineState state =
        shardView == null || !shardView.token().equals(lease.token())
            ? null
            : shardView.machines().get(machine);
    return state != null && state.silentFor().isLongerThan(UNHEARD_AFTER);
  }

  private void redirect(ControllerId member, Consumer<HttpResponse> reply) {
    reply.accept(
        member.equals(self)
            ? HttpResponse.of(503)
            : HttpResponse.of(421, AgentCodec.writeRedirect(member)));
  }

  /**
   * Waits until the shard has an owner: a late response is better than having the agent try all
   * other controllers.
   */
  private void waitForLease(
      Heartbeat heartbeat, MonotonicTime until, Consumer<HttpResponse> reply) {
    if (until.isBefore(timers.now())) {
      reply.accept(HttpResponse.of(503));
      return;
    }
    waiting.add(new Waiting(heartbeat, until, reply));
    if (!recheckPlanned) {
      recheckPlanned = true;
      timers.after(
          RECHECK_INTERVAL,
          () -> {
            recheckPlanned = false;
            recheckWaiting();
          });
    }
  }

  /** Called when records have changed, because heartbeats may wait for new leases. */
  void cacheChanged(ClusterStateCache.Changes changes) {
    if (changes.reloaded() || !changes.shards().isEmpty()) {
      recheckWaiting();
    }
  }

  private void recheckWaiting() {
    List<Waiting> now = waiting;
    waiting = new ArrayList<>();
    now.forEach(each -> route(each.heartbeat(), each.until(), each.reply()));
  }
}
