package org.quincecross.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
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
 * The tasks that a shard has of a large job end and are released in any order, so that those left
 * are scattered. Guards against an allocation that no controller can read
 * (docs/incidents/unreadable-allocation.md).
 */
class ScatteredAllocationTest {
  private static final ShardId SHARD = new ShardId("b");
  private static final JobId JOB = new JobId("job-412");
  private static final JobId OTHER = new JobId("job-413");
  private static final int MAX_VALUE_BYTES = 8128;

  /** The longest text that builds before this one read in a record. */
  private static final int MAX_TEXT_LENGTH = 4096;

  private final ClusterStateCache cache = new ClusterStateCache();
  private final AllocationIndex allocationIndex = new AllocationIndex(cache);
  private final AllocationWriter allocations = new AllocationWriter(cache, () -> false);
  private final TaskSet completed = new TaskSet();
  private long revision;

  private void put(String key, Map<String, Object> value) {
    CacheTestSupport.put(cache, key, value, ++revision);
    CacheTestSupport.advance(cache, revision);
  }

  private void start(int level, int jobTasks) {
    cache.addListener(allocationIndex::cacheChanged);
    put(StoreKeys.LEVEL, FeatureLevelRecord.write(new FeatureLevel(level)));
    put(StoreKeys.job(JOB), openJob(JOB, jobTasks));
    put(StoreKeys.job(OTHER), openJob(OTHER, 40));
  }

  private static Map<String, Object> openJob(JobId id, int tasks) {
    return JobRecord.writeOpen(
        Job.builder(id)
            .jobClass("c")
            .team("t")
            .kind(JobKind.ARRAY)
            .priority(Priority.LOW)
            .taskCount(tasks)
            .taskResources(new Resources(0.01, 0, 0.01))
            .image("i")
            .imageGb(1)
            .estimate(TimeSpan.ZERO)
            .build(),
        0);
  }

  private static TaskSet range(int from, int to) {
    TaskSet tasks = TaskSet.range(to);
    tasks.removeAll(TaskSet.range(from));
    return tasks;
  }

  /** Records tasks as completed, in chunks of the job's own. */
  private void complete(TaskSet tasks) {
    completed.addAll(tasks);
    for (int chunk = 0; chunk < 25; chunk++) {
      int first = completed.nextMember(chunk * CompletedTasks.CHUNK_SIZE);
      if (first >= 0 && first < (chunk + 1) * CompletedTasks.CHUNK_SIZE) {
        put(StoreKeys.completedChunk(JOB, chunk), CompletedTasks.write(completed, chunk));
      }
    }
  }

  /** Writes an allocation as the leader does; returns whether it was written. */
  @SuppressWarnings("unchecked")
  private boolean write(Map<JobId, TaskSet> next) {
    TransactionBuilder transaction = new TransactionBuilder(cache, 4, MAX_VALUE_BYTES);
    boolean written = allocations.put(transaction, SHARD, next);
    revision++;
    for (Mutation change : transaction.mutations()) {
      assertTextsAreShort(change.value());
      CacheTestSupport.put(cache, change.key(), (Map<String, Object>) change.value(), revision);
    }
    CacheTestSupport.advance(cache, revision);
    assertEquals(Map.of(), cache.unreadable());
    return written;
  }

  private static void assertTextsAreShort(Object value) {
    if (value instanceof Map<?, ?> fields) {
      fields.values().forEach(ScatteredAllocationTest::assertTextsAreShort);
    } else if (value instanceof String text) {
      assertTrue(text.length() <= MAX_TEXT_LENGTH, "a text of " + text.length());
    }
  }

  private static TaskSet sample(TaskSet tasks, int percent, Random random) {
    TaskSet sample = new TaskSet();
    for (int i = tasks.nextMember(0); i >= 0; i = tasks.nextMember(i + 1)) {
      if (random.nextInt(100) < percent) {
        sample.add(i);
      }
    }
    return sample;
  }

  /**
   * Nothing that was not released is lost, nothing is allocated that was not, and tasks of another
   * job are allocated meanwhile.
   */
  @Property(tries = 60, seed = "21")
  void scatteredTasksStayReadable(
      @ForAll Random random,
      @ForAll @IntRange(min = 1, max = 2) int level,
      @ForAll boolean isLargest) {
    new ScatteredAllocationTest().allocateAndRelease(random, level, isLargest ? 100_000 : 9_999);
  }

  private void allocateAndRelease(Random random, int level, int jobTasks) {
    start(level, jobTasks);
    int admitted = random.nextInt(jobTasks - 5_000);
    TaskSet wanted = range(admitted, admitted + 1_300);
    admitted += 1_300;
    for (int step = 0; step < 30; step++) {
      TaskSet before = cache.allocation(SHARD).tasks().getOrDefault(JOB, new TaskSet());
      TaskSet all = wanted.copy();
      all.addAll(before);
      assertTrue(write(Map.of(JOB, wanted, OTHER, TaskSet.range(step + 1))), "step " + step);
      Map<JobId, TaskSet> unfinished = allocationIndex.unfinishedTasks(SHARD);
      assertEquals(TaskSet.range(step + 1), unfinished.get(OTHER));
      TaskSet left = unfinished.getOrDefault(JOB, new TaskSet());
      TaskSet mustStay = before.copy();
      mustStay.removeAll(completed);
      assertEquals(
          mustStay.intersectionSize(wanted),
          mustStay.intersection(wanted).intersectionSize(left),
          "step " + step);
      assertEquals(left.size(), left.intersectionSize(all), "step " + step);
      complete(sample(left, random.nextInt(60), random));
      wanted = left.copy();
      wanted.removeAll(completed);
      wanted.removeAll(sample(wanted, 5, random));
      int more = random.nextInt(100);
      wanted.addAll(range(admitted, admitted + more));
      admitted += more;
    }
  }

  /** All tasks in order, then every other one is completed: the longest text that there is. */
  @Example
  void alternateTasksStayReadable() {
    start(1, 9_999);
    assertTrue(write(Map.of(JOB, range(2_000, 3_800))));
    TaskSet every = new TaskSet();
    for (int i = 2_000; i < 3_800; i += 2) {
      every.add(i);
    }
    complete(every);
    Map<JobId, TaskSet> unfinished = allocationIndex.unfinishedTasks(SHARD);
    assertEquals(900, unfinished.get(JOB).size());
    unfinished.put(OTHER, range(0, 1));
    assertTrue(write(unfinished));
    assertEquals(unfinished, allocationIndex.unfinishedTasks(SHARD));
  }

  /**
   * Released tasks between others leave gaps that nothing closes: they leave as far as they can.
   */
  @Example
  void releasedTasksLeaveAsFarAsTextPermits() {
    start(1, 9_999);
    assertTrue(write(Map.of(JOB, range(2_000, 4_000))));
    TaskSet kept = new TaskSet();
    for (int i = 2_000; i < 4_000; i += 2) {
      kept.add(i);
    }
    assertTrue(write(Map.of(JOB, kept)));
    TaskSet left = allocationIndex.unfinishedTasks(SHARD).get(JOB);
    assertEquals(kept.size(), left.intersectionSize(kept));
    assertTrue(left.size() < 1_500, "still " + left.size());
    complete(range(2_000, 2_800));
    assertTrue(write(Map.of(JOB, tail(kept, 2_800))));
    assertEquals(tail(kept, 2_800), allocationIndex.unfinishedTasks(SHARD).get(JOB));
  }

  private static TaskSet tail(TaskSet tasks, int from) {
    TaskSet tail = tasks.copy();
    tail.removeAll(TaskSet.range(from));
    return tail;
  }

  /** What an earlier build wrote is read, and replaced as soon as something else is allocated. */
  @Example
  void textOfEarlierBuildIsRead() {
    start(1, 9_999);
    TaskSet every = new TaskSet();
    for (int i = 1_000; i < 4_000; i += 2) {
      every.add(i);
    }
    put(StoreKeys.allocation(SHARD), Allocation.write(Map.of(JOB, every)));
    assertEquals(Map.of(), cache.unreadable());
    assertEquals(every, cache.allocation(SHARD).tasks().get(JOB));
    complete(range(1_000, 3_000));
    assertTrue(write(Map.of(JOB, tail(every, 3_000), OTHER, range(0, 1))));
    assertEquals(tail(every, 3_000), allocationIndex.unfinishedTasks(SHARD).get(JOB));
  }
}
