package org.quincecross.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.rollout.Build;
import org.quincecross.state.Allocation;
import org.quincecross.state.CacheTestSupport;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.CompletedTasks;
import org.quincecross.state.ControllerRecord;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ShardLease;
import org.quincecross.state.StoreKeys;

class AllocationIndexTest {
  private static final int JOBS = 8;
  private static final int TASKS = 12;
  private static final int SHARDS = 4;

  private final ClusterStateCache cache = new ClusterStateCache();
  private final AllocationIndex allocationIndex = new AllocationIndex(cache);
  private long revision;

  AllocationIndexTest() {
    cache.addListener(allocationIndex::cacheChanged);
  }

  private static Job job(int number) {
    return Job.builder(new JobId("job-" + number))
        .jobClass("c")
        .team(number % 2 == 0 ? "even" : "odd")
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(TASKS)
        .taskResources(new Resources(1 + number, 0, 1))
        .allowsSpot(true)
        .image("i")
        .imageGb(1)
        .estimate(TimeSpan.ZERO)
        .dependencies(
            number % 4 == 3
                ? Set.of(new JobId("job-" + (number - 1)), new JobId("job-" + (number - 3)))
                : Set.of())
        .build();
  }

  private void put(String key, Map<String, Object> value) {
    CacheTestSupport.put(cache, key, value, ++revision);
    CacheTestSupport.advance(cache, revision);
  }

  private static ShardLease lease(int shard) {
    ControllerRecord owner =
        new ControllerRecord(
            new ControllerId("m"),
            new Incarnation(1),
            "z",
            Build.BEFORE_LEVELS,
            AnnouncedLimits.NONE,
            new Revision(1));
    return ShardLease.first(
        new ShardId("b" + shard),
        owner,
        new Machine(
            new MachineId("m" + shard), new Endpoint("10.0.0.1", 1), "t", "z" + shard % 2, false));
  }

  private static TaskSet some(Random random) {
    TaskSet set = new TaskSet();
    for (int i = 0; i < TASKS; i++) {
      if (random.nextInt(3) == 0) {
        set.add(i);
      }
    }
    return set;
  }

  /** After any changes, the index equals a full recount. */
  @Property(tries = 200, seed = "31")
  void indexEqualsRecount(@ForAll long seed) {
    Random random = new Random(seed);
    for (int step = 0; step < 50; step++) {
      int number = random.nextInt(JOBS);
      int block = random.nextInt(SHARDS);
      JobId id = job(number).id();
      switch (random.nextInt(6)) {
        case 0 -> {
          if (cache.job(id) == null) {
            put(StoreKeys.job(id), JobRecord.writeOpen(job(number), 0));
          } else if (random.nextInt(3) == 0 && cache.job(id).phase() == JobPhase.OPEN) {
            put(
                StoreKeys.job(id),
                random.nextBoolean() ? cache.job(id).writeDone() : cache.job(id).writeCancelled(1));
          }
        }
        case 1 ->
            put(
                StoreKeys.shard(new ShardId("b" + block)),
                random.nextInt(4) == 0 ? null : lease(block).write());
        case 2, 3 -> {
          Map<JobId, TaskSet> tasks = new LinkedHashMap<>();
          for (int i = 0; i < random.nextInt(4); i++) {
            tasks.put(job(random.nextInt(JOBS)).id(), some(random));
          }
          put(
              StoreKeys.allocation(new ShardId("b" + block)),
              random.nextInt(6) == 0 ? null : Allocation.write(tasks));
        }
        case 4 ->
            put(
                StoreKeys.completedPage(random.nextInt(2)),
                CompletedTasks.writePage(Map.of(id, some(random))));
        default -> put(StoreKeys.completedChunk(id, 0), CompletedTasks.write(some(random), 0));
      }
      if (random.nextBoolean()) {
        assertEqualsRecount();
      }
    }
    assertEqualsRecount();
  }

  // Recounts everything.
  @SuppressWarnings("MethodLength")
  private void assertEqualsRecount() {
    Map<String, Resources> use = new HashMap<>();
    Set<JobId> waiting = new HashSet<>();
    for (int number = 0; number < JOBS; number++) {
      JobId id = job(number).id();
      JobRecord record = cache.job(id);
      if (record == null || record.job() == null) {
        assertEquals(null, allocationIndex.get(id));
        continue;
      }
      TaskSet out = new TaskSet();
      Map<String, Integer> perZone = new TreeMap<>();
      for (int block = 0; block < SHARDS; block++) {
        ShardId at = new ShardId("b" + block);
        TaskSet there = cache.allocation(at).tasks().getOrDefault(id, new TaskSet());
        for (int i = 0; i < TASKS; i++) {
          if (there.contains(i) && !cache.isCompleted(id, i)) {
            out.add(i);
            if (cache.shards().containsKey(at)) {
              perZone.merge("z" + block % 2, 1, Integer::sum);
            }
          }
        }
      }
      TaskSet pool = new TaskSet();
      boolean waits =
          record.job().dependencies().stream()
              .anyMatch(
                  before ->
                      cache.job(before) == null || cache.job(before).phase() != JobPhase.DONE);
      for (int i = 0; record.phase() == JobPhase.OPEN && !waits && i < TASKS; i++) {
        if (!out.contains(i) && !cache.isCompleted(id, i)) {
          pool.add(i);
        }
      }
      assertEquals(
          new AllocationIndex.JobAllocation(
              record.job(), cache.completedTasks(id), out, pool, perZone),
          allocationIndex.get(id));
      if (!pool.isEmpty()) {
        waiting.add(id);
      }
      if (!out.isEmpty()) {
        use.merge(
            record.job().team(), record.job().taskResources().times(out.size()), Resources::plus);
      }
    }
    assertEquals(waiting, new HashSet<>(allocationIndex.jobsWithPendingTasks()));
    assertEquals(use.keySet(), allocationIndex.teamUsage().keySet());
    use.forEach(
        (team, sum) ->
            assertTrue(
                sum.fitsIn(allocationIndex.teamUsage().get(team))
                    && allocationIndex.teamUsage().get(team).fitsIn(sum)));
  }

  /**
   * The cost of a change is proportional to what it affects: with a hundred allocated jobs, one
   * completion visits the shards of one job.
   */
  @Example
  void changeCostsWhatItAffects() {
    Map<JobId, TaskSet> tasks = new LinkedHashMap<>();
    List<Job> jobs = new ArrayList<>();
    for (int number = 0; number < 100; number++) {
      jobs.add(job(number));
      put(StoreKeys.job(job(number).id()), JobRecord.writeOpen(job(number), 0));
      tasks.put(job(number).id(), TaskSet.range(TASKS));
    }
    put(StoreKeys.allocation(new ShardId("b0")), Allocation.write(tasks));
    allocationIndex.teamUsage();
    long before = allocationIndex.countedItems();
    put(
        StoreKeys.completedPage(0),
        CompletedTasks.writePage(Map.of(jobs.get(5).id(), TaskSet.range(1))));
    allocationIndex.teamUsage();
    assertEquals(1, allocationIndex.countedItems() - before);
  }
}
