package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Machine;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TimeSpan;

/**
 * Each rule for dependent jobs reports events that break it, and accepts events that just comply.
 */
class DependencyInvariantsTest {
  private static final JobId FIRST = new JobId("job-1");
  private static final JobId MIDDLE = new JobId("job-2");
  private static final JobId LAST = new JobId("job-3");

  /** The controllers of this cluster stay idle: the test alone generates the events. */
  private final SimulatedCluster cluster = new SimulatedCluster(1);

  private final ProtocolInvariants rules = cluster.invariants();
  private Machine machine;

  DependencyInvariantsTest() {
    cluster.time().runUntil(4);
    for (int node = 0; node < cluster.nodeCount(); node++) {
      cluster.stopFor(node, 100_000);
    }
    machine = cluster.cloud().workers().get(0).machine();
    cluster.users().submit(job(FIRST, 2));
    cluster.users().submit(job(MIDDLE, 1, FIRST));
    cluster.users().submit(job(LAST, 1, MIDDLE));
  }

  private static Job job(JobId id, int tasks, JobId... waitsOn) {
    return Job.builder(id)
        .jobClass("pipeline")
        .team("red")
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(tasks)
        .taskResources(new Resources(1, 0, 1))
        .allowsSpot(true)
        .image("img-0")
        .imageGb(1)
        .estimate(TimeSpan.ofSeconds(5))
        .dependencies(Set.of(waitsOn))
        .build();
  }

  private void tell(JobId id, String state, boolean asked) {
    cluster.users().reportedStates().put(id, state);
    rules.onStateReported(id, state, null, asked);
    cluster.environment().pipelines().onStateReported(id, state);
  }

  private void assertBroken(String... rulesInOrder) {
    assertEquals(
        List.of(rulesInOrder),
        rules.violations().stream().map(each -> each.substring(0, each.indexOf(' '))).toList(),
        rules.violations().toString());
  }

  private void later(double seconds) {
    cluster.time().runUntil(cluster.time().seconds() + seconds);
  }

  @Test
  void aTaskStartsBeforeTheLastTaskOfTheJobBefore() {
    rules.taskArrived(FIRST.task(0), machine);
    rules.completed(FIRST.task(0));
    assertBroken();
    rules.taskArrived(MIDDLE.task(0), machine);
    assertBroken("too_early");
    rules.completed(FIRST.task(1));
    rules.taskLeft(MIDDLE.task(0), machine.id());
    rules.taskArrived(MIDDLE.task(0), machine);
    assertBroken("too_early");
    cluster.users().submit(job(new JobId("job-4"), 1, new JobId("job-77")));
    rules.taskArrived(new JobId("job-4").task(0), machine);
    assertBroken("too_early", "too_early");
  }

  @Test
  void aJobIsCalledQueuedLongAfterOneBeforeItWasCancelled() {
    cluster.users().noteCancel(FIRST);
    tell(FIRST, "cancelled", true);
    later(35.9);
    tell(LAST, "queued", false);
    assertBroken();
    later(0.2);
    tell(LAST, "queued", false);
    tell(LAST, "running", false);
    assertBroken("orphaned");
    // A job that is submitted only now must be reported as cancelled at once.
    JobId late = new JobId("job-4");
    cluster.users().submit(job(late, 1, LAST));
    tell(late, "cancelled", false);
    assertBroken("orphaned");
    tell(late, "queued", false);
    assertBroken("orphaned", "orphaned");
  }

  @Test
  void aTaskIsOnAMachineLongAfterAJobBeforeItWasCancelled() {
    List.of(0, 1).forEach(i -> rules.completed(FIRST.task(i)));
    rules.completed(MIDDLE.task(0));
    rules.taskArrived(LAST.task(0), machine);
    cluster.users().noteCancel(MIDDLE);
    tell(MIDDLE, "cancelled", true);
    later(35);
    assertBroken();
    later(3);
    assertBroken("ran_cancelled");
  }

  @Test
  void aJobIsCancelledWithTheOneBeforeItAndNotWithoutIt() {
    tell(LAST, "cancelled", false);
    assertBroken("went_back");
    cluster.users().noteCancel(FIRST);
    tell(
        MIDDLE,
        "cancelled",
        false); // the controller that reported it knew of the cancellation before its user did
    assertBroken("went_back");
    rules.completed(FIRST.task(0));
    rules.completed(FIRST.task(1));
    tell(FIRST, "done", true);
    assertBroken(
        "went_back",
        "went_back",
        "went_back"); // both are reported as cancelled, although none of their dependencies is
  }

  @Test
  void aSubmissionThatNamesAnUnknownJobIsAcceptedOrOneThatNamesAKnownOneIsNot() {
    DependencyInvariants pipelines = cluster.environment().dependencyInvariants();
    pipelines.answered(MIDDLE, 422);
    assertBroken();
    pipelines.answered(MIDDLE, 201);
    assertBroken("names_unknown");
    tell(FIRST, "queued", false);
    pipelines.answered(MIDDLE, 200);
    assertBroken("names_unknown");
    pipelines.answered(MIDDLE, 400);
    assertBroken("names_unknown", "refused");
  }
}
