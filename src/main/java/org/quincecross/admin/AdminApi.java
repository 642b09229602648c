package org.quincecross.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.leader.Leader;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Revision;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.shard.OwnedShards;
import org.quincecross.shard.ShardOwner;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.KeyValueStoreClient;
import org.quincecross.state.Membership;
import org.quincecross.state.OperatorSettings;
import org.quincecross.state.OversizedRecords;
import org.quincecross.state.ShardLease;
import org.quincecross.state.StateWatcher;
import org.quincecross.state.StoreKeys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves requests below {@code /admin}. */
public final class AdminApi {
  public static final String ROOT = "/admin";
  private static final Logger LOG = LoggerFactory.getLogger(AdminApi.class);

  private final Timers timers;
  private final ClusterStateCache cache;
  private final StateWatcher watcher;
  private final Membership membership;
  private final KeyValueStoreClient store;
  private final OwnedShards ownedShards;
  private final Leader leader;
  private final Metrics metrics;
  private final StallDetector stalls;
  private final AccountingLog accounting;
  private final ControllerId self;
  private final Settings.StoreLimits limits;

  /**
   * @param accounting null if service levels are not accounted
   */
  public AdminApi(
      Timers timers,
      ClusterStateCache cache,
      StateWatcher watcher,
      Membership membership,
      KeyValueStoreClient store,
      OwnedShards ownedShards,
      Leader leader,
      Metrics metrics,
      StallDetector stalls,
      AccountingLog accounting,
      ControllerId self,
      Settings.StoreLimits limits) {
    this.timers = timers;
    this.cache = cache;
    this.watcher = watcher;
    this.membership = membership;
    this.store = store;
    this.ownedShards = ownedShards;
    this.leader = leader;
    this.metrics = metrics;
    this.stalls = stalls;
    this.accounting = accounting;
    this.self = self;
    this.limits = limits;
  }

  public void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    String resource = request.path().substring(ROOT.length());
    boolean get = request.method().equals("GET");
    switch (resource) {
      case "/status" -> answer(get, this::status, reply);
      case "/blocks" -> answer(get, this::blocks, reply);
      case "/machines" -> answer(get, this::machines, reply);
      case "/metrics" -> answer(get, metrics::write, reply);
      case "/settings" -> {
        if (request.method().equals("PUT")) {
          changeSettings(request.body(), reply);
        } else {
          answer(get, this::settings, reply);
        }
      }
      default ->
          reply.accept(
              error(404, "unknown path; there are status, blocks, machines, metrics and settings"));
    }
  }

  private static HttpResponse error(int status, String reason) {
    return HttpResponse.of(status, JobCodec.writeError(reason));
  }

  /** Creates the body of a response. */
  private interface ResponseBody {
    Object create();
  }

  private static void answer(boolean get, ResponseBody body, Consumer<HttpResponse> reply) {
    reply.accept(get ? HttpResponse.of(200, Json.write(body.create())) : HttpResponse.of(405));
  }

  private Object status() {
    List<Object> members = new ArrayList<>();
    List<Object> builds = new ArrayList<>();
    cache
        .members()
        .values()
        .forEach(
            member -> {
              members.add(member.id().text());
              builds.add(
                  Json.object(
                      "member",
                      member.id().text(),
                      "build",
                      member.build().name(),
                      "least_level",
                      member.build().minLevel().number(),
                      "most_level",
                      member.build().maxLevel().number()));
            });
    return Json.object(
        "membership",
        StatusNames.of(membership.state()),
        "life",
        membership.life().value(),
        "role",
        StatusNames.of(leader.state()),
        "leader",
        cache.leader() == null ? null : cache.leader().id().text(),
        "members",
        members,
        "builds",
        builds,
        "unable",
        membership.incompatibility(),
        "settings_differ",
        AnnouncedLimits.differences(self, cache.announcedLimits()),
        "level",
        cache.level().level().number(),
        "level_since",
        cache.level().version().value(),
        "level_state",
        leader.isLeading() ? leader.featureLevels().decision().state().toString() : null,
        "level_waits_for",
        leader.isLeading() ? leader.featureLevels().decision().reason() : null,
        "revision",
        cache.revision().value(),
        "unconfirmed_ms",
        watcher.confirmedAt() == null ? null : timers.now().since(watcher.confirmedAt()).millis(),
        "jobs",
        cache.jobCount(),
        "blocks",
        cache.shards().size(),
        "blocks_held",
        ownedShards.all().size(),
        "too_large",
        OversizedRecords.of(cache, limits.plannedValueBytes()),
        "stalled",
        stalls.write(),
        "served",
        accounting == null ? null : accounting.write(),
        "largest",
        accounting == null ? null : accounting.largest(),
        "overload",
        accounting == null ? null : accounting.overload(timers.now()));
  }

  private Object blocks() {
    List<Object> list = new ArrayList<>();
    for (ShardLease shard : cache.shards().values()) {
      int tasks =
          cache.allocation(shard.id()).tasks().values().stream().mapToInt(set -> set.size()).sum();
      ShardOwner owner = ownedShards.get(shard.id());
      Map<String, Object> out =
          Json.object(
              "block",
              shard.id().text(),
              "holder",
              shard.owner().text(),
              "token",
              shard.token().value(),
              "type",
              shard.type(),
              "zone",
              shard.zone(),
              "spot",
              shard.spot(),
              "machines",
              shard.machines().size(),
              "allocated",
              tasks);
      if (owner != null) {
        out.put("waiting", owner.waitingCount());
        out.put("unreported_results", owner.completed().size());
      }
      list.add(out);
    }
    return list;
  }

  /** Returns the machines of the shards that this controller owns. */
  private Object machines() {
    List<Object> list = new ArrayList<>();
    for (ShardOwner owner : ownedShards.all()) {
      for (PeerHeartbeat.MachineState machine : owner.machines()) {
        list.add(
            Json.object(
                "machine",
                machine.id().text(),
                "block",
                owner.id().text(),
                "free_cpus",
                machine.free().cpus(),
                "free_gpus",
                machine.free().gpus(),
                "free_memory_gb",
                machine.free().memoryGb(),
                "tasks",
                machine.tasks(),
                "queued",
                machine.queued(),
                "open",
                machine.open(),
                "fenced",
                machine.fenced(),
                "notice",
                machine.terminationNotice(),
                "sick",
                machine.faulty(),
                "silent_ms",
                machine.silentFor().millis(),
                "images",
                machine.images()));
      }
    }
    return list;
  }

  // ---- settings ----

  private OperatorSettings currentSettings() {
    return settings(cache);
  }

  /** Returns the operators' settings as cached. */
  public static OperatorSettings settings(ClusterStateCache cache) {
    return cache.operatorSettingsOrDefaults();
  }

  private Object settings() {
    return Json.object(
        "version",
        cache.version(StoreKeys.OPERATOR_SETTINGS).value(),
        "settings",
        currentSettings().write());
  }

  /**
   * Handles {@code {"version": V, "settings": {...}}}, where V is the version that the change is
   * based on.
   */
  private void changeSettings(byte[] body, Consumer<HttpResponse> reply) {
    OperatorSettings next;
    Map<String, Object> record;
    Revision version;
    try {
      JsonFields in = Json.parseFields(body);
      version = new Revision(in.unsigned("version"));
      next = OperatorSettings.read(in.raw("settings"), currentSettings());
      record = next.write();
      record.putAll(OperatorSettings.unknownFields(cache.operatorSettings()));
    } catch (MalformedMessageException e) {
      reply.accept(error(400, e.getMessage()));
      return;
    }
    store.commit(
        List.of(new Precondition(StoreKeys.OPERATOR_SETTINGS, version)),
        List.of(Mutation.put(StoreKeys.OPERATOR_SETTINGS, record)),
        result -> {
          switch (result.kind()) {
            case COMMITTED -> {
              LOG.info("settings changed: {}", next);
              reply.accept(
                  HttpResponse.of(
                      200,
                      Json.write(
                          Json.object(
                              "version", result.revision().value(), "settings", next.write()))));
            }
            case CONFLICT ->
                reply.accept(error(409, "the settings have changed since that version"));
            case TOO_LARGE ->
                reply.accept(
                    error(413, "the settings would be larger than the state service takes"));
            default ->
                reply.accept(
                    error(
                        503,
                        "the state service did not confirm the change: look before trying again"));
          }
        });
  }
}
