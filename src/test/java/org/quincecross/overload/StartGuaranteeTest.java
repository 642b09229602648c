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
 * The order of admission over minutes, with far more work than room: nobody whose limit allows it
 * waits past the bound.
 */
class StartGuaranteeTest {
  private static final double BOUND_S = 240;
  private static final Resources BLOCK = new Resources(48, 0, 192);
  private static final Resources MACHINE = new Resources(8, 0, 32);
  private static final int MACHINES = 6;

  /** A job and what has become of it. */
  private static final class Play {
    private final Job job;
    private final int submitted;
    private final double runS;
    private final TaskSet pool;
    private int given;
    private int ran;
    private int out;
    private int begun = -1;

    Play(Job job, int submitted, double runS) {
      this.job = job;
      this.submitted = submitted;
      this.runS = runS;
      this.pool = TaskSet.range(job.taskCount());
    }
  }

  private final Map<JobId, Play> jobs = new TreeMap<>(Comparator.comparing(JobId::text));

  /** Of each block: the tasks that wait there, and those that run, with when they end. */
  private final Map<String, List<Play>> queued = new TreeMap<>();

  private final Map<String, List<Map.Entry<Play, Double>>> running = new TreeMap<>();
  private int number = 1000;

  private void submit(
      String team, JobKind kind, Priority priority, int tasks, double cpus, double runS, int now) {
    JobId id = new JobId("job-" + number++);
    jobs.put(
        id,
        new Play(
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
   * A second: what has ended goes, what waits is admitted in the order, and blocks start what fits,
   * by priority and age.
   */
  private void second(int now, StartGuarantee beginnings, Map<String, Team> teams) {
    List<Admission.ShardCapacity> shards = new ArrayList<>();
    for (String name : running.keySet()) {
      running
          .get(name)
          .removeIf(
              each -> {
                boolean over = each.getValue() <= now;
                each.getKey().out -= over ? 1 : 0;
                return over;
              });
      List<Resources> machines = new ArrayList<>();
      for (int i = 0; i < MACHINES; i++) {
        machines.add(MACHINE);
      }
      Admission.ShardCapacity shard =
          new Admission.ShardCapacity(
              new ShardId(name), "m", "z", false, BLOCK, machines, machines, Map.of(), 100_000);
      queued.get(name).forEach(each -> shard.count(each.job, 1, 1, false));
      running.get(name).forEach(each -> shard.count(each.getKey().job, 1, 1, false));
      shards.add(shard);
    }
    Map<String, Resources> use = new HashMap<>();
    List<StartGuarantee.Waiting> waiting = new ArrayList<>();
    for (Play each : jobs.values()) {
      use.merge(each.job.team(), each.job.taskResources().times(each.out), Resources::plus);
      if (!each.pool.isEmpty()) {
        waiting.add(
            new StartGuarantee.Waiting(
                each.job.id(),
                new Revision(each.submitted),
                now - each.submitted,
                each.job.startQuorum(),
                each.ran,
                each.given,
                each.job.taskResources().cpus() / (3 * BLOCK.cpus()),
                each.job.kind() == JobKind.GANG));
      }
    }
    Map<JobId, Integer> begin = beginnings.look(waiting, 30);
    List<JobDemand> demands = new ArrayList<>();
    for (StartGuarantee.Waiting each : waiting) {
      Play play = jobs.get(each.id());
      demands.addAll(
          new JobDemand(
                  play.job,
                  each.accepted(),
                  3600,
                  false,
                  false,
                  play.pool.copy(),
                  Map.of(),
                  Admission.Place.BY_PRIORITY,
                  play.job.estimatedDemand())
              .with(begin.getOrDefault(each.id(), 0), Admission.Place.GUARANTEED_START));
    }
    new Admission(shards, teams, use, Map.of()).run(demands);
    for (Admission.ShardCapacity shard : shards) {
      shard
          .admitted()
          .forEach(
              (id, tasks) -> {
                Play play = jobs.get(id);
                play.pool.removeAll(tasks);
                play.given += tasks.size();
                play.out += tasks.size();
                for (int i = 0; i < tasks.size(); i++) {
                  queued.get(shard.id().text()).add(play);
                }
              });
    }
    for (String name : queued.keySet()) {
      List<Play> queue = queued.get(name);
      queue.sort(
          Comparator.comparing((Play each) -> each.job.priority())
              .reversed()
              .thenComparing(each -> each.submitted));
      double free = BLOCK.cpus();
      for (Map.Entry<Play, Double> each : running.get(name)) {
        free -= each.getKey().job.taskResources().cpus();
      }
      for (Play each : List.copyOf(queue)) {
        if (each.job.taskResources().cpus() <= free) {
          queue.remove(each);
          free -= each.job.taskResources().cpus();
          running.get(name).add(Map.entry(each, now + each.runS));
          each.ran++;
          each.begun = each.begun < 0 && each.ran >= each.job.startQuorum() ? now : each.begun;
        }
      }
    }
    jobs.values()
        .removeIf(
            each ->
                each.pool.isEmpty()
                    && each.out == 0
                    && each.begun >= 0
                    && each.job.taskCount() < 3);
  }

  @Property(tries = 8, seed = "5")
  void nobodyWaitsPastTheBoundWhileWorkBehindItStarts(@ForAll Random random) {
    jobs.clear();
    for (String name : List.of("b1", "b2", "b3")) {
      queued.put(name, new ArrayList<>());
      running.put(name, new ArrayList<>());
    }
    StartGuarantee beginnings = new Overload(new Shares(0.85, 1, 0.05, 0.05)).beginnings();
    double none = Double.POSITIVE_INFINITY;
    Map<String, Team> teams =
        Map.of(
            "loud",
            new Team("loud", Resources.NONE, new Resources(none, none, none)),
            "tight",
            new Team("tight", Resources.NONE, new Resources(24, none, none)));
    for (int now = 0; now < 420; now++) {
      // More than fits, of little work each, of both teams: without the bound all room and all of
      // the limit goes to these.
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
        // What its team's limit does not let begin at once takes several run times more: of that
        // nothing is promised.
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
      second(now, beginnings, teams);
      for (Play each : jobs.values()) {
        assertTrue(
            each.begun >= 0 || now - each.submitted <= BOUND_S || each.job.taskCount() < 3,
            each.job + " after " + (now - each.submitted));
      }
    }
  }

  /** Every state from every other: only forward, and what has begun has begun. */
  @Example
  void statesGoForward() {
    for (StartGuarantee.State state : StartGuarantee.State.values()) {
      for (double age = 0; age <= 300; age += 10) {
        for (boolean begun : new boolean[] {false, true}) {
          StartGuarantee.State next = StartGuarantee.next(state, begun, age, 150, 200);
          assertTrue(next.compareTo(state) >= 0, state + " to " + next);
          assertEquals(
              begun || state == StartGuarantee.State.BEGUN, next == StartGuarantee.State.BEGUN);
          assertTrue(age < 200 || next.compareTo(StartGuarantee.State.GUARANTEED) >= 0);
        }
      }
    }
  }
}
