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

/** What happens to a fleet all at once, in virtual time. */
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
   * All controllers begin to read the records and are killed on the way, three times; then they
   * come up.
   */
  @Test
  void aRestartInTheMiddleOfAPageOfRecords() {
    for (int i = 0; i < 3; i++) {
      for (int node = 0; node < site.nodes(); node++) {
        int each = node;
        world.time().at(12 + 0.012 * i, () -> world.crash(each));
      }
    }
    assertAllIsWell(120);
  }

  /**
   * The state service keeps so few changes that every watch and every barrier is too old, on all
   * controllers at once.
   */
  @Test
  void aFollowThatIsTooOldOnAllAtOnce() {
    world.time().at(12, () -> world.state().keepChanges(1));
    world.time().at(18, () -> world.state().keepChanges(10_000));
    assertAllIsWell(120);
  }

  /**
   * In an outage users come back in the very second that they were told; all are accepted soon
   * after its end.
   */
  @Test
  void aBurstOfSubmissionsThatCameBackAtTheSameSecond() {
    world.time().at(30, () -> world.state().outage(15));
    List<JobId> burst = new ArrayList<>();
    for (int i = 0; i < 150; i++) {
      JobId id = new JobId("job-" + (50_000 + i));
      burst.add(id);
      world.time().at(33, () -> world.users().submit(oneTask(id)));
    }
    world.time().runUntil(44.9);
    assertEquals(0, burst.stream().filter(world.users().acceptedAfter()::containsKey).count());
    world.time().runUntil(50);
    assertEquals(
        150,
        burst.stream().filter(world.users().acceptedAfter()::containsKey).count(),
        world.users().answers().toString());
    assertTrue(
        world.state().throttled() < 30, "refused for their number: " + world.state().throttled());
    assertAllIsWell(150);
  }

  /**
   * Without memory for more, new jobs are refused at once, to come back late; whatever was accepted
   * goes on and is told.
   */
  @Test
  void withoutMemoryNewJobsAreRefusedAndOldOnesServed() {
    world.time().at(25, () -> world.memoryIsShort(true));
    JobId late = new JobId("job-77");
    world.time().at(26, () -> world.users().submit(oneTask(late)));
    for (int node = 0; node < site.nodes(); node++) {
      int each = node;
      world.time().at(28, () -> world.crash(each)); // each reads all records anew
    }
    world.time().runUntil(45);
    assertTrue(!world.users().acceptedAfter().containsKey(late));
    assertTrue(
        world.users().answers().getOrDefault("submit 503", 0) >= 1,
        world.users().answers().toString());
    world.time().at(46, () -> world.memoryIsShort(false));
    assertAllIsWell(140);
    assertTrue(world.users().acceptedAfter().get(late) > 20, "it came back when it was told to");
  }

  /**
   * A leader stands still until another one leads, and goes on with plans and commands of the time
   * before.
   */
  @ParameterizedTest
  @ValueSource(doubles = {4, 9, 20, 33})
  void aLeaderThatGoesOnAfterItsSuccessorLeads(double seconds) {
    world.time().runUntil(14.03);
    int leader = world.leader();
    assertTrue(leader >= 0);
    world.standStill(leader, seconds);
    world.time().runUntil(14 + seconds + 3);
    assertNotEquals(leader, world.leader());
    assertAllIsWell(170);
  }
}
