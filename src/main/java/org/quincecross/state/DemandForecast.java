package org.quincecross.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TimeSpan;
import org.quincecross.replicated.StartBlock;
import org.quincecross.scheduling.Headroom;

/**
 * Watches what work comes and says what each block should keep free for work that has not come yet.
 */
public final class DemandForecast {
  /** Work of a kind that came lately comes again. */
  private static final TimeSpan REMEMBERED = TimeSpan.ofSeconds(300);

  /** Whole machines kept beyond those that waiting work needs, as long as such work is about. */
  private static final int SPARE = 2;

  /** For so many machines, room for one more task of the highest priority is kept. */
  private static final int MACHINES_PER_ROOM = 6;

  private static final TimeSpan LOOK_EVERY = TimeSpan.ofSeconds(1);

  /**
   * Of a block that keeps nothing free: what has waited long is to start there too, and not to
   * stand in its queue.
   */
  private static final Headroom NOTHING =
      new Headroom(Headroom.Purpose.LARGE_WORK, Resources.NONE, 0);

  private record Kind(String type, boolean spot) {}

  private record Seen(Resources each, MonotonicTime at) {}

  private final ClusterStateCache ledger;
  private final StartBlock withheld;
  private final Map<Kind, Seen> seen = new HashMap<>();
  private final Map<ShardId, List<Headroom>> reserves = new HashMap<>();
  private final Map<ShardId, List<Headroom>> plannedAround = new HashMap<>();
  private final StarvationTracker waits;
  private Seen urgent;
  private MonotonicTime computedAt;
  private ReservedCapacity requests;
  private long requestsSeen;

  public DemandForecast(ClusterStateCache ledger) {
    this(ledger, StartBlock.NONE);
  }

  /**
   * @param withheld tasks that may not run now, and for which nothing is to be kept free
   */
  public DemandForecast(ClusterStateCache ledger, StartBlock withheld) {
    this.ledger = ledger;
    this.withheld = withheld;
    waits = new StarvationTracker(ledger);
  }

  /** Has room kept for requests, too. */
  public void keep(ReservedCapacity rooms) {
    requests = rooms;
  }

  /** What a block keeps free when it starts work. */
  public List<Headroom> of(ShardId block, MonotonicTime now) {
    look(now);
    return reserves.getOrDefault(block, List.of());
  }

  /**
   * The same for a plan that gives work to blocks: what has just been given something has waited
   * long no more.
   */
  public List<Headroom> plannedAround(ShardId block, MonotonicTime now) {
    look(now);
    return plannedAround.getOrDefault(block, List.of());
  }

  private void look(MonotonicTime now) {
    // What should be kept free follows what has come in minutes: no need to look at everything at
    // every change.
    boolean others = requests != null && requests.version() != requestsSeen;
    if (computedAt == null || others || now.since(computedAt).isLongerThan(LOOK_EVERY)) {
      compute(now);
      computedAt = now;
    }
  }

  /**
   * What a task of the highest priority takes, of those seen lately; nothing if there were none.
   */
  public Resources urgentTask() {
    return urgent == null ? Resources.NONE : urgent.each();
  }

  private void compute(MonotonicTime now) {
    reserves.clear();
    Map<Kind, Integer> waiting = new HashMap<>();
    for (JobRecord record : ledger.openJobs()) {
      int mayRun = record.job().taskCount() - withheld.of(record.job()).size();
      if (mayRun <= 0 || ledger.pipelines().waits(record.id())) {
        continue;
      }
      if (record.job().priority() == Priority.PRODUCTION) {
        urgent = new Seen(record.job().taskResources(), now);
      } else {
        waits.look(record.id(), now);
      }
      for (MachineType type : ledger.types().values()) {
        look(record.job(), mayRun, type, waiting, now);
      }
    }
    waits.lookedAtAll();
    seen.values().removeIf(large -> now.since(large.at()).isLongerThan(REMEMBERED));
    seen.forEach((kind, large) -> share(kind, large, waiting.getOrDefault(kind, 0) + SPARE));
    keepForUrgent(now);
    if (requests != null) {
      requestsSeen = requests.version();
      requests
          .reserves()
          .forEach(
              (block, list) ->
                  reserves.computeIfAbsent(block, id -> new ArrayList<>()).addAll(list));
    }
    lend(waits.toPlan(now), waits.toStart(now));
  }

  /**
   * Guards against docs/incidents/kept-room-without-an-end.md: what is kept for work that may come,
   * or waits for its team's limit, is lent to what has waited long. While the cloud has more
   * machines, such work has some rented; at the end of its capacity nothing would ever start there.
   * Urgent work that comes takes it back at once, as it does from all lower priorities.
   */
  private void lend(Set<JobId> toPlan, Set<JobId> toStart) {
    plannedAround.clear();
    for (ShardId block : ledger.blocks().keySet()) {
      List<Headroom> kept = reserves.getOrDefault(block, List.of(NOTHING));
      plannedAround.put(block, lent(kept, toPlan));
      reserves.put(block, lent(kept, toStart));
    }
  }

  private static List<Headroom> lent(List<Headroom> kept, Set<JobId> jobs) {
    return kept.stream()
        .map(each -> each.purpose() == Headroom.Purpose.REQUESTS ? each : each.lentTo(jobs))
        .toList();
  }

  private void look(
      Job job, int tasks, MachineType type, Map<Kind, Integer> waiting, MonotonicTime now) {
    if (!Headroom.isLarge(job, type.capacity())
        || (job.machineTypes() != null && !job.machineTypes().contains(type.name()))) {
      return;
    }
    for (boolean spot : job.allowsSpot() ? new boolean[] {true, false} : new boolean[] {false}) {
      Kind kind = new Kind(type.name(), spot);
      Resources each = job.taskResources();
      Seen before = seen.get(kind);
      if (before != null) {
        each =
            new Resources(
                Math.max(each.cpus(), before.each().cpus()),
                Math.max(each.gpus(), before.each().gpus()),
                Math.max(each.memoryGb(), before.each().memoryGb()));
      }
      seen.put(kind, new Seen(each, now));
      if (ledger.blocksOf(job.id()).isEmpty()) {
        waiting.merge(kind, tasks, Integer::sum);
      }
    }
  }

  /** Divides so many whole machines among the blocks of a kind, by their size. */
  private void share(Kind kind, Seen large, int machines) {
    int all = 0;
    for (ShardLease block : ledger.blocks().values()) {
      all += isOf(block, kind) ? block.machines().size() : 0;
    }
    for (ShardLease block : ledger.blocks().values()) {
      if (isOf(block, kind)) {
        int share = (int) Math.ceil((double) machines * block.machines().size() / all);
        keep(
            block,
            new Headroom(
                Headroom.Purpose.LARGE_WORK,
                large.each(),
                Math.min(share, block.machines().size())));
      }
    }
  }

  private void keep(ShardLease block, Headroom reserve) {
    reserves.computeIfAbsent(block.id(), id -> new ArrayList<>()).add(reserve);
  }

  /** Every block of some size on ordinary machines keeps room for more services. */
  private void keepForUrgent(MonotonicTime now) {
    if (urgent == null || now.since(urgent.at()).isLongerThan(REMEMBERED)) {
      return;
    }
    for (ShardLease block : ledger.blocks().values()) {
      MachineType type = ledger.types().get(block.type());
      boolean small =
          type != null && urgent.each().fitsIn(type.capacity()) && type.capacity().gpus() == 0;
      if (!block.spot() && small && block.machines().size() >= 3) {
        int rooms = (block.machines().size() + MACHINES_PER_ROOM - 1) / MACHINES_PER_ROOM;
        keep(block, new Headroom(Headroom.Purpose.URGENT_WORK, urgent.each(), rooms));
      }
    }
  }

  private static boolean isOf(ShardLease block, Kind kind) {
    return block.type().equals(kind.type()) && block.spot() == kind.spot();
  }
}
