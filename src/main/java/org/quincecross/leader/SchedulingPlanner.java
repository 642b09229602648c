package org.quincecross.leader;

import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;

/**
 * Fills the leader's transactions: shard leases first, then completions and allocations, and
 * clean-up when there is nothing else to write.
 */
final class SchedulingPlanner {
  private static final TimeSpan SWEEP_INTERVAL = TimeSpan.ofSeconds(10);

  private final LeaderContext context;
  private final ShardLeaseManager leases;
  private final CompletionWriter completionWriter;
  private final AllocationPlanner allocationPlanner;
  private final AllocationWriter allocationWriter;
  private final FeatureLevelController featureLevels;
  private MonotonicTime sweptAt;
  private boolean completionsFirst;
  private boolean transactionFull;

  SchedulingPlanner(
      LeaderContext context,
      ShardLeaseManager leases,
      CompletionWriter completionWriter,
      AllocationPlanner allocationPlanner,
      AllocationWriter allocationWriter,
      FeatureLevelController featureLevels) {
    this.context = context;
    this.leases = leases;
    this.completionWriter = completionWriter;
    this.allocationPlanner = allocationPlanner;
    this.allocationWriter = allocationWriter;
    this.featureLevels = featureLevels;
    this.sweptAt = context.timers().now();
  }

  /** Whether the last transaction had no room for all changes. */
  boolean isTransactionFull() {
    return transactionFull;
  }

  /**
   * Adds changes to a transaction.
   *
   * @return whether known changes wait for others of their kind or for room in a transaction
   */
  boolean plan(TransactionBuilder transaction) {
    Set<ShardId> leased = leases.plan(transaction);
    // In a small budget, neither completions nor allocations may starve the other.
    completionsFirst = !completionsFirst;
    Map<JobId, TaskSet> completed = completionWriter.unrecordedCompletions();
    if (completionsFirst) {
      completionWriter.plan(transaction, completed);
    }
    boolean waits = allocationPlanner.plan(transaction, leased, completed);
    if (!completionsFirst) {
      completionWriter.plan(transaction, completed);
    }
    if (transaction.isEmpty()) {
      planSweep(transaction);
      waits |= planMigration(transaction);
    }
    transactionFull = transaction.remaining() < 1;
    return waits || transactionFull || !completed.isEmpty();
  }

  /** Deletes obsolete bundles at intervals. */
  private void planSweep(TransactionBuilder transaction) {
    if (SWEEP_INTERVAL.isLongerThan(context.timers().now().since(sweptAt))) {
      return;
    }
    sweptAt = context.timers().now();
    context.cache().obsoleteBundles().stream()
        .sorted()
        .limit(transaction.remaining())
        .forEach(transaction::delete);
  }

  /** Rewrites allocations that the coming feature level could not read; whether some are left. */
  private boolean planMigration(TransactionBuilder transaction) {
    for (ShardId id : featureLevels.shardsToRewrite()) {
      if (transaction.remaining() < 2) {
        return true;
      }
      allocationWriter.putFullRecord(transaction, id);
    }
    return false;
  }
}
