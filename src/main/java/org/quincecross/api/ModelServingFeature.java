package org.quincecross.api;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.quincecross.admin.ModelDemandCollector;
import org.quincecross.admin.ModelsApi;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.leader.Leader;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.TaskId;
import org.quincecross.peer.ModelPlacementView;
import org.quincecross.peer.ModelStatusReport;
import org.quincecross.peer.PeerViews;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.shard.OwnedShards;
import org.quincecross.shard.ShardOwner;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ModelIndex;

/** Model serving, assembled for one controller. */
final class ModelServingFeature {
  private final ReplicatedFeatureContext context;
  private final ModelIndex records;
  private final PeerViews views;
  private ModelDemandCollector demand;
  private ModelsApi api;

  ModelServingFeature(ReplicatedFeatureContext context, PeerViews views) {
    this.context = context;
    this.views = views;
    this.records = new ModelIndex(context.cache());
    context.startBlock().add(records);
  }

  /** Subscribes to the records, and has the leader scale the models. */
  void listen(
      ClusterStateCache cache,
      OwnedShards ownedShards,
      Leader leader,
      ToIntFunction<JobId> running) {
    demand =
        new ModelDemandCollector(
            context, records, (job, replica) -> runs(ownedShards, job.task(replica)));
    api =
        new ModelsApi(
            context, records, demand, new ModelPlacementView(cache, views, records), running);
    cache.addListener(
        changes -> {
          records.ledgerChanged(changes, context.startBlock()::changed);
          demand.cacheChanged(changes);
        });
    leader.enableModelServing(context, records);
    demand.start();
  }

  private static boolean runs(OwnedShards ownedShards, TaskId task) {
    for (ShardOwner owner : ownedShards.all()) {
      if (owner.running(task.job()) > 0 && owner.runs(task)) {
        return true;
      }
    }
    return false;
  }

  /** The machines that a task may start on; null for any. */
  Set<MachineId> places(Job job, int index) {
    return records.places(job, index);
  }

  /** The section on models in reports to other controllers. */
  Map<String, byte[]> sections() {
    byte[] section = demand == null ? null : demand.section();
    return section == null ? Map.of() : Map.of(ModelStatusReport.SECTION, section);
  }

  void handle(HttpRequest request, Consumer<HttpResponse> reply) {
    api.handle(request, reply);
  }
}
