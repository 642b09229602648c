package org.quincecross.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;

class AdmissionTest {
  private static final Team TEAM =
      new Team("t", new Resources(20, 0, 1e9), new Resources(40, Double.POSITIVE_INFINITY, 1e9));

  @Provide
  static Arbitrary<Job> jobs() {
    return Combinators.combine(
            Arbitraries.integers().between(1, 99_999),
            Arbitraries.of(JobKind.class),
            Arbitraries.of(Priority.class),
            Arbitraries.integers().between(1, 9),
            Arbitraries.integers().between(1, 6),
            Arbitraries.of("", "one", "spread"),
            Arbitraries.of(true, false),
            Arbitraries.of("a", "b", "c").injectNull(0.7))
        .as(
            (number, kind, priority, tasks, cpus, rule, spot, zone) ->
                Job.builder(new JobId("job-" + number))
                    .jobClass("c")
                    .team("t")
                    .kind(kind)
                    .priority(priority)
                    .taskCount(tasks)
                    .taskResources(new Resources(cpus, 0, 1))
                    .zone(zone)
                    .singleZone(rule.equals("one"))
                    .spreadOverZones(rule.equals("spread"))
                    .allowsSpot(spot)
                    .image("i")
                    .imageGb(1)
                    .estimate(TimeSpan.ZERO)
                    .build());
  }

  @Property(tries = 400, seed = "11")
  void respectsLimitsZonesAndKinds(@ForAll @Size(max = 12) List<@From("jobs") Job> jobs) {
    List<Admission.ShardCapacity> shards = new ArrayList<>();
    Map<ShardId, String> zoneOf = new HashMap<>();
    for (String zone : List.of("a", "b", "c")) {
      for (boolean spot : new boolean[] {true, false}) {
        ShardId id = new ShardId(zone + spot);
        zoneOf.put(id, zone);
        shards.add(
            new Admission.ShardCapacity(
                id,
                "m",
                zone,
                spot,
                new Resources(16, 0, 64),
                List.of(new Resources(8, 0, 32), new Resources(8, 0, 32)),
                List.of(),
                Map.of(),
                4000));
      }
    }
    List<JobDemand> demands = new ArrayList<>();
    Map<JobId, Job> byId = new HashMap<>();
    for (Job job : jobs) {
      if (byId.put(job.id(), job) == null) {
        TaskSet all = new TaskSet();
        for (int i = 0; i < job.taskCount(); i++) {
          all.add(i);
        }
        demands.add(
            new JobDemand(
                job,
                new Revision(1),
                100,
                false,
                job.taskCount() % 2 == 0,
                all,
                Map.of(),
                Admission.Place.BY_PRIORITY,
                100));
      }
    }
    byId.clear();
    demands.forEach(demand -> byId.put(demand.job().id(), demand.job()));
    Resources before = new Resources(4, 0, 0);
    new Admission(shards, Map.of("t", TEAM), Map.of("t", before), Map.of()).run(demands);

    Resources use = before;
    Map<JobId, Map<String, Integer>> perZone = new HashMap<>();
    Map<JobId, TaskSet> out = new HashMap<>();
    for (Admission.ShardCapacity shard : shards) {
      for (Map.Entry<JobId, TaskSet> admitted : shard.admitted().entrySet()) {
        Job job = byId.get(admitted.getKey());
        int count = admitted.getValue().size();
        use = use.plus(job.taskResources().times(count));
        perZone
            .computeIfAbsent(job.id(), id -> new HashMap<>())
            .merge(zoneOf.get(shard.id()), count, Integer::sum);
        int sizeBefore = out.computeIfAbsent(job.id(), id -> new TaskSet()).size();
        out.get(job.id()).addAll(admitted.getValue());
        assertEquals(sizeBefore + count, out.get(job.id()).size(), "a task goes to one shard only");
        assertTrue(job.allows("m", zoneOf.get(shard.id()), shard.id().text().endsWith("true")));
      }
    }
    assertTrue(use.fitsIn(TEAM.limit()), "the team's limit");
    perZone.forEach(
        (id, zones) -> {
          Job job = byId.get(id);
          assertTrue(!job.singleZone() || zones.size() == 1, "one zone");
          zones
              .values()
              .forEach(count -> assertTrue(count <= job.maxTasksPerZone(), "spread over zones"));
          assertTrue(
              job.kind() != JobKind.GANG || out.get(id).size() == job.taskCount(),
              "a gang goes whole");
        });
  }

  /**
   * A shard that declines a job after failing at it is not given the job, and other shards are. A
   * job that three shards decline causes no scale-out; one that fewer decline may have met faulty
   * machines.
   */
  @Property(tries = 200, seed = "12")
  void admitsDeclinedJobToOtherShards(
      @ForAll("jobs") Job drawn, @ForAll @Size(4) List<Boolean> declines) {
    Job job =
        Job.builder(drawn.id())
            .jobClass("c")
            .team("t")
            .kind(drawn.kind())
            .priority(drawn.priority())
            .taskCount(1)
            .taskResources(drawn.taskResources())
            .allowsSpot(true)
            .image("i")
            .imageGb(1)
            .estimate(TimeSpan.ZERO)
            .build();
    List<Admission.ShardCapacity> shards = shards(job, declines);
    List<Admission.Unmet> unmet = admit(job, shards);
    int admitted = 0;
    for (int i = 0; i < shards.size(); i++) {
      int here = shards.get(i).admitted().size();
      assertTrue(here == 0 || !declines.get(i), "admitted to a shard that declines the job");
      admitted += here;
    }
    assertEquals(declines.contains(false) ? 1 : 0, admitted);
    assertEquals(List.of(), unmet, "declined by all four, the job itself is faulty");
    boolean nobody = declines.get(2) && declines.get(3);
    assertEquals(
        nobody ? 1 : 0,
        admit(job, shards(job, declines.subList(2, 4))).size(),
        "declined by two, other machines may run the job");
  }

  private static List<Admission.ShardCapacity> shards(Job job, List<Boolean> declines) {
    List<Admission.ShardCapacity> shards = new ArrayList<>();
    for (int i = 0; i < declines.size(); i++) {
      Admission.ShardCapacity shard =
          new Admission.ShardCapacity(
              new ShardId("b" + i),
              "m",
              "a",
              false,
              new Resources(8, 0, 32),
              List.of(new Resources(8, 0, 32)),
              List.of(new Resources(8, 0, 32)),
              Map.of(),
              4000);
      shard.decline(declines.get(i) ? Set.of(job.id()) : Set.of(new JobId("job-100000")));
      shards.add(shard);
    }
    return shards;
  }

  private static List<Admission.Unmet> admit(Job job, List<Admission.ShardCapacity> shards) {
    return new Admission(shards, Map.of("t", TEAM), Map.of(), Map.of())
        .run(
            List.of(
                new JobDemand(
                    job,
                    new Revision(1),
                    100,
                    false,
                    false,
                    TaskSet.range(1),
                    Map.of(),
                    Admission.Place.BY_PRIORITY,
                    100)));
  }

  /**
   * A shard full of best-effort work is free for all other work, but not for more best-effort work.
   */
  @Example
  void bestEffortWorkBlocksNoOtherWork() {
    for (boolean idle : new boolean[] {true, false}) {
      for (Priority priority : List.of(Priority.NORMAL, Priority.LOW)) {
        Admission.ShardCapacity shard =
            new Admission.ShardCapacity(
                new ShardId("b"),
                "m",
                "a",
                true,
                new Resources(16, 0, 64),
                List.of(new Resources(0, 0, 0), new Resources(0, 0, 0)),
                List.of(),
                Map.of(),
                4000);
        shard.count(array(1, Priority.LOW, 8), 8, 8, idle);
        Job job = array(2, priority, 4);
        new Admission(List.of(shard), Map.of("t", TEAM), Map.of(), Map.of())
            .run(
                List.of(
                    new JobDemand(
                        job,
                        new Revision(1),
                        500,
                        false,
                        false,
                        TaskSet.range(4),
                        Map.of(),
                        Admission.Place.BY_PRIORITY,
                        500)));
        int admitted =
            shard.admitted().containsKey(job.id()) ? shard.admitted().get(job.id()).size() : 0;
        assertEquals(
            idle && priority == Priority.NORMAL ? 4 : 1,
            admitted,
            priority + " beside idle work: " + idle);
      }
    }
  }

  /**
   * A shard gets no more tasks of a job than every build can read in its record, however they come
   * to be scattered; with the present text measured, there is room for more
   * (docs/incidents/unreadable-allocation.md).
   */
  @Example
  void textOfAJobStaysShortEnoughToBeRead() {
    Job job = array(1, Priority.LOW, 9_999);
    int withoutRoomInText = TaskSet.MAX_STORED_TEXT_LENGTH / 5;
    for (boolean measured : new boolean[] {true, false}) {
      Admission.ShardCapacity shard =
          new Admission.ShardCapacity(
              new ShardId("b"),
              "m",
              "a",
              true,
              new Resources(1e6, 0, 1e6),
              List.of(new Resources(1e6, 0, 1e6)),
              List.of(),
              Map.of(),
              60_000);
      shard.count(job, 400, 400, false);
      if (measured) {
        shard.setTextLength(job.id(), 96);
      }
      TaskSet pool = TaskSet.range(9_999);
      pool.removeAll(TaskSet.range(400));
      Team unlimited = new Team("t", new Resources(1e6, 0, 1e6), new Resources(1e6, 0, 1e6));
      new Admission(List.of(shard), Map.of("t", unlimited), Map.of(), Map.of())
          .run(
              List.of(
                  new JobDemand(
                      job,
                      new Revision(1),
                      500,
                      false,
                      false,
                      pool,
                      Map.of(),
                      Admission.Place.BY_PRIORITY,
                      500)));
      assertEquals(
          measured ? (TaskSet.MAX_STORED_TEXT_LENGTH - 96) / 5 : withoutRoomInText - 400,
          shard.admitted().get(job.id()).size());
    }
  }

  private static Job array(int number, Priority priority, int tasks) {
    return Job.builder(new JobId("job-" + number))
        .jobClass("c")
        .team("t")
        .kind(JobKind.ARRAY)
        .priority(priority)
        .taskCount(tasks)
        .taskResources(new Resources(2, 0, 1))
        .allowsSpot(true)
        .image("i")
        .imageGb(1)
        .estimate(TimeSpan.ofSeconds(60))
        .build();
  }
}
