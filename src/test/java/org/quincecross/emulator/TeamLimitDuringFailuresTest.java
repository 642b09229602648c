package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;

/**
 * Every team is at its limit, with as much work again waiting, much of it bound to one zone, while
 * jobs are cancelled during combined faults. Unreachable tasks count against the limits of their
 * team and zone until they are proven gone. Three controllers, 30 machines, virtual time.
 */
class TeamLimitDuringFailuresTest {
  private static final double FAULT_START_S = 28;
  private static final double FAULT_END_S = 110;
  private static final int CANCELLATIONS_PER_WAVE = 14;

  private final ClusterSpec spec =
      ClusterSpec.tryOut(30, true)
          .with(
              Map.of("long", team("long", 48), "zonal", team("zonal", 40), "web", team("web", 24)));
  private final Map<JobId, Job> jobs = new LinkedHashMap<>();
  private final List<JobId> cancelledJobs = new ArrayList<>();
  private SimulatedCluster cluster;
  private Random random;
  private int changes;
  private int leader = -1;
  private int takeovers;
  private boolean atLimits = true;

  /** The faults that coincide with a wave of cancellations. */
  private enum Fault {
    HANG,
    CUT,
    HAND_OVER,
    ZONE,
    TEN_LEADERS,
    ALL_AWAY,
    ZONE_LOSES_MACHINES,
    OTHER_LIMITS,
    TAKEN_OVER_AND_REFUSED
  }

  private static Team team(String name, double cpus) {
    return new Team(name, new Resources(cpus / 4, 0, 1e9), new Resources(cpus, 0, 1e9));
  }

  private void submit(
      int number, String team, JobKind kind, int tasks, int cpus, boolean oneZone, double runS) {
    Job job =
        Job.builder(new JobId("job-" + number))
            .jobClass("any")
            .team(team)
            .kind(kind)
            .priority(kind == JobKind.SERVICE ? Priority.PRODUCTION : Priority.NORMAL)
            .taskCount(tasks)
            .taskResources(new Resources(cpus, 0, 2))
            .singleZone(oneZone)
            .allowsSpot(number % 3 != 0)
            .image("img-" + number % 3)
            .imageGb(1)
            .estimate(TimeSpan.ofSeconds(runS))
            .build();
    jobs.put(job.id(), job);
    cluster.time().at(5 + 12 * random.nextDouble(), () -> cluster.users().submit(job));
  }

  private List<JobId> running() {
    return jobs.keySet().stream()
        .filter(id -> cluster.invariants().onMachines(id) > 0 && !cancelledJobs.contains(id))
        .toList();
  }

  /** Users cancel {@code count} running jobs within {@code withinS} seconds. */
  private void cancel(int count, double withinS) {
    List<JobId> running = running();
    for (JobId id : running.subList(0, Math.min(count, running.size()))) {
      cancelledJobs.add(id);
      cluster.time().after(withinS * random.nextDouble(), () -> cluster.users().cancel(id));
    }
  }

  private int leader() {
    return Math.max(0, cluster.leader());
  }

  private void injectFault(Fault fault) {
    double lease = spec.workers().lease().seconds();
    switch (fault) {
      case HANG -> {
        cancel(CANCELLATIONS_PER_WAVE, 0.2);
        cluster
            .cloud()
            .workers()
            .forEach(
                worker -> {
                  if (random.nextBoolean()) {
                    worker.suspend(2 + (lease - 2.5) * random.nextDouble());
                  }
                });
        cluster
            .time()
            .after(
                random.nextDouble(),
                () -> cluster.stopFor(leader(), 0.3 + 9 * random.nextDouble()));
      }
      case CUT -> {
        int former = leader();
        boolean lose = random.nextBoolean();
        for (MachineId machine : cluster.cloud().machines()) {
          int kind = random.nextInt(5);
          for (int node = 0; kind < 3 && node < cluster.nodeCount(); node++) {
            if (kind != 0 || node != former) {
              cluster.cut(
                  ClusterSpec.nodeName(node), machine.text(), 6 + 34 * random.nextDouble(), lose);
            }
          }
        }
        cluster.time().after(1, () -> cluster.stopFor(former, 1 + 10 * random.nextDouble()));
        cancel(CANCELLATIONS_PER_WAVE, 20);
      }
      case HAND_OVER -> {
        cluster.delayMessages(0.2, 9, random);
        boolean[] hit = new boolean[1];
        cluster.injectFaultAt(
            request -> {
              if (!hit[0]
                  && request.startsWith("POST /txn")
                  && request.contains("\"Set\":\"q/block/")
                  && cluster.time().seconds() > FAULT_START_S) {
                hit[0] = true;
                cancel(CANCELLATIONS_PER_WAVE, 0.6);
              }
              return false;
            },
            0,
            SimulatedCluster.SendFault.STILL_AFTER);
        cluster.stopFor((leader() + 1 + random.nextInt(2)) % 3, 15);
        cluster.time().after(20, () -> cluster.delayMessages(0, 0, random));
      }
      case ZONE -> {
        new ZonePartitions(cluster)
            .zone(random.nextInt(3), lease + 2 + 24 * random.nextDouble(), random.nextBoolean());
        cancel(CANCELLATIONS_PER_WAVE, 16);
      }
      case TEN_LEADERS -> {
        for (int i = 0; i < 10; i++) {
          cluster
              .time()
              .after(12 * i, () -> cluster.stopFor(leader(), 0.2 + 9 * random.nextDouble()));
        }
        cluster.time().after(40 + 10 * random.nextDouble(), () -> cluster.state().outage(28));
        cancel(CANCELLATIONS_PER_WAVE, 60);
      }
      case ALL_AWAY -> {
        cancel(CANCELLATIONS_PER_WAVE, 4);
        cluster
            .cloud()
            .workers()
            .subList(0, 12)
            .forEach(worker -> worker.suspend(lease * random.nextDouble()));
        for (int node = 0; node < cluster.nodeCount(); node++) {
          int each = node;
          cluster
              .time()
              .after(
                  2 * random.nextDouble(),
                  () -> cluster.stopFor(each, lease + 1 + 14 * random.nextDouble()));
        }
      }
      case ZONE_LOSES_MACHINES -> {
        String zone = spec.zones().get(random.nextInt(3));
        List<AgentSimulator> there =
            cluster.cloud().workers().stream()
                .filter(worker -> worker.machine().zone().equals(zone))
                .toList();
        there
            .subList(0, there.size() / 2)
            .forEach(worker -> cluster.cloud().terminate(worker.machine().id(), 0));
        there
            .subList(there.size() / 2, there.size())
            .forEach(worker -> worker.suspend(10 * random.nextDouble()));
        cluster.time().after(8 * random.nextDouble(), () -> cluster.stopFor(leader(), 4));
        cancel(CANCELLATIONS_PER_WAVE / 2, 10);
      }
      case TAKEN_OVER_AND_REFUSED -> {
        // New owners of shards are refused at first, and machines restart as new workers before
        // they show the new token.
        cluster.delayMessages(0.2, 9, random);
        boolean[] hit = new boolean[3];
        cluster.injectFaultAt(
            request -> {
              if (request.startsWith("POST /txn")
                  && request.contains("\"Set\":\"q/block/")
                  && cluster.time().seconds() > FAULT_START_S) {
                for (int node = 0; node < cluster.nodeCount(); node++) {
                  if (!hit[node]
                      && request.contains("\"holder\":\"" + ClusterSpec.nodeName(node) + "\"")
                      && !hit[(node + 1) % 3]
                      && !hit[(node + 2) % 3]) {
                    hit[node] = true;
                    takeovers++;
                    cluster.state().refuse(ClusterSpec.nodeName(node), 45);
                    cluster
                        .cloud()
                        .workers()
                        .forEach(
                            worker -> {
                              if (random.nextInt(3) == 0) {
                                worker.restart(0.01 + 0.4 * random.nextDouble());
                              }
                            });
                  }
                }
              }
              return false;
            },
            0,
            SimulatedCluster.SendFault.STILL_AFTER);
        cluster.stopFor((leader() + 1 + random.nextInt(2)) % 3, 15);
        cancel(CANCELLATIONS_PER_WAVE, 12);
        cluster.time().after(20, () -> cluster.delayMessages(0, 0, random));
      }
      default -> {
        // The next leader may be one whose settings have lower limits, or the only one whose
        // settings do not.
        for (int node = 0; node < cluster.nodeCount(); node++) {
          if (node != leader()) {
            cluster.configureTeams(
                node,
                Map.of(
                    "long", team("long", 30), "zonal", team("zonal", 40), "web", team("web", 24)));
            cluster.stopFor(node, 0.5);
          }
        }
        cancel(CANCELLATIONS_PER_WAVE, 10);
        cluster.time().after(12, () -> cluster.stopFor(leader(), 5));
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "HANG, 1",
    "HANG, 2",
    "CUT, 1",
    "CUT, 2",
    "HAND_OVER, 1",
    "HAND_OVER, 2",
    "ZONE, 1",
    "ZONE, 2",
    "TEN_LEADERS, 1",
    "ALL_AWAY, 1",
    "ALL_AWAY, 2",
    "ZONE_LOSES_MACHINES, 1",
    "ZONE_LOSES_MACHINES, 2",
    "OTHER_LIMITS, 1",
    "TAKEN_OVER_AND_REFUSED, 1",
    "TAKEN_OVER_AND_REFUSED, 2",
    "TAKEN_OVER_AND_REFUSED, 3"
  })
  void teamsStayWithinLimitsAndWorkContinues(Fault fault, long seed) {
    assertEquals(List.of(), run(fault, seed));
    assertEquals(fault == Fault.TAKEN_OVER_AND_REFUSED ? 1 : 0, takeovers);
    assertTrue(atLimits, "all teams were at their limits");
    assertTrue(
        cancelledJobs.stream()
                .filter(id -> "cancelled".equals(cluster.users().reportedStates().get(id)))
                .count()
            >= CANCELLATIONS_PER_WAVE / 2 - 1,
        "cancelled");
    assertTrue(
        fault == Fault.ZONE
            || fault == Fault.TAKEN_OVER_AND_REFUSED
            || changes >= (fault == Fault.TEN_LEADERS ? 5 : fault == Fault.HAND_OVER ? 1 : 2),
        "leaders " + changes);
  }

  @Test
  @Tag("seeds")
  void teamsStayWithinLimitsOnManySeeds() {
    String[] range = System.getProperty("seeds", "20000-20199").split("-");
    Map<Long, List<String>> wrong = new TreeMap<>();
    for (long seed = Long.parseLong(range[0]); seed <= Long.parseLong(range[1]); seed++) {
      List<String> found =
          new TeamLimitDuringFailuresTest()
              .run(Fault.values()[(int) (seed % Fault.values().length)], seed);
      if (!found.isEmpty()) {
        wrong.put(seed, found);
      }
    }
    assertEquals(Map.of(), wrong);
  }

  private List<String> run(Fault fault, long seed) {
    cluster = new SimulatedCluster(spec, seed, Meter.OFF);
    random = new Random(seed * 31 + fault.ordinal());
    for (int i = 0; i < 36; i++) {
      submit(100 + i, "long", JobKind.ARRAY, 2 + i % 2, 1, i % 4 == 0, 55);
    }
    for (int i = 0; i < 14; i++) {
      submit(200 + i, "zonal", i % 4 == 3 ? JobKind.GANG : JobKind.ARRAY, 3, 2, true, 45);
    }
    for (int i = 0; i < 8; i++) {
      submit(300 + i, "web", JobKind.SERVICE, 2, 2, i % 2 == 0, 0);
    }
    for (double at = 6; at < FAULT_END_S + 60; at += 0.25) {
      cluster
          .time()
          .at(
              at,
              () -> {
                cluster.invariants().check();
                int now = cluster.leader();
                changes += now >= 0 && now != leader ? 1 : 0;
                leader = now >= 0 ? now : leader;
              });
    }
    cluster.time().runUntil(FAULT_START_S);
    spec.teams()
        .forEach(
            (name, team) ->
                atLimits &= cluster.invariants().used(name).cpus() > team.limit().cpus() - 8);
    injectFault(fault);
    cluster.time().runUntil(FAULT_END_S + 60);
    List<String> wrong = new ArrayList<>(cluster.invariants().violations());
    jobs.keySet().stream()
        .filter(id -> jobs.get(id).kind() == JobKind.SERVICE && !cancelledJobs.contains(id))
        .forEach(id -> cluster.users().cancel(id));
    cluster.time().runUntil(420);
    jobs.keySet()
        .forEach(
            id -> {
              String told = cluster.users().reportedStates().get(id);
              boolean over = "done".equals(told) || "cancelled".equals(told);
              if (!over) {
                wrong.add(id + " is " + told);
              }
            });
    return wrong;
  }
}
