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
import java.util.function.Supplier;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.protocol.CloudCodec;
import org.quincecross.protocol.Settings;
import org.quincecross.scheduling.Admission;
import org.quincecross.scheduling.Headroom;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.DemandForecast;
import org.quincecross.state.OperatorSettings;
import org.quincecross.state.ShardLease;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents machines for work that has no room and returns those that are idle, silent or sick. For the
 * leader alone.
 */
public final class Autoscaler {
  private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
  private static final TimeSpan TICK = TimeSpan.ofMillis(500);
  private static final TimeSpan LED_LATELY = TimeSpan.ofSeconds(1);
  private static final TimeSpan CATALOG_EVERY = TimeSpan.ofSeconds(60);
  private static final TimeSpan LIST_EVERY = TimeSpan.ofSeconds(4);
  private static final TimeSpan LIST_MARGIN = TimeSpan.ofSeconds(4);
  private static final TimeSpan CONSOLIDATE_FIRST = TimeSpan.ofSeconds(60);
  private static final TimeSpan CONSOLIDATE_EVERY = TimeSpan.ofSeconds(5);
  private static final TimeSpan LOOK_FOR_THIN_EVERY = TimeSpan.ofSeconds(3);
  private static final int MOST_MOVED_AT_ONCE = 3;

  /** Of so many machines one is emptied at a time. */
  private static final int MACHINES_PER_EMPTIED = 40;

  /** Of so many machines one may be unheard of while the fleet is called calm. */
  private static final int MACHINES_PER_UNFENCED = 50;

  private static final double MOST_USED_TO_EMPTY = 0.55;
  private static final TimeSpan CUT_OFF_FOR = TimeSpan.ofSeconds(60);

  /** Spot machines silent so many times as often as ordinary ones, or more, have been taken. */
  private static final int ORDINARY_TO_SPOT = 3;

  private static final double MOST_SILENT_OF_ZONE = 0.25;
  private static final int MOST_REQUESTS_AT_ONCE = 3;
  private static final int MOST_AT_ONCE = 50;
  private static final int MOST_RETURNED_AT_ONCE = 50;

  /** What the holders say of their machines, and which machines report to the wrong controller. */
  public record View(Map<MachineId, PeerHeartbeat.MachineState> machines, Set<MachineId> strays) {}

  private record Booting(MachineKind kind, MonotonicTime since) {}

  private final Timers timers;
  private final CloudClient cloud;
  private final ClusterStateCache cache;
  private final Settings settings;
  private final DemandForecast foresight;
  private final Supplier<OperatorSettings> operators;
  private final Supplier<Incarnation> life;
  private final Map<String, MachineType> catalog = new TreeMap<>();
  private final Map<MachineId, CloudCodec.CloudInstance> listed = new TreeMap<>();
  private final Map<MachineId, MonotonicTime> unlistedSince = new HashMap<>();
  private final Map<MachineId, Booting> booting = new LinkedHashMap<>();
  private final Map<MachineId, MonotonicTime> idleSince = new HashMap<>();
  private final ScaleOutPolicy plans;

  /** Machines of blocks that the cloud does not have any more. */
  private final Set<MachineId> unlisted = new HashSet<>();

  private final Set<MachineId> wanted = new HashSet<>();
  private final Set<MachineId> gone = new HashSet<>();

  /** Of the wanted and the gone, those in blocks. */
  private final Set<MachineId> leaving = new HashSet<>();

  private List<Admission.Unmet> unmet = List.of();
  private Supplier<View> view;
  private Room room;
  private MonotonicTime catalogAfter;
  private MonotonicTime listAfter;
  private MonotonicTime rentAfter;
  private MonotonicTime ledAt;
  private MonotonicTime returnAfter;
  private MonotonicTime consolidateAfter;
  private boolean leading;
  private boolean looksBack;
  private int renting;
  private boolean returning;
  private boolean listing;
  private long requests;

  public Autoscaler(
      Timers timers,
      HttpCaller http,
      ClusterStateCache cache,
      Settings settings,
      DemandForecast foresight,
      Supplier<Incarnation> life,
      Supplier<OperatorSettings> operators) {
    this.timers = timers;
    this.cloud =
        new CloudClient(
            timers, http, settings.cloudAddress(), settings.cloudLimits().requestsPerSecond());
    this.cache = cache;
    this.settings = settings;
    this.foresight = foresight;
    this.plans = new ScaleOutPolicy(cache, catalog);
    this.operators = operators;
    this.life = life;
    MonotonicTime now = timers.now();
    catalogAfter = now;
    listAfter = now;
    rentAfter = now;
    ledAt = now;
    returnAfter = now;
    consolidateAfter = now;
  }

  public void start() {
    timers.every(TICK, this::tick);
  }

  /** Called again and again while this controller leads. */
  void lead(Supplier<View> views) {
    if (!leading) {
      leading = true;
      booting.clear();
      idleSince.clear();
      unlistedSince.clear();
      unlisted.clear();
      wanted.clear();
      leaving.clear();
      leaving.addAll(gone);
      rentAfter = timers.now().plus(TimeSpan.ofSeconds(1.5)); // first hear what there is
      consolidateAfter = timers.now().plus(CONSOLIDATE_FIRST);
    }
    view = views;
    ledAt = timers.now();
  }

  void stop() {
    leading = false;
  }

  /** The machine types that the cloud offers, empty before it was asked. */
  Collection<MachineType> catalog() {
    return catalog.values();
  }

  /** Whether a machine is proven gone, and all that was on it. */
  boolean isGone(MachineId machine) {
    return gone.contains(machine);
  }

  /**
   * The machines that are to go back and should be given no more work, and those proven gone, as
   * far as they are in blocks.
   */
  Set<MachineId> leaving() {
    leaving.removeIf(machine -> cache.shardOf(machine) == null);
    return leaving;
  }

  /** The one place where a machine is marked as one to go back. */
  private void want(MachineId machine) {
    wanted.add(machine);
    leaving.add(machine);
  }

  /** How many machines there are or will be soon, as far as is known. */
  int expected() {
    return Math.max(listed.size(), cache.machineCount()) + booting.size();
  }

  void unmet(List<Admission.Unmet> now) {
    unmet = now;
  }

  /** Whether there was no block for tasks of a job when this was last looked at. */
  boolean isUnmet(JobId job) {
    return unmet.stream().anyMatch(need -> need.job().id().equals(job));
  }

  private void tick() {
    MonotonicTime now = timers.now();
    // A leader that has lost the state service may not lead any more: machines that report to it no
    // longer have new
    // holders, and returning them as silent would end all that runs on them.
    if (!leading || view == null || now.since(ledAt).isLongerThan(LED_LATELY)) {
      return;
    }
    refreshCatalog(now);
    refreshList(now);
    booting.keySet().removeIf(machine -> cache.shardOf(machine) != null || gone.contains(machine));
    // Renting is what work waits for; what may go back can be looked for half as often, at all
    // machines there are.
    looksBack = !looksBack;
    if (looksBack) {
      View current = view.get();
      room = new Room(current);
      consolidate(current, now);
      giveBack(returnable(current, now), now);
    }
    rent(now);
  }

  private void refreshCatalog(MonotonicTime now) {
    if (now.isBefore(catalogAfter) || !cloud.take()) {
      return;
    }
    catalogAfter = now.plus(cloud.backOff());
    cloud.catalog(
        types -> {
          if (types != null) {
            catalogAfter = timers.now().plus(CATALOG_EVERY);
            types.forEach(type -> catalog.put(type.name(), type));
          }
        });
  }

  private void refreshList(MonotonicTime now) {
    if (listing || now.isBefore(listAfter) || !cloud.take()) {
      return;
    }
    listing = true;
    readPage(null, new TreeMap<>(), now);
  }

  private void readPage(
      MachineId after, Map<MachineId, CloudCodec.CloudInstance> all, MonotonicTime begun) {
    cloud.list(
        after,
        page -> {
          listAfter = timers.now().plus(LIST_EVERY);
          listing = false;
          if (page == null) {
            return;
          }
          MachineId last = after;
          for (CloudCodec.CloudInstance machine : page.machines()) {
            all.put(machine.machine().id(), machine);
            last = machine.machine().id();
          }
          if (page.more() && last != null) {
            listing = true;
            readPage(last, all, begun);
            return;
          }
          listed.clear();
          listed.putAll(all);
          noteUnlisted(begun);
          MonotonicTime now = timers.now();
          for (CloudCodec.CloudInstance machine : all.values()) {
            if (machine.status() == CloudCodec.Status.BOOTING
                && cache.shardOf(machine.machine().id()) == null
                && !gone.contains(machine.machine().id())) {
              MachineKind kind =
                  new MachineKind(
                      machine.machine().type(), machine.machine().zone(), machine.machine().spot());
              booting.computeIfAbsent(
                  machine.machine().id(),
                  id -> new Booting(kind, new MonotonicTime(now.nanos() - machine.age().nanos())));
            }
          }
        });
  }

  /**
   * Marks machines of blocks that a list asked for at {@code begun} does not have. A machine stays
   * listed until it is gone, and a list is at most twice the lag old: one that was known to be
   * there before, and is in no list asked for that much later, is gone.
   */
  private void noteUnlisted(MonotonicTime begun) {
    unlisted.clear();
    unlistedSince
        .keySet()
        .removeIf(machine -> listed.containsKey(machine) || cache.shardOf(machine) == null);
    for (ShardLease block : cache.shards().values()) {
      for (MachineId machine : block.machines().keySet()) {
        if (!listed.containsKey(machine)
            && begun
                .since(unlistedSince.computeIfAbsent(machine, id -> begun))
                .isLongerThan(listedWithin())) {
          unlisted.add(machine);
        }
      }
    }
  }

  private TimeSpan listedWithin() {
    return settings.cloudLimits().listLag().times(2).plus(LIST_MARGIN);
  }

  // ---- returning ----

  private Set<MachineId> returnable(View current, MonotonicTime now) {
    Set<MachineId> back = new HashSet<>();
    boolean calm = isCalm(current);
    markIdle(current, calm, now);
    List<MachineId> silent = new ArrayList<>();
    boolean cutOff = isCutOff(current);
    for (Map.Entry<MachineId, PeerHeartbeat.MachineState> entry : current.machines().entrySet()) {
      PeerHeartbeat.MachineState state = entry.getValue();
      if (state.sick()) {
        want(entry.getKey());
      }
      boolean goes =
          cache.shardOf(entry.getKey()) != null
              && cache.shardOf(entry.getKey()).leaving().contains(entry.getKey());
      if (goes && (state.fenced() || state.sick()) && !state.open() && state.tasks() == 0) {
        back.add(entry.getKey());
      }
      if (state.silent().isLongerThan(patience(entry.getKey(), cutOff))
          && !current.strays().contains(entry.getKey())) {
        silent.add(entry.getKey());
      }
    }
    Map<String, Integer> all = perZone(current.machines().keySet());
    Map<String, Integer> unheard = perZone(silent);
    for (MachineId machine : silent) {
      // A few silent machines are dead or cut off, and returning them proves their tasks gone. Many
      // at once, or
      // much of a zone, are more likely a trouble between here and there, which passes: a zone that
      // is cut off
      // goes on working.
      String zone = cache.shardOf(machine).zone();
      if (silent.size() <= Math.max(2, current.machines().size() / 5)
          && unheard.get(zone) <= Math.max(2, all.get(zone) * MOST_SILENT_OF_ZONE)) {
        back.add(machine);
      }
    }
    // However many fall silent at once: those that the cloud does not list any more do not come
    // back. Returning them
    // is the proof, and without it the work of their blocks would wait for them for ever.
    for (MachineId machine : unlisted) {
      PeerHeartbeat.MachineState state = current.machines().get(machine);
      if (state != null
          && state.silent().isLongerThan(spotPatience())
          && !current.strays().contains(machine)) {
        back.add(machine);
      }
    }
    for (CloudCodec.CloudInstance machine : listed.values()) {
      MachineId id = machine.machine().id();
      MachineType type = cache.machineTypes().get(machine.machine().type());
      double boot = type == null ? 60 : type.bootTime().seconds();
      boolean placed = cache.shardOf(id) != null;
      boolean stuck = !placed && machine.age().seconds() > 5 * boot + 60;
      boolean unneeded = !placed && calm && machine.age().seconds() > 2 * boot;
      if (machine.status() == CloudCodec.Status.FAILED || stuck || unneeded) {
        back.add(id);
      }
    }
    back.removeAll(gone);
    return back;
  }

  private Map<String, Integer> perZone(Collection<MachineId> machines) {
    Map<String, Integer> count = new HashMap<>();
    machines.forEach(machine -> count.merge(cache.shardOf(machine).zone(), 1, Integer::sum));
    return count;
  }

  /**
   * How long a machine may be silent. A spot machine that falls silent has most likely been taken,
   * and returning it proves its tasks gone: unless ordinary machines, which nobody takes, fall
   * silent as well. Those are cut off: their tasks are over with their leases, and they may well
   * come back with their images. One that has died is listed as failed after a while.
   */
  private TimeSpan patience(MachineId machine, boolean cutOff) {
    boolean spot = cache.shardOf(machine) != null && cache.shardOf(machine).spot();
    return spot && !cutOff ? spotPatience() : settings.agentTimeouts().lease().plus(CUT_OFF_FOR);
  }

  private TimeSpan spotPatience() {
    return settings.agentTimeouts().heartbeatInterval().times(2.5).plus(TimeSpan.ofSeconds(3));
  }

  /**
   * Whether ordinary machines are silent as well as spot machines, so that a trouble of the network
   * is likelier.
   */
  private boolean isCutOff(View current) {
    int[] all = new int[2];
    int[] unheard = new int[2];
    current
        .machines()
        .forEach(
            (machine, state) -> {
              int kind = cache.shardOf(machine) != null && cache.shardOf(machine).spot() ? 1 : 0;
              all[kind]++;
              unheard[kind] += state.silent().isLongerThan(spotPatience()) ? 1 : 0;
            });
    return unheard[0] > 1 && ORDINARY_TO_SPOT * unheard[0] * all[1] > unheard[1] * all[0];
  }

  /** Marks machines that have had nothing to do for a while, as long as nothing waits for room. */
  private void markIdle(View current, boolean calm, MonotonicTime now) {
    idleSince.keySet().retainAll(current.machines().keySet());
    for (Map.Entry<MachineId, PeerHeartbeat.MachineState> entry : current.machines().entrySet()) {
      if (!entry.getValue().fenced()
          || entry.getValue().tasks() > 0
          || entry.getValue().queued() > 0) {
        idleSince.remove(entry.getKey());
        continue;
      }
      MonotonicTime since = idleSince.computeIfAbsent(entry.getKey(), id -> now);
      if (now.since(since).isLongerThan(keepIdle(entry.getKey()))
          && (calm || makesWay(entry.getKey(), now))
          && hasRoomElsewhere(entry.getKey(), Resources.NONE, current)) {
        want(entry.getKey());
        room.remove(entry.getKey(), current);
      }
    }
  }

  /**
   * Whether all that is unmet wants machines of other kinds, which the cloud refuses while it has
   * given so many of this one.
   */
  private boolean makesWay(MachineId machine, MonotonicTime now) {
    ShardLease block = cache.shardOf(machine);
    return block != null
        && operators.get().scaleIn()
        && plans.othersMakeWay(
            new MachineKind(block.type(), block.zone(), block.spot()), unmet, now);
  }

  /** How long an idle machine is kept: the longer, the longer another one would take to come up. */
  private TimeSpan keepIdle(MachineId machine) {
    ShardLease block = cache.shardOf(machine);
    MachineType type = block == null ? null : cache.machineTypes().get(block.type());
    TimeSpan idle = TimeSpan.ofSeconds(operators.get().idleSeconds());
    return type == null ? idle : idle.plus(type.bootTime().times(0.5));
  }

  /** A kind of machine wherever it is. */
  private record Sort(String type, boolean spot) {}

  /** What room the machines have, counted once for all questions of a tick. */
  private final class Room {
    private final Map<Sort, Integer> kept = new HashMap<>();
    private final Map<Sort, Integer> whole = new HashMap<>();
    private final Map<String, Integer> slots = new HashMap<>();
    private final Map<String, Resources> free = new HashMap<>();
    private final Map<Sort, List<Headroom>> large = new HashMap<>();

    Room(View view) {
      for (ShardLease block : cache.shards().values()) {
        Sort sort = new Sort(block.type(), block.spot());
        for (Headroom reserve : foresight.headroomFor(block.id(), timers.now())) {
          if (reserve.purpose() == Headroom.Purpose.LARGE_WORK) {
            kept.merge(sort, reserve.machines(), Integer::sum);
            large.computeIfAbsent(sort, s -> List.of(reserve));
          } else if (reserve.purpose() == Headroom.Purpose.REQUESTS) {
            promise(block.type(), reserve.total());
          }
        }
      }
      for (MachineId machine : view.machines().keySet()) {
        add(machine, view, 1);
      }
    }

    private boolean counts(MachineId machine, ShardLease block) {
      return block != null && !wanted.contains(machine) && !block.leaving().contains(machine);
    }

    private void add(MachineId machine, View view, int sign) {
      ShardLease block = cache.shardOf(machine);
      if (!counts(machine, block)) {
        return;
      }
      PeerHeartbeat.MachineState state = view.machines().get(machine);
      Sort sort = new Sort(block.type(), block.spot());
      for (Headroom reserve : large.getOrDefault(sort, List.of())) {
        whole.merge(sort, reserve.each().fitsIn(state.free()) ? sign : 0, Integer::sum);
      }
      if (!block.spot()) {
        slots.merge(block.type(), sign * slotsOf(state), Integer::sum);
        free.merge(block.type(), state.free().times(sign), Resources::plus);
      }
    }

    private int slotsOf(PeerHeartbeat.MachineState state) {
      Resources each = foresight.urgentTask();
      return each.cpus() > 0 ? state.free().capacityFor(each) : operators.get().spareTasks();
    }

    /** A machine that has just been marked counts no more. */
    void remove(MachineId machine, View view) {
      wanted.remove(machine);
      add(machine, view, -1);
      wanted.add(machine);
    }

    /** Room that is spoken for. */
    void promise(String type, Resources used) {
      Resources each = foresight.urgentTask();
      free.merge(type, used.times(-1), Resources::plus);
      slots.merge(
          type, each.cpus() > 0 ? -(int) Math.ceil(used.dominantShareOf(each)) : 0, Integer::sum);
    }

    /** Whether as many whole machines stay without this one as are kept for large work. */
    boolean leavesReserve(MachineId machine, ShardLease block, View view) {
      Sort sort = new Sort(block.type(), block.spot());
      int own = 0;
      for (Headroom reserve : large.getOrDefault(sort, List.of())) {
        PeerHeartbeat.MachineState state = view.machines().get(machine);
        own =
            state != null && counts(machine, block) && reserve.each().fitsIn(state.free()) ? 1 : 0;
      }
      return whole.getOrDefault(sort, 0) - own >= kept.getOrDefault(sort, 0);
    }
  }

  /** Whether nothing waits for room and nothing is going on that may soon ask for some. */
  private boolean isCalm(View current) {
    if (!operators.get().scaleIn() || !unmet.isEmpty() || !current.strays().isEmpty()) {
      return false;
    }
    long unfenced = current.machines().values().stream().filter(state -> !state.fenced()).count();
    return unfenced <= current.machines().size() / MACHINES_PER_UNFENCED
        && booting.values().stream().allMatch(this::isLate);
  }

  /** Whether a machine takes so much longer to boot than others that nobody counts on it. */
  private boolean isLate(Booting machine) {
    MachineType type = cache.machineTypes().get(machine.kind().type());
    return type != null
        && timers.now().since(machine.since()).isLongerThan(type.bootTime().times(2));
  }

  /**
   * Whether the other machines of the type have room for the tasks, and for some more urgent ones.
   */
  private boolean hasRoomElsewhere(MachineId machine, Resources tasks, View current) {
    ShardLease block = cache.shardOf(machine);
    if (block == null || !room.leavesReserve(machine, block, current)) {
      return false;
    }
    Resources each = foresight.urgentTask();
    int slots = room.slots.getOrDefault(block.type(), 0);
    Resources free = room.free.getOrDefault(block.type(), Resources.NONE);
    PeerHeartbeat.MachineState own = current.machines().get(machine);
    if (!block.spot() && room.counts(machine, block)) {
      slots -= room.slotsOf(own);
      free = free.minus(own.free());
    }
    int needed = each.cpus() > 0 ? (int) Math.ceil(tasks.dominantShareOf(each)) : 0;
    return slots >= needed + operators.get().spareTasks() && tasks.fitsIn(free);
  }

  /**
   * Empties the least used machine that holds only a few replicas, if the others have room for
   * them: a replica moves in a moment to a machine that has its image, and a machine that nobody
   * needs costs money until the day ends.
   */
  private void consolidate(View current, MonotonicTime now) {
    if (now.isBefore(consolidateAfter) || !isCalm(current)) {
      return;
    }
    consolidateAfter = now.plus(LOOK_FOR_THIN_EVERY);
    Map<MachineId, Double> thin = new HashMap<>();
    for (Map.Entry<MachineId, PeerHeartbeat.MachineState> entry : current.machines().entrySet()) {
      ShardLease block = cache.shardOf(entry.getKey());
      PeerHeartbeat.MachineState state = entry.getValue();
      if (block != null
          && state.movable()
          && state.tasks() > 0
          && state.tasks() <= MOST_MOVED_AT_ONCE
          && state.queued() == 0
          && !wanted.contains(entry.getKey())) {
        Resources capacity = cache.machineTypes().get(block.type()).capacity();
        double share = capacity.minus(state.free()).dominantShareOf(capacity);
        if (share <= MOST_USED_TO_EMPTY) {
          thin.put(entry.getKey(), share);
        }
      }
    }
    List<MachineId> order = new ArrayList<>(thin.keySet());
    order.sort(
        Comparator.comparing((MachineId machine) -> thin.get(machine))
            .thenComparing(machine -> machine));
    int most = 1 + current.machines().size() / MACHINES_PER_EMPTIED;
    Map<MachineId, Resources> taken = new HashMap<>();
    for (MachineId machine : order) {
      PeerHeartbeat.MachineState state = current.machines().get(machine);
      Resources used =
          cache.machineTypes().get(cache.shardOf(machine).type()).capacity().minus(state.free());
      if (most > 0
          && hasRoomElsewhere(machine, used, current)
          && hasRoomNearby(machine, used, state.imagesInUse(), taken, current)) {
        LOG.info("machine {} is emptied: its replicas have room elsewhere", machine);
        want(machine);
        room.remove(machine, current);
        room.promise(cache.shardOf(machine).type(), used);
        consolidateAfter = now.plus(CONSOLIDATE_EVERY);
        most--;
      }
    }
  }

  /**
   * Whether replicas find room and their images on other machines of their own block: their holder
   * then moves them in a moment, while by way of the pool, and with a fetch, they would be down for
   * seconds.
   */
  private boolean hasRoomNearby(
      MachineId machine,
      Resources used,
      List<String> images,
      Map<MachineId, Resources> taken,
      View current) {
    for (MachineId other : cache.shardOf(machine).machines().keySet()) {
      PeerHeartbeat.MachineState state = current.machines().get(other);
      if (!other.equals(machine)
          && state != null
          && state.open()
          && room.counts(other, cache.shardOf(other))
          && state.images().containsAll(images)
          && used.plus(taken.getOrDefault(other, Resources.NONE)).fitsIn(state.free())) {
        taken.merge(other, used, Resources::plus);
        return true;
      }
    }
    return false;
  }

  private void giveBack(Set<MachineId> back, MonotonicTime now) {
    if (back.isEmpty() || returning || now.isBefore(returnAfter) || !cloud.take()) {
      return;
    }
    List<MachineId> some = back.stream().sorted().limit(MOST_RETURNED_AT_ONCE).toList();
    returning = true;
    LOG.info("returning {}", some);
    cloud.giveBack(
        some,
        done -> {
          returning = false;
          if (done) {
            gone.addAll(some);
            leaving.addAll(some);
          } else {
            returnAfter = timers.now().plus(cloud.backOff());
          }
        });
  }

  // ---- renting ----

  private void rent(MonotonicTime now) {
    if (!operators.get().scaleOut()
        || renting > 0
        || now.isBefore(rentAfter)
        || unmet.isEmpty()
        || catalog.isEmpty()) {
      return;
    }
    for (Map.Entry<MachineKind, Integer> wish :
        plans
            .wishes(unmet, booting.values().stream().map(Booting::kind).toList(), now)
            .entrySet()) {
      if (renting < MOST_REQUESTS_AT_ONCE && cloud.take()) {
        rent(wish.getKey(), Math.min(wish.getValue(), MOST_AT_ONCE));
      }
    }
  }

  private void rent(MachineKind kind, int count) {
    String request = settings.self() + "-" + life.get() + "-" + ++requests;
    renting++;
    cloud.rent(
        request,
        kind.type(),
        kind.zone(),
        kind.spot(),
        count,
        rented -> {
          renting--;
          LOG.info(
              "rented {} of {} {} {} {}: {}",
              rented.machines().size(),
              count,
              kind.type(),
              kind.zone(),
              kind.spot() ? "spot" : "ordinary",
              rented.machines());
          for (MachineId machine : rented.machines()) {
            booting.put(machine, new Booting(kind, timers.now()));
          }
          if (rented.machines().size() < count) {
            plans.refused(kind, timers.now());
          }
          if (rented.machines().isEmpty() && !rented.noCapacity()) {
            rentAfter = timers.now().plus(cloud.backOff());
          }
        });
  }
}
