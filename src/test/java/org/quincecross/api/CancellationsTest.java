package org.quincecross.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quincecross.failuredetection.UnconfirmedOwnershipBound;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.ManualTimers;
import org.quincecross.peer.PeerHeartbeat;
import org.quincecross.peer.PeerViews;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.rollout.Build;
import org.quincecross.shard.OwnedShards;
import org.quincecross.state.Allocation;
import org.quincecross.state.CacheTestSupport;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.ControllerRecord;
import org.quincecross.state.JobRecord;
import org.quincecross.state.ShardLease;
import org.quincecross.state.StoreKeys;

/**
 * Tests when users may be told of a cancellation by a controller that owns none of the job's
 * shards.
 */
class CancellationsTest {
  private static final ControllerId OWNER = new ControllerId("n1");
  private static final ShardId SHARD = new ShardId("b");
  private static final Machine MACHINE =
      new Machine(new MachineId("m-1"), new Endpoint("10.1.0.1", 9000), "t", "z", false);
  private static final JobId JOB = new JobId("job-1");

  /** Minutes before everything in this test, by the time of day. */
  private static final long LONG_AGO_MS = 1_000;

  private final ManualTimers clock = new ManualTimers();
  private final ClusterStateCache cache = new ClusterStateCache();
  private final PeerViews views = new PeerViews();
  private final Map<String, Map<String, Object>> records = new LinkedHashMap<>();
  private long revision;
  private long reports;
  private Cancellations cancellations = controller(24, 54);

  private Cancellations controller(double lease, double cancel) {
    Cancellations made =
        new Cancellations(
            clock,
            cache,
            new OwnedShards(null, new ControllerId("n0"), () -> new Incarnation(7)),
            views,
            UnconfirmedOwnershipBound.of(TimeSpan.ofSeconds(lease), TimeSpan.ofSeconds(cancel)));
    cache.addListener(made::cacheChanged);
    return made;
  }

  private void put(String key, Map<String, Object> value) {
    records.put(key, value);
    CacheTestSupport.put(cache, key, value, ++revision);
    CacheTestSupport.advance(cache, revision);
  }

  @BeforeEach
  void allocateJob() {
    Job job =
        Job.builder(JOB)
            .jobClass("c")
            .team("team")
            .kind(JobKind.ARRAY)
            .priority(Priority.NORMAL)
            .taskCount(3)
            .taskResources(new Resources(4, 0, 1))
            .image("i")
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(10))
            .build();
    put(StoreKeys.job(JOB), JobRecord.writeOpen(job, 0));
    put(
        StoreKeys.shard(SHARD),
        ShardLease.first(
                SHARD,
                new ControllerRecord(
                    OWNER,
                    new Incarnation(1),
                    "z",
                    Build.BEFORE_LEVELS,
                    AnnouncedLimits.NONE,
                    new Revision(1)),
                MACHINE)
            .write());
    allocate(0);
    report(true);
  }

  private void allocate(int... indices) {
    TaskSet tasks = new TaskSet();
    for (int index : indices) {
      tasks.add(index);
    }
    put(StoreKeys.allocation(SHARD), Allocation.write(Map.of(JOB, tasks)));
  }

  private void cancel() {
    put(StoreKeys.job(JOB), cache.job(JOB).writeCancelled(LONG_AGO_MS));
  }

  /** The owner reports that it has seen everything that is known here. */
  private void report(boolean fenced) {
    PeerHeartbeat.MachineState machine =
        new PeerHeartbeat.MachineState(
            MACHINE.id(),
            Resources.NONE,
            Resources.NONE,
            TimeSpan.ZERO,
            true,
            fenced,
            false,
            false,
            false,
            1,
            0,
            List.of(),
            List.of());
    PeerHeartbeat.ShardStatus shardStatus =
        new PeerHeartbeat.ShardStatus(
            SHARD,
            new FencingToken(cache.shard(SHARD).token().value()),
            cache.allocation(SHARD).version(),
            false,
            Set.of(),
            true,
            List.of(),
            List.of(),
            Map.of(),
            List.of(machine));
    views.apply(
        new PeerHeartbeat(
            OWNER,
            new Incarnation(1),
            ++reports,
            reports - 1,
            Map.of(),
            cache.revision(),
            TimeSpan.ZERO,
            List.of(shardStatus),
            List.of()),
        clock.now());
  }

  /** Whether a user who asks now is told, within the time that a request may wait. */
  private boolean isConfirmed() {
    Boolean[] told = new Boolean[1];
    cancellations.whenSafe(cache.job(JOB), safe -> told[0] = safe);
    clock.advance(1.4);
    return told[0];
  }

  /**
   * A cancellation whose write waited, or got no response and is applied late, is confirmed no
   * sooner than any other.
   */
  @Test
  void delayRunsFromWhenRecordWasSeen() {
    cancel();
    assertEquals(false, isConfirmed(), "its owner has not seen it");
    clock.advance(5);
    assertEquals(
        false, isConfirmed(), "its owner has not seen it, and it was first seen less than 8 s ago");
    clock.advance(0.5);
    assertEquals(true, isConfirmed());
  }

  @Test
  void confirmsOnceOwnerHasSeenItWithAllMachinesFenced() {
    cancel();
    report(false);
    assertEquals(false, isConfirmed(), "a machine is not fenced");
    report(true);
    assertEquals(true, isConfirmed());
  }

  /**
   * A controller that reads all records anew does not know when a cancellation in them became
   * durable.
   */
  @Test
  void delayRestartsAfterFullRead() {
    records.put(StoreKeys.job(JOB), cache.job(JOB).writeCancelled(LONG_AGO_MS));
    CacheTestSupport.load(cache, records, ++revision);
    assertEquals(false, isConfirmed(), "read just now, still allocated, not seen by its owner");
    clock.advance(8);
    assertEquals(true, isConfirmed());
    records.put(StoreKeys.allocation(SHARD), Allocation.write(Map.of()));
    CacheTestSupport.load(cache, records, ++revision);
    assertEquals(true, isConfirmed(), "none of its tasks is allocated, so they were proven gone");
  }

  /** Other changes of an ended job do not show when it was cancelled. */
  @Test
  void delayDoesNotRestartAfterItsEnd() {
    cancel();
    clock.advance(9);
    assertEquals(true, isConfirmed());
    allocate(0, 1);
    assertEquals(true, isConfirmed());
    CacheTestSupport.put(
        cache,
        StoreKeys.completedChunk(JOB, 0),
        org.quincecross.state.CompletedTasks.write(new TaskSet(), 0),
        ++revision);
    CacheTestSupport.advance(cache, revision);
    assertEquals(true, isConfirmed());
  }

  @Test
  void forgetsCancellationsPastTheDelay() {
    cancel();
    assertEquals(1, cancellations.remembered());
    clock.advance(20);
    assertEquals(0, cancellations.remembered());
  }

  /**
   * A machine that misses the stop continues for a lease, which is longer here than the time
   * allowed for a cancellation.
   */
  @Test
  void longLeaseRequiresTheDelayEvenIfOwnerHasSeenIt() {
    cancellations = controller(60, 36);
    cancel();
    report(true);
    assertEquals(false, isConfirmed());
    clock.advance(25);
    assertEquals(false, isConfirmed());
    clock.advance(4);
    assertEquals(true, isConfirmed(), "after 30.62 s");
  }
}
