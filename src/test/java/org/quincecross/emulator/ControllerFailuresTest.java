package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Controller failures reported by operators, in virtual time: isolated and suspended controllers,
 * controllers that receive nothing, excessive polling, and jobs that only fail.
 */
class ControllerFailuresTest extends BusyCluster {
  ControllerFailuresTest() throws MalformedMessageException {}

  private static Job array(int number, int tasks) {
    return array(number, tasks, 6);
  }

  private static Job array(int number, int tasks, double seconds) {
    return Job.builder(new JobId("job-" + number))
        .jobClass("other")
        .team("batch")
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(tasks)
        .taskResources(new Resources(1, 0, 2))
        .image("other")
        .imageGb(0.5)
        .estimate(TimeSpan.ofSeconds(seconds))
        .build();
  }

  /** The number of replicas that run according to a controller. */
  private int replicasAccordingTo(int node) {
    int[] sum = new int[1];
    for (JobId id : services) {
      cluster.sendDirectly(
          node,
          HttpRequest.get("/v2/runs/" + id),
          response -> {
            try {
              sum[0] += (int) Json.parseFields(response.body()).unsigned("running");
            } catch (MalformedMessageException e) {
              throw new IllegalStateException(e);
            }
          });
    }
    cluster.time().runUntil(cluster.time().seconds() + 2);
    return sum[0];
  }

  /**
   * A controller returns after a long isolation: within seconds it knows the shards of the others,
   * although their connections to it hang for as long again (incident blind-after-silence).
   * Otherwise no task would be allocated while it is the leader.
   */
  @ParameterizedTest
  @CsvSource({"35, false", "90, false", "35, true", "90, true"})
  void returningControllerLearnsStateSoon(double seconds, boolean keepsMemory) {
    cluster.time().runUntil(30);
    int node = (cluster.leader() + 1) % spec.nodes();
    cluster.isolate(node, seconds, keepsMemory);
    cluster.time().runUntil(30 + seconds + 8);
    assertEquals(36, replicasAccordingTo(node));
    assertWorkCompletesAndReplicasRun(30 + seconds + 60);
  }

  private int shardCount(int node) {
    return shardCount(cluster, node);
  }

  private static int shardCount(SimulatedCluster cluster, int node) {
    int[] count = new int[1];
    cluster.sendDirectly(
        node,
        HttpRequest.get("/admin/blocks"),
        response ->
            count[0] =
                new String(response.body(), StandardCharsets.UTF_8)
                        .split("\"holder\":\"" + ClusterSpec.nodeName(node) + "\"", -1)
                        .length
                    - 1);
    return count[0];
  }

  /**
   * A controller is cut off from the machines only, for a while: its shards move to others once,
   * and are not leased to it repeatedly while no machine reaches it (incident inc-6ced).
   */
  @Test
  void unreachableControllerGetsNoRepeatedShards() {
    int given = shardsLeasedWhileUnreachable(this);
    assertEquals(36, replicas());
    assertTrue(given <= 8, given + " shards leased");
    cluster.time().runUntil(190);
    assertTrue(
        shardCount(0) > 0 && shardCount(1) > 0 && shardCount(2) > 0,
        "it hears again, and has its part: "
            + shardCount(0)
            + " "
            + shardCount(1)
            + " "
            + shardCount(2));
    assertWorkCompletesAndReplicasRun(200);
  }

  /**
   * The same in other clusters: the number of attempts depends on their timing, so their sum is
   * bounded as well.
   */
  @Test
  void unreachableControllerGetsFewShards() throws MalformedMessageException {
    int given = 0;
    for (int seed = 1; seed <= 8; seed++) {
      int now = shardsLeasedWhileUnreachable(new BusyCluster(seed));
      assertTrue(now <= 8, now + " shards leased, seed " + seed);
      given += now;
    }
    assertTrue(given <= 60, given + " shards leased in eight clusters");
  }

  /**
   * The number of times that a controller is leased a shard while no machine reaches it, for 70 s.
   */
  private static int shardsLeasedWhileUnreachable(BusyCluster on) {
    SimulatedCluster cluster = on.cluster;
    ClusterSpec spec = on.spec;
    cluster.time().runUntil(30);
    int deaf = (cluster.leader() + 1) % spec.nodes();
    cluster
        .cloud()
        .machines()
        .forEach(machine -> cluster.cut(ClusterSpec.nodeName(deaf), machine.text(), 70, true));
    int given = 0;
    int held = shardCount(cluster, deaf);
    int most = 0;
    for (double at = 30; at < 100; at += 0.1) {
      cluster.time().runUntil(at);
      int now = shardCount(cluster, deaf);
      given += Math.max(0, now - held);
      held = now;
      most = at > 45 ? Math.max(most, now) : most;
    }
    assertTrue(
        most <= spec.zones().size(),
        most + " blocks at once, one of each zone to see whether it hears that");
    return given;
  }

  /**
   * Two controllers are suspended one after the other, each for longer than any lease, and one of
   * them again during recovery.
   */
  @ParameterizedTest
  @ValueSource(doubles = {1, 2.7, 6, 12, 35, 90})
  void recoversFromSuspensionsInTurn(double seconds) {
    cluster.time().runUntil(20.07);
    int first = cluster.leader();
    cluster.suspend(first, seconds);
    cluster.time().runUntil(20 + seconds / 2 + 5);
    cluster.suspend((first + 1) % spec.nodes(), seconds);
    cluster.time().runUntil(20 + seconds + 0.3);
    cluster.suspend(first, seconds);
    cluster.time().runUntil(20 + 3 * seconds + 20);
    assertEquals(36, replicas());
    assertWorkCompletesAndReplicasRun(20 + 3 * seconds + 90);
  }

  /**
   * Misconfigured jobs beside others: they are attempted rarely, no machine is marked faulty or
   * rented because of them, and no other job waits.
   */
  @Test
  void misconfiguredJobsAreAttemptedRarely() {
    for (int i = 0; i < 20; i++) {
      Job job =
          i % 5 < 3
              ? array(70_000 + i, 30)
              : Job.builder(new JobId("job-" + (70_000 + i)))
                  .jobClass("mistaken")
                  .team("batch")
                  .kind(i % 5 == 3 ? JobKind.GANG : JobKind.SERVICE)
                  .priority(i % 5 == 3 ? Priority.NORMAL : Priority.PRODUCTION)
                  .taskCount(3)
                  .taskResources(new Resources(2, 0, 4))
                  .singleZone(i % 5 == 3)
                  .image("mistaken")
                  .imageGb(0.5)
                  .estimate(TimeSpan.ofSeconds(6))
                  .build();
      cluster.time().at(15 + 0.3 * i, () -> cluster.users().submitMisconfigured(job));
    }
    cluster.time().runUntil(30);
    int machines = cluster.cloud().machines().size();
    int early = attempts();
    cluster.time().runUntil(90);
    int late = attempts() - early;
    assertEquals(36, replicas());
    for (JobId id : arrays) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
    }
    assertTrue(early < 20 * 45, early + " attempts at first");
    assertTrue(late < 20 * 12, late + " attempts in a minute");
    assertTrue(cluster.cloud().machines().size() <= machines, "machines were rented for them");
    cluster.users().misconfiguredAttempts().keySet().forEach(id -> cluster.users().cancel(id));
    assertWorkCompletesAndReplicasRun(150);
  }

  private int attempts() {
    return cluster.users().misconfiguredAttempts().values().stream()
        .mapToInt(Integer::intValue)
        .sum();
  }

  /**
   * Eight and thirty times as many polls while a controller is isolated: submissions are accepted
   * as usual, and no job is forgotten.
   */
  @ParameterizedTest
  @ValueSource(doubles = {8, 30})
  void excessivePollsDoNotDelaySubmissions(double factor) {
    cluster.time().runUntil(20);
    cluster.isolate((cluster.leader() + 1) % spec.nodes(), 40, false);
    cluster.users().multiplyPolls(factor, 60);
    List<JobId> late = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Job job = array(71_000 + i, 2);
      late.add(job.id());
      cluster.time().at(30 + i, () -> cluster.users().submit(job));
    }
    assertWorkCompletesAndReplicasRun(120);
    for (JobId id : late) {
      assertEquals("done", cluster.users().reportedStates().get(id), id.text());
    }
    // Requests to the isolated controller time out after 5 s and are retried; nothing else waits.
    assertTrue(
        cluster.users().longestResponseS().get("submit 201") < 3.3,
        cluster.users().longestResponseS().toString()); // one packet in a hundred takes 3 s
    assertTrue(
        cluster.users().answers().getOrDefault("submit 503", 0) < 5,
        cluster.users().answers().toString());
    assertTrue(
        cluster.users().answers().get("poll 503") < cluster.users().answers().get("poll 200") / 50,
        cluster.users().answers().toString());
    assertTrue(
        cluster.state().throttled() < 30,
        "refused for their number: " + cluster.state().throttled());
  }

  /** The steps of a controller's work that send a message, with the form of the request. */
  private enum Step {
    LEADING("POST /txn .*\"q/leader\".*\"Set\":\"q/leader\".*"),
    LEASING("POST /txn .*\"Set\":\"q/block/.*"),
    ALLOCATING("POST /txn .*\"Set\":\"q/alloc/.*"),
    ACCEPTING("POST /txn .*\"phase\":\"open\".*"),
    CANCELLING("POST /txn .*\"phase\":\"cancelled\".*"),
    RENEWING("POST /holds/.*"),
    RENTING("POST /hosts .*"),
    RETURNING("POST /hosts/return .*"),
    COMMANDING("POST /orders .*\"start\".*");

    private final Pattern request;

    Step(String request) {
      this.request = Pattern.compile(request, Pattern.DOTALL);
    }
  }

  /**
   * In each step of its work a controller is suspended between its decision and the message, for
   * minutes, or between the message and the answer; or it is cut off there. It resumes with
   * outdated plans, commands and answers.
   */
  @ParameterizedTest
  @EnumSource(Step.class)
  void recoversFromFaultInEachStep(Step step) throws MalformedMessageException {
    for (SimulatedCluster.SendFault mishap : SimulatedCluster.SendFault.values()) {
      for (double seconds : new double[] {1, 6, 12, 35, 90}) {
        ClusterSpec growing = ClusterSpec.tryOut(MACHINES, false);
        SimulatedCluster other = new SimulatedCluster(growing, (long) (seconds * 10), Meter.OFF);
        List<JobId> done = new ArrayList<>();
        submit(other, new ArrayList<>(), done);
        Job cancelledJob = array(72_000, 40, 400);
        JobId cancelled = cancelledJob.id();
        other.time().at(20, () -> other.users().submit(cancelledJob));
        other.time().at(24, () -> other.users().cancel(cancelled));
        other
            .time()
            .at(
                step == Step.LEADING ? 0 : 14,
                () -> other.injectFaultAt(step.request.asMatchPredicate(), seconds, mishap));
        if (step == Step.LEADING) {
          other.time().at(15, () -> other.crash(other.leader()));
        }
        other.time().runUntil(140 + 2 * seconds);
        String what = step + " " + mishap + " " + seconds + " s";
        assertTrue(other.faultedController() >= 0, what);
        assertEquals(List.of(), other.invariants().violations(), what);
        for (JobId id : done) {
          assertEquals("done", other.users().reportedStates().get(id), what + ": " + id);
        }
        assertEquals("cancelled", other.users().reportedStates().get(cancelled), what);
        assertEquals(0, other.invariants().onMachines(cancelled), what);
      }
    }
  }
}
