package org.quincecross.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.rollout.FeatureLevel;
import org.quincecross.state.Allocation;
import org.quincecross.state.CacheTestSupport;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.CompletedTasks;
import org.quincecross.state.FeatureLevelRecord;
import org.quincecross.state.JobRecord;
import org.quincecross.state.StoreKeys;

/**
 * A shard's full record is up to four times as large as a value may be now: it shrinks, and
 * released tasks are removed.
 */
class AllocationWriterTest {
  private static final ShardId SHARD = new ShardId("b");
  private static final int LIMIT = 1000;

  private final ClusterStateCache cache = new ClusterStateCache();
  private final AllocationIndex allocationIndex = new AllocationIndex(cache);
  private final AllocationWriter allocations = new AllocationWriter(cache, () -> false);
  private long revision;

  private void put(String key, Map<String, Object> value) {
    CacheTestSupport.put(cache, key, value, ++revision);
    CacheTestSupport.advance(cache, revision);
  }

  @SuppressWarnings("unchecked")
  private void apply(TransactionBuilder transaction) {
    revision++;
    for (Mutation change : transaction.mutations()) {
      assertTrue(
          change.value() == null || Json.write(change.value()).length <= LIMIT, change.key());
      CacheTestSupport.put(cache, change.key(), (Map<String, Object>) change.value(), revision);
    }
    CacheTestSupport.advance(cache, revision);
  }

  private static Map<String, Object> open(JobId id, int tasks) {
    return JobRecord.writeOpen(
        Job.builder(id)
            .jobClass("c")
            .team("t")
            .kind(JobKind.ARRAY)
            .priority(Priority.LOW)
            .taskCount(tasks)
            .taskResources(new Resources(1, 0, 1))
            .image("i")
            .imageGb(1)
            .estimate(TimeSpan.ZERO)
            .build(),
        0);
  }

  /** Fills a shard with a record as written when values could be larger. */
  private List<JobId> fill(Random random, int level) {
    cache.addListener(allocationIndex::cacheChanged);
    put(StoreKeys.LEVEL, FeatureLevelRecord.write(new FeatureLevel(level)));
    Map<JobId, TaskSet> tasks = new LinkedHashMap<>();
    List<JobId> jobs = new ArrayList<>();
    while (Json.write(Allocation.write(tasks)).length < 4 * LIMIT - 40) {
      JobId id = new JobId("job-" + (10_000 + jobs.size()));
      int count = 1 + random.nextInt(3);
      jobs.add(id);
      put(StoreKeys.job(id), open(id, count));
      tasks.put(id, TaskSet.range(count));
    }
    put(StoreKeys.allocation(SHARD), Allocation.write(tasks));
    return jobs;
  }

  /**
   * Tasks end and are released in any order: exactly the tasks that have neither ended nor been
   * released stay allocated.
   */
  @Property(tries = 40, seed = "8")
  void oversizedAllocationShrinks(@ForAll Random random) {
    fill(random, 2);
    Map<JobId, TaskSet> expected = allocationIndex.unfinishedTasks(SHARD);
    int refused = 0;
    for (int step = 0; step < 200 && !expected.isEmpty(); step++) {
      List<JobId> left = List.copyOf(expected.keySet());
      for (int i = 0; i < 4 && i < left.size(); i++) {
        end(left.get(random.nextInt(left.size())), random);
      }
      Map<JobId, TaskSet> next = allocationIndex.unfinishedTasks(SHARD);
      // Tasks end continuously; now and then some are released, a tenth in all.
      JobId back =
          random.nextInt(3) == 0 && !next.isEmpty()
              ? List.copyOf(next.keySet()).get(random.nextInt(next.size()))
              : null;
      if (back != null) {
        next.remove(back);
        TransactionBuilder transaction = new TransactionBuilder(cache, 4, LIMIT);
        refused += allocations.put(transaction, SHARD, next) ? 0 : 1;
        apply(transaction);
        assertEquals(next, allocationIndex.unfinishedTasks(SHARD));
      }
      expected = allocationIndex.unfinishedTasks(SHARD);
    }
    assertEquals(0, refused);
    assertTrue(
        Json.write(Allocation.write(cache.wholeAllocation(SHARD).tasks())).length <= LIMIT,
        "written whole again");
  }

  /** A task becomes durable as completed on a page, or with its job as a whole. */
  private void end(JobId id, Random random) {
    if (random.nextBoolean()) {
      put(StoreKeys.job(id), cache.job(id).writeDone());
    } else if (cache.job(id).job() != null && cache.job(id).job().taskCount() > 1) {
      TaskSet done = cache.completedTasks(id);
      done.add(random.nextInt(cache.job(id).job().taskCount() - 1));
      put(
          StoreKeys.completedPage(Integer.parseInt(id.digits())),
          CompletedTasks.writePage(Map.of(id, done)));
    }
  }

  /** Before feature level 2 nothing is written until the rest fits, and then all of it. */
  @Property(tries = 10, seed = "9")
  void waitsBeforeFeatureLevelTwo(@ForAll Random random) {
    List<JobId> jobs = fill(random, 1);
    boolean fitted = false;
    for (JobId id : jobs) {
      put(StoreKeys.job(id), cache.job(id).writeDone());
      TransactionBuilder transaction = new TransactionBuilder(cache, 4, LIMIT);
      boolean fits =
          Json.write(Allocation.write(allocationIndex.unfinishedTasks(SHARD))).length <= LIMIT;
      assertEquals(
          fits, allocations.put(transaction, SHARD, allocationIndex.unfinishedTasks(SHARD)));
      assertTrue(!fitted || fits);
      fitted = fits;
      apply(transaction);
    }
    assertTrue(fitted);
  }
}
