package org.quincecross.emulator;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Revision;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.replicated.ReplicationBarrier;

/**
 * Replicated records of three controllers and the tasks that they block, with faults, in virtual
 * time.
 */
class ReplicatedRecordCasesTest {
  private final ReplicatedRecordCluster testCluster = new ReplicatedRecordCluster(7);

  ReplicatedRecordCasesTest() throws MalformedMessageException {}

  /**
   * Requests arrive twice, at two controllers at once, and again later; some transactions are
   * applied seconds after they were given up.
   */
  @ParameterizedTest
  @CsvSource({"1,0", "2,1", "3,2", "4,3", "5,4", "6,5"})
  void everyRequestIsAppliedOnce(long seed, int fault) throws MalformedMessageException {
    ReplicatedRecordCluster randomSite = new ReplicatedRecordCluster(seed);
    randomSite.cluster.state().applyLate(4);
    for (int i = 0; i < 30; i++) {
      String name = "pass-" + i;
      int node = i;
      double at = ReplicatedRecordCluster.READY_S + 20 + 0.7 * i;
      randomSite
          .cluster
          .time()
          .at(at, () -> randomSite.sendUntilKnown(node, "count", name, "pass"));
      randomSite
          .cluster
          .time()
          .at(at + 0.003, () -> randomSite.sendUntilKnown(node + 1, "count", name, "pass"));
      randomSite
          .cluster
          .time()
          .at(at + 40, () -> randomSite.sendUntilKnown(node + 2, "count", name, "pass"));
    }
    randomSite
        .cluster
        .time()
        .at(ReplicatedRecordCluster.READY_S + 30, () -> randomSite.injectFault(fault));
    // A request name is remembered for two minutes: later requests wait until there is room for
    // theirs.
    randomSite.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 700);
    assertEquals(List.of(), randomSite.findings);
    assertEquals(
        30,
        randomSite.reportedChanges.size(),
        () -> randomSite.reportedChanges.keySet().toString());
    assertEquals(Set.copyOf(randomSite.reportedChanges.values()).size(), 30);
    for (ReplicatedRecordCluster.Gates each : randomSite.gates) {
      assertEquals(30, each.index.state("count").passed());
    }
    assertFalse(randomSite.gates[0].index.pages().isEmpty(), "no page of the audit trail");
    assertEquals(30, randomSite.get(1, "/gate/trail").objects("lines").size());
  }

  /**
   * Blocked tasks are stopped, proven gone and started again, whatever happens in between; until
   * the proof they may still run.
   */
  @ParameterizedTest
  @CsvSource({"1,0", "2,1", "3,2", "4,3", "5,4", "6,5"})
  void blockedTasksDoNotRun(long seed, int fault) throws MalformedMessageException {
    ReplicatedRecordCluster randomSite = new ReplicatedRecordCluster(seed);
    randomSite.cluster.state().applyLate(20);
    int i = 0;
    for (JobId id : randomSite.jobs.keySet()) {
      int n = ++i;
      randomSite
          .cluster
          .time()
          .at(
              ReplicatedRecordCluster.READY_S + 10 + 0.9 * n,
              () -> randomSite.sendUntilKnown(n, id.text(), "close-" + id, "close"));
      randomSite
          .cluster
          .time()
          .at(
              ReplicatedRecordCluster.READY_S + 110 + 0.9 * n,
              () -> randomSite.sendUntilKnown(n + 1, id.text(), "open-" + id, "open"));
    }
    randomSite
        .cluster
        .time()
        .at(ReplicatedRecordCluster.READY_S + 16, () -> randomSite.injectFault(fault));
    randomSite.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 109);
    assertEquals(randomSite.jobs.keySet(), randomSite.proven.keySet());
    assertEquals(0, randomSite.cluster.invariants().onMachines());
    for (JobId id : randomSite.jobs.keySet()) {
      assertTrue(
          Set.of("queued", "done").contains(randomSite.cluster.users().reportedStates().get(id)),
          id.text());
    }
    randomSite.assertRulesKeptAndWorkDone(ReplicatedRecordCluster.READY_S + 360);
  }

  /**
   * The leader has planned allocations and is suspended before it sends them; meanwhile a gate
   * closes and it is proven that none of the tasks runs.
   */
  @Test
  void allocationPlannedBeforeBlockIsRefused() throws MalformedMessageException {
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 10);
    JobId late = new JobId("job-4711");
    Job like =
        testCluster.jobs.values().stream()
            .filter(job -> job.kind() == JobKind.ARRAY)
            .findFirst()
            .orElseThrow();
    Job job =
        Job.builder(late)
            .jobClass(like.jobClass())
            .team(like.team())
            .kind(JobKind.ARRAY)
            .priority(Priority.PRODUCTION)
            .taskCount(5)
            .taskResources(like.taskResources())
            .image(like.image())
            .imageGb(like.imageGb())
            .estimate(like.estimate())
            .checkpointInterval(like.checkpointInterval())
            .checkpointCost(like.checkpointCost())
            .build();
    testCluster.jobs.put(late, job);
    testCluster.cluster.injectFaultAt(
        request ->
            request.startsWith("POST /txn")
                && (request.contains("q/alloc") || request.contains("q/change"))
                && request.contains("\"4711\""),
        2,
        SimulatedCluster.SendFault.STILL_BEFORE);
    testCluster.cluster.users().submit(job);
    double until = ReplicatedRecordCluster.READY_S + 11;
    while (testCluster.cluster.faultedController() < 0
        && until < ReplicatedRecordCluster.READY_S + 15) {
      until += 0.01;
      testCluster.cluster.time().runUntil(until);
    }
    int leader = testCluster.cluster.faultedController();
    assertTrue(leader >= 0, "never allocated");
    testCluster.sendUntilKnown(leader + 1, late.text(), "close", "close");
    testCluster.cluster.time().runUntil(until + 1.5);
    assertTrue(testCluster.proven.containsKey(late), "not proven before the transaction is sent");
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 30);
    assertEquals(List.of(), testCluster.findings);
    testCluster.sendUntilKnown(leader, late.text(), "open", "open");
    testCluster.assertRulesKeptAndWorkDone(ReplicatedRecordCluster.READY_S + 200);
  }

  /**
   * While one controller runs a build without the feature, changes are refused and the answer names
   * that controller; after its upgrade they are accepted.
   */
  @Test
  void changesAreRefusedUntilAllSupportFeature() throws MalformedMessageException {
    testCluster.cluster.install(2, ReplicatedRecordCluster.OLD);
    testCluster.cluster.crash(2);
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 10);
    List<String> answers = new ArrayList<>();
    for (int node = 0; node < 3; node++) {
      testCluster.cluster.sendDirectly(
          node,
          ReplicatedRecordCluster.post("count", "early", "pass"),
          response -> answers.add(response.status() + " " + new String(response.body(), UTF_8)));
    }
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 12);
    assertEquals(3, answers.size());
    for (String answer : answers) {
      assertTrue(
          answer.startsWith("409") && answer.contains("n2, whose build (old) ends at level 2"),
          answer);
    }
    assertTrue(testCluster.cluster.state().keysWithPrefix("q/agreed/").isEmpty());
    testCluster.cluster.upgrade(2, ReplicatedRecordCluster.NEW);
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 40);
    testCluster.sendUntilKnown(2, "count", "early", "pass");
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 42);
    assertEquals(1L, testCluster.reportedChanges.get("early"));
  }

  /**
   * All controllers know of a change soon; if one is unreachable, its knowledge is established by
   * elapsed time, and not before.
   */
  @Test
  void barrierWaitsForAllControllers() {
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 10);
    testCluster.sendUntilKnown(0, "count", "first", "pass");
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 12);
    Revision first = testCluster.gates[0].index.get("count").version();
    assertEquals(
        ReplicationBarrier.State.KNOWN_BY_REPORTS,
        testCluster.gates[0].base.known().of(first).state());
    testCluster.cluster.isolate(2, 120, true);
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 18);
    testCluster.sendUntilKnown(0, "count", "second", "pass");
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 20);
    Revision second = testCluster.gates[0].index.get("count").version();
    ReplicationBarrier.Status answer = testCluster.gates[0].base.known().of(second);
    assertEquals(ReplicationBarrier.State.SPREADING, answer.state());
    assertEquals("[n2]", answer.missing().toString());
    double left = answer.latest().since(testCluster.gates[0].base.timers().now()).seconds();
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 20 + left - 0.5);
    assertEquals(
        ReplicationBarrier.State.SPREADING, testCluster.gates[0].base.known().of(second).state());
    testCluster.cluster.time().runUntil(testCluster.cluster.time().seconds() + 1.5);
    assertEquals(
        ReplicationBarrier.State.KNOWN_BY_TIME,
        testCluster.gates[0].base.known().of(second).state());
  }

  /**
   * A record that blocks tasks and cannot be read: a controller that reads it takes no part, since
   * it would let the tasks run.
   */
  @ParameterizedTest
  @ValueSource(strings = {"q/agreed/gate/job-1", "q/agreed/unknown/x"})
  void unreadableRecordKeepsControllerOut(String key) throws MalformedMessageException {
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 10);
    testCluster
        .cluster
        .state()
        .write(key, Json.object("must", true, "change", 1, "state", "from the future"));
    testCluster.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 16);
    for (int node = 0; node < 3; node++) {
      assertTrue(
          testCluster.cluster.status(node).string("unable").contains(key),
          testCluster.cluster.status(node).string("unable"));
    }
    testCluster.cluster.state().write(key, null);
    testCluster.assertRulesKeptAndWorkDone(ReplicatedRecordCluster.READY_S + 260);
    assertFalse(testCluster.cluster.leader() < 0);
  }
}
