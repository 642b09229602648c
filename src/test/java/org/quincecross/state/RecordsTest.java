package org.quincecross.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
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
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.rollout.AnnouncedLimits;
import org.quincecross.rollout.Build;

class RecordsTest {
  private static final int MIN_VALUE_BYTES = 1024;

  private static Object throughJson(Map<String, Object> value) throws MalformedMessageException {
    return Json.parse(Json.write(value));
  }

  @Property(tries = 100, seed = "12")
  void doneTasksReadTheSameAndStaySmall(
      @ForAll @IntRange(max = 2) int chunk,
      @ForAll @IntRange(max = 100) int percent,
      @ForAll int seed)
      throws MalformedMessageException {
    Random random = new Random(seed);
    TaskSet all = new TaskSet();
    TaskSet inChunk = new TaskSet();
    for (int i = 0; i < 3 * CompletedTasks.CHUNK_SIZE; i++) {
      if (random.nextInt(100) < percent) {
        all.add(i);
        if (i / CompletedTasks.CHUNK_SIZE == chunk) {
          inChunk.add(i);
        }
      }
    }
    Map<String, Object> value = CompletedTasks.write(all, chunk);
    assertTrue(Json.write(value).length < MIN_VALUE_BYTES);
    assertEquals(inChunk, CompletedTasks.read(throughJson(value), chunk));
  }

  @Property(tries = 100, seed = "13")
  void writtenAllocationsReadTheSame(@ForAll int seed) throws MalformedMessageException {
    Random random = new Random(seed);
    Map<JobId, TaskSet> tasks = new java.util.LinkedHashMap<>();
    for (int j = 0; j < random.nextInt(6); j++) {
      TaskSet set = new TaskSet();
      for (int i = 0; i <= random.nextInt(30); i++) {
        set.add(random.nextInt(60));
      }
      tasks.put(new JobId("job-" + j), set);
    }
    assertEquals(
        tasks, Allocation.read(throughJson(Allocation.write(tasks)), Revision.NONE).tasks());
  }

  /**
   * Fields that a newer build wrote into a record are preserved when an older build reads it,
   * changes the fields that it knows, and writes it.
   */
  // All kinds of records go through the same rewrite, one after the other.
  @SuppressWarnings("MethodLength")
  @Property(tries = 200, seed = "15")
  void unknownFieldsSurviveRewrite(
      @ForAll @Size(max = 4)
          Map<@AlphaChars @StringLength(min = 9, max = 12) String, @IntRange Integer> newer)
      throws MalformedMessageException {
    Map<String, Object> extra = new java.util.LinkedHashMap<>();
    newer.forEach(
        (name, value) ->
            extra.put(name, Json.object("n", (long) value, "list", List.of((long) value, "x"))));

    Machine machine =
        new Machine(new MachineId("m-1"), new Endpoint("10.1.0.1", 9000), "t", "z", false);
    ControllerRecord member =
        new ControllerRecord(
            new ControllerId("n0"),
            new Incarnation(7),
            "z",
            Build.BEFORE_LEVELS,
            AnnouncedLimits.NONE,
            new Revision(3));
    Map<String, Object> block = ShardLease.first(new ShardId("b"), member, machine).write();
    block.putAll(extra);
    ShardLease lease = ShardLease.read(new ShardId("b"), throughJson(block), new Revision(9));
    Machine more =
        new Machine(new MachineId("m-2"), new Endpoint("10.1.0.2", 9000), "t", "z", false);
    for (ShardLease changed :
        List.of(
            lease,
            lease.with(more),
            lease.with(more).leaving(machine.id()).without(machine.id()),
            lease.leasedTo(member))) {
      assertTrue(changed.write().entrySet().containsAll(extra.entrySet()), changed.toString());
    }

    Job job =
        Job.builder(new JobId("job-5"))
            .jobClass("c")
            .team("team")
            .kind(JobKind.ARRAY)
            .priority(Priority.NORMAL)
            .taskCount(3)
            .taskResources(new Resources(1, 0, 1))
            .image("i")
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(5))
            .build();
    Map<String, Object> open = JobRecord.writeOpen(job, 77);
    open.putAll(extra);
    @SuppressWarnings("unchecked")
    Map<String, Object> description = (Map<String, Object>) open.get("job");
    description.putAll(extra);
    Map<String, Object> cancelled =
        JobRecord.read(job.id(), throughJson(open), new Revision(4)).writeCancelled(99);
    assertTrue(
        JobRecord.read(job.id(), throughJson(open), new Revision(4))
            .writeDone()
            .entrySet()
            .containsAll(extra.entrySet()));
    assertTrue(cancelled.entrySet().containsAll(extra.entrySet()));
    assertTrue(((Map<?, ?>) cancelled.get("job")).entrySet().containsAll(extra.entrySet()));
    Map<String, Object> fromBundle =
        JobRecord.readBundle(throughJson(JobRecord.writeBundle(List.of(open))), new Revision(5))
            .get(0)
            .writeCancelled(99);
    assertEquals(cancelled, fromBundle);

    Map<String, Object> settings = new OperatorSettings(false, true, 60, 3, 0, List.of()).write();
    settings.putAll(extra);
    assertEquals(
        new OperatorSettings(false, true, 60, 3, 0, List.of()),
        OperatorSettings.readRecord(throughJson(settings), OperatorSettings.DEFAULTS),
        "an older build rents although operators have said no");
    assertEquals(extra, OperatorSettings.unknownFields(throughJson(settings)));
    if (!extra.isEmpty()) {
      assertThrows(
          MalformedMessageException.class,
          () -> OperatorSettings.read(throughJson(settings), OperatorSettings.DEFAULTS),
          "of an operator it is a slip");
    }
  }

  /**
   * A job whose record exceeds the current value limit can be cancelled; the fields that count its
   * tasks stay.
   */
  @Property(tries = 100, seed = "16")
  void oversizedJobIsCancelledInSmallerRecord(@ForAll Random random)
      throws MalformedMessageException {
    Job job =
        Job.builder(new JobId("job-5"))
            .jobClass("c".repeat(random.nextInt(1500)) + "c")
            .team("team")
            .kind(JobKind.GANG)
            .priority(Priority.NORMAL)
            .taskCount(3)
            .taskResources(new Resources(1, 0, 1))
            .machineTypes(Set.of("t".repeat(random.nextInt(1500))))
            .zone("z")
            .spreadOverZones(true)
            .image("i".repeat(1 + random.nextInt(1500)))
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(5))
            .build();
    Map<String, Object> open = JobRecord.writeOpen(job, 77);
    open.put("later", "x".repeat(random.nextInt(1500)));
    JobRecord record = JobRecord.read(job.id(), throughJson(open), new Revision(4));
    Map<String, Object> cancelled = record.writeCancelled(99, 1000);
    assertTrue(Json.write(cancelled).length <= 1000);
    if (Json.write(record.writeCancelled(99)).length <= 1000) {
      assertEquals(record.writeCancelled(99), cancelled);
    }
    JobRecord read = JobRecord.read(job.id(), throughJson(cancelled), new Revision(5));
    assertEquals(JobPhase.CANCELLED, read.phase());
    assertEquals(99, read.cancelledMs());
    assertEquals(
        job.team()
            + job.taskResources()
            + job.taskCount()
            + job.zone()
            + job.spreadOverZones()
            + job.priority()
            + job.kind(),
        read.job().team()
            + read.job().taskResources()
            + read.job().taskCount()
            + read.job().zone()
            + read.job().spreadOverZones()
            + read.job().priority()
            + read.job().kind());
  }
}
