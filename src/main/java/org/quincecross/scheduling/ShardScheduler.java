package org.quincecross.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;

/**
 * The queues of a shard's machines, which are one another's neighbours: local backfilling limited
 * by counters, free machines pulling from the longest queues, and balancing of the queues (the
 * paper's sections IV.A to IV.C, in the PULL variant).
 */
public final class ShardScheduler {
  /** Work to be started, with the machine for each of its tasks. */
  public record Start(QueueEntry entry, List<MachineId> machines) {}

  private final Map<MachineId, MachineQueue> machines = new LinkedHashMap<>();
  private final Map<QueueEntry, MachineQueue> queueOf = new HashMap<>();
  private List<Headroom> headroom = List.of();
  private int[] left = new int[0];

  /** Adds a machine without tasks that accepts none yet. */
  public void addMachine(MachineId machine, Resources capacity, Predicate<String> hasImage) {
    machines.put(machine, new MachineQueue(machine, capacity, hasImage));
  }

  /** Removes a machine; its waiting work goes to the others. */
  public void removeMachine(MachineId machine) {
    MachineQueue removed = machines.remove(machine);
    if (removed != null) {
      for (QueueEntry entry : List.copyOf(removed.waiting())) {
        remove(entry);
        enqueue(entry);
      }
      removed.waiting().forEach(queueOf::remove);
    }
  }

  /** Sets the headroom to be kept. */
  public void setHeadroom(List<Headroom> newHeadroom) {
    headroom = newHeadroom;
    left = new int[newHeadroom.size()];
    recomputeHeadroom();
  }

  /** Whether a task of {@code entry} would use capacity of a machine that headroom is kept on. */
  private static boolean usesHeadroom(Headroom headroom, MachineQueue machine, QueueEntry entry) {
    return headroom.isWithheldFrom(entry.job(), machine.capacity())
        && splitsWholeMachine(headroom, machine, entry);
  }

  private static boolean splitsWholeMachine(
      Headroom headroom, MachineQueue machine, QueueEntry entry) {
    return headroomLost(headroom, machine, entry) > 0;
  }

  private static int headroomLost(Headroom headroom, MachineQueue machine, QueueEntry entry) {
    return headroom.countIn(machine.free())
        - headroom.countIn(machine.free().minus(entry.job().taskResources()));
  }

  private boolean splitsWholeMachine(MachineQueue machine, QueueEntry entry) {
    return headroom.stream()
        .anyMatch(
            headroom ->
                splitsWholeMachine(headroom, machine, entry)
                    && (headroom.isWithheldFrom(entry.job(), machine.capacity())
                        || headroom.isBetterAvoided(entry.job(), machine.capacity())));
  }

  private boolean mayStartOn(MachineQueue machine, QueueEntry entry) {
    if (!machine.fitsNow(entry) || machine.isPullingForHigherPriority(entry)) {
      return false;
    }
    for (int i = 0; i < headroom.size(); i++) {
      if (usesHeadroom(headroom.get(i), machine, entry)
          && left(i) - headroomLost(headroom.get(i), machine, entry) < headroom.get(i).machines()) {
        return false;
      }
    }
    return true;
  }

  /**
   * The number of machines with the capacity that a headroom is kept for; recomputed only after a
   * start.
   */
  private int left(int reserve) {
    if (left[reserve] < 0) {
      left[reserve] = 0;
      for (MachineQueue machine : machines.values()) {
        left[reserve] += machine.isOpen() ? headroom.get(reserve).countIn(machine.free()) : 0;
      }
    }
    return left[reserve];
  }

  private void recomputeHeadroom() {
    Arrays.fill(left, -1);
  }

  /** The queues of all machines. */
  public Collection<MachineQueue> machines() {
    return machines.values();
  }

  /** The queue of a machine, or null. */
  public MachineQueue machine(MachineId machine) {
    return machines.get(machine);
  }

  /**
   * Updates the resources used on a machine, how much of them can be preempted within a moment for
   * urgent work, and whether the machine accepts tasks.
   */
  public void update(MachineId machine, Resources used, Resources displaceable, boolean open) {
    MachineQueue queue = machines.get(machine);
    queue.use(used, displaceable);
    queue.open(open);
    recomputeHeadroom();
  }

  /**
   * Updates the images that a machine is pulling, with the highest priority of the work that waits
   * for each.
   */
  public void setImagesBeingPulled(MachineId machine, Map<String, Priority> images) {
    machines.get(machine).imagesBeingPulled(images);
  }

  /**
   * Puts work into the queue of the machine where it starts soonest; false if no machine could ever
   * run it.
   */
  public boolean enqueue(QueueEntry entry) {
    MachineQueue best = best(entryOrder(entry), machine -> machine.fitsEmptyMachine(entry));
    if (best == null) {
      return false;
    }
    best.add(entry);
    queueOf.put(entry, best);
    return true;
  }

  private MachineQueue best(Comparator<MachineQueue> order, Predicate<MachineQueue> may) {
    MachineQueue best = null;
    for (MachineQueue machine : machines.values()) {
      if (may.test(machine) && (best == null || order.compare(machine, best) < 0)) {
        best = machine;
      }
    }
    return best;
  }

  /** Moves an entry to the queue of the machine on which capacity is being freed for it. */
  public void move(QueueEntry entry, MachineId to) {
    if (queueOf.get(entry) != machines.get(to)) {
      remove(entry);
      machines.get(to).add(entry);
      queueOf.put(entry, machines.get(to));
    }
  }

  /**
   * The order in which new work prefers machines: one with capacity now, the image and the better
   * fit, else the shortest queue.
   */
  private Comparator<MachineQueue> entryOrder(QueueEntry entry) {
    return Comparator.comparing(
            (MachineQueue machine) -> !machine.isOpen() || entry.avoids(machine.machine()))
        .thenComparing(machine -> !(machine.fitsNow(entry) && machine.waiting().isEmpty()))
        .thenComparing(machine -> splitsWholeMachine(machine, entry))
        .thenComparing(machine -> machine.fitsNow(entry) && !machine.hasImage(entry))
        .thenComparing(
            machine -> machine.fitsNow(entry) && !machine.hasImage(entry) ? machine.isPulling() : 0)
        .thenComparing(MachineQueue::load)
        .thenComparing(machine -> machine.fit(entry))
        .thenComparing(MachineQueue::machine);
  }

  /** Removes an entry from its queue. */
  public void remove(QueueEntry entry) {
    MachineQueue queue = queueOf.remove(entry);
    if (queue != null) {
      queue.remove(entry);
    }
  }

  /** Whether an entry is in a queue. */
  public boolean isWaiting(QueueEntry entry) {
    return queueOf.containsKey(entry);
  }

  /** The work that waits in the shard, in no order. */
  public Collection<QueueEntry> waiting() {
    return queueOf.keySet();
  }

  /**
   * The waiting work that the machines which accept tasks could not start soon, last in the queue
   * first. Services do not end by themselves; of the remaining capacity {@code share} may be
   * overcommitted, and in any case by one task that fits at all. Gangs and urgent work are not
   * counted.
   *
   * @param standing the resources that services use on these machines
   */
  public List<QueueEntry> surplus(double share, Resources standing) {
    Resources capacity = Resources.NONE;
    Resources used = Resources.NONE;
    for (MachineQueue machine : machines.values()) {
      if (machine.isOpen()) {
        capacity = capacity.plus(machine.capacity());
        used = used.plus(machine.used());
      }
    }
    List<QueueEntry> waiting = new ArrayList<>();
    for (QueueEntry entry : queueOf.keySet()) {
      if (!isGang(entry) && !isStartedAsUrgent(entry)) {
        waiting.add(entry);
      }
    }
    waiting.sort(QueueEntry.ORDER);
    Resources drains = capacity.minus(standing).max(Resources.NONE);
    List<QueueEntry> surplus = new ArrayList<>();
    for (QueueEntry entry : waiting) {
      Resources each = entry.job().taskResources();
      Resources most =
          capacity.plus(each.fitsIn(drains) ? drains.times(share).max(each) : Resources.NONE);
      if (used.plus(each).fitsIn(most)) {
        used = used.plus(each);
      } else {
        surplus.add(0, entry);
      }
    }
    return surplus;
  }

  /** Decides what starts now. Started work counts as used and waits no more. */
  public List<Start> schedule(MonotonicTime now) {
    List<Start> starts = new ArrayList<>();
    if (queueOf.isEmpty()) {
      return starts;
    }
    startUrgent(now, starts);
    Set<MachineId> kept = startGangs(now, starts);
    for (MachineQueue machine : machines.values()) {
      while (machine.isOpen()
          && !kept.contains(machine.machine())
          && startFromQueue(machine, now, starts)) {
        // one more has started
      }
    }
    for (MachineQueue machine : machines.values()) {
      while (machine.isOpen()
          && !kept.contains(machine.machine())
          && pullFromNeighbour(machine, now, starts)) {
        // one more was pulled and has started
      }
    }
    balanceQueues();
    return starts;
  }

  /**
   * Work of the highest priority does not wait for the turn of one machine: it starts wherever it
   * fits best. If pulling its image would make it late, it waits instead for capacity next to its
   * image, if that can be freed at once.
   */
  private void startUrgent(MonotonicTime now, List<Start> starts) {
    List<QueueEntry> urgent = new ArrayList<>();
    for (QueueEntry entry : queueOf.keySet()) {
      if (entry.job().priority() == Priority.PRODUCTION && !isGang(entry) && entry.isReady(now)) {
        urgent.add(entry);
      }
    }
    urgent.sort(QueueEntry.ORDER);
    for (QueueEntry entry : urgent) {
      MachineQueue best = best(urgentOrder(entry), machine -> mayStartOn(machine, entry));
      boolean betterElsewhere =
          best != null
              && entry.avoidsImagePull()
              && !best.hasImage(entry)
              && machines.values().stream()
                  .anyMatch(machine -> machine.hasImage(entry) && machine.couldFit(entry));
      if (best != null && !betterElsewhere) {
        start(entry, List.of(best), starts);
      }
    }
  }

  /**
   * The order in which urgent work prefers machines, whoever else waits there: the image saves the
   * most time.
   */
  private Comparator<MachineQueue> urgentOrder(QueueEntry entry) {
    return Comparator.comparing((MachineQueue machine) -> !machine.hasImage(entry))
        .thenComparing(machine -> splitsWholeMachine(machine, entry))
        .thenComparing(machine -> machine.hasImage(entry) ? 0 : machine.isPulling())
        .thenComparing(machine -> machine.fit(entry))
        .thenComparing(MachineQueue::machine);
  }

  private void start(QueueEntry entry, List<MachineQueue> on, List<Start> starts) {
    remove(entry);
    List<MachineId> ids = new ArrayList<>();
    for (MachineQueue machine : on) {
      machine.allocate(entry.job().taskResources());
      ids.add(machine.machine());
    }
    recomputeHeadroom();
    starts.add(new Start(entry, ids));
  }

  /**
   * Starts gangs that fit as a whole. A gang that has been passed as often as the head of its queue
   * and still does not fit keeps the machines that are most likely to hold it free of further work,
   * so that small tasks do not starve it; the rest of the shard continues.
   *
   * @return the machines kept free
   */
  private Set<MachineId> startGangs(MonotonicTime now, List<Start> starts) {
    List<QueueEntry> gangs = new ArrayList<>();
    for (QueueEntry entry : queueOf.keySet()) {
      if (isGang(entry) && entry.isReady(now)) {
        gangs.add(entry);
      }
    }
    gangs.sort(QueueEntry.ORDER);
    Set<MachineId> kept = new HashSet<>();
    for (QueueEntry gang : gangs) {
      MachineQueue home = queueOf.get(gang);
      QueueEntry head = home.firstReady(now);
      if (gang.counter() < head.counter()
          || head.job().priority().isHigherThan(gang.job().priority())) {
        continue;
      }
      List<MachineQueue> places = gangPlaces(gang, kept, machine -> machine.free());
      if (places != null) {
        home.countPassedBy(gang, now);
        start(gang, places, starts);
        continue;
      }
      List<MachineQueue> keptFree = gangPlaces(gang, kept, MachineQueue::capacity);
      if (keptFree != null) {
        keptFree.forEach(machine -> kept.add(machine.machine()));
      }
    }
    return kept;
  }

  private static boolean isGang(QueueEntry entry) {
    return entry.job().kind() == JobKind.GANG;
  }

  /**
   * Where the tasks of a gang could go if each machine had {@code room}, or null if they do not all
   * fit.
   */
  private List<MachineQueue> gangPlaces(
      QueueEntry gang, Set<MachineId> kept, Function<MachineQueue, Resources> room) {
    List<MachineQueue> order = new ArrayList<>();
    for (MachineQueue machine : machines.values()) {
      if (machine.isOpen()
          && !kept.contains(machine.machine())
          && !gang.avoids(machine.machine())) {
        order.add(machine);
      }
    }
    order.sort(
        Comparator.comparing((MachineQueue machine) -> !machine.hasImage(gang))
            .thenComparing(machine -> machine.used().dominantShareOf(machine.capacity()))
            .thenComparing(MachineQueue::machine));
    List<MachineQueue> places = new ArrayList<>();
    for (MachineQueue machine : order) {
      int fit =
          Math.min(
              room.apply(machine).capacityFor(gang.job().taskResources()),
              gang.tasks().size() - places.size());
      for (int i = 0; i < fit; i++) {
        places.add(machine);
      }
    }
    return places.size() == gang.tasks().size() ? places : null;
  }

  /**
   * Local scheduling: the head starts if it fits. Else, among the entries whose counter is at least
   * the head's, the one with the least BM times FM starts, and the counter of everything that it
   * passes is incremented.
   */
  private boolean startFromQueue(MachineQueue machine, MonotonicTime now, List<Start> starts) {
    QueueEntry head = machine.firstReady(now);
    if (head == null || !machine.mayFitAny()) {
      return false;
    }
    if (!isGang(head) && !isStartedAsUrgent(head) && mayStartOn(machine, head)) {
      start(head, List.of(machine), starts);
      return true;
    }
    QueueEntry best = null;
    for (QueueEntry entry : machine.waiting()) {
      if (entry != head
          && !isGang(entry)
          && !isStartedAsUrgent(entry)
          && entry.isReady(now)
          && (entry.counter() >= head.counter() || isLent(entry))
          && mayStartOn(machine, entry)
          && (best == null || isBetter(machine, entry, best))) {
        best = entry;
      }
    }
    if (best == null) {
      return false;
    }
    machine.countPassedBy(best, now);
    start(best, List.of(machine), starts);
    return true;
  }

  /** Whether an entry's job is starving: it then counts as passed as often as any other. */
  private boolean isLent(QueueEntry entry) {
    return headroom.stream().anyMatch(headroom -> headroom.lentTo().contains(entry.job().id()));
  }

  /** Urgent work is started by {@link #startUrgent} alone. */
  private static boolean isStartedAsUrgent(QueueEntry entry) {
    return entry.job().priority() == Priority.PRODUCTION;
  }

  /** The higher priority, then the least BM times FM. */
  private static boolean isBetter(MachineQueue machine, QueueEntry one, QueueEntry other) {
    int byRank = one.job().priority().compareTo(other.job().priority());
    if (byRank != 0) {
      return byRank > 0;
    }
    if (machine.hasImage(one) != machine.hasImage(other)) {
      return machine.hasImage(one);
    }
    return machine.fit(one) < machine.fit(other);
  }

  /**
   * Internode scheduling: a machine with capacity pulls from the neighbour with the longest queue
   * that has an entry for it. A machine with waiting work of its own takes only entries whose
   * counter is at most its head's; one with an empty queue takes any that fits.
   */
  private boolean pullFromNeighbour(MachineQueue puller, MonotonicTime now, List<Start> starts) {
    if (!puller.mayFitAny()) {
      return false;
    }
    QueueEntry head = puller.firstReady(now);
    List<MachineQueue> neighbours = new ArrayList<>();
    for (MachineQueue machine : machines.values()) {
      if (machine != puller && !machine.waiting().isEmpty()) {
        neighbours.add(machine);
      }
    }
    neighbours.sort(
        Comparator.comparing((MachineQueue machine) -> -machine.waiting().size())
            .thenComparing(MachineQueue::machine));
    for (MachineQueue neighbour : neighbours) {
      QueueEntry best = null;
      for (QueueEntry entry : neighbour.waiting()) {
        if (!isGang(entry)
            && !isStartedAsUrgent(entry)
            && entry.isReady(now)
            && mayStartOn(puller, entry)
            && (head == null || entry.counter() <= head.counter() || isLent(entry))
            && (best == null || isBetter(puller, entry, best))) {
          best = entry;
        }
      }
      if (best != null) {
        start(best, List.of(puller), starts);
        return true;
      }
    }
    return false;
  }

  /**
   * Queue balancing: the least loaded machine that has some load pulls one entry from the most
   * loaded, if that lowers the larger of the two. In a shard all machines are alike, so each is
   * among its equals.
   */
  private void balanceQueues() {
    MachineQueue least = null;
    MachineQueue most = null;
    for (MachineQueue machine : machines.values()) {
      double load = machine.load();
      if (load > 0 && machine.isOpen() && (least == null || load < least.load())) {
        least = machine;
      }
      if (most == null || load > most.load()) {
        most = machine;
      }
    }
    if (least == null || most == least) {
      return;
    }
    QueueEntry best = null;
    double bestObjective = most.load();
    for (QueueEntry entry : most.waiting()) {
      if (!least.fitsEmptyMachine(entry) || entry.avoids(least.machine())) {
        continue;
      }
      double share =
          entry.job().taskResources().times(entry.tasks().size()).dominantShareOf(least.capacity());
      double objective = Math.max(least.load() + share, most.load() - share);
      if (objective < bestObjective - 1e-9) {
        best = entry;
        bestObjective = objective;
      }
    }
    if (best != null) {
      remove(best);
      least.add(best);
      queueOf.put(best, least);
    }
  }
}
