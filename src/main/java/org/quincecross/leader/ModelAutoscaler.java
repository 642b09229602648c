package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Job;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.modelserving.ClusterDemand;
import org.quincecross.modelserving.Model;
import org.quincecross.modelserving.Model.Phase;
import org.quincecross.modelserving.ModelCommand;
import org.quincecross.modelserving.ModelEvictionPolicy;
import org.quincecross.modelserving.ReplicaPlacer;
import org.quincecross.modelserving.ReplicaScaler;
import org.quincecross.peer.ModelPlacementView;
import org.quincecross.peer.ModelStatusReport;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.peer.ReplicatedFeatureContext;
import org.quincecross.scheduling.Admission;
import org.quincecross.scheduling.Headroom;
import org.quincecross.scheduling.JobDemand;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ModelIndex;
import org.quincecross.state.RecordCommand;
import org.quincecross.state.ReplicatedRecordIndex;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's decisions on served models: the number of replicas, their machines, when they serve,
 * and scaling to zero. Each decision is a single change of the model's record, and the next one
 * starts from the record as stored; a new leader continues from there.
 */
final class ModelAutoscaler {
  private static final Logger LOG = LoggerFactory.getLogger(ModelAutoscaler.class);
  private static final TimeSpan INTERVAL = TimeSpan.ofMillis(200);
  private static final TimeSpan MAX_VIEW_AGE = TimeSpan.ofSeconds(2.5);
  private static final int MAX_PENDING_COMMANDS = 8;

  /** How long a model without capacity waits for launched machines before others are evicted. */
  private static final TimeSpan EVICTION_DELAY = TimeSpan.ofSeconds(20);

  private final ReplicatedFeatureContext base;
  private final ClusterStateCache cache;
  private final ModelIndex records;
  private final ModelPlacementView machines;
  private final PeerViews views;
  private final AllocationIndex allocationIndex;
  private final Supplier<Map<String, Team>> teams;
  private final ClusterDemand demand = new ClusterDemand();
  private final ModelEvictionPolicy yielding = new ModelEvictionPolicy();
  private final Map<String, ReplicaScaler> scalings = new HashMap<>();
  private final ReplicaFailureDetector failureDetector;
  private final ModelAdmission admission;
  private final Map<String, MonotonicTime> upSince = new HashMap<>();
  private final Map<String, MonotonicTime> withoutRoom = new HashMap<>();
  private final Map<ControllerId, Long> heard = new HashMap<>();

  /** The models with a pending command, each with the machines that it chooses. */
  private final Map<String, Collection<MachineId>> pendingCommands = new HashMap<>();

  private final Set<MachineId> warmMachines = new HashSet<>();
  private List<ModelSnapshot> snapshots = List.of();
  private Set<TaskId> running = Set.of();
  private List<Admission.Unmet> unmet = List.of();
  private MonotonicTime evaluatedAt;

  ModelAutoscaler(
      ReplicatedFeatureContext base,
      ModelIndex records,
      PeerViews views,
      AllocationIndex allocationIndex,
      Supplier<Map<String, Team>> teams) {
    this.base = base;
    this.cache = base.cache();
    this.records = records;
    this.machines = new ModelPlacementView(cache, views, records);
    this.failureDetector = new ReplicaFailureDetector(base, machines);
    this.admission =
        new ModelAdmission(base.timers(), cache, records, machines, allocationIndex, teams);
    this.views = views;
    this.allocationIndex = allocationIndex;
    this.teams = teams;
  }

  /** Called when this controller stops leading: its observations are void. */
  void stop() {
    if (evaluatedAt != null) {
      evaluatedAt = null;
      demand.clear();
      heard.clear();
      failureDetector.forget();
      admission.update(List.of());
      upSince.clear();
      withoutRoom.clear();
      unmet = List.of();
      snapshots = List.of();
    }
  }

  /** Evaluates all models at intervals. */
  private void evaluate() {
    MonotonicTime now = base.timers().now();
    if ((evaluatedAt != null && INTERVAL.isLongerThan(now.since(evaluatedAt)))
        || records.book().all().isEmpty()) {
      return;
    }
    evaluatedAt = now;
    collectReports(now);
    snapshots = takeSnapshots();
    List<Admission.Unmet> missing = new ArrayList<>();
    ModelPlacementRound choosing =
        new ModelPlacementRound(
            snapshots,
            pendingCommands,
            failureDetector,
            machines,
            allocationIndex,
            cache,
            teams.get(),
            now);
    failureDetector.update(snapshots, now);
    admission.update(snapshots);
    for (ModelSnapshot snapshot : snapshots) {
      if (snapshot.model().isUp()) {
        upSince.putIfAbsent(snapshot.name(), now);
      } else {
        upSince.remove(snapshot.name());
      }
      ModelCommand command = decide(snapshot, choosing, missing, now);
      if (command != null) {
        submit(snapshot.name(), command);
      }
    }
    unmet = missing;
    retainWarmMachines(choosing);
  }

  private List<ModelSnapshot> takeSnapshots() {
    List<ModelSnapshot> all = new ArrayList<>();
    for (Map.Entry<String, ReplicatedRecordIndex.Held<Model>> each :
        records.book().all().entrySet()) {
      Model model = each.getValue().state();
      if (!model.isDefined()
          || (model.phase() == Phase.ZERO && model.limits().cachedMachines() == 0)) {
        continue;
      }
      JobRecord record = cache.job(model.job());
      if (record != null && record.job() != null && record.phase() == JobPhase.OPEN) {
        all.add(
            new ModelSnapshot(
                each.getKey(), model, record.job(), allocationIndex.get(record.id()), running));
      } else if (model.isUp() && record != null) {
        submit(
            each.getKey(),
            new ModelCommand.Drain(
                ModelCommand.ANY_EPOCH,
                0,
                "its job is " + (record.phase() == JobPhase.CANCELLED ? "cancelled" : "done")));
      } else if (model.phase() == Phase.DRAINING && cache.shardsOf(model.job()).isEmpty()) {
        submit(each.getKey(), new ModelCommand.MarkDrained(model.epoch()));
      }
    }
    return all;
  }

  private void collectReports(MonotonicTime now) {
    demand.retainMembers(cache.members().keySet());
    running = new HashSet<>();
    for (ControllerId member : cache.members().keySet()) {
      PeerViews.View view = views.of(member);
      byte[] section = view == null ? null : view.sections().get(ModelStatusReport.SECTION);
      ModelStatusReport report = section == null ? null : ModelStatusReport.read(section);
      if (report != null) {
        if (!Long.valueOf(view.number()).equals(heard.put(member, view.number()))) {
          demand.report(member, view.incarnation(), report.demand(), report.since(), view.at());
        }
        if (!now.since(view.at()).isLongerThan(MAX_VIEW_AGE)) {
          running.addAll(report.running());
        }
      }
    }
  }

  private void submit(String name, ModelCommand command) {
    if (pendingCommands.size() >= MAX_PENDING_COMMANDS || pendingCommands.containsKey(name)) {
      return;
    }
    pendingCommands.put(
        name,
        command instanceof ModelCommand.Place choose ? choose.machines().values() : List.of());
    LOG.debug("model {}: {}", name, command);
    base.store()
        .submit(
            records.book(),
            name,
            RecordCommand.internal(command),
            answer -> {
              pendingCommands.remove(name);
              if (!answer.isDurable()) {
                LOG.debug("model {}: {}: {} {}", name, command, answer.status(), answer.reason());
              }
            });
  }

  /** The change that a model's record needs now, or null. */
  private ModelCommand decide(
      ModelSnapshot snapshot,
      ModelPlacementRound choosing,
      List<Admission.Unmet> missing,
      MonotonicTime now) {
    Model model = snapshot.model();
    if (model.phase() == Phase.ZERO || pendingCommands.containsKey(snapshot.name())) {
      return null;
    }
    if (model.phase() == Phase.DRAINING) {
      // Nothing is allocated, so nothing is on a machine or can start.
      return snapshot.allocation() == null || snapshot.allocation().outstanding().isEmpty()
          ? new ModelCommand.MarkDrained(model.epoch())
          : null;
    }
    ModelCommand lost = failureDetector.failedReplicas(snapshot, now);
    if (lost != null) {
      return lost;
    }
    int most = choosing.withinLimit(snapshot);
    int lacking = Math.min(model.unplacedReplicas(snapshot.tasks()), most);
    if (lacking > 0) {
      Map<Integer, MachineId> places = choosing.choose(snapshot, lacking);
      if (!places.isEmpty()) {
        withoutRoom.remove(snapshot.name());
        return new ModelCommand.Place(model.epoch(), places);
      }
      missing.add(
          new Admission.Unmet(
              snapshot.job(), lacking, ModelPlacementRound.replicasByZone(snapshot, cache)));
      evictIdleModelFor(snapshot, choosing, now);
    }
    long serving = model.placements().keySet().stream().filter(snapshot::runs).count();
    if (model.phase() == Phase.STARTING) {
      // If the team's limit allows no more replicas, the model runs with fewer.
      boolean ready =
          model.unplacedReplicas(snapshot.tasks()) == 0
              ? serving >= Math.min(model.limits().minReplicas(), model.placements().size())
              : most == 0 && serving > 0 && serving >= model.placements().size();
      return ready ? new ModelCommand.MarkWarm(model.epoch()) : null;
    }
    return scaleIn(snapshot, now);
  }

  /**
   * How long there has been no demand for a model that is up; null if some controller has not
   * reported. Bounded by the time since it came up: wakes requested from a controller that is no
   * longer a member are only in the records.
   */
  private TimeSpan idleFor(String name, MonotonicTime now) {
    TimeSpan quiet = demand.idleTime(name, cache.members().keySet(), now);
    MonotonicTime up = upSince.get(name);
    return quiet == null || up == null || now.since(up).isLongerThan(quiet) ? quiet : now.since(up);
  }

  private ModelCommand scaleIn(ModelSnapshot snapshot, MonotonicTime now) {
    int inFlight = demand.inFlight(snapshot.name());
    TimeSpan quiet = idleFor(snapshot.name(), now);
    if (inFlight == 0
        && quiet != null
        && quiet.isLongerThan(snapshot.model().limits().idleTimeout())) {
      return new ModelCommand.Drain(
          snapshot.model().epoch(),
          quiet.millis(),
          "nobody wanted it for " + Math.round(quiet.seconds()) + " s");
    }
    if (snapshot.job().kind() == JobKind.GANG) {
      return null;
    }
    int wanted =
        scalings
            .computeIfAbsent(snapshot.name(), name -> new ReplicaScaler())
            .desiredReplicas(snapshot.model(), snapshot.tasks(), inFlight, now);
    return wanted != snapshot.model().desiredReplicas()
        ? new ModelCommand.Scale(snapshot.model().epoch(), wanted)
        : null;
  }

  /** Evicts an idle model for one that finds no capacity although machines are being launched. */
  private void evictIdleModelFor(
      ModelSnapshot snapshot, ModelPlacementRound choosing, MonotonicTime now) {
    MonotonicTime since = withoutRoom.computeIfAbsent(snapshot.name(), name -> now);
    if (!now.since(since).isLongerThan(EVICTION_DELAY)) {
      return;
    }
    List<ModelEvictionPolicy.IdleModel> idle = new ArrayList<>();
    for (ModelSnapshot other : snapshots) {
      TimeSpan quiet = idleFor(other.name(), now);
      MonotonicTime up = upSince.get(other.name());
      if (quiet != null
          && up != null
          && other.model().phase() == Phase.WARM
          && demand.inFlight(other.name()) == 0
          && !pendingCommands.containsKey(other.name())) {
        idle.add(
            new ModelEvictionPolicy.IdleModel(
                other.name(),
                quiet,
                now.since(up),
                coldStartSeconds(other.job()),
                freesCapacityFor(other, snapshot.job(), choosing)));
      }
    }
    ModelEvictionPolicy.IdleModel one = yielding.choose(idle, now);
    if (one != null) {
      withoutRoom.put(snapshot.name(), now);
      submit(
          one.name(),
          new ModelCommand.Drain(
              records.book().state(one.name()).epoch(),
              one.idleTime().millis(),
              "gives way to " + snapshot.name()));
    }
  }

  private double coldStartSeconds(Job job) {
    double rate = 0;
    for (MachineType type : cache.machineTypes().values()) {
      rate = Math.max(rate, type.pullGbPerSecond());
    }
    return rate == 0 ? 0 : job.imageGb() / rate;
  }

  private boolean freesCapacityFor(ModelSnapshot idle, Job wanted, ModelPlacementRound choosing) {
    return choosing.candidates().stream()
        .anyMatch(
            at ->
                wanted.allows(at.type(), at.zone(), at.spot())
                    && idle.model().placements().values().stream()
                        .anyMatch(place -> place.machine().equals(at.machine()))
                    && wanted
                        .taskResources()
                        .fitsIn(at.freeAfterPreemption().plus(idle.job().taskResources())));
  }

  /** Remembers the machines that are retained for the weights on them or for coming replicas. */
  private void retainWarmMachines(ModelPlacementRound choosing) {
    warmMachines.clear();
    for (ModelSnapshot snapshot : snapshots) {
      snapshot.model().placements().values().forEach(place -> warmMachines.add(place.machine()));
      int more =
          snapshot.model().limits().cachedMachines()
              - (snapshot.model().isUp() ? snapshot.model().placements().size() : 0);
      if (more > 0) {
        choosing.candidates().stream()
            .filter(at -> at.images().contains(snapshot.job().image()))
            .map(ReplicaPlacer.Candidate::machine)
            .sorted()
            .limit(more)
            .forEach(warmMachines::add);
      }
    }
  }

  /**
   * The state of a machine as the autoscaler should see it: one retained for a model is not idle.
   */
  PeerHeartbeat.MachineState autoscalerView(PeerHeartbeat.MachineState state) {
    return !warmMachines.contains(state.id()) || state.queued() > 0
        ? state
        : new PeerHeartbeat.MachineState(
            state.id(),
            state.free(),
            state.preemptible(),
            state.silentFor(),
            state.open(),
            state.fenced(),
            state.terminationNotice(),
            state.faulty(),
            state.movable(),
            state.tasks(),
            1,
            state.images(),
            state.imagesInUse());
  }

  /**
   * Evaluates the models and admits pending jobs; returns the demand without capacity, including
   * replicas that no machine fits.
   */
  List<Admission.Unmet> admit(
      Collection<Admission.ShardCapacity> shards,
      Map<ShardId, List<Headroom>> reserves,
      List<JobDemand> demands) {
    evaluate();
    List<Admission.Unmet> all = admission.admit(shards, reserves, demands);
    all.addAll(unmet);
    return all;
  }
}
