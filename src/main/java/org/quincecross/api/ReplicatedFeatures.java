package org.quincecross.api;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import org.quincecross.admin.AccountingLog;
import org.quincecross.admin.ModelsApi;
import org.quincecross.admin.ReplicatedRecordsApi;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.leader.Leader;
import org.quincecross.leader.LegalHoldReconciler;
import org.quincecross.leader.LegalHoldStartBlock;
import org.quincecross.legalhold.LegalHoldKind;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.peer.KnownRevisions;
import org.quincecross.peer.PeerViews;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.Settings;
import org.quincecross.replicated.CombinedStartBlock;
import org.quincecross.replicated.StartBlock;
import org.quincecross.reservation.RequestKind;
import org.quincecross.shard.OwnedShards;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.KeyValueStoreClient;
import org.quincecross.state.Membership;
import org.quincecross.state.ReplicatedRecordStore;
import org.quincecross.state.StateWatcher;

/** The replicated records and the enabled features that are based on them. */
final class ReplicatedFeatures {
  /**
   * The path of the tasks blocked by legal holds, as seen by the controller that receives the
   * request.
   */
  private static final String BLOCKED_TASKS_PATH = ReplicatedRecordsApi.ROOT + "/kept";

  private final ReplicatedFeatureContext context;
  private final ReplicatedRecordsApi api;
  private LegalHoldStartBlock legalHolds;
  private final ModelServingFeature models;
  private final ReservationFeature requests;

  /**
   * Creates the features.
   *
   * @param parts the enabled features with their settings; null if there are no replicated records
   * @param longest how long a controller acts after its last contact with the store
   */
  ReplicatedFeatures(
      Timers timers,
      KeyValueStoreClient store,
      StateWatcher watcher,
      ClusterStateCache cache,
      Membership membership,
      PeerViews views,
      Settings settings,
      Map<String, Object> parts,
      LongSupplier clockMs,
      TimeSpan longest) {
    if (parts == null) {
      context = null;
      api = null;
      models = null;
      requests = null;
      return;
    }
    context =
        new ReplicatedFeatureContext(
            timers,
            cache,
            new ReplicatedRecordStore(timers, store, watcher, cache, membership, settings, clockMs),
            new KnownRevisions(timers, cache, views, settings, longest),
            new CombinedStartBlock(),
            settings,
            clockMs,
            parts);
    api = new ReplicatedRecordsApi(context, watcher);
    models = context.has("models") ? new ModelServingFeature(context, views) : null;
    requests = context.has(RequestKind.NAME) ? new ReservationFeature(context) : null;
  }

  /** A checksum that is equal on all controllers with the same features and settings. */
  static String checksum(Map<String, Object> parts) {
    return Integer.toHexString(new TreeMap<>(parts).toString().hashCode());
  }

  ReplicatedFeatureContext context() {
    return context;
  }

  /** The tasks that must not run now. */
  StartBlock startBlock() {
    return context == null ? StartBlock.NONE : context.startBlock();
  }

  /** Reserves capacity for deadline requests, if enabled. */
  void enableReservations(DemandForecast forecast, Leader leader) {
    if (requests != null) {
      requests.start(forecast, leader);
    }
  }

  /**
   * Subscribes to the records before any query for blocked tasks; each feature that blocks tasks
   * adds its listener here.
   *
   * @param accounting null if service levels are not accounted
   */
  void listen(
      ClusterStateCache cache,
      OwnedShards ownedShards,
      Leader leader,
      AccountingLog accounting,
      ToIntFunction<JobId> running) {
    if (context == null) {
      return;
    }
    cache.addListener(context.known()::cacheChanged);
    context
        .startBlock()
        .addListener(
            (Set<JobId> jobs) -> {
              leader.startBlockChanged(jobs);
              ownedShards.startBlockChanged(jobs);
              if (accounting != null) {
                accounting.startBlockChanged(jobs);
              }
            });
    if (context.has(LegalHoldKind.NAME)) {
      legalHolds = new LegalHoldStartBlock(context);
      new LegalHoldReconciler(context, legalHolds, leader::isLeading);
    }
    if (models != null) {
      models.listen(cache, ownedShards, leader, running);
    }
  }

  /** The machines that a task may start on; null for any. */
  Set<MachineId> places(Job job, int index) {
    return models == null ? null : models.places(job, index);
  }

  /** The features' sections in reports to other controllers. */
  Map<String, byte[]> sections() {
    return models == null ? Map.of() : models.sections();
  }

  static boolean handles(String path) {
    return Stream.of(ReplicatedRecordsApi.ROOT, ModelsApi.ROOT)
        .anyMatch(root -> path.equals(root) || path.startsWith(root + "/"));
  }

  void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    if (models != null && request.path().startsWith(ModelsApi.ROOT)) {
      models.handle(request, reply);
    } else if (api == null || request.path().startsWith(ModelsApi.ROOT)) {
      reply.accept(HttpResponse.of(404, JobCodec.writeError("this is not switched on here")));
    } else {
      if (legalHolds != null && request.path().equals(BLOCKED_TASKS_PATH)) {
        reply.accept(
            request.method().equals("GET")
                ? HttpResponse.of(200, Json.write(legalHolds.kept(request.query("after"))))
                : HttpResponse.of(405));
        return;
      }
      api.handle(request, reply);
    }
  }
}
