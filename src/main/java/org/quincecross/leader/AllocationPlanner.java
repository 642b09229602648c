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
import org.quincecross.model.ControllerId;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.peer.PeerViews;
import org.quincecross.scheduling.Admission;
import org.quincecross.scheduling.Headroom;
import org.quincecross.state.ShardLease;

/**
 * Plans the allocation of tasks to shards: admits pending jobs, and adds the allocations that have
 * changed to the leader's transaction.
 */
final class AllocationPlanner {
  private static final TimeSpan MAX_BATCHING_DELAY = TimeSpan.ofSeconds(2);

  /** A shard whose record would lose this many completed tasks is worth rewriting. */
  private static final int MAX_COMPLETED_IN_RECORD = 60;

  /** From this length on, the text of a job's tasks is measured rather than bounded. */
  private static final int LONG_TEXT = TaskSet.MAX_STORED_TEXT_LENGTH / 2;

  private final LeaderContext context;
  private final Autoscaler autoscaler;
  private final PendingDemand pendingDemand;
  private final AdmissionExtensions extensions;
  private final AllocationWriter writer;
  private final TransactionLimits limits;
  private final Map<ShardId, Admission.ShardCapacity> admissionShards = new TreeMap<>();
  private final ObservedCapacity observedCapacity = new ObservedCapacity();
  private final Set<ShardId> changedShards = new HashSet<>();
  private final Set<ShardId> staleShards = new HashSet<>();
  private final Map<ControllerId, Boolean> hadCurrentView = new HashMap<>();
  private final Map<ShardId, MonotonicTime> writtenAt = new HashMap<>();

  AllocationPlanner(
      LeaderContext context,
      Autoscaler autoscaler,
      PendingDemand pendingDemand,
      AdmissionExtensions extensions,
      AllocationWriter writer,
      TransactionLimits limits) {
    this.context = context;
    this.autoscaler = autoscaler;
    this.pendingDemand = pendingDemand;
    this.extensions = extensions;
    this.writer = writer;
    this.limits = limits;
  }

  /** Marks shards as changed: the next plan looks at them again. */
  void shardsChanged(Collection<ShardId> shards) {
    changedShards.addAll(shards);
  }

  /**
   * Admits pending jobs and adds the changed allocations to a transaction.
   *
   * @param leased shards whose lease changes in the same transaction; they are left alone
   * @param completed completions that are not durable yet
   * @return whether a changed allocation waits for others of its shard
   */
  boolean plan(TransactionBuilder transaction, Set<ShardId> leased, Map<JobId, TaskSet> completed) {
    refreshShards(completed);
    MonotonicTime now = context.timers().now();
    extensions.prepare(now);
    List<Admission.ShardCapacity> candidates = admit(leased, now);
    List<ShardId> due = new ArrayList<>();
    boolean waits = selectDue(candidates, now, due);
    // Writes are scarce: urgent work first, then the shards that were written least recently.
    due.sort(
        Comparator.comparing((ShardId id) -> !isUrgent(admissionShards.get(id)))
            .thenComparing(id -> writtenAt.getOrDefault(id, MonotonicTime.ZERO))
            .thenComparing(id -> id));
    for (ShardId id : due) {
      if (transaction.remaining() < 1) {
        break;
      }
      if (writer.put(transaction, id, nextAllocation(id))) {
        writtenAt.put(id, now);
      }
    }
    return waits;
  }

  private List<Admission.ShardCapacity> admit(Set<ShardId> leased, MonotonicTime now) {
    List<Admission.ShardCapacity> candidates = new ArrayList<>();
    Map<ShardId, List<Headroom>> headroom = new HashMap<>();
    admissionShards.forEach(
        (id, shard) -> {
          if (!leased.contains(id)) {
            candidates.add(shard);
            headroom.put(id, context.forecast().headroomForPlan(id, now));
            shard.setStableCapacity(observedCapacity.stableCapacity(id, now));
          }
        });
    autoscaler.unmet(
        extensions.admit(candidates, headroom, pendingDemand.collect(candidates, now)));
    return candidates;
  }

  /** Collects the shards to be written now; whether others are due and wait for more changes. */
  private boolean selectDue(
      List<Admission.ShardCapacity> candidates, MonotonicTime now, List<ShardId> due) {
    TimeSpan batchingDelay = batchingDelay();
    boolean waits = false;
    for (Admission.ShardCapacity shard : candidates) {
      MonotonicTime written = writtenAt.get(shard.id());
      boolean batched = written == null || now.since(written).isLongerThan(batchingDelay);
      boolean changed =
          shard.highestAdmittedPriority() != null
              || staleShards.contains(shard.id())
              || !released(shard.id()).isEmpty();
      if (changed && (isUrgent(shard) || batched)) {
        due.add(shard.id());
      }
      waits |= changed && !batched;
      if (shard.highestAdmittedPriority() != null) {
        // Next time, what was admitted is in the cache, or it was not written.
        changedShards.add(shard.id());
      }
    }
    return waits;
  }

  private static boolean isUrgent(Admission.ShardCapacity shard) {
    return shard.highestAdmittedPriority() == Priority.PRODUCTION;
  }

  private TimeSpan batchingDelay() {
    double secondsPerRound =
        context.cache().shards().size() / context.settings().storeLimits().writesPerSecond();
    return TimeSpan.ofSeconds(Math.min(MAX_BATCHING_DELAY.seconds(), secondsPerRound));
  }

  private Map<JobId, TaskSet> nextAllocation(ShardId id) {
    Map<JobId, TaskSet> next = new LinkedHashMap<>(context.allocationIndex().unfinishedTasks(id));
    for (TaskId task : released(id)) {
      next.computeIfPresent(task.job(), (job, tasks) -> tasks.without(task.index()));
    }
    admissionShards
        .get(id)
        .admitted()
        .forEach(
            (job, tasks) -> {
              TaskSet all = next.containsKey(job) ? next.get(job).copy() : new TaskSet();
              all.addAll(tasks);
              next.put(job, all);
            });
    return next;
  }

  /** Brings the admission's view of all changed shards up to date. */
  private void refreshShards(Map<JobId, TaskSet> completed) {
    changedShards.addAll(context.allocationIndex().takeChangedShards());
    for (ControllerId member : context.cache().members().keySet()) {
      boolean hasCurrentView = context.currentViews().of(member) != null;
      if (!Boolean.valueOf(hasCurrentView).equals(hadCurrentView.put(member, hasCurrentView))) {
        changedShards.addAll(context.cache().shards().keySet());
      }
    }
    for (ShardId id : changedShards) {
      ShardLease lease = context.cache().shard(id);
      if (lease == null) {
        forget(id);
      } else {
        refresh(lease, completed);
      }
    }
    changedShards.clear();
  }

  private void forget(ShardId id) {
    admissionShards.remove(id);
    observedCapacity.forget(id);
    staleShards.remove(id);
    writtenAt.remove(id);
  }

  private void refresh(ShardLease lease, Map<JobId, TaskSet> completed) {
    Admission.ShardCapacity shard =
        observedCapacity.admissionShard(
            lease,
            context.cache().machineTypes().get(lease.type()),
            context.currentViews().of(lease),
            limits.maxValueBytes(),
            context.timers().now());
    int[] keptCompleted = new int[1];
    context
        .allocationIndex()
        .forEachUnfinished(
            lease.id(),
            (job, tasks, open) -> {
              TaskSet done = completed.get(job.id());
              int completing = done == null ? 0 : tasks.intersectionSize(done);
              shard.count(job, open, open - completing, context.settings().isBestEffort(job));
              if (TaskSet.maxTextLength(job.taskCount(), open) > LONG_TEXT) {
                TaskSet stored = storedTasks(job.id(), tasks);
                shard.setTextLength(job.id(), stored.textLength());
                keptCompleted[0] += stored.size() - open;
              }
            });
    admissionShards.put(lease.id(), shard);
    int removable = context.allocationIndex().completedButAllocated(lease.id()) - keptCompleted[0];
    if (removable > MAX_COMPLETED_IN_RECORD) {
      staleShards.add(lease.id());
    } else {
      staleShards.remove(lease.id());
    }
  }

  /** The tasks that a record would name to keep a job's unfinished tasks. */
  private TaskSet storedTasks(JobId job, TaskSet recorded) {
    TaskSet completed = context.allocationIndex().get(job).completed();
    TaskSet unfinished = recorded.copy();
    unfinished.removeAll(completed);
    return StoredTasks.of(recorded, completed, TaskSet.MAX_STORED_TEXT_LENGTH).shortest(unfinished);
  }

  /**
   * The tasks that a shard's owner releases from the present allocation: a late report must not
   * remove tasks that were allocated again since. They count until the allocation without them is
   * durable, so only the next plan may allocate them elsewhere: this one's write may not find room
   * in the transaction.
   */
  private List<TaskId> released(ShardId id) {
    ShardLease lease = context.cache().shard(id);
    PeerViews.ShardView view = lease == null ? null : context.currentViews().of(lease);
    return view != null && view.allocation().equals(context.cache().allocation(id).version())
        ? view.released()
        : List.of();
  }
}
