package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntConsumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Machine;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;

/**
 * A leader fails or is partitioned while jobs of two and three long tasks run: which tasks its
 * successor counts as running, what users are told of jobs whose tasks end far apart, and what the
 * former leader does when it returns. Three controllers, 30 machines, in virtual time.
 */
class LeaderChangesTest {
  private static final double CPUS = 8;

  /** The limit of the team with the long jobs; more of them wait than run. */
  private static final double LIMIT_CPUS = 48;

  /** From the end of a job's last task, or of the fault, until its user has been told. */
  private static final double MAX_REPORT_DELAY_S = 7;

  private final ClusterSpec spec =
      ClusterSpec.tryOut(30, true)
          .with(
              Map.of(
                  "long",
                  new Team("long", new Resources(CPUS, 0, 1e9), new Resources(LIMIT_CPUS, 0, 1e9)),
                  "web",
                  new Team("web", new Resources(80, 0, 1e9), new Resources(120, 0, 1e9))));
  private final SimulatedCluster cluster = new SimulatedCluster(spec, 11, Meter.OFF);
  private final Random random = new Random(11);
  private final Map<JobId, Integer> endedTasks = new LinkedHashMap<>();
  private final Map<JobId, Double> lastTaskEnd = new HashMap<>();
  private int tasks;

  /** Submits jobs of two and three tasks that end 30 to 90 s apart, with all kinds of placement. */
  private void submitLongJobs(int jobs, double each) {
    for (int i = 0; i < jobs; i++) {
      int count = 2 + i % 2;
      Job job =
          Job.builder(new JobId("job-" + (100 + i)))
              .jobClass("long")
              .team("long")
              .kind(JobKind.ARRAY)
              .priority(Priority.NORMAL)
              .taskCount(count)
              .taskResources(new Resources(each, 0, 2))
              .singleZone(i % 4 == 0)
              .spreadOverZones(i % 4 == 1)
              .allowsSpot(i % 3 == 0)
              .image("img-" + i % 3)
              .imageGb(0.5)
              .estimate(TimeSpan.ofSeconds(20))
              .build();
      for (int task = 1; task < count; task++) {
        cluster
            .environment()
            .tasks()
            .runsLonger(job.id().task(task), task * (30 + 15 * random.nextDouble()));
      }
      tasks += count;
      endedTasks.put(job.id(), 0);
      cluster.time().at(5 + 0.3 * i, () -> cluster.users().submit(job));
    }
  }

  /**
   * Runs an action each time that tasks end; {@code what} receives the number of ended tasks of the
   * job.
   */
  private void onTaskEnds(double untilS, IntConsumer what) {
    for (double at = 8; at < untilS; at += 0.02) {
      cluster
          .time()
          .at(
              at,
              () -> {
                int most = 0;
                for (Map.Entry<JobId, Integer> job : endedTasks.entrySet()) {
                  int now = cluster.invariants().completedTasks(job.getKey());
                  if (now > job.getValue()) {
                    job.setValue(now);
                    lastTaskEnd.put(job.getKey(), cluster.time().seconds());
                    most = Math.max(most, now);
                  }
                }
                if (most > 0) {
                  what.accept(most);
                }
              });
    }
  }

  private int leader() {
    return Math.max(0, cluster.leader());
  }

  private void failControllers(boolean leaderToo, boolean othersToo, double seconds) {
    int leader = leader();
    for (int node = 0; node < cluster.nodeCount(); node++) {
      if (node == leader ? leaderToo : othersToo) {
        cluster.stopFor(node, seconds);
      }
    }
  }

  /** Every job is done, and its user is told in time. */
  private void assertAllDoneInTime(double troubleUntilS) {
    assertEquals(List.of(), cluster.invariants().violations());
    endedTasks
        .keySet()
        .forEach(
            id -> {
              assertEquals("done", cluster.users().reportedStates().get(id), id.text());
              double told =
                  cluster.users().submittedAt().get(id) + cluster.users().overAfter().get(id);
              double due = Math.max(troubleUntilS, lastTaskEnd.get(id)) + MAX_REPORT_DELAY_S;
              assertTrue(told <= due, id + " told at " + told + ", due at " + due);
            });
  }

  /**
   * Between the end of a task and its record the leader fails, the shard owners do, or all. The
   * machine keeps the result until it is recorded, and the next owner of its shard reports it.
   */
  @ParameterizedTest
  @CsvSource({
    "true, false, 0.02",
    "true, false, 1",
    "false, true, 0.02",
    "false, true, 0.6",
    "true, true, 0.02",
    "true, true, 1.4"
  })
  void completesJobsWhoseTasksEndFarApart(boolean leaderToo, boolean othersToo, double after) {
    submitLongJobs(8, 1);
    double[] last = new double[1];
    onTaskEnds(
        140,
        most -> {
          if (cluster.time().seconds() > last[0] + 9) {
            last[0] = cluster.time().seconds() + after;
            cluster
                .time()
                .after(
                    after,
                    () -> failControllers(leaderToo, othersToo, 0.3 + 2 * random.nextDouble()));
          }
        });
    cluster.time().runUntil(170);
    assertAllDoneInTime(last[0] + 6);
    assertEquals(tasks, cluster.invariants().starts(), "tasks started, and started again");
  }

  /**
   * The state service is down, or applies changes late, from a moment before the last task of a job
   * ends; the leader fails meanwhile. No user is told too early, and all are told soon afterwards.
   */
  @ParameterizedTest
  @CsvSource({"false, 0.3", "false, 9", "true, 0.3", "true, 9"})
  void reportsJobThatEndsDuringOutage(boolean late, double leaderAfter) {
    submitLongJobs(8, 1);
    double[] last = new double[1];
    for (double at = 45; at < 130; at += 25) {
      cluster
          .time()
          .at(
              at,
              () -> {
                if (late) {
                  cluster.state().applyLate(2);
                  cluster.time().after(14, () -> cluster.state().applyLate(0));
                } else {
                  cluster.state().outage(14);
                }
                last[0] = cluster.time().seconds() + 14;
                cluster.time().after(leaderAfter, () -> failControllers(true, false, 0.5));
              });
    }
    onTaskEnds(240, most -> {});
    cluster.time().runUntil(260);
    // The last write may be applied 23 s later, and until then its sender does not know.
    assertAllDoneInTime(last[0] + (late ? 12 : 3));
  }

  /**
   * Sets which machines only the failing controller reaches, which no controller reaches, and which
   * receive nothing.
   */
  private void makeMachinesUnreachable(int former, double seconds) {
    List<AgentSimulator> workers = new ArrayList<>(cluster.cloud().workers());
    for (int i = 0; i < workers.size(); i++) {
      Machine machine = workers.get(i).machine();
      for (int node = 0; i % 3 != 2 && node < cluster.nodeCount(); node++) {
        if (node != former || i % 3 == 1) {
          cluster.cut(ClusterSpec.nodeName(node), machine.id().text(), seconds, i % 2 == 0);
        }
      }
      if (i % 7 == 2) {
        cluster.dropInbound(machine.id(), seconds / 4);
      }
    }
  }

  /**
   * The leader is cut off from the state service and the other controllers, or fails, while it
   * alone reaches a third of the machines, no controller reaches another third, and some of the
   * rest receive nothing. More work of the team waits than its limit permits; for most of it, half
   * or all of its tasks are bound to one zone. Unreachable tasks count until they are proven gone.
   */
  @ParameterizedTest
  @CsvSource({"0, 36", "1, 36", "2, 36", "0, 55", "1, 55", "3, 30", "4, 30"})
  void staysWithinLimitWhenMachinesAreUnreachable(int how, double seconds) {
    submitLongJobs(30, 3);
    cluster
        .time()
        .at(
            22,
            () -> {
              int former = leader();
              makeMachinesUnreachable(former, seconds);
              cutOff(former, how, seconds);
            });
    onTaskEnds(400, most -> {});
    cluster.time().runUntil(60);
    assertTrue(cluster.invariants().used("long").cpus() <= LIMIT_CPUS);
    cluster.time().runUntil(500);
    assertEquals(List.of(), cluster.invariants().violations());
    endedTasks
        .keySet()
        .forEach(id -> assertEquals("done", cluster.users().reportedStates().get(id), id.text()));
  }

  /**
   * 0: requests are refused; 1: lost; 2: held until the end; 3: the leader fails and restarts at
   * once; 4: it is suspended.
   */
  private void cutOff(int node, int how, double seconds) {
    switch (how) {
      case 0, 1 -> cluster.separate(node, seconds, how == 1);
      case 2 -> {
        cluster.cut(ClusterSpec.nodeName(node), "state", seconds, false);
        for (int other = 0; other < cluster.nodeCount(); other++) {
          if (other != node) {
            cluster.cut(ClusterSpec.nodeName(node), ClusterSpec.nodeName(other), seconds, false);
          }
        }
      }
      case 3 -> cluster.stopFor(node, 0.3);
      default -> cluster.suspend(node, seconds);
    }
  }

  /**
   * A leader is isolated from the other controllers, but workers and users reach it, while jobs are
   * cancelled through the others. Machines that reach only this leader run these jobs until it must
   * stop; no user is told an older state, and the leader starts none of their tasks when it
   * returns.
   */
  @ParameterizedTest
  @CsvSource({"0, 30", "0, 50", "1, 40", "2, 30", "2, 50"})
  void cancelsJobsWhileLeaderIsIsolated(int how, double seconds) {
    submitLongJobs(24, 3);
    cluster
        .time()
        .at(
            22,
            () -> {
              int former = leader();
              for (AgentSimulator worker : cluster.cloud().workers()) {
                for (int node = 0; node < cluster.nodeCount(); node++) {
                  if (node != former
                      && worker.machine().zone().equals(spec.nodeZones().get(former))) {
                    cluster.cut(
                        ClusterSpec.nodeName(node),
                        worker.machine().id().text(),
                        seconds + 20,
                        true);
                  }
                }
              }
              cutOff(former, how, seconds);
            });
    List<JobId> cancelled = new ArrayList<>(endedTasks.keySet()).subList(6, 24);
    for (int i = 0; i < cancelled.size(); i++) {
      JobId id = cancelled.get(i);
      cluster.time().at(22.1 + i * 1.1, () -> cluster.users().cancel(id));
    }
    cluster.time().runUntil(22 + seconds);
    int over =
        (int)
            cancelled.stream()
                .filter(id -> "cancelled".equals(cluster.users().reportedStates().get(id)))
                .count();
    assertTrue(over >= cancelled.size() - 2, "cancelled meanwhile: " + over);
    cluster.time().runUntil(230);
    assertEquals(List.of(), cluster.invariants().violations());
    endedTasks
        .keySet()
        .forEach(
            id -> {
              String told = cluster.users().reportedStates().get(id);
              assertTrue(
                  "done".equals(told) || ("cancelled".equals(told) && cancelled.contains(id)),
                  id + " " + told);
            });
  }

  /**
   * A leader's plan is sent or applied late, after another controller has led and failed and, in
   * some cases, the first one leads again: two leader changes within a few seconds, and all late
   * messages arrive at once at the end.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.2, 0.6, 1, 4.5, 9})
  void latePlanOfFormerLeaderHasNoEffect(double again) {
    submitLongJobs(30, 3);
    int[] planner = {-1};
    cluster.injectFaultAt(
        request -> {
          boolean sprung =
              planner[0] < 0
                  && cluster.time().seconds() > 20
                  && request.startsWith("POST /txn")
                  && request.contains("\"Set\":\"q/alloc");
          if (sprung) {
            planner[0] = leader();
            cluster.time().after(again, () -> cluster.stopFor((planner[0] + 1) % 3, 0.3));
            cluster.time().after(again + 0.7, () -> cluster.stopFor((planner[0] + 2) % 3, 0.3));
            cluster.time().after(again + 6, () -> failControllers(true, true, 0.3));
          }
          return sprung;
        },
        5,
        SimulatedCluster.SendFault.STILL_BEFORE);
    onTaskEnds(400, most -> {});
    cluster.time().runUntil(430);
    assertTrue(planner[0] >= 0);
    assertEquals(List.of(), cluster.invariants().violations());
    endedTasks
        .keySet()
        .forEach(id -> assertEquals("done", cluster.users().reportedStates().get(id), id.text()));
  }

  /** Days from fixed seeds; {@link SeedsTest} runs more of them. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 417, 987})
  void keepsRulesDuringLeaderChanges(long seed) {
    assertEquals(List.of(), new LeaderFailureScenario(seed).run());
  }
}
