package org.quincecross.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;

/**
 * Headroom for six tasks of two CPUs is kept for the job class "front", in one shard of sixteen
 * CPUs; the team's limit is twenty.
 */
class HeadroomPlanTest {
  private static final ShardId SHARD = new ShardId("b");
  private final Team web = new Team("web", Resources.NONE, new Resources(20, 0, 99));
  private final Team other = new Team("other", Resources.NONE, new Resources(99, 0, 99));
  private final Map<String, Resources> use = new HashMap<>();
  private Admission.ShardCapacity shard;
  private int number;

  @BeforeEach
  void createEmptyShard() {
    Resources machine = new Resources(8, 0, 64);
    shard =
        new Admission.ShardCapacity(
            SHARD,
            "m",
            "a",
            false,
            machine.times(2),
            List.of(machine, machine),
            List.of(machine, machine),
            Map.of(),
            4000);
  }

  private Job job(
      String jobClass, String team, JobKind kind, Priority priority, int tasks, double savesInS) {
    return Job.builder(new JobId("job-" + ++number))
        .jobClass(jobClass)
        .team(team)
        .kind(kind)
        .priority(priority)
        .taskCount(tasks)
        .taskResources(new Resources(1, 0, 1))
        .image("i")
        .imageGb(0)
        .estimate(TimeSpan.ofSeconds(30))
        .checkpointInterval(savesInS > 0 ? TimeSpan.ofSeconds(5) : TimeSpan.ZERO)
        .checkpointCost(TimeSpan.ofSeconds(savesInS))
        .build();
  }

  /** Returns how many tasks of each job are admitted, in the given order. */
  private List<Integer> admitted(Job... jobs) {
    Headroom kept =
        new Headroom(
            Headroom.Purpose.REQUESTS,
            new Resources(2, 0, 2),
            6,
            new Headroom.Beneficiary("front", "web"));
    List<JobDemand> demands = new java.util.ArrayList<>();
    for (Job job : jobs) {
      demands.add(
          new JobDemand(
              job,
              new Revision(demands.size()),
              99,
              false,
              false,
              TaskSet.range(job.taskCount()),
              Map.of(),
              Admission.Place.BY_PRIORITY,
              demands.size()));
    }
    new Admission(
            List.of(shard), Map.of("web", web, "other", other), use, Map.of(SHARD, List.of(kept)))
        .run(demands);
    return java.util.Arrays.stream(jobs)
        .map(job -> shard.admitted().getOrDefault(job.id(), new TaskSet()).size())
        .toList();
  }

  @Test
  void headroomIsKeptFromOtherClassesOnly() {
    assertEquals(
        List.of(4, 12),
        admitted(
            job("side", "other", JobKind.SERVICE, Priority.PRODUCTION, 20, 0),
            job("front", "web", JobKind.SERVICE, Priority.PRODUCTION, 12, 0)));
  }

  @Test
  void workWithFastCheckpointsBorrowsHeadroom() {
    Job quick = job("quick", "other", JobKind.ARRAY, Priority.NORMAL, 12, 1);
    shard.count(quick, 12, 12, false);
    assertEquals(
        List.of(4), admitted(job("plain", "other", JobKind.ARRAY, Priority.NORMAL, 20, 0)));
  }

  @Test
  void workWithSlowCheckpointsMayNotBorrow() {
    assertEquals(
        List.of(4), admitted(job("slow", "other", JobKind.ARRAY, Priority.NORMAL, 20, 1.5)));
  }

  /**
   * Two machines of eight CPUs keep four slots of two CPUs whole: of sixteen one-CPU tasks, eight
   * start.
   */
  @Test
  void shardKeepsSlotsWhole() {
    ShardScheduler scheduler = new ShardScheduler();
    for (String name : List.of("m1", "m2")) {
      scheduler.addMachine(new MachineId(name), new Resources(8, 0, 64), image -> true);
      scheduler.update(new MachineId(name), Resources.NONE, Resources.NONE, true);
    }
    scheduler.setHeadroom(
        List.of(
            new Headroom(
                Headroom.Purpose.REQUESTS,
                new Resources(2, 0, 2),
                4,
                new Headroom.Beneficiary("front", "web"))));
    for (int i = 0; i < 16; i++) {
      Job job = job("plain", "other", JobKind.ARRAY, Priority.NORMAL, 1, 0);
      scheduler.enqueue(new QueueEntry(job, List.of(job.id().task(0)), new Revision(i)));
    }
    assertEquals(8, scheduler.schedule(MonotonicTime.ZERO).size());
    Job front = job("front", "web", JobKind.SERVICE, Priority.PRODUCTION, 1, 0);
    scheduler.enqueue(new QueueEntry(front, List.of(front.id().task(0)), new Revision(99)));
    // The rest of the slot that the front task broke up is available to all.
    assertEquals(
        1,
        scheduler.schedule(MonotonicTime.ZERO).stream()
            .filter(start -> start.entry().job().equals(front))
            .count());
  }

  @Test
  void otherClassesOfTheTeamLeaveTheReservedLimit() {
    use.put("web", new Resources(5, 0, 5));
    assertEquals(
        List.of(3, 12),
        admitted(
            job("side", "web", JobKind.SERVICE, Priority.PRODUCTION, 20, 0),
            job("front", "web", JobKind.SERVICE, Priority.PRODUCTION, 20, 0)));
  }
}
