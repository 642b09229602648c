package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Job;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.modelserving.DemandSum;
import org.quincecross.modelserving.Model;
import org.quincecross.modelserving.Model.Phase;
import org.quincecross.modelserving.ModelCommand;
import org.quincecross.modelserving.Scaling;
import org.quincecross.modelserving.Weights;
import org.quincecross.modelserving.Yielding;
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
import org.quincecross.state.ShardLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a leader decides of models: where replicas go, when they serve, how many there are to be,
 * when a model goes to zero. It asks for one change of a record at a time, and decides again from
 * the record as it then is; so whoever leads next goes on from there.
 */
final class ModelAutoscaler {
  private static final Logger LOG = LoggerFactory.getLogger(ModelAutoscaler.class);
  private static final TimeSpan LOOK_EVERY = TimeSpan.ofMillis(200);
  private static final TimeSpan FRESH = TimeSpan.ofSeconds(2.5);
  private static final int MOST_ASKED = 8;

  /** Models that find no room wait for so long for machines to be rented before others give way. */
  private static final TimeSpan YIELD_AFTER = TimeSpan.ofSeconds(20);

  /** By then what a machine is given is in what its holder says of it. */
  private static final TimeSpan SEEN_AFTER = TimeSpan.ofSeconds(3);

  private final ReplicatedFeatureContext base;
  private final ClusterStateCache cache;
  private final ModelIndex records;
  private final ModelPlacementView machines;
  private final PeerViews views;
  private final AllocationIndex books;
  private final Supplier<Map<String, Team>> teams;
  private final DemandSum demand = new DemandSum();
  private final Yielding yielding = new Yielding();
  private final Map<String, Scaling> scalings = new HashMap<>();
  private final ReplicaFailureDetector losses;
  private final ModelAdmission admission;
  private final Map<String, MonotonicTime> upSince = new HashMap<>();
  private final Map<String, MonotonicTime> withoutRoom = new HashMap<>();
  private final Map<ControllerId, Long> heard = new HashMap<>();

  /** The models of whose records a change is asked for, each with the machines that it chooses. */
  private final Map<String, Collection<MachineId>> asked = new HashMap<>();

  private final Set<MachineId> keptWarm = new HashSet<>();
  private List<ModelSnapshot> looks = List.of();
  private Set<TaskId> running = Set.of();
  private List<Admission.Unmet> unmet = List.of();
  private MonotonicTime looked;

  ModelAutoscaler(
      ReplicatedFeatureContext base,
      ModelIndex records,
      PeerViews views,
      AllocationIndex books,
      Supplier<Map<String, Team>> teams) {
    this.base = base;
    this.cache = base.cache();
    this.records = records;
    this.machines = new ModelPlacementView(cache, views, records);
    this.losses = new ReplicaFailureDetector(base, machines);
    this.admission = new ModelAdmission(base.timers(), cache, records, machines, books, teams);
    this.views = views;
    this.books = books;
    this.teams = teams;
  }

  /** Somebody else leads: what was told here counts no more. */
  void stop() {
    if (looked != null) {
      looked = null;
      demand.clear();
      heard.clear();
      losses.forget();
      admission.look(List.of());
      upSince.clear();
      withoutRoom.clear();
      unmet = List.of();
      looks = List.of();
    }
  }

  /** Looks at the models, now and then. */
  private void look() {
    MonotonicTime now = base.timers().now();
    if ((looked != null && LOOK_EVERY.isLongerThan(now.since(looked)))
        || records.book().all().isEmpty()) {
      return;
    }
    looked = now;
    hear(now);
    looks = gather();
    List<Admission.Unmet> missing = new ArrayList<>();
    Choosing choosing = new Choosing(now);
    losses.look(looks, now);
    admission.look(looks);
    for (ModelSnapshot look : looks) {
      if (look.model().isUp()) {
        upSince.putIfAbsent(look.name(), now);
      } else {
        upSince.remove(look.name());
      }
      ModelCommand command = decide(look, choosing, missing, now);
      if (command != null) {
        ask(look.name(), command);
      }
    }
    unmet = missing;
    keepWarm(choosing);
  }

  private List<ModelSnapshot> gather() {
    List<ModelSnapshot> all = new ArrayList<>();
    for (Map.Entry<String, ReplicatedRecordIndex.Held<Model>> each :
        records.book().all().entrySet()) {
      Model model = each.getValue().state();
      if (!model.isDefined() || (model.phase() == Phase.ZERO && model.terms().keepWarm() == 0)) {
        continue;
      }
      JobRecord record = cache.job(model.job());
      if (record != null && record.job() != null && record.phase() == JobPhase.OPEN) {
        all.add(
            new ModelSnapshot(
                each.getKey(), model, record.job(), books.account(record.id()), running));
      } else if (model.isUp() && record != null) {
        ask(
            each.getKey(),
            new ModelCommand.Drain(
                ModelCommand.ANY,
                0,
                "its job is " + (record.phase() == JobPhase.CANCELLED ? "cancelled" : "done")));
      } else if (model.phase() == Phase.DRAINING && cache.shardsOf(model.job()).isEmpty()) {
        ask(each.getKey(), new ModelCommand.Gone(model.epoch()));
      }
    }
    return all;
  }

  private void hear(MonotonicTime now) {
    demand.keepOnly(cache.members().keySet());
    running = new HashSet<>();
    for (ControllerId member : cache.members().keySet()) {
      PeerViews.View view = views.of(member);
      byte[] section = view == null ? null : view.sections().get(ModelStatusReport.SECTION);
      ModelStatusReport news = section == null ? null : ModelStatusReport.read(section);
      if (news != null) {
        if (!Long.valueOf(view.number()).equals(heard.put(member, view.number()))) {
          demand.told(member, view.life(), news.demand(), news.since(), view.at());
        }
        if (!now.since(view.at()).isLongerThan(FRESH)) {
          running.addAll(news.running());
        }
      }
    }
  }

  private void ask(String name, ModelCommand command) {
    if (asked.size() >= MOST_ASKED || asked.containsKey(name)) {
      return;
    }
    asked.put(
        name, command instanceof ModelCommand.Choose choose ? choose.places().values() : List.of());
    LOG.debug("model {}: {}", name, command);
    base.store()
        .submit(
            records.book(),
            name,
            RecordCommand.own(command),
            answer -> {
              asked.remove(name);
              if (!answer.isDurable()) {
                LOG.debug("model {}: {}: {} {}", name, command, answer.status(), answer.reason());
              }
            });
  }

  // ---- decisions ----

  /** What is to be changed of a model's record now, or null. */
  private ModelCommand decide(
      ModelSnapshot look, Choosing choosing, List<Admission.Unmet> missing, MonotonicTime now) {
    Model model = look.model();
    if (model.phase() == Phase.ZERO || asked.containsKey(look.name())) {
      return null;
    }
    if (model.phase() == Phase.DRAINING) {
      // Nothing is allocated: nothing can be on a machine, nor start.
      return look.account() == null || look.account().out().isEmpty()
          ? new ModelCommand.Gone(model.epoch())
          : null;
    }
    ModelCommand lost = losses.lost(look, now);
    if (lost != null) {
      return lost;
    }
    int most = choosing.withinLimit(look);
    int lacking = Math.min(model.missing(look.tasks()), most);
    if (lacking > 0) {
      Map<Integer, MachineId> places = choosing.choose(look, lacking);
      if (!places.isEmpty()) {
        withoutRoom.remove(look.name());
        return new ModelCommand.Choose(model.epoch(), places);
      }
      missing.add(new Admission.Unmet(look.job(), lacking, perZone(look)));
      yieldTo(look, choosing, now);
    }
    long serving = model.places().keySet().stream().filter(look::runs).count();
    if (model.phase() == Phase.STARTING) {
      // Where its team's limit allows no more, what it allows has to do.
      boolean ready =
          model.missing(look.tasks()) == 0
              ? serving >= Math.min(model.terms().least(), model.places().size())
              : most == 0 && serving > 0 && serving >= model.places().size();
      return ready ? new ModelCommand.Ready(model.epoch()) : null;
    }
    return shrink(look, now);
  }

  /**
   * For how long nobody has wanted a model that is up; null where some controller has not said.
   * That it came up counts as well: one that is no member any more may still be asked, and its
   * wakes are in the records alone.
   */
  private TimeSpan quiet(String name, MonotonicTime now) {
    TimeSpan quiet = demand.quiet(name, cache.members().keySet(), now);
    MonotonicTime up = upSince.get(name);
    return quiet == null || up == null || now.since(up).isLongerThan(quiet) ? quiet : now.since(up);
  }

  private ModelCommand shrink(ModelSnapshot look, MonotonicTime now) {
    int inFlight = demand.inFlight(look.name());
    TimeSpan quiet = quiet(look.name(), now);
    if (inFlight == 0 && quiet != null && quiet.isLongerThan(look.model().terms().idle())) {
      return new ModelCommand.Drain(
          look.model().epoch(),
          quiet.millis(),
          "nobody wanted it for " + Math.round(quiet.seconds()) + " s");
    }
    if (look.job().kind() == JobKind.GANG) {
      return null;
    }
    int wanted =
        scalings
            .computeIfAbsent(look.name(), name -> new Scaling())
            .wanted(look.model(), look.tasks(), inFlight, now);
    return wanted != look.model().wanted()
        ? new ModelCommand.Scale(look.model().epoch(), wanted)
        : null;
  }

  private Map<String, Integer> perZone(ModelSnapshot look) {
    Map<String, Integer> zones = new TreeMap<>();
    for (Model.Place place : look.model().places().values()) {
      ShardLease lease = cache.shardOf(place.machine());
      if (lease != null) {
        zones.merge(lease.zone(), 1, Integer::sum);
      }
    }
    return zones;
  }

  /** Chooses places, for all models of one look: what one has taken the next does not get. */
  private final class Choosing {
    private final Map<MachineId, List<Job>> notYet = new HashMap<>();

    /** What the replicas of each team come to that have a place and are not allocated yet. */
    private final Map<String, Resources> spokenFor = new HashMap<>();

    private final MonotonicTime now;
    private List<Weights.Candidate> candidates;

    private Choosing(MonotonicTime now) {
      this.now = now;
      for (ModelSnapshot look : looks) {
        asked.getOrDefault(look.name(), List.of()).forEach(machine -> add(machine, look.job()));
        look.model()
            .places()
            .forEach(
                (replica, place) -> {
                  boolean seen =
                      look.isOut(replica)
                          && now.since(losses.since(look, replica, place, now))
                              .isLongerThan(SEEN_AFTER);
                  if (look.model().isUp() && !look.runs(replica) && !seen) {
                    notYet
                        .computeIfAbsent(place.machine(), id -> new ArrayList<>())
                        .add(look.job());
                    if (!look.isOut(replica)) {
                      spokenFor.merge(
                          look.job().team(), look.job().taskResources(), Resources::plus);
                    }
                  }
                });
      }
    }

    private void add(MachineId machine, Job job) {
      notYet.computeIfAbsent(machine, id -> new ArrayList<>()).add(job);
      spokenFor.merge(job.team(), job.taskResources(), Resources::plus);
    }

    /** How many more replicas the limit of its team leaves room for. */
    private int withinLimit(ModelSnapshot look) {
      Team team = teams.get().get(look.job().team());
      return team == null
          ? 0
          : team.limit()
              .minus(books.teamUse().getOrDefault(team.name(), Resources.NONE))
              .minus(spokenFor.getOrDefault(team.name(), Resources.NONE))
              .capacityFor(look.job().taskResources());
    }

    private List<Weights.Candidate> candidates() {
      candidates = candidates == null ? machines.candidates(notYet, now) : candidates;
      return candidates;
    }

    private Map<Integer, MachineId> choose(ModelSnapshot look, int most) {
      List<Integer> free = new ArrayList<>();
      for (int replica = 0; replica < look.tasks(); replica++) {
        // One that may still be somewhere gets no other place: it is proven gone first.
        if (!look.model().places().containsKey(replica) && !look.isOut(replica)) {
          free.add(replica);
        }
      }
      boolean whole = look.job().kind() == JobKind.GANG;
      if (whole && (free.size() < look.tasks() || most < look.tasks())) {
        return Map.of();
      }
      Set<MachineId> has = new HashSet<>();
      look.model().places().values().forEach(place -> has.add(place.machine()));
      List<Weights.Choice> choices =
          whole
              ? Weights.chooseWhole(look.job(), candidates(), look.model().avoided())
              : Weights.choose(
                  look.job(),
                  Math.min(most, free.size()),
                  perZone(look),
                  has,
                  candidates(),
                  look.model().avoided());
      Map<Integer, MachineId> places = new TreeMap<>();
      for (int i = 0; i < choices.size(); i++) {
        places.put(free.get(i), choices.get(i).machine());
        add(choices.get(i).machine(), look.job());
      }
      if (!places.isEmpty()) {
        candidates = null;
      }
      return places;
    }
  }

  /** One that finds no room though machines are being rented has an idle one give way. */
  private void yieldTo(ModelSnapshot look, Choosing choosing, MonotonicTime now) {
    MonotonicTime since = withoutRoom.computeIfAbsent(look.name(), name -> now);
    if (!now.since(since).isLongerThan(YIELD_AFTER)) {
      return;
    }
    List<Yielding.Idle> idle = new ArrayList<>();
    for (ModelSnapshot other : looks) {
      TimeSpan quiet = quiet(other.name(), now);
      MonotonicTime up = upSince.get(other.name());
      if (quiet != null
          && up != null
          && other.model().phase() == Phase.WARM
          && demand.inFlight(other.name()) == 0
          && !asked.containsKey(other.name())) {
        idle.add(
            new Yielding.Idle(
                other.name(),
                quiet,
                now.since(up),
                comeBackS(other.job()),
                makesRoom(other, look.job(), choosing)));
      }
    }
    Yielding.Idle one = yielding.choose(idle, now);
    if (one != null) {
      withoutRoom.put(look.name(), now);
      ask(
          one.name(),
          new ModelCommand.Drain(
              records.book().state(one.name()).epoch(),
              one.quiet().millis(),
              "gives way to " + look.name()));
    }
  }

  private double comeBackS(Job job) {
    double rate = 0;
    for (MachineType type : cache.machineTypes().values()) {
      rate = Math.max(rate, type.pullGbPerSecond());
    }
    return rate == 0 ? 0 : job.imageGb() / rate;
  }

  private boolean makesRoom(ModelSnapshot idle, Job wanted, Choosing choosing) {
    return choosing.candidates().stream()
        .anyMatch(
            at ->
                wanted.allows(at.type(), at.zone(), at.spot())
                    && idle.model().places().values().stream()
                        .anyMatch(place -> place.machine().equals(at.machine()))
                    && wanted.taskResources().fitsIn(at.soon().plus(idle.job().taskResources())));
  }

  // ---- machines that stay ----

  /**
   * Remembers which machines are kept for the weights that they have, or for replicas that are to
   * come.
   */
  private void keepWarm(Choosing choosing) {
    keptWarm.clear();
    for (ModelSnapshot look : looks) {
      look.model().places().values().forEach(place -> keptWarm.add(place.machine()));
      int more =
          look.model().terms().keepWarm()
              - (look.model().isUp() ? look.model().places().size() : 0);
      if (more > 0) {
        choosing.candidates().stream()
            .filter(at -> at.images().contains(look.job().image()))
            .map(Weights.Candidate::machine)
            .sorted()
            .limit(more)
            .forEach(keptWarm::add);
      }
    }
  }

  /** A machine as renting sees it: one that is kept for a model is not idle. */
  PeerHeartbeat.MachineState seenByFleet(PeerHeartbeat.MachineState state) {
    return !keptWarm.contains(state.id()) || state.queued() > 0
        ? state
        : new PeerHeartbeat.MachineState(
            state.id(),
            state.free(),
            state.yielding(),
            state.silent(),
            state.open(),
            state.fenced(),
            state.notice(),
            state.sick(),
            state.movable(),
            state.tasks(),
            1,
            state.images(),
            state.imagesInUse());
  }

  /**
   * Looks at the models and admits what waits; returns what there was no room for, with the
   * replicas for which no machine has room.
   */
  List<Admission.Unmet> admit(
      Collection<Admission.Block> blocks,
      Map<ShardId, List<Headroom>> reserves,
      List<JobDemand> demands) {
    look();
    List<Admission.Unmet> all = admission.admit(blocks, reserves, demands);
    all.addAll(unmet);
    return all;
  }
}
