package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.MalformedMessageException;

/** Failures that affect the whole fleet at once, in virtual time. */
class FleetFailuresTest extends BusyCluster {
  FleetFailuresTest() throws MalformedMessageException {}

  private static Job oneTask(JobId id) {
    return Job.builder(id)
        .jobClass("late")
        .team("batch")
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(1)
        .taskResources(new Resources(1, 0, 2))
        .image("late")
        .imageGb(0.5)
        .estimate(TimeSpan.ofSeconds(6))
        .build();
  }

  /**
   * All controllers begin to read the records and are killed halfway, three times; then they start
   * up.
   */
  @Test
  void restartsWhileReadingRecords() {
    for (int i = 0; i < 3; i++) {
      for (int node = 0; node < spec.nodes(); node++) {
        int each = node;
        cluster.time().at(12 + 0.012 * i, () -> cluster.crash(each));
      }
    }
    assertWorkCompletesAndReplicasRun(120);
  }

  /**
   * The state service keeps so few changes that every watch and every barrier is too old, on all
   * controllers at once.
   */
  @Test
  void recoversFromWatchesThatAreTooOld() {
    cluster.time().at(12, () -> cluster.state().keepChanges(1));
    cluster.time().at(18, () -> cluster.state().keepChanges(10_000));
    assertWorkCompletesAndReplicasRun(120);
  }

  /**
   * During an outage all users retry in the very second that they were told; all submissions are
   * accepted soon after its end.
   */
  @Test
  void acceptsSimultaneousRetriesAfterOutage() {
    cluster.time().at(30, () -> cluster.state().outage(15));
    List<JobId> burst = new ArrayList<>();
    for (int i = 0; i < 150; i++) {
      JobId id = new JobId("job-" + (50_000 + i));
      burst.add(id);
      cluster.time().at(33, () -> cluster.users().submit(oneTask(id)));
    }
    cluster.time().runUntil(44.9);
    assertEquals(0, burst.stream().filter(cluster.users().acceptedAfter()::containsKey).count());
    cluster.time().runUntil(50);
    assertEquals(
        150,
        burst.stream().filter(cluster.users().acceptedAfter()::containsKey).count(),
        cluster.users().answers().toString());
    assertTrue(
        cluster.state().throttled() < 30,
        "refused for their number: " + cluster.state().throttled());
    assertWorkCompletesAndReplicasRun(150);
  }

  /**
   * At the memory limit new jobs are refused at once with a long retry delay; accepted jobs
   * continue and are reported.
   */
  @Test
  void refusesNewJobsAtMemoryLimitAndServesAcceptedOnes() {
    cluster.time().at(25, () -> cluster.memoryIsShort(true));
    JobId late = new JobId("job-77");
    cluster.time().at(26, () -> cluster.users().submit(oneTask(late)));
    for (int node = 0; node < spec.nodes(); node++) {
      int each = node;
      cluster.time().at(28, () -> cluster.crash(each)); // each controller reads all records again
    }
    cluster.time().runUntil(45);
    assertTrue(!cluster.users().acceptedAfter().containsKey(late));
    assertTrue(
        cluster.users().answers().getOrDefault("submit 503", 0) >= 1,
        cluster.users().answers().toString());
    cluster.time().at(46, () -> cluster.memoryIsShort(false));
    assertWorkCompletesAndReplicasRun(140);
    assertTrue(
        cluster.users().acceptedAfter().get(late) > 20, "the user retried at the time given");
  }

  /**
   * A leader is suspended until another one leads, and resumes with outdated plans and commands.
   */
  @ParameterizedTest
  @ValueSource(doubles = {4, 9, 20, 33})
  void resumedLeaderDoesNotInterfereWithSuccessor(double seconds) {
    cluster.time().runUntil(14.03);
    int leader = cluster.leader();
    assertTrue(leader >= 0);
    cluster.suspend(leader, seconds);
    cluster.time().runUntil(14 + seconds + 3);
    assertNotEquals(leader, cluster.leader());
    assertWorkCompletesAndReplicasRun(170);
  }
}
