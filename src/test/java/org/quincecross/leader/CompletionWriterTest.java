package org.quincecross.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quincecross.model.ControllerId;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.ManualClock;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.state.CacheTestSupport;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.CompletedTasks;
import org.quincecross.state.JobRecord;
import org.quincecross.state.StoreKeys;

class CompletionWriterTest {
  private static final int MAX_CHANGES = 8;

  private final ClusterStateCache cache = new ClusterStateCache();
  private final AllocationIndex allocationIndex = new AllocationIndex(cache);
  private final PeerViews views = new PeerViews();
  private final ManualClock timers = new ManualClock();
  private long revision;

  private void put(String key, Object value) {
    CacheTestSupport.put(cache, key, castMap(value), ++revision);
    CacheTestSupport.advance(cache, revision);
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> castMap(Object value) {
    return (Map<String, Object>) value;
  }

  /**
   * A job with more chunks of completed tasks than a transaction holds: all completions become
   * durable in few writes, including those in its last chunk. The chunks are not rewritten from the
   * first one each time.
   */
  @Test
  void writesJobWithMoreChunksThanATransactionHolds() {
    cache.addListener(allocationIndex::cacheChanged);
    CompletionWriter results = new CompletionWriter(timers, cache, views, allocationIndex, () -> 0);
    int chunks = 24;
    JobId id = new JobId("job-1");
    put(
        StoreKeys.job(id),
        JobRecord.writeOpen(
            Job.builder(id)
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .priority(Priority.LOW)
                .taskCount(chunks * CompletedTasks.CHUNK_SIZE)
                .taskResources(new Resources(1, 0, 1))
                .image("i")
                .imageGb(1)
                .estimate(TimeSpan.ZERO)
                .build(),
            0));
    for (int chunk = 0; chunk < chunks; chunk++) {
      TaskSet done = new TaskSet();
      for (int i = 0; i < 2000; i += 2) {
        done.add(chunk * CompletedTasks.CHUNK_SIZE + i);
      }
      put(StoreKeys.completedChunk(id, chunk), CompletedTasks.write(done, chunk));
    }
    List<TaskId> completed = new ArrayList<>();
    for (int chunk = 0; chunk < chunks; chunk++) {
      completed.add(id.task(chunk * CompletedTasks.CHUNK_SIZE + 2001));
    }
    reportCompleted(completed);
    int written = 0;
    for (int plans = 0; plans < 5; plans++) {
      TransactionBuilder transaction = new TransactionBuilder(cache, MAX_CHANGES, 4000);
      results.plan(transaction, results.unrecordedCompletions());
      for (Mutation change : transaction.mutations()) {
        put(change.key(), change.value());
        written++;
      }
      timers.advance(2);
    }
    assertTrue(
        completed.stream().allMatch(task -> cache.isCompleted(id, task.index())),
        results.unrecordedCompletions().toString());
    assertEquals(chunks, written);
  }

  /**
   * A page has the former full size: its jobs move to other pages, and what was completed on it
   * stays completed, also for a controller that reads all records anew.
   */
  @Test
  void jobsLeavePageThatExceedsReducedValueLimit() {
    cache.addListener(allocationIndex::cacheChanged);
    CompletionWriter results = new CompletionWriter(timers, cache, views, allocationIndex, () -> 0);
    Map<JobId, TaskSet> page = new LinkedHashMap<>();
    List<TaskId> completed = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      JobId id = new JobId("job-" + (10_000 + i));
      put(
          StoreKeys.job(id),
          JobRecord.writeOpen(
              Job.builder(id)
                  .jobClass("c")
                  .team("t")
                  .kind(JobKind.ARRAY)
                  .priority(Priority.LOW)
                  .taskCount(9)
                  .taskResources(new Resources(1, 0, 1))
                  .image("i")
                  .imageGb(1)
                  .estimate(TimeSpan.ZERO)
                  .build(),
              0));
      page.put(id, TaskSet.range(1 + i % 3));
      completed.add(id.task(5));
    }
    put(StoreKeys.completedPage(0), CompletedTasks.writePage(page));
    reportCompleted(completed);
    for (int plans = 0; plans < 8; plans++) {
      TransactionBuilder transaction = new TransactionBuilder(cache, 4, 1000);
      results.plan(transaction, results.unrecordedCompletions());
      for (Mutation change : transaction.mutations()) {
        assertTrue(Json.write(change.value()).length <= 1000, change.key());
        put(change.key(), change.value());
      }
      timers.advance(2);
    }
    assertTrue(
        completed.stream()
            .allMatch(task -> cache.isCompleted(task.job(), 5) && cache.isCompleted(task.job(), 0)),
        results.unrecordedCompletions().toString());
  }

  /** The owner of the shard reports these tasks as completed. */
  private void reportCompleted(List<TaskId> completed) {
    views.apply(
        new PeerHeartbeat(
            new ControllerId("n"),
            new Incarnation(1),
            1,
            0,
            Map.of(),
            Revision.NONE,
            TimeSpan.ZERO,
            List.of(
                new PeerHeartbeat.ShardStatus(
                    new ShardId("b"),
                    new FencingToken(1),
                    Revision.NONE,
                    false,
                    Set.of(),
                    true,
                    completed,
                    List.of(),
                    Map.of(),
                    List.of())),
            List.of()),
        timers.now());
  }
}
