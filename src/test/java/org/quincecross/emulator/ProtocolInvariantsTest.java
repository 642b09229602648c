package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;

/** Each rule reports events that break it, and accepts events that do not. */
class ProtocolInvariantsTest {
  private static final JobId ID = new JobId("job-1");

  private final SimulatedCluster cluster =
      new SimulatedCluster(ClusterSpec.tryOut(6, true), 1, Meter.OFF);
  private final ProtocolInvariants invariants = cluster.invariants();

  private Job job(JobId id, double cpus, String team) {
    return Job.builder(id)
        .jobClass("any")
        .team(team)
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(1)
        .taskResources(new Resources(cpus, 0, 1))
        .image("img")
        .imageGb(0.5)
        .estimate(TimeSpan.ofSeconds(2))
        .build();
  }

  private long violationsOf(String rule) {
    return invariants.violations().stream().filter(each -> each.startsWith(rule)).count();
  }

  /**
   * The state reported when a request was sent, the answer to that request, and whether the answer
   * is older.
   */
  @ParameterizedTest
  @CsvSource({
    "queued, 404, 1",
    "done, 400, 1",
    "queued, 422, 1",
    "cancelled, 404, 1",
    ", 404, 0",
    ", 422, 0",
    "queued, 503, 0",
    "done, 429, 0"
  })
  void reportsOutdatedRefusals(String before, int status, int count) {
    invariants.onRefused(ID, status, before);
    assertEquals(count, violationsOf("went_back"), invariants.violations().toString());
  }

  @ParameterizedTest
  @CsvSource({
    "done, queued, 1",
    "cancelled, running, 1",
    "queued, done, 0",
    "running, queued, 0",
    "cancelled, cancelled, 0"
  })
  void reportsOutdatedStates(String before, String state, int count) {
    cluster.users().upload(job(ID, 1, "web"));
    invariants.completed(ID.task(0));
    invariants.onStateReported(ID, state, before, true);
    assertEquals(count, violationsOf("went_back"), invariants.violations().toString());
  }

  /**
   * Two requests at the same time to two controllers: neither answer is older than the other, but
   * the two final states contradict each other.
   */
  @Test
  void reportsTwoFinalStates() {
    cluster.users().upload(job(ID, 1, "web"));
    invariants.completed(ID.task(0));
    invariants.onStateReported(ID, "done", "running", true);
    invariants.onStateReported(ID, "done", "running", true);
    assertEquals(List.of(), invariants.violations());
    invariants.onStateReported(ID, "cancelled", "running", true);
    assertEquals(1, violationsOf("told_two_ends"));
  }

  @Test
  void reportsStartsOfCancelledJobs() {
    invariants.startSent(ID);
    assertEquals(List.of(), invariants.violations());
    invariants.onStateReported(ID, "cancelled", "running", true);
    invariants.startSent(ID);
    assertEquals(1, violationsOf("started_cancelled"));
  }

  @Test
  void reportsInvalidAcceptance() {
    invariants.onWrongAnswer("LACKS_A_FIELD", 201);
    invariants.onWrongAnswer("LACKS_A_FIELD", 422);
    assertEquals(1, violationsOf("accepted_bad"));
    assertEquals(1, violationsOf("wrong_answer"));
  }

  /**
   * One job waits although a suitable machine has room; another is too large for any machine; the
   * team of a third is at its limit.
   */
  @Test
  void reportsJobThatWaitsBesideIdleCapacity() {
    SimulatedCluster still =
        new SimulatedCluster(
            ClusterSpec.tryOut(6, true)
                .with(
                    Map.of(
                        "web",
                        new Team("web", Resources.NONE, new Resources(4, 0, 1e9)),
                        "batch",
                        new Team("batch", Resources.NONE, new Resources(0.5, 0, 1e9)))),
            1,
            Meter.OFF);
    List<Job> jobs =
        List.of(
            job(ID, 3, "web"),
            job(new JobId("job-2"), 100, "web"),
            job(new JobId("job-3"), 1, "batch"));
    still.time().runUntil(10);
    for (int node = 0; node < still.nodeCount(); node++) {
      still.suspend(node, 1000); // nothing is started
    }
    jobs.forEach(
        each -> {
          still.users().upload(each);
          still.users().reportedStates().put(each.id(), "queued");
        });
    still.environment().onFaultsEnded();
    still.time().runUntil(99);
    assertEquals(List.of(), still.invariants().violations());
    still.time().runUntil(103);
    assertEquals(
        1, still.invariants().violations().size(), still.invariants().violations().toString());
    assertTrue(
        still.invariants().violations().get(0).startsWith("idle_room")
            && still.invariants().violations().get(0).contains("job-1"));
  }
}
