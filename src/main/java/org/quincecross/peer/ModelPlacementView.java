package org.quincecross.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.modelserving.Model;
import org.quincecross.modelserving.ReplicaPlacer;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ModelIndex;
import org.quincecross.state.ShardLease;

/**
 * The machines as model serving sees them, from recent reports: free capacity, and weights that are
 * present or being pulled.
 */
public final class ModelPlacementView {
  private static final TimeSpan MAX_VIEW_AGE = TimeSpan.ofSeconds(2.5);

  /** The minimum time from a start command to the first request, beyond the image pull. */
  private static final double MIN_START_S = 1;

  /**
   * An image pull takes up to a third longer than its nominal time, a boot up to 1.6 times as long.
   */
  private static final double PULL_SLOWDOWN = 1.5;

  private static final double BOOT_SLOWDOWN = 1.6;

  private final ClusterStateCache cache;
  private final PeerViews views;
  private final ModelIndex records;

  /** Creates a view. */
  public ModelPlacementView(ClusterStateCache cache, PeerViews views, ModelIndex records) {
    this.cache = cache;
    this.views = views;
    this.records = records;
  }

  /**
   * The time until a replica serves.
   *
   * @param bestS the expected time in seconds
   * @param worstS the maximum time in seconds if nothing fails
   */
  public record Estimate(double bestS, double worstS) {}

  /** The recently reported state of a machine, or null. */
  public PeerHeartbeat.MachineState state(MachineId machine, MonotonicTime now) {
    ShardLease lease = cache.shardOf(machine);
    PeerViews.ShardView shardView = lease == null ? null : block(lease, now);
    return shardView == null ? null : shardView.machines().get(machine);
  }

  private PeerViews.ShardView block(ShardLease lease, MonotonicTime now) {
    PeerViews.View view = views.of(lease.owner());
    if (view == null || now.since(view.at()).isLongerThan(MAX_VIEW_AGE)) {
      return null;
    }
    PeerViews.ShardView shardView = view.shards().get(lease.id());
    return shardView != null && shardView.token().equals(lease.token()) ? shardView : null;
  }

  /**
   * The machines that accept tasks.
   *
   * @param notYet jobs assigned to machines and not reported there yet: they take capacity and, if
   *     their weights are absent, a turn to pull
   */
  public List<ReplicaPlacer.Candidate> candidates(
      Map<MachineId, List<Job>> notYet, MonotonicTime now) {
    Map<String, Double> sizes = sizes();
    List<ReplicaPlacer.Candidate> candidates = new ArrayList<>();
    for (ShardLease lease : cache.shards().values()) {
      MachineType type = cache.machineTypes().get(lease.type());
      PeerViews.ShardView shardView = type == null ? null : block(lease, now);
      if (shardView == null) {
        continue;
      }
      for (MachineId machine : lease.machines().keySet()) {
        PeerHeartbeat.MachineState state = shardView.machines().get(machine);
        if (state != null
            && state.open()
            && !state.terminationNotice()
            && !lease.leaving().contains(machine)) {
          candidates.add(
              candidate(lease, type, state, notYet.getOrDefault(machine, List.of()), sizes));
        }
      }
    }
    return candidates;
  }

  /** The sizes of the models' images in GB. */
  private Map<String, Double> sizes() {
    Map<String, Double> sizes = new HashMap<>();
    records
        .book()
        .all()
        .values()
        .forEach(
            held -> {
              JobRecord job = held.state().isDefined() ? cache.job(held.state().job()) : null;
              if (job != null && job.job() != null) {
                sizes.put(job.job().image(), job.job().imageGb());
              }
            });
    return sizes;
  }

  private static ReplicaPlacer.Candidate candidate(
      ShardLease lease,
      MachineType type,
      PeerHeartbeat.MachineState state,
      List<Job> notYet,
      Map<String, Double> sizes) {
    Resources used = Resources.NONE;
    Map<String, Double> coming = new LinkedHashMap<>();
    for (Job job : notYet) {
      used = used.plus(job.taskResources());
      if (!state.images().contains(job.image())) {
        coming.put(job.image(), job.imageGb());
      }
    }
    Map<String, Double> weights = new LinkedHashMap<>();
    state.images().stream()
        .filter(sizes::containsKey)
        .forEach(image -> weights.put(image, sizes.get(image)));
    Resources free = state.free().minus(used);
    return new ReplicaPlacer.Candidate(
        state.id(),
        lease.id().text(),
        lease.type(),
        lease.zone(),
        lease.spot(),
        free,
        free.plus(state.preemptible()),
        type.pullGbPerSecond(),
        type.cacheGb(),
        Set.copyOf(state.images()),
        coming,
        weights);
  }

  /** The time until a model that is not up, or has no machine yet, could serve. */
  public Estimate estimate(Job job, MonotonicTime now) {
    List<ReplicaPlacer.Assignment> choices =
        ReplicaPlacer.choose(job, 1, Map.of(), Set.of(), candidates(Map.of(), now), Set.of());
    if (!choices.isEmpty()) {
      double readyS = choices.get(0).readyS();
      return new Estimate(MIN_START_S + readyS, 3 * MIN_START_S + PULL_SLOWDOWN * readyS);
    }
    double best = Double.POSITIVE_INFINITY;
    double worst = Double.POSITIVE_INFINITY;
    for (MachineType type : cache.machineTypes().values()) {
      boolean allowed =
          type.zones().stream().anyMatch(zone -> job.allows(type.name(), zone, false));
      if (allowed && job.taskResources().fitsIn(type.capacity()) && type.pullGbPerSecond() > 0) {
        double fetchS = job.imageGb() / type.pullGbPerSecond();
        best = Math.min(best, type.bootTime().seconds() + fetchS + MIN_START_S);
        worst =
            Math.min(
                worst,
                BOOT_SLOWDOWN * type.bootTime().seconds()
                    + PULL_SLOWDOWN * fetchS
                    + 10 * MIN_START_S);
      }
    }
    return new Estimate(best, worst);
  }

  /**
   * The time until a model that starts on chosen machines should serve; {@code elapsedS} counts
   * from the beginning of the start.
   */
  public Estimate estimate(Job job, Model model, double elapsedS, MonotonicTime now) {
    if (model.placements().isEmpty()) {
      return estimate(job, now);
    }
    double rate = 0;
    for (Model.Placement place : model.placements().values()) {
      ShardLease lease = cache.shardOf(place.machine());
      MachineType type = lease == null ? null : cache.machineTypes().get(lease.type());
      rate = type == null ? rate : Math.max(rate, type.pullGbPerSecond());
    }
    double fetchS = rate > 0 ? job.imageGb() / rate : 0;
    return new Estimate(
        Math.max(MIN_START_S, MIN_START_S + fetchS - elapsedS),
        Math.max(3 * MIN_START_S, 3 * MIN_START_S + PULL_SLOWDOWN * fetchS - elapsedS));
  }
}
