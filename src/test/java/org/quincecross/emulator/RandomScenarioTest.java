package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Days of a whole deployment with troubles drawn from fixed seeds: every rule is kept, and all work
 * gets done.
 */
class RandomScenarioTest {
  @ParameterizedTest
  @ValueSource(
      longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 515, 528, 10199, 21435, 21580, 23492})
  void keepsTheRulesAndFinishesTheWork(long seed) {
    assertEquals(List.of(), new RandomScenario(seed).play());
  }

  /** Troubles that meet on purpose: what is begun in one is not over when the next comes. */
  @ParameterizedTest
  @ValueSource(longs = {101, 1328, 10237})
  void keepsTheRulesWhenTroublesMeet(long seed) {
    assertEquals(List.of(), RandomScenario.ofMeetings(seed).play());
  }

  /**
   * A holder that alone has lost the state service, while its machines hear nobody else: it does
   * not learn of cancellations, so it must stop answering early enough for the machines' leases to
   * end in time.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void aHolderWithoutWordStopsInTimeForCancellations(int alone) {
    SimulatedCluster world = new SimulatedCluster(1);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      int number = i;
      world.time().at(5 + i * 0.1, () -> jobs.add(world.users().submitService(number)));
    }
    world.time().at(20, () -> OwnerWithoutStore.isolate(world, alone, 90));
    world.time().at(24, () -> jobs.forEach(world.users()::cancel));
    world.time().runUntil(150);
    assertEquals(12, world.users().told().values().stream().filter("cancelled"::equals).count());
    assertEquals(List.of(), world.rules().violations());
  }

  /**
   * A gang larger than any block: a block grows for it, also where controllers crash meanwhile.
   * With seed 4 each zone gets seven machines, one of which never boots: the idle ones of the other
   * zone must make way, or nothing ever changes.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aGangLargerThanAnyBlockRuns(long seed) {
    SimulatedCluster world = new SimulatedCluster(seed);
    world.time().at(5, () -> world.users().submitLargeGang(1, 8));
    for (int i = 0; i < seed; i++) {
      int node = i % world.nodeCount();
      world.time().at(8 + 11 * i, () -> world.crash(node));
    }
    world.time().runUntil(300);
    assertEquals(List.of(), world.rules().violations());
    assertEquals("done", world.users().told().get(new JobId("job-1")));
  }

  /**
   * A gang that its team's limit has no room for beside a service: named, once nothing explains its
   * wait, with the reason.
   */
  @Test
  void whatMakesNoProgressIsNamedWithWhatItWaitsFor() throws MalformedMessageException {
    SimulatedCluster world = new SimulatedCluster(3);
    world.time().at(5, () -> world.users().submitService(2));
    world.time().at(8, () -> world.users().submitLargeGang(1, 8));
    world.time().runUntil(120);
    assertEquals(Set.of(), stalled(world));
    world.time().runUntil(160);
    assertEquals(
        Set.of(
            "job-1 [8 tasks in the pool: team red uses Resources[cpus=1.0, gpus=0.0, memoryGb=2.0] of its limit "
                + "Resources[cpus=40.0, gpus=Infinity, memoryGb=1.0E9]]"),
        stalled(world));
    world.time().at(161, () -> world.users().cancel(new JobId("job-2")));
    world.time().runUntil(400);
    assertEquals("done", world.users().told().get(new JobId("job-1")));
    assertEquals(Set.of(), stalled(world));
  }

  private static Set<String> stalled(SimulatedCluster world) throws MalformedMessageException {
    Set<String> stalled = new TreeSet<>();
    for (int node = 0; node < world.nodeCount(); node++) {
      for (JsonFields stall : world.status(node).objects("stalled")) {
        stalled.add(stall.string("job") + " " + stall.strings("waits_for"));
      }
    }
    return stalled;
  }

  /**
   * A job is cancelled, and before its tasks can leave the allocation everything goes down for
   * longer than a cancellation has: the controllers that come back rebuild their queues from an
   * allocation that still has it.
   */
  @Test
  void whatWasCancelledBeforeACrashOfAllDoesNotStartAfterIt() {
    SimulatedCluster world = new SimulatedCluster(2);
    world.time().at(5, () -> world.users().submitArray(1, 16));
    world.time().at(20, () -> world.users().cancel(new JobId("job-1")));
    boolean[] down = new boolean[1];
    for (int i = 0; i < 400; i++) {
      world
          .time()
          .at(
              20 + i * 0.005,
              () -> {
                if (!down[0]
                    && "cancelled".equals(world.rules().lastReportedState(new JobId("job-1")))) {
                  down[0] = true;
                  world.state().outage(50);
                  for (int node = 0; node < world.nodeCount(); node++) {
                    world.crash(node);
                  }
                }
              });
    }
    world.time().runUntil(150);
    assertTrue(down[0]);
    assertEquals(List.of(), world.rules().violations());
  }
}
