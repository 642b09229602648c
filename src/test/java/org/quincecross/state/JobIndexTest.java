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
  private final ClusterStateCache ledger = new ClusterStateCache();
  private final Set<JobId> changed = new HashSet<>();
  private long revision;

  JobIndexTest() {
    ledger.listen(changes -> changed.addAll(changes.jobs()));
  }

  private static JobId id(long number) {
    return new JobId("job-" + number);
  }

  private static Job job(JobId id, Set<JobId> waitsOn) {
    return new Job(
        id,
        "c",
        "t",
        JobKind.ARRAY,
        Priority.LOW,
        3,
        new Resources(1, 0, 1),
        null,
        null,
        false,
        false,
        false,
        "i",
        1,
        TimeSpan.ofSeconds(4),
        TimeSpan.ZERO,
        TimeSpan.ZERO,
        null,
        waitsOn);
  }

  private void put(String key, Map<String, Object> value) {
    changed.clear();
    CacheTestSupport.put(ledger, key, value, ++revision);
    CacheTestSupport.advance(ledger, revision);
  }

  private static Set<JobId> drawn(Random random, int most) {
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
   * What builds before pipelines ask of a record and of a bundle: of an open job the field {@code
   * job}. Without it the record cannot be read, and who has such a one is no member any more.
   */
  private static void readAsBefore(Map<String, Object> value) throws MalformedMessageException {
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
   * What waits cannot be read by a build that would start it too early, alone or in a bundle; once
   * it is over it can.
   */
  @Example
  void aBuildThatKnowsNoPipelinesCannotReadWhatWaits() throws MalformedMessageException {
    Map<String, Object> plain = JobRecord.open(job(id(1), Set.of()), 7);
    Map<String, Object> waits = JobRecord.open(job(id(2), Set.of(id(1))), 7);
    readAsBefore(plain);
    readAsBefore(JobRecord.bundle(List.of(plain)));
    Assertions.assertThrows(MalformedMessageException.class, () -> readAsBefore(waits));
    Assertions.assertThrows(
        MalformedMessageException.class,
        () -> readAsBefore(JobRecord.bundle(List.of(plain, waits))));
    JobRecord read = JobRecord.read(id(2), Json.parse(Json.write(waits)), new Revision(3));
    readAsBefore(read.cancelled(9));
    readAsBefore(read.done());
    readAsBefore(read.done(9));
  }

  /**
   * However many a body of 64 KiB names: each record is below 2 KiB, and the job waits until the
   * last of them is read, in any order.
   */
  @Property(tries = 60, seed = "41")
  void whatAJobWaitsOnIsReadInAnyOrder(@ForAll long seed) {
    new JobIndexTest().readInAnyOrder(seed, new Random(seed));
  }

  private void readInAnyOrder(long seed, Random random) {
    Set<JobId> waitsOn = drawn(random, seed % 2 == 0 ? 40 : 60_000 / 27);
    Job job = job(id(1), waitsOn);
    Map<String, Map<String, Object>> records = new LinkedHashMap<>(JobDependencies.parts(waitsOn));
    int parts = records.size();
    records.put(StoreKeys.job(job.id()), JobRecord.open(job, 5));
    records
        .values()
        .forEach(
            value ->
                assertTrue(
                    Json.write(value).length < 1950, "a value of " + Json.write(value).length));
    List<String> keys = new ArrayList<>(records.keySet());
    Collections.shuffle(keys, random);
    for (String key : keys) {
      if (ledger.job(job.id()) != null) {
        assertTrue(ledger.pipelines().waits(job.id()));
      }
      put(key, records.get(key));
    }
    assertTrue(changed.contains(job.id()));
    assertEquals(job, ledger.job(job.id()).job());
    assertEquals(waitsOn, new HashSet<>(ledger.pipelines().unfinished(job.id())));
    assertTrue(parts < 30);
  }

  /**
   * A job is treated as the last that needs it asks for; when that is over, by its own record,
   * which says so all the time.
   */
  @Example
  void isAsUrgentAsTheLastJobThatNeedsIt() {
    put(StoreKeys.job(id(1)), JobRecord.open(job(id(1), Set.of()), 1000));
    Job last = job(id(2), Set.of(id(1))).withUrgency(Priority.HIGH, TimeSpan.ofSeconds(60));
    put(StoreKeys.job(id(2)), JobRecord.open(last, 2000));
    assertTrue(changed.contains(id(1)));
    assertEquals(Priority.HIGH, ledger.job(id(1)).job().priority());
    assertEquals(
        TimeSpan.ofSeconds(61 - 4 - 3 - 1),
        ledger.job(id(1)).job().deadline()); // its run, the hand-over, and its image
    assertEquals(job(id(1), Set.of()), ledger.asRecorded(id(1)).job());
    put(StoreKeys.job(id(2)), ledger.asRecorded(id(2)).cancelled(5));
    assertEquals(job(id(1), Set.of()), ledger.job(id(1)).job());
    put(
        StoreKeys.job(id(3)),
        JobRecord.open(job(id(3), Set.of(id(1))).withUrgency(Priority.HIGH, null), 3000));
    assertEquals(Priority.HIGH, ledger.job(id(1)).job().priority());
    put(StoreKeys.job(id(1)), ledger.asRecorded(id(1)).done(5));
    assertEquals(JobPhase.DONE, ledger.job(id(1)).phase());
  }

  /**
   * A job before this one is cancelled: so is this one, from that revision on, in no record of its
   * own; a done one lets it run.
   */
  @Example
  void standsByTheRecordsOfOthers() {
    put(StoreKeys.job(id(1)), JobRecord.open(job(id(1), Set.of()), 100));
    put(
        StoreKeys.bundle(new ControllerId("m"), new Incarnation(1), 1),
        JobRecord.bundle(
            List.of(
                JobRecord.open(job(id(2), Set.of(id(1))), 200),
                JobRecord.open(job(id(3), Set.of(id(2))), 300))));
    assertTrue(ledger.pipelines().waits(id(2)) && ledger.pipelines().waits(id(3)));
    put(StoreKeys.job(id(1)), ledger.job(id(1)).done(900));
    assertEquals(Set.of(id(1), id(2)), changed);
    assertFalse(ledger.pipelines().waits(id(2)));
    assertEquals(900, ledger.readyMs(ledger.job(id(2))));
    put(StoreKeys.job(id(2)), ledger.job(id(2)).cancelled(950));
    assertEquals(Set.of(id(2), id(3)), changed);
    JobRecord with = ledger.job(id(3));
    assertEquals(JobPhase.CANCELLED, with.phase());
    assertEquals(new Revision(revision), with.version());
    assertEquals(950, with.cancelledMs());
    assertEquals(Revision.NONE, ledger.version(StoreKeys.job(id(3))));
    assertFalse(ledger.openJobs().iterator().hasNext());
    put(StoreKeys.job(id(4)), JobRecord.open(job(id(4), Set.of(id(3))), 990));
    assertEquals(JobPhase.CANCELLED, ledger.job(id(4)).phase());
    assertEquals(new Revision(revision), ledger.job(id(4)).version());
    assertNull(ledger.job(id(5)));
  }
}
