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
import org.quincecross.modelserving.Weights;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ModelIndex;
import org.quincecross.state.ShardLease;

/**
 * The machines as they matter for models: room, weights that are there or coming, by what the
 * holders have told lately.
 */
public final class ModelPlacementView {
  private static final TimeSpan FRESH = TimeSpan.ofSeconds(2.5);

  /** From the start command to the first request beyond the fetch, at the least. */
  private static final double START_S = 1;

  /**
   * The fetch of an image takes up to a third longer than its rate says, a boot up to 1.6 times as
   * long.
   */
  private static final double SLOW_FETCH = 1.5;

  private static final double SLOW_BOOT = 1.6;

  private final ClusterStateCache cache;
  private final PeerViews views;
  private final ModelIndex records;

  public ModelPlacementView(ClusterStateCache cache, PeerViews views, ModelIndex records) {
    this.cache = cache;
    this.views = views;
    this.records = records;
  }

  /**
   * The time until a replica serves.
   *
   * @param bestS seconds until a replica should serve
   * @param worstS seconds until it does at the latest, if nothing fails
   */
  public record Estimate(double bestS, double worstS) {}

  /** What the holder of a machine's block last said of it, if that is recent; else null. */
  public PeerHeartbeat.MachineState state(MachineId machine, MonotonicTime now) {
    ShardLease lease = cache.shardOf(machine);
    PeerViews.BlockView block = lease == null ? null : block(lease, now);
    return block == null ? null : block.machines().get(machine);
  }

  private PeerViews.BlockView block(ShardLease lease, MonotonicTime now) {
    PeerViews.View view = views.of(lease.owner());
    if (view == null || now.since(view.at()).isLongerThan(FRESH)) {
      return null;
    }
    PeerViews.BlockView block = view.blocks().get(lease.id());
    return block != null && block.token().equals(lease.token()) ? block : null;
  }

  /**
   * The machines that take work.
   *
   * @param notYet what is chosen for machines and not yet seen there: takes room, and where its
   *     weights are not there, a turn to fetch
   */
  public List<Weights.Candidate> candidates(Map<MachineId, List<Job>> notYet, MonotonicTime now) {
    Map<String, Double> sizes = sizes();
    List<Weights.Candidate> candidates = new ArrayList<>();
    for (ShardLease lease : cache.shards().values()) {
      MachineType type = cache.machineTypes().get(lease.type());
      PeerViews.BlockView block = type == null ? null : block(lease, now);
      if (block == null) {
        continue;
      }
      for (MachineId machine : lease.machines().keySet()) {
        PeerHeartbeat.MachineState state = block.machines().get(machine);
        if (state != null
            && state.open()
            && !state.notice()
            && !lease.leaving().contains(machine)) {
          candidates.add(
              candidate(lease, type, state, notYet.getOrDefault(machine, List.of()), sizes));
        }
      }
    }
    return candidates;
  }

  /** The images of models, in GB. */
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

  private static Weights.Candidate candidate(
      ShardLease lease,
      MachineType type,
      PeerHeartbeat.MachineState state,
      List<Job> notYet,
      Map<String, Double> sizes) {
    Resources taken = Resources.NONE;
    Map<String, Double> coming = new LinkedHashMap<>();
    for (Job job : notYet) {
      taken = taken.plus(job.taskResources());
      if (!state.images().contains(job.image())) {
        coming.put(job.image(), job.imageGb());
      }
    }
    Map<String, Double> weights = new LinkedHashMap<>();
    state.images().stream()
        .filter(sizes::containsKey)
        .forEach(image -> weights.put(image, sizes.get(image)));
    Resources free = state.free().minus(taken);
    return new Weights.Candidate(
        state.id(),
        lease.id().text(),
        lease.type(),
        lease.zone(),
        lease.spot(),
        free,
        free.plus(state.yielding()),
        type.pullGbPerSecond(),
        type.cacheGb(),
        Set.copyOf(state.images()),
        coming,
        weights);
  }

  /** When a model that is not up, or has no place yet, could serve. */
  public Estimate estimate(Job job, MonotonicTime now) {
    List<Weights.Choice> choices =
        Weights.choose(job, 1, Map.of(), Set.of(), candidates(Map.of(), now), Set.of());
    if (!choices.isEmpty()) {
      double readyS = choices.get(0).readyS();
      return new Estimate(START_S + readyS, 3 * START_S + SLOW_FETCH * readyS);
    }
    double best = Double.POSITIVE_INFINITY;
    double worst = Double.POSITIVE_INFINITY;
    for (MachineType type : cache.machineTypes().values()) {
      boolean allowed =
          type.zones().stream().anyMatch(zone -> job.allows(type.name(), zone, false));
      if (allowed && job.taskResources().fitsIn(type.capacity()) && type.pullGbPerSecond() > 0) {
        double fetchS = job.imageGb() / type.pullGbPerSecond();
        best = Math.min(best, type.bootTime().seconds() + fetchS + START_S);
        worst =
            Math.min(
                worst, SLOW_BOOT * type.bootTime().seconds() + SLOW_FETCH * fetchS + 10 * START_S);
      }
    }
    return new Estimate(best, worst);
  }

  /**
   * When a model that starts on machines that are chosen should serve; {@code elapsedS}: since it
   * began to start.
   */
  public Estimate estimate(Job job, Model model, double elapsedS, MonotonicTime now) {
    if (model.places().isEmpty()) {
      return estimate(job, now);
    }
    double rate = 0;
    for (Model.Place place : model.places().values()) {
      ShardLease lease = cache.shardOf(place.machine());
      MachineType type = lease == null ? null : cache.machineTypes().get(lease.type());
      rate = type == null ? rate : Math.max(rate, type.pullGbPerSecond());
    }
    double fetchS = rate > 0 ? job.imageGb() / rate : 0;
    return new Estimate(
        Math.max(START_S, START_S + fetchS - elapsedS),
        Math.max(3 * START_S, 3 * START_S + SLOW_FETCH * fetchS - elapsedS));
  }
}
