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

  private final ProtocolInvariants invariants = cluster.invariants();
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

  private void reportState(JobId id, String state, boolean asked) {
    cluster.users().reportedStates().put(id, state);
    invariants.onStateReported(id, state, null, asked);
    cluster.environment().pipelines().onStateReported(id, state);
  }

  private void assertViolations(String... rulesInOrder) {
    assertEquals(
        List.of(rulesInOrder),
        invariants.violations().stream().map(each -> each.substring(0, each.indexOf(' '))).toList(),
        invariants.violations().toString());
  }

  private void advance(double seconds) {
    cluster.time().runUntil(cluster.time().seconds() + seconds);
  }

  @Test
  void reportsTaskThatStartsBeforeDependencyIsDone() {
    invariants.taskArrived(FIRST.task(0), machine);
    invariants.completed(FIRST.task(0));
    assertViolations();
    invariants.taskArrived(MIDDLE.task(0), machine);
    assertViolations("too_early");
    invariants.completed(FIRST.task(1));
    invariants.taskLeft(MIDDLE.task(0), machine.id());
    invariants.taskArrived(MIDDLE.task(0), machine);
    assertViolations("too_early");
    cluster.users().submit(job(new JobId("job-4"), 1, new JobId("job-77")));
    invariants.taskArrived(new JobId("job-4").task(0), machine);
    assertViolations("too_early", "too_early");
  }

  @Test
  void reportsQueuedJobLongAfterDependencyWasCancelled() {
    cluster.users().noteCancel(FIRST);
    reportState(FIRST, "cancelled", true);
    advance(35.9);
    reportState(LAST, "queued", false);
    assertViolations();
    advance(0.2);
    reportState(LAST, "queued", false);
    reportState(LAST, "running", false);
    assertViolations("orphaned");
    // A job that is submitted only now must be reported as cancelled at once.
    JobId late = new JobId("job-4");
    cluster.users().submit(job(late, 1, LAST));
    reportState(late, "cancelled", false);
    assertViolations("orphaned");
    reportState(late, "queued", false);
    assertViolations("orphaned", "orphaned");
  }

  @Test
  void reportsTaskThatRunsLongAfterDependencyWasCancelled() {
    List.of(0, 1).forEach(i -> invariants.completed(FIRST.task(i)));
    invariants.completed(MIDDLE.task(0));
    invariants.taskArrived(LAST.task(0), machine);
    cluster.users().noteCancel(MIDDLE);
    reportState(MIDDLE, "cancelled", true);
    advance(35);
    assertViolations();
    advance(3);
    assertViolations("ran_cancelled");
  }

  @Test
  void reportsCancellationWithoutCancelledDependency() {
    reportState(LAST, "cancelled", false);
    assertViolations("went_back");
    cluster.users().noteCancel(FIRST);
    reportState(
        MIDDLE,
        "cancelled",
        false); // the controller that reported it knew of the cancellation before its user did
    assertViolations("went_back");
    invariants.completed(FIRST.task(0));
    invariants.completed(FIRST.task(1));
    reportState(FIRST, "done", true);
    assertViolations(
        "went_back",
        "went_back",
        "went_back"); // both are reported as cancelled, although none of their dependencies is
  }

  @Test
  void reportsWrongAnswersToSubmissionsWithDependencies() {
    DependencyInvariants pipelines = cluster.environment().dependencyInvariants();
    pipelines.answered(MIDDLE, 422);
    assertViolations();
    pipelines.answered(MIDDLE, 201);
    assertViolations("names_unknown");
    reportState(FIRST, "queued", false);
    pipelines.answered(MIDDLE, 200);
    assertViolations("names_unknown");
    pipelines.answered(MIDDLE, 400);
    assertViolations("names_unknown", "refused");
  }
}
