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
import org.quincecross.net.StillClock;
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
  private static final int MOST_CHANGES = 8;

  private final ClusterStateCache ledger = new ClusterStateCache();
  private final AllocationIndex books = new AllocationIndex(ledger);
  private final PeerViews views = new PeerViews();
  private final StillClock timers = new StillClock();
  private long revision;

  private void put(String key, Object value) {
    CacheTestSupport.put(ledger, key, castMap(value), ++revision);
    CacheTestSupport.advance(ledger, revision);
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> castMap(Object value) {
    return (Map<String, Object>) value;
  }

  /**
   * A job with more chunks of done tasks than a transaction holds: whatever completes becomes
   * durable, in few writes, also in its last chunk. It is not written chunk by chunk from the first
   * one each time.
   */
  @Test
  void aJobOfMoreChunksThanATransactionHoldsBecomesDurable() {
    ledger.listen(books::changed);
    CompletionWriter results = new CompletionWriter(timers, ledger, views, books, () -> 0);
    int chunks = 24;
    JobId id = new JobId("job-1");
    put(
        StoreKeys.job(id),
        JobRecord.open(
            new Job(
                id,
                "c",
                "t",
                JobKind.ARRAY,
                Priority.LOW,
                chunks * CompletedTasks.CHUNK,
                new Resources(1, 0, 1),
                null,
                null,
                false,
                false,
                false,
                "i",
                1,
                TimeSpan.ZERO,
                TimeSpan.ZERO,
                TimeSpan.ZERO,
                null),
            0));
    for (int chunk = 0; chunk < chunks; chunk++) {
      TaskSet done = new TaskSet();
      for (int i = 0; i < 2000; i += 2) {
        done.add(chunk * CompletedTasks.CHUNK + i);
      }
      put(StoreKeys.done(id, chunk), CompletedTasks.write(done, chunk));
    }
    List<TaskId> completed = new ArrayList<>();
    for (int chunk = 0; chunk < chunks; chunk++) {
      completed.add(id.task(chunk * CompletedTasks.CHUNK + 2001));
    }
    views.take(
        new PeerHeartbeat(
            new ControllerId("n"),
            new Incarnation(1),
            1,
            0,
            Map.of(),
            Revision.NONE,
            TimeSpan.ZERO,
            List.of(
                new PeerHeartbeat.Block(
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
    int written = 0;
    for (int plans = 0; plans < 5; plans++) {
      TransactionBuilder plan = new TransactionBuilder(ledger, MOST_CHANGES, 4000);
      results.plan(plan, results.completions());
      for (Mutation change : plan.changes()) {
        put(change.key(), change.value());
        written++;
      }
      timers.advance(2);
    }
    assertTrue(
        completed.stream().allMatch(task -> ledger.isDone(id, task.index())),
        results.completions().toString());
    assertEquals(chunks, written);
  }

  /**
   * A page of the old full size: the jobs on it go on to others, and what was done on it stays
   * done, also for whoever reads it all anew.
   */
  @Test
  void jobsMoveOnFromAPageThatIsLargerThanAValueMayBeNow() {
    ledger.listen(books::changed);
    CompletionWriter results = new CompletionWriter(timers, ledger, views, books, () -> 0);
    Map<JobId, TaskSet> page = new LinkedHashMap<>();
    List<TaskId> completed = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      JobId id = new JobId("job-" + (10_000 + i));
      put(
          StoreKeys.job(id),
          JobRecord.open(
              new Job(
                  id,
                  "c",
                  "t",
                  JobKind.ARRAY,
                  Priority.LOW,
                  9,
                  new Resources(1, 0, 1),
                  null,
                  null,
                  false,
                  false,
                  false,
                  "i",
                  1,
                  TimeSpan.ZERO,
                  TimeSpan.ZERO,
                  TimeSpan.ZERO,
                  null),
              0));
      page.put(id, TaskSet.range(1 + i % 3));
      completed.add(id.task(5));
    }
    put(StoreKeys.page(0), CompletedTasks.writePage(page));
    views.take(
        new PeerHeartbeat(
            new ControllerId("n"),
            new Incarnation(1),
            1,
            0,
            Map.of(),
            Revision.NONE,
            TimeSpan.ZERO,
            List.of(
                new PeerHeartbeat.Block(
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
    for (int plans = 0; plans < 8; plans++) {
      TransactionBuilder plan = new TransactionBuilder(ledger, 4, 1000);
      results.plan(plan, results.completions());
      for (Mutation change : plan.changes()) {
        assertTrue(Json.write(change.value()).length <= 1000, change.key());
        put(change.key(), change.value());
      }
      timers.advance(2);
    }
    assertTrue(
        completed.stream()
            .allMatch(task -> ledger.isDone(task.job(), 5) && ledger.isDone(task.job(), 0)),
        results.completions().toString());
  }
}
