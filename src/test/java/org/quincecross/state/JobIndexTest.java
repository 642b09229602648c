package org.quincecross.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Assertions;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

class JobIndexTest {
  private final ClusterStateCache cache = new ClusterStateCache();
  private final Set<JobId> changed = new HashSet<>();
  private long revision;

  JobIndexTest() {
    cache.addListener(changes -> changed.addAll(changes.jobs()));
  }

  private static JobId id(long number) {
    return new JobId("job-" + number);
  }

  private static Job job(JobId id, Set<JobId> waitsOn) {
    return Job.builder(id)
        .jobClass("c")
        .team("t")
        .kind(JobKind.ARRAY)
        .priority(Priority.LOW)
        .taskCount(3)
        .taskResources(new Resources(1, 0, 1))
        .image("i")
        .imageGb(1)
        .estimate(TimeSpan.ofSeconds(4))
        .dependencies(waitsOn)
        .build();
  }

  private void put(String key, Map<String, Object> value) {
    changed.clear();
    CacheTestSupport.put(cache, key, value, ++revision);
    CacheTestSupport.advance(cache, revision);
  }

  private static Set<JobId> randomIds(Random random, int most) {
    Set<JobId> ids = new HashSet<>();
    int digits = 1 + random.nextInt(20);
    for (int i = random.nextInt(most); i >= 0; i--) {
      StringBuilder text = new StringBuilder("job-");
      for (int digit = 0; digit < digits; digit++) {
        text.append(random.nextInt(10));
      }
      ids.add(new JobId(text.toString()));
    }
    return ids;
  }

  /**
   * What builds without dependencies require of a record and of a bundle: the field {@code job} of
   * an open job. Without it the record cannot be read, and a controller with such a build stops
   * being a member.
   */
  private static void readByBuildWithoutDependencies(Map<String, Object> value)
      throws MalformedMessageException {
    JsonFields in = Json.parseFields(Json.write(value));
    if (in.has("jobs")) {
      for (JsonFields one : in.objects("jobs")) {
        one.fields("job");
      }
    } else if (in.string("phase").equals("open") && !in.has("job")) {
      throw new MalformedMessageException("an open job without its description");
    } else if (in.has("job")) {
      JobCodec.readRecord(in.fields("job"));
    }
  }

  /**
   * A build without dependencies cannot read a waiting job, alone or in a bundle, since it would
   * start it too early; it can read the job once it is over.
   */
  @Example
  void buildsWithoutDependenciesCannotReadWaitingJobs() throws MalformedMessageException {
    Map<String, Object> plain = JobRecord.writeOpen(job(id(1), Set.of()), 7);
    Map<String, Object> waits = JobRecord.writeOpen(job(id(2), Set.of(id(1))), 7);
    readByBuildWithoutDependencies(plain);
    readByBuildWithoutDependencies(JobRecord.writeBundle(List.of(plain)));
    Assertions.assertThrows(
        MalformedMessageException.class, () -> readByBuildWithoutDependencies(waits));
    Assertions.assertThrows(
        MalformedMessageException.class,
        () -> readByBuildWithoutDependencies(JobRecord.writeBundle(List.of(plain, waits))));
    JobRecord read = JobRecord.read(id(2), Json.parse(Json.write(waits)), new Revision(3));
    readByBuildWithoutDependencies(read.writeCancelled(9));
    readByBuildWithoutDependencies(read.writeDone());
    readByBuildWithoutDependencies(read.writeDone(9));
  }

  /**
   * However many dependencies fit in a body of 64 KiB: each record is below 2 KiB, and the job
   * waits until the last of them is read, in any order.
   */
  @Property(tries = 60, seed = "41")
  void dependenciesAreReadInAnyOrder(@ForAll long seed) {
    new JobIndexTest().readInAnyOrder(seed, new Random(seed));
  }

  private void readInAnyOrder(long seed, Random random) {
    Set<JobId> waitsOn = randomIds(random, seed % 2 == 0 ? 40 : 60_000 / 27);
    Job job = job(id(1), waitsOn);
    Map<String, Map<String, Object>> records = new LinkedHashMap<>(JobDependencies.parts(waitsOn));
    int parts = records.size();
    records.put(StoreKeys.job(job.id()), JobRecord.writeOpen(job, 5));
    records
        .values()
        .forEach(
            value ->
                assertTrue(
                    Json.write(value).length < 1950, "a value of " + Json.write(value).length));
    List<String> keys = new ArrayList<>(records.keySet());
    Collections.shuffle(keys, random);
    for (String key : keys) {
      if (cache.job(job.id()) != null) {
        assertTrue(cache.dependencyGraph().isWaiting(job.id()));
      }
      put(key, records.get(key));
    }
    assertTrue(changed.contains(job.id()));
    assertEquals(job, cache.job(job.id()).job());
    assertEquals(waitsOn, new HashSet<>(cache.dependencyGraph().unfinishedDependencies(job.id())));
    assertTrue(parts < 30);
  }

  /**
   * A job has the urgency of its most urgent dependent; once that has ended, its own record again,
   * which never changes.
   */
  @Example
  void inheritsUrgencyOfDependents() {
    put(StoreKeys.job(id(1)), JobRecord.writeOpen(job(id(1), Set.of()), 1000));
    Job last = job(id(2), Set.of(id(1))).withUrgency(Priority.HIGH, TimeSpan.ofSeconds(60));
    put(StoreKeys.job(id(2)), JobRecord.writeOpen(last, 2000));
    assertTrue(changed.contains(id(1)));
    assertEquals(Priority.HIGH, cache.job(id(1)).job().priority());
    assertEquals(
        TimeSpan.ofSeconds(61 - 4 - 3 - 1),
        cache.job(id(1)).job().deadline()); // its run time, the handover, and its image
    assertEquals(job(id(1), Set.of()), cache.storedJob(id(1)).job());
    put(StoreKeys.job(id(2)), cache.storedJob(id(2)).writeCancelled(5));
    assertEquals(job(id(1), Set.of()), cache.job(id(1)).job());
    put(
        StoreKeys.job(id(3)),
        JobRecord.writeOpen(job(id(3), Set.of(id(1))).withUrgency(Priority.HIGH, null), 3000));
    assertEquals(Priority.HIGH, cache.job(id(1)).job().priority());
    put(StoreKeys.job(id(1)), cache.storedJob(id(1)).writeDone(5));
    assertEquals(JobPhase.DONE, cache.job(id(1)).phase());
  }

  /**
   * A dependency is cancelled: so is this job, from that revision on, without a record of its own;
   * a dependency that is done lets it run.
   */
  @Example
  void stateFollowsDependencies() {
    put(StoreKeys.job(id(1)), JobRecord.writeOpen(job(id(1), Set.of()), 100));
    put(
        StoreKeys.bundle(new ControllerId("m"), new Incarnation(1), 1),
        JobRecord.writeBundle(
            List.of(
                JobRecord.writeOpen(job(id(2), Set.of(id(1))), 200),
                JobRecord.writeOpen(job(id(3), Set.of(id(2))), 300))));
    assertTrue(
        cache.dependencyGraph().isWaiting(id(2)) && cache.dependencyGraph().isWaiting(id(3)));
    put(StoreKeys.job(id(1)), cache.job(id(1)).writeDone(900));
    assertEquals(Set.of(id(1), id(2)), changed);
    assertFalse(cache.dependencyGraph().isWaiting(id(2)));
    assertEquals(900, cache.runnableSinceMs(cache.job(id(2))));
    put(StoreKeys.job(id(2)), cache.job(id(2)).writeCancelled(950));
    assertEquals(Set.of(id(2), id(3)), changed);
    JobRecord with = cache.job(id(3));
    assertEquals(JobPhase.CANCELLED, with.phase());
    assertEquals(new Revision(revision), with.version());
    assertEquals(950, with.cancelledMs());
    assertEquals(Revision.NONE, cache.version(StoreKeys.job(id(3))));
    assertFalse(cache.openJobs().iterator().hasNext());
    put(StoreKeys.job(id(4)), JobRecord.writeOpen(job(id(4), Set.of(id(3))), 990));
    assertEquals(JobPhase.CANCELLED, cache.job(id(4)).phase());
    assertEquals(new Revision(revision), cache.job(id(4)).version());
    assertNull(cache.job(id(5)));
  }
}
