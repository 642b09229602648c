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
  private final ReplicatedRecordCluster day = new ReplicatedRecordCluster(7);

  ReplicatedRecordCasesTest() throws MalformedMessageException {}

  /**
   * Requests arrive twice, at two controllers at once, and again later; some transactions are
   * applied seconds after they were given up.
   */
  @ParameterizedTest
  @CsvSource({"1,0", "2,1", "3,2", "4,3", "5,4", "6,5"})
  void eachRequestIsOneChange(long seed, int trouble) throws MalformedMessageException {
    ReplicatedRecordCluster drawn = new ReplicatedRecordCluster(seed);
    drawn.cluster.state().applyLate(4);
    for (int i = 0; i < 30; i++) {
      String name = "pass-" + i;
      int node = i;
      double at = ReplicatedRecordCluster.READY_S + 20 + 0.7 * i;
      drawn.cluster.time().at(at, () -> drawn.ask(node, "count", name, "pass"));
      drawn.cluster.time().at(at + 0.003, () -> drawn.ask(node + 1, "count", name, "pass"));
      drawn.cluster.time().at(at + 40, () -> drawn.ask(node + 2, "count", name, "pass"));
    }
    drawn.cluster.time().at(ReplicatedRecordCluster.READY_S + 30, () -> drawn.trouble(trouble));
    // A request name is remembered for two minutes: later requests wait until there is room for
    // theirs.
    drawn.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 700);
    assertEquals(List.of(), drawn.wrong);
    assertEquals(30, drawn.told.size(), () -> drawn.told.keySet().toString());
    assertEquals(Set.copyOf(drawn.told.values()).size(), 30);
    for (ReplicatedRecordCluster.Gates each : drawn.gates) {
      assertEquals(30, each.index.state("count").passed());
    }
    assertFalse(drawn.gates[0].index.pages().isEmpty(), "no page of the audit trail");
    assertEquals(30, drawn.get(1, "/gate/trail").objects("lines").size());
  }

  /**
   * Blocked tasks are stopped, proven gone and started again, whatever happens in between; until
   * the proof they may still run.
   */
  @ParameterizedTest
  @CsvSource({"1,0", "2,1", "3,2", "4,3", "5,4", "6,5"})
  void whatIsKeptBackDoesNotRun(long seed, int trouble) throws MalformedMessageException {
    ReplicatedRecordCluster drawn = new ReplicatedRecordCluster(seed);
    drawn.cluster.state().applyLate(20);
    int i = 0;
    for (JobId id : drawn.jobs.keySet()) {
      int n = ++i;
      drawn
          .cluster
          .time()
          .at(
              ReplicatedRecordCluster.READY_S + 10 + 0.9 * n,
              () -> drawn.ask(n, id.text(), "close-" + id, "close"));
      drawn
          .cluster
          .time()
          .at(
              ReplicatedRecordCluster.READY_S + 110 + 0.9 * n,
              () -> drawn.ask(n + 1, id.text(), "open-" + id, "open"));
    }
    drawn.cluster.time().at(ReplicatedRecordCluster.READY_S + 16, () -> drawn.trouble(trouble));
    drawn.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 109);
    assertEquals(drawn.jobs.keySet(), drawn.proven.keySet());
    assertEquals(0, drawn.cluster.invariants().onMachines());
    for (JobId id : drawn.jobs.keySet()) {
      assertTrue(
          Set.of("queued", "done").contains(drawn.cluster.users().reportedStates().get(id)),
          id.text());
    }
    drawn.assertAllIsWell(ReplicatedRecordCluster.READY_S + 360);
  }

  /**
   * The leader has planned allocations and is suspended before it sends them; meanwhile a gate
   * closes and it is proven that none of the tasks runs.
   */
  @Test
  void whatWasPlannedBeforeItWasKeptBackIsNotAllocated() throws MalformedMessageException {
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 10);
    JobId late = new JobId("job-4711");
    Job like =
        day.jobs.values().stream()
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
    day.jobs.put(late, job);
    day.cluster.injectFaultAt(
        request ->
            request.startsWith("POST /txn")
                && (request.contains("q/alloc") || request.contains("q/change"))
                && request.contains("\"4711\""),
        2,
        SimulatedCluster.SendFault.STILL_BEFORE);
    day.cluster.users().submit(job);
    double until = ReplicatedRecordCluster.READY_S + 11;
    while (day.cluster.faultedController() < 0 && until < ReplicatedRecordCluster.READY_S + 15) {
      until += 0.01;
      day.cluster.time().runUntil(until);
    }
    int leader = day.cluster.faultedController();
    assertTrue(leader >= 0, "never allocated");
    day.ask(leader + 1, late.text(), "close", "close");
    day.cluster.time().runUntil(until + 1.5);
    assertTrue(day.proven.containsKey(late), "not proven before the transaction is sent");
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 30);
    assertEquals(List.of(), day.wrong);
    day.ask(leader, late.text(), "open", "open");
    day.assertAllIsWell(ReplicatedRecordCluster.READY_S + 200);
  }

  /**
   * While one controller runs a build without the feature, changes are refused and the answer names
   * that controller; after its upgrade they are accepted.
   */
  @Test
  void refusedUntilAllHaveIt() throws MalformedMessageException {
    day.cluster.install(2, ReplicatedRecordCluster.OLD);
    day.cluster.crash(2);
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 10);
    List<String> answers = new ArrayList<>();
    for (int node = 0; node < 3; node++) {
      day.cluster.sendDirectly(
          node,
          ReplicatedRecordCluster.post("count", "early", "pass"),
          response -> answers.add(response.status() + " " + new String(response.body(), UTF_8)));
    }
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 12);
    assertEquals(3, answers.size());
    for (String answer : answers) {
      assertTrue(
          answer.startsWith("409") && answer.contains("n2, whose build (old) ends at level 2"),
          answer);
    }
    assertTrue(day.cluster.state().keysWithPrefix("q/agreed/").isEmpty());
    day.cluster.upgrade(2, ReplicatedRecordCluster.NEW);
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 40);
    day.ask(2, "count", "early", "pass");
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 42);
    assertEquals(1L, day.told.get("early"));
  }

  /**
   * All controllers know of a change soon; if one is unreachable, its knowledge is established by
   * elapsed time, and not before.
   */
  @Test
  void sinceWhenAllKnow() {
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 10);
    day.ask(0, "count", "first", "pass");
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 12);
    Revision first = day.gates[0].index.get("count").version();
    assertEquals(
        ReplicationBarrier.State.KNOWN_BY_REPORTS, day.gates[0].base.known().of(first).state());
    day.cluster.isolate(2, 120, true);
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 18);
    day.ask(0, "count", "second", "pass");
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 20);
    Revision second = day.gates[0].index.get("count").version();
    ReplicationBarrier.Status answer = day.gates[0].base.known().of(second);
    assertEquals(ReplicationBarrier.State.SPREADING, answer.state());
    assertEquals("[n2]", answer.missing().toString());
    double left = answer.latest().since(day.gates[0].base.timers().now()).seconds();
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 20 + left - 0.5);
    assertEquals(ReplicationBarrier.State.SPREADING, day.gates[0].base.known().of(second).state());
    day.cluster.time().runUntil(day.cluster.time().seconds() + 1.5);
    assertEquals(
        ReplicationBarrier.State.KNOWN_BY_TIME, day.gates[0].base.known().of(second).state());
  }

  /**
   * A record that blocks tasks and cannot be read: a controller that reads it takes no part, since
   * it would let the tasks run.
   */
  @ParameterizedTest
  @ValueSource(strings = {"q/agreed/gate/job-1", "q/agreed/unknown/x"})
  void whatCannotBeReadIsNotIgnored(String key) throws MalformedMessageException {
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 10);
    day.cluster
        .state()
        .write(key, Json.object("must", true, "change", 1, "state", "from the future"));
    day.cluster.time().runUntil(ReplicatedRecordCluster.READY_S + 16);
    for (int node = 0; node < 3; node++) {
      assertTrue(
          day.cluster.status(node).string("unable").contains(key),
          day.cluster.status(node).string("unable"));
    }
    day.cluster.state().write(key, null);
    day.assertAllIsWell(ReplicatedRecordCluster.READY_S + 260);
    assertFalse(day.cluster.leader() < 0);
  }
}
