package org.quincecross.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.Team;

/**
 * Decides which pending tasks leave the pool of unallocated tasks, and for which shard. Team
 * limits, zones and spreading are enforced here, counting everything that is not proven gone. Tasks
 * are admitted only when their shard can start them soon, so that no work is stuck behind one
 * shard.
 */
public final class Admission {
  /**
   * The share of the capacity not used by services up to which a shard may be overcommitted with
   * array tasks, so that a short queue is there to start from. Services do not end by themselves: a
   * task queued behind them would wait without bound.
   */
  private static final double MAX_OVERCOMMIT = 0.15;

  /** A job that was declined by this many shards is no reason to launch more machines. */
  private static final int MAX_DECLINING_SHARDS = 3;

  /** The size of a job's item in an allocation record without its id and tasks. */
  private static final int ITEM_BYTES = 6;

  /**
   * The capacity on machines that have an image: what is free, and what preempting for urgent work
   * would free within a moment.
   */
  public record ImageRoom(Resources free, Resources preemptible) {
    /** The sum of both capacities. */
    public ImageRoom plus(ImageRoom other) {
      return new ImageRoom(free.plus(other.free), preemptible.plus(other.preemptible));
    }
  }

  /**
   * A shard as admission sees it. Counted tasks stay; admitted ones make it unusable for another
   * round.
   */
  public static final class ShardCapacity {
    private final ShardId id;
    private final String type;
    final String zone;
    private final boolean spot;
    private final Resources capacity;
    private final Resources machine;
    private final int machines;
    private final List<Resources> free;
    private final List<Resources> freeSoon;
    private final Map<String, ImageRoom> images;
    private final int maxBytes;
    private final Resources[] usedFrom = new Resources[Priority.values().length];
    private final Map<JobId, TaskSet> admitted = new LinkedHashMap<>();

    /** The resources used by best-effort work. */
    private Resources bestEffortUse = Resources.NONE;

    /** The resources used by services. */
    private Resources serviceUse = Resources.NONE;

    private Resources gangUse = Resources.NONE;

    /** The resources used by work that may borrow capacity reserved for requests. */
    private Resources lentUse = Resources.NONE;

    private Set<JobId> declined = Set.of();
    private Priority highestAdmittedPriority;

    /** The length of the text of a job's tasks in the allocation record. */
    private final Map<JobId, Integer> textLengths = new HashMap<>();

    private int gangTasks;
    private int admittedTasks;
    private List<Resources> stableCapacity = List.of();
    private int bytes;

    /**
     * The capacity withheld in this round for work that goes before all others and does not fit
     * yet.
     */
    private Resources withheld = Resources.NONE;

    /**
     * Whether work with a guaranteed start was admitted in this round; no queue may form that would
     * overtake it.
     */
    private boolean hasGuaranteedStart;

    /**
     * Creates a shard without tasks.
     *
     * @param capacity the capacity of the machines that accept tasks
     * @param free the free capacity of each of them
     * @param freeSoon the same, including array tasks, which end by themselves
     * @param images the images on machines of the shard, each with the free capacity there
     * @param maxBytes the maximum size of its allocation record
     */
    public ShardCapacity(
        ShardId id,
        String type,
        String zone,
        boolean spot,
        Resources capacity,
        List<Resources> free,
        List<Resources> freeSoon,
        Map<String, ImageRoom> images,
        int maxBytes) {
      this.id = id;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.capacity = capacity;
      this.machines = free.size();
      this.machine = machines == 0 ? Resources.NONE : capacity.times(1.0 / machines);
      this.free = free;
      this.freeSoon = freeSoon;
      this.images = new HashMap<>(images);
      this.maxBytes = maxBytes;
      Arrays.fill(usedFrom, Resources.NONE);
    }

    /** The shard's id. */
    public ShardId id() {
      return id;
    }

    Resources capacity() {
      return capacity;
    }

    boolean isSpot() {
      return spot;
    }

    /**
     * Counts tasks of a job that the shard already has.
     *
     * @param recorded how many of them its record contains
     * @param running how many of them still use capacity
     * @param bestEffort whether the job is best-effort
     */
    public void count(Job job, int recorded, int running, boolean bestEffort) {
      bytes += bytesFor(job, recorded);
      textLengths.put(job.id(), TaskSet.maxTextLength(job.taskCount(), recorded));
      use(job, running);
      if (bestEffort) {
        bestEffortUse = bestEffortUse.plus(job.taskResources().times(running));
      }
    }

    /**
     * Sets the length of the text of a counted job's tasks; without it, the longest is assumed that
     * so many tasks may have.
     */
    public void setTextLength(JobId job, int length) {
      textLengths.put(job, length);
    }

    /**
     * Whether the text of a job's tasks stays short enough to be stored with so many more. A gang
     * comes and goes as a whole, which is one range.
     */
    private boolean hasTextRoom(Job job, int tasks) {
      if (job.kind() == JobKind.GANG) {
        return true;
      }
      return textLengths.getOrDefault(job.id(), 0) + TaskSet.maxTextLength(job.taskCount(), tasks)
          <= TaskSet.MAX_STORED_TEXT_LENGTH;
    }

    /** Marks jobs that have failed on every machine of the shard. */
    public void decline(Set<JobId> jobs) {
      declined = jobs;
    }

    /** Sets, for each machine, the capacity that has been free for a while. */
    public void setStableCapacity(List<Resources> rooms) {
      stableCapacity = rooms;
    }

    private void use(Job job, int tasks) {
      Resources more = job.taskResources().times(tasks);
      for (int priority = 0; priority <= job.priority().ordinal(); priority++) {
        usedFrom[priority] = usedFrom[priority].plus(more);
      }
      if (job.kind() == JobKind.SERVICE) {
        serviceUse = serviceUse.plus(more);
      } else if (job.kind() == JobKind.GANG) {
        gangUse = gangUse.plus(more);
      } else if (Headroom.mayBorrow(job)) {
        lentUse = lentUse.plus(more);
      }
    }

    /** The tasks that were admitted to this shard. */
    public Map<JobId, TaskSet> admitted() {
      return admitted;
    }

    /** The highest priority of the admitted tasks, or null if there are none. */
    public Priority highestAdmittedPriority() {
      return highestAdmittedPriority;
    }

    /**
     * 0 if there is capacity next to a job's image, 1 if it can be made, 2 if the image is present,
     * 3 otherwise.
     */
    int imageGrade(Job job) {
      ImageRoom room = images.get(job.image());
      return room == null
          ? 3
          : job.taskResources().fitsIn(room.free())
              ? 0
              : job.taskResources().fitsIn(room.free().plus(room.preemptible())) ? 1 : 2;
    }

    /** The share of the capacity that is used, by work of any priority. */
    double usedShare() {
      return usedFrom(Priority.LOW).dominantShareOf(capacity);
    }

    private Resources usedFrom(Priority priority) {
      return usedFrom[priority.ordinal()];
    }

    Resources free() {
      return capacity.minus(usedFrom(Priority.LOW));
    }

    /** The number of tasks of a job that fit now, besides those admitted in this round. */
    int placesNow(Job job) {
      return countPlaces(job, free);
    }

    int placesSoon(Job job) {
      return countPlaces(job, freeSoon);
    }

    private int countPlaces(Job job, List<Resources> rooms) {
      int places = 0;
      for (Resources room : rooms) {
        places += room.capacityFor(job.taskResources());
      }
      return places - gangTasks;
    }

    private int bytesFor(Job job, int tasks) {
      return job.id().digitCount() + ITEM_BYTES + TaskSet.maxTextLength(job.taskCount(), tasks);
    }

    private void admit(Job job, int index) {
      TaskSet set = admitted.get(job.id());
      if (set == null) {
        set = new TaskSet();
        admitted.put(job.id(), set);
        bytes += bytesFor(job, 0);
      }
      set.add(index);
      bytes += bytesFor(job, 1) - bytesFor(job, 0);
      textLengths.merge(job.id(), TaskSet.maxTextLength(job.taskCount(), 1), Integer::sum);
      use(job, 1);
      images.computeIfPresent(
          job.image(),
          (image, room) ->
              new ImageRoom(room.free().minus(job.taskResources()), room.preemptible()));
      if (highestAdmittedPriority == null || job.priority().isHigherThan(highestAdmittedPriority)) {
        highestAdmittedPriority = job.priority();
      }
    }
  }

  /**
   * The place of a job in the order of admission, among jobs that are equally within or beyond
   * their guarantee.
   */
  public enum Place {
    /**
     * Before all priorities but the highest, guaranteed or not: the job has not started and has
     * waited as long as it may.
     */
    GUARANTEED_START,
    /** Before all priorities but the highest: it is its team's turn. */
    ROUND_ROBIN_TURN,
    /** By priority and due time. */
    BY_PRIORITY,
    /** After all others of its priority. */
    DEPRIORITIZED
  }

  /** Tasks of a job for which no shard had capacity. */
  public record Unmet(Job job, int tasks, Map<String, Integer> perZone) {}

  private final Collection<ShardCapacity> shards;
  private final Map<String, Team> teams;
  private final Map<String, Resources> teamUsage;
  private final HeadroomPlan headroom;
  private final Map<EquivalenceClass, List<Resources>> rejectedNeeds = new HashMap<>();
  private long shardsExamined;

  /**
   * Whether capacity is gathered in this round for a starving gang, although it has no earlier
   * place.
   */
  private boolean gathersCapacity;

  /** The highest priority among the pending work, apart from the very highest. */
  private Priority highest = Priority.LOW;

  /**
   * Creates a round.
   *
   * @param teamUse the resources of each team's tasks that are not proven gone
   * @param reserves the headroom that shards keep
   */
  public Admission(
      Collection<ShardCapacity> shards,
      Map<String, Team> teams,
      Map<String, Resources> teamUse,
      Map<ShardId, List<Headroom>> reserves) {
    this.shards = shards;
    this.teams = teams;
    this.teamUsage = new HashMap<>(teamUse);
    this.headroom = new HeadroomPlan(reserves, shards);
  }

  /** The capacity of some shards for arrays: what services and gangs do not use. */
  public static Resources roomForArrays(Collection<ShardCapacity> shards) {
    Resources room = Resources.NONE;
    for (ShardCapacity shard : shards) {
      room =
          room.plus(
              shard.capacity.minus(shard.serviceUse).minus(shard.gangUse).max(Resources.NONE));
    }
    return room;
  }

  /** How often a shard was examined for a job, as a measure of work. */
  public long shardsExamined() {
    return shardsExamined;
  }

  /**
   * Admits what can be admitted, the most urgent first; returns the tasks for which no shard has
   * capacity.
   */
  public List<Unmet> run(List<JobDemand> demands) {
    List<JobDemand> order = new ArrayList<>(demands);
    order.sort(
        Comparator.comparing((JobDemand demand) -> demand.job().priority() != Priority.PRODUCTION)
            .thenComparing(demand -> demand.place() != Place.GUARANTEED_START)
            .thenComparing(
                demand -> demand.place() != Place.GUARANTEED_START && !demand.guaranteed())
            .thenComparing(demand -> demand.place() != Place.ROUND_ROBIN_TURN)
            .thenComparing(
                demand ->
                    demand.place() == Place.GUARANTEED_START
                        ? Priority.PRODUCTION
                        : demand.job().priority(),
                Comparator.reverseOrder())
            .thenComparing(JobDemand::place)
            .thenComparing(JobDemand::order)
            .thenComparing(JobDemand::accepted)
            .thenComparing(demand -> demand.job().id()));
    shards.forEach(shard -> shard.withheld = Resources.NONE);
    shards.forEach(shard -> shard.hasGuaranteedStart = false);
    highest =
        order.stream()
            .map(demand -> demand.job().priority())
            .filter(priority -> priority != Priority.PRODUCTION)
            .max(Comparator.naturalOrder())
            .orElse(Priority.LOW);
    gathersCapacity = false;
    List<Unmet> unmet = new ArrayList<>();
    for (JobDemand demand : order) {
      Map<String, Integer> perZone = new TreeMap<>(demand.perZone());
      int left =
          demand.job().kind() == JobKind.GANG ? admitGang(demand) : admitTasks(demand, perZone);
      if (left > 0) {
        unmet.add(new Unmet(demand.job(), left, perZone));
      }
    }
    return unmet;
  }

  /** The number of tasks of a job that its team's limit allows. */
  private int withinLimit(Job job) {
    Team team = teams.get(job.team());
    return team == null
        ? 0
        : team.limit()
            .minus(teamUsage.getOrDefault(job.team(), Resources.NONE))
            .minus(headroom.keptForOtherClasses(job))
            .capacityFor(job.taskResources());
  }

  private void admit(Job job, int index, ShardCapacity shard) {
    shard.admittedTasks++;
    shard.admit(job, index);
    teamUsage.merge(job.team(), job.taskResources(), Resources::plus);
    headroom.recordAdmitted(job, shard.zone);
  }

  /** Jobs that find capacity in the same shards, apart from how much their tasks need. */
  private record EquivalenceClass(
      Set<String> types,
      String zone,
      boolean spot,
      boolean array,
      Priority priority,
      boolean urgent,
      String headroomKey) {}

  /**
   * Returns the number of tasks for which no shard has capacity, without those that wait for their
   * team's limit. Each shard is examined once for a job, and again only if its place in the order
   * may have changed. No shard is examined if an equivalent job that needs no more has found no
   * capacity.
   */
  private int admitTasks(JobDemand demand, Map<String, Integer> perZone) {
    Job job = demand.job();
    int left = Math.min(demand.pool().size(), withinLimit(job));
    if (left == 0) {
      if (demand.place() == Place.GUARANTEED_START) {
        reserveCapacityFor(
            demand,
            1); // until the team's running work ends, no tasks of it with a lower place start
      }
      return 0;
    }
    // If the place of one task may change where the next may go, all shards are examined for each.
    boolean zoneBound = job.spreadOverZones() || job.singleZone();
    boolean large = shards.stream().anyMatch(shard -> Headroom.isLarge(job, shard.machine));
    EquivalenceClass equivalence =
        zoneBound || large || demand.place() == Place.GUARANTEED_START
            ? null
            : new EquivalenceClass(
                job.machineTypes(),
                job.zone(),
                job.allowsSpot(),
                job.kind() == JobKind.ARRAY,
                job.priority(),
                demand.isUrgent(),
                headroom.headroomKey(job));
    if (equivalence != null
        && rejectedNeeds.getOrDefault(equivalence, List.of()).stream()
            .anyMatch(need -> need.fitsIn(job.taskResources()))) {
      return left;
    }
    PriorityQueue<PlacementCandidate> candidates = zoneBound ? null : candidates(demand, perZone);
    for (int index = demand.pool().nextMember(0);
        left > 0;
        index = demand.pool().nextMember(index + 1)) {
      PriorityQueue<PlacementCandidate> current =
          zoneBound ? candidates(demand, perZone) : candidates;
      PlacementCandidate best = current.poll();
      if (best == null) {
        if (demand.place() == Place.GUARANTEED_START) {
          reserveCapacityFor(demand, 1);
        }
        int declines = decliningShards(job, shards);
        if (equivalence != null && declines == 0) {
          rejectedNeeds
              .computeIfAbsent(equivalence, a -> new ArrayList<>())
              .add(job.taskResources());
        }
        return isFaultyJob(declines) ? 0 : left;
      }
      ShardCapacity shard = best.shard();
      admit(job, index, shard);
      shard.hasGuaranteedStart |= mayBeOvertaken(demand);
      perZone.merge(shard.zone, 1, Integer::sum);
      left--;
      if (!zoneBound && hasRoom(demand, 1, shard)) {
        candidates.add(
            new PlacementCandidate(
                shard,
                demand,
                usesHeadroom(job, shard),
                0,
                headroom.unusedInZone(job, shard.id, shard.zone)));
      }
    }
    return 0;
  }

  private PriorityQueue<PlacementCandidate> candidates(
      JobDemand demand, Map<String, Integer> perZone) {
    PriorityQueue<PlacementCandidate> candidates = new PriorityQueue<>();
    Job job = demand.job();
    for (ShardCapacity shard : shards) {
      shardsExamined++;
      if (isEligible(job, shard, perZone) && hasRoom(demand, 1, shard)) {
        candidates.add(
            new PlacementCandidate(
                shard,
                demand,
                usesHeadroom(job, shard),
                job.spreadOverZones() ? perZone.getOrDefault(shard.zone, 0) : 0,
                headroom.unusedInZone(job, shard.id, shard.zone)));
      }
    }
    return candidates;
  }

  /** A gang goes to one shard as a whole. */
  private int admitGang(JobDemand demand) {
    Job job = demand.job();
    if (demand.pool().size() < job.taskCount()) {
      return 0; // some of its tasks may still run
    }
    if (withinLimit(job) < job.taskCount()) {
      if (demand.place() == Place.GUARANTEED_START
          && teams.containsKey(job.team())
          && teams.get(job.team()).limit().capacityFor(job.taskResources()) >= job.taskCount()) {
        reserveCapacityFor(
            demand,
            job.taskCount()); // until the team's running work ends, no tasks of it with a lower
        // place start
      }
      return 0;
    }
    // Prefers shards where the gang can start now, or where most of it could: capacity spread over
    // many machines is of no use to it.
    ShardCapacity best = null;
    for (ShardCapacity shard : shards) {
      shardsExamined++;
      if (isEligible(job, shard, Map.of())
          && hasRoom(demand, job.taskCount(), shard)
          && (!job.spreadOverZones() || job.taskCount() <= job.maxTasksPerZone())
          && (best == null || PlacementCandidate.gangOrder(demand).compare(shard, best) < 0)) {
        best = shard;
      }
    }
    if (best == null) {
      boolean gathersForThis =
          headroom.isLent(job)
              && !gathersCapacity; // one gang at a time, so that other work finds capacity
      // meanwhile
      gathersCapacity |= gathersForThis;
      if (demand.place() == Place.ROUND_ROBIN_TURN
          || demand.place() == Place.GUARANTEED_START
          || gathersForThis) {
        reserveCapacityFor(demand, job.taskCount());
      }
      return isFaultyJob(decliningShards(job, shards)) ? 0 : job.taskCount();
    }
    for (int index = 0; index < job.taskCount(); index++) {
      admit(job, index, best);
    }
    best.gangTasks += job.taskCount();
    best.hasGuaranteedStart |= mayBeOvertaken(demand);
    return 0;
  }

  /**
   * Withholds capacity for work that goes before others and fits nowhere. Otherwise small tasks
   * would always take whatever becomes free. One shard keeps capacity for it from all but the
   * highest priority until it fits: the shard whose arrays leave the most capacity when they end,
   * and that is used least, so that the next round chooses it again. The same amount of its team's
   * limit is withheld.
   */
  private void reserveCapacityFor(JobDemand demand, int tasks) {
    Job job = demand.job();
    ShardCapacity best = null;
    for (ShardCapacity shard : shards) {
      boolean couldHold =
          isEligible(job, shard, demand.perZone())
              && shard.machine.capacityFor(job.taskResources()) * shard.machines >= tasks
              && shard
                  .withheld
                  .plus(job.taskResources().times(tasks))
                  .fitsIn(shard.capacity.minus(shard.serviceUse));
      if (couldHold && (best == null || withholdingOrder(job, tasks).compare(shard, best) < 0)) {
        best = shard;
      }
    }
    if (best != null) {
      best.withheld = best.withheld.plus(job.taskResources().times(tasks));
      if (demand.place() == Place.GUARANTEED_START) {
        teamUsage.merge(job.team(), job.taskResources().times(tasks), Resources::plus);
      }
    }
  }

  private static Comparator<ShardCapacity> withholdingOrder(Job job, int tasks) {
    return Comparator.comparing((ShardCapacity shard) -> -Math.min(tasks, shard.placesSoon(job)))
        .thenComparing(
            shard ->
                shard.usedFrom(Priority.LOW).plus(shard.withheld).dominantShareOf(shard.capacity))
        .thenComparing(ShardCapacity::id);
  }

  /** The number of shards that declined a job. */
  public static int decliningShards(Job job, Collection<ShardCapacity> shards) {
    int declines = 0;
    for (ShardCapacity shard : shards) {
      declines += shard.declined.contains(job.id()) ? 1 : 0;
    }
    return declines;
  }

  /** The number of shards with machines that a job's tasks may run on, whatever else is there. */
  public static int eligibleShards(Job job, Collection<ShardCapacity> shards) {
    int count = 0;
    for (ShardCapacity shard : shards) {
      count +=
          job.allows(shard.type, shard.zone, shard.spot)
                  && job.taskResources().fitsIn(shard.machine)
              ? 1
              : 0;
    }
    return count;
  }

  /** Whether the job itself is at fault: no machines should be launched for it to fail on. */
  private static boolean isFaultyJob(int declines) {
    return declines >= MAX_DECLINING_SHARDS;
  }

  private static boolean isEligible(Job job, ShardCapacity shard, Map<String, Integer> perZone) {
    if (!job.allows(shard.type, shard.zone, shard.spot) || shard.declined.contains(job.id())) {
      return false;
    }
    if (job.singleZone() && !perZone.isEmpty() && !perZone.containsKey(shard.zone)) {
      return false;
    }
    return !job.spreadOverZones() || perZone.getOrDefault(shard.zone, 0) < job.maxTasksPerZone();
  }

  /** Whether a job that may use headroom would have to use it in this shard. */
  private boolean usesHeadroom(Job job, ShardCapacity shard) {
    return !job.taskResources()
        .fitsIn(
            shard
                .capacity
                .minus(headroom.preferablyAvoided(job, shard.id, shard.machine))
                .minus(shard.usedFrom(Priority.LOW)));
  }

  /**
   * Whether a job with a guaranteed start could be overtaken repeatedly by work of a higher
   * priority in a shard's queue.
   */
  private boolean mayBeOvertaken(JobDemand demand) {
    return demand.place() == Place.GUARANTEED_START
        && highest.isHigherThan(demand.job().priority());
  }

  private boolean hasRoom(JobDemand demand, int tasks, ShardCapacity shard) {
    Job job = demand.job();
    if (shard.machines == 0
        || shard.bytes + shard.bytesFor(job, tasks) > shard.maxBytes
        || !shard.hasTextRoom(job, tasks)) {
      return false;
    }
    if (headroom.isLent(job)
        && shard.countPlaces(job, shard.stableCapacity) - shard.admittedTasks >= tasks) {
      return true; // the capacity has been free for a while, so the work that waits in this shard
      // does not fit it
    }
    boolean mustLeaveWithheld =
        job.priority() != Priority.PRODUCTION
            && (shard.hasGuaranteedStart || !shard.withheld.equals(Resources.NONE));
    boolean mayPreempt =
        demand.isUrgent()
            && !mustLeaveWithheld; // capacity that is being gathered must not be taken by
    // preemption
    // Work that the headroom is kept for, and that runs there already, counts as used.
    Resources reserved =
        headroom.withheldFrom(
            job,
            shard.id,
            shard.machine,
            mayPreempt ? Resources.NONE : shard.lentUse,
            demand.place() == Place.GUARANTEED_START);
    Resources capacity =
        job.kind() == JobKind.ARRAY
                && reserved == null
                && !mustLeaveWithheld
                && !mayBeOvertaken(demand)
            ? shard.capacity.plus(
                shard.capacity.minus(shard.serviceUse).max(Resources.NONE).times(MAX_OVERCOMMIT))
            : shard.capacity;
    Resources unavailable =
        (mustLeaveWithheld ? shard.withheld : Resources.NONE)
            .plus(reserved == null ? Resources.NONE : reserved);
    Resources room =
        capacity
            .minus(unavailable)
            .minus(shard.usedFrom(mayPreempt ? job.priority() : Priority.LOW));
    if (!mayPreempt && job.priority().isHigherThan(Priority.LOW)) {
      room =
          room.plus(
              shard.bestEffortUse); // best-effort work gives way to all other work, urgent or not
    }
    return job.taskResources().times(tasks).fitsIn(room)
        && shard.machine.capacityFor(job.taskResources()) * shard.machines >= tasks;
  }
}
