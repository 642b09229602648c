package org.quincecross.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
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
import org.quincecross.scheduling.Admission;
import org.quincecross.scheduling.JobDemand;

/**
 * Simulates minutes of admission with far more work than capacity: no job whose team limit allows
 * it waits longer than the bound.
 */
class StartGuaranteeTest {
  private static final double BOUND_S = 240;
  private static final Resources SHARD = new Resources(48, 0, 192);
  private static final Resources MACHINE = new Resources(8, 0, 32);
  private static final int MACHINES = 6;

  /** A simulated job. */
  private static final class SimulatedJob {
    private final Job job;
    private final int submitted;
    private final double runS;
    private final TaskSet unallocated;
    private int allocated;
    private int ran;
    private int active;
    private int startedAt = -1;

    SimulatedJob(Job job, int submitted, double runS) {
      this.job = job;
      this.submitted = submitted;
      this.runS = runS;
      this.unallocated = TaskSet.range(job.taskCount());
    }
  }

  private final Map<JobId, SimulatedJob> jobs = new TreeMap<>(Comparator.comparing(JobId::text));

  /** Per shard: the queued tasks, and the running tasks with their end times. */
  private final Map<String, List<SimulatedJob>> queued = new TreeMap<>();

  private final Map<String, List<Map.Entry<SimulatedJob, Double>>> running = new TreeMap<>();
  private int number = 1000;

  private void submit(
      String team, JobKind kind, Priority priority, int tasks, double cpus, double runS, int now) {
    JobId id = new JobId("job-" + number++);
    jobs.put(
        id,
        new SimulatedJob(
            Job.builder(id)
                .jobClass("c")
                .team(team)
                .kind(kind)
                .priority(priority)
                .taskCount(tasks)
                .taskResources(new Resources(cpus, 0, 2))
                .image("i")
                .imageGb(1)
                .estimate(TimeSpan.ofSeconds(runS))
                .build(),
            now,
            runS));
  }

  /**
   * Simulates one second: ends tasks, admits waiting tasks in order, and starts what fits in each
   * shard by priority and age.
   */
  private void simulateSecond(int now, StartGuarantee guarantee, Map<String, Team> teams) {
    List<Admission.ShardCapacity> shards = new ArrayList<>();
    for (String name : running.keySet()) {
      running
          .get(name)
          .removeIf(
              job -> {
                boolean over = job.getValue() <= now;
                job.getKey().active -= over ? 1 : 0;
                return over;
              });
      List<Resources> machines = new ArrayList<>();
      for (int i = 0; i < MACHINES; i++) {
        machines.add(MACHINE);
      }
      Admission.ShardCapacity shard =
          new Admission.ShardCapacity(
              new ShardId(name), "m", "z", false, SHARD, machines, machines, Map.of(), 100_000);
      queued.get(name).forEach(job -> shard.count(job.job, 1, 1, false));
      running.get(name).forEach(job -> shard.count(job.getKey().job, 1, 1, false));
      shards.add(shard);
    }
    Map<String, Resources> use = new HashMap<>();
    List<StartGuarantee.Waiting> waiting = new ArrayList<>();
    for (SimulatedJob job : jobs.values()) {
      use.merge(job.job.team(), job.job.taskResources().times(job.active), Resources::plus);
      if (!job.unallocated.isEmpty()) {
        waiting.add(
            new StartGuarantee.Waiting(
                job.job.id(),
                new Revision(job.submitted),
                now - job.submitted,
                job.job.startQuorum(),
                job.ran,
                job.allocated,
                job.job.taskResources().cpus() / (3 * SHARD.cpus()),
                job.job.kind() == JobKind.GANG));
      }
    }
    Map<JobId, Integer> claims = guarantee.evaluate(waiting, 30);
    List<JobDemand> demands = new ArrayList<>();
    for (StartGuarantee.Waiting job : waiting) {
      SimulatedJob simulated = jobs.get(job.id());
      demands.addAll(
          new JobDemand(
                  simulated.job,
                  job.accepted(),
                  3600,
                  false,
                  false,
                  simulated.unallocated.copy(),
                  Map.of(),
                  Admission.Place.BY_PRIORITY,
                  simulated.job.estimatedDemand())
              .with(claims.getOrDefault(job.id(), 0), Admission.Place.GUARANTEED_START));
    }
    new Admission(shards, teams, use, Map.of()).run(demands);
    for (Admission.ShardCapacity shard : shards) {
      shard
          .admitted()
          .forEach(
              (id, tasks) -> {
                SimulatedJob simulated = jobs.get(id);
                simulated.unallocated.removeAll(tasks);
                simulated.allocated += tasks.size();
                simulated.active += tasks.size();
                for (int i = 0; i < tasks.size(); i++) {
                  queued.get(shard.id().text()).add(simulated);
                }
              });
    }
    for (String name : queued.keySet()) {
      List<SimulatedJob> queue = queued.get(name);
      queue.sort(
          Comparator.comparing((SimulatedJob job) -> job.job.priority())
              .reversed()
              .thenComparing(job -> job.submitted));
      double free = SHARD.cpus();
      for (Map.Entry<SimulatedJob, Double> entry : running.get(name)) {
        free -= entry.getKey().job.taskResources().cpus();
      }
      for (SimulatedJob job : List.copyOf(queue)) {
        if (job.job.taskResources().cpus() <= free) {
          queue.remove(job);
          free -= job.job.taskResources().cpus();
          running.get(name).add(Map.entry(job, now + job.runS));
          job.ran++;
          job.startedAt =
              job.startedAt < 0 && job.ran >= job.job.startQuorum() ? now : job.startedAt;
        }
      }
    }
    jobs.values()
        .removeIf(
            job ->
                job.unallocated.isEmpty()
                    && job.active == 0
                    && job.startedAt >= 0
                    && job.job.taskCount() < 3);
  }

  @Property(tries = 8, seed = "5")
  void startsEveryJobWithinTheBound(@ForAll Random random) {
    jobs.clear();
    for (String name : List.of("b1", "b2", "b3")) {
      queued.put(name, new ArrayList<>());
      running.put(name, new ArrayList<>());
    }
    StartGuarantee guarantee = new Overload(new Shares(0.85, 1, 0.05, 0.05)).startGuarantee();
    double unlimited = Double.POSITIVE_INFINITY;
    Map<String, Team> teams =
        Map.of(
            "loud",
            new Team("loud", Resources.NONE, new Resources(unlimited, unlimited, unlimited)),
            "tight",
            new Team("tight", Resources.NONE, new Resources(24, unlimited, unlimited)));
    for (int now = 0; now < 420; now++) {
      // Many small jobs of both teams exceed the capacity: without the start guarantee they would
      // take all room and the whole limit.
      for (int i = 0; i < 12 && jobs.size() < 120; i++) {
        submit(
            "loud",
            JobKind.ARRAY,
            random.nextBoolean() ? Priority.NORMAL : Priority.HIGH,
            1,
            1 + random.nextInt(2),
            8 + random.nextInt(15),
            now);
      }
      submit(
          "tight",
          JobKind.ARRAY,
          Priority.NORMAL,
          jobs.size() < 140 ? 2 : 1,
          1 + random.nextInt(2),
          10 + random.nextInt(20),
          now);
      if (now % 20 == 0 && now < 160) {
        boolean gang = random.nextBoolean();
        // Jobs that the team's limit does not let start at once take several run times longer; the
        // guarantee does not cover that, so jobs of team "tight" stay small.
        boolean tight = random.nextInt(3) == 0;
        submit(
            tight ? "tight" : "loud",
            gang ? JobKind.GANG : JobKind.ARRAY,
            random.nextBoolean() ? Priority.LOW : Priority.NORMAL,
            gang ? 3 : 10 + random.nextInt(90),
            gang ? 8 : 1 + random.nextInt(tight ? 2 : 8),
            10 + random.nextInt(30),
            now);
      }
      simulateSecond(now, guarantee, teams);
      for (SimulatedJob job : jobs.values()) {
        assertTrue(
            job.startedAt >= 0 || now - job.submitted <= BOUND_S || job.job.taskCount() < 3,
            job.job + " after " + (now - job.submitted));
      }
    }
  }

  /** State transitions only move forward, and a started job stays started. */
  @Example
  void statesOnlyMoveForward() {
    for (StartGuarantee.State state : StartGuarantee.State.values()) {
      for (double age = 0; age <= 300; age += 10) {
        for (boolean hasStarted : new boolean[] {false, true}) {
          StartGuarantee.State next = StartGuarantee.next(state, hasStarted, age, 150, 200);
          assertTrue(next.compareTo(state) >= 0, state + " to " + next);
          assertEquals(
              hasStarted || state == StartGuarantee.State.BEGUN,
              next == StartGuarantee.State.BEGUN);
          assertTrue(age < 200 || next.compareTo(StartGuarantee.State.GUARANTEED) >= 0);
        }
      }
    }
  }
}
