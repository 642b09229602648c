package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;

/**
 * Transactions without an answer that are carried out late, after newer ones of the same
 * controller, in virtual time.
 */
class DelayedTransactionsTest {
  /**
   * A cancellation becomes durable long after it was asked for, when a holder has just lost the
   * state service and its machines hear nobody else. It is new when it becomes durable, not when it
   * was asked for: told at once, it would be told 8 s too early for what that holder goes on
   * answering (docs/incidents/told-by-an-old-time.md).
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void aCancellationThatBecomesDurableLate(int alone) {
    SimulatedCluster world = new SimulatedCluster(1);
    List<JobId> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      int number = i;
      world.time().at(5 + i * 0.1, () -> jobs.add(world.users().submitService(number)));
    }
    world
        .state()
        .delayTransactions(
            transaction ->
                transaction.contains("\"cancelled\"") && world.time().seconds() < 32.4
                    ? 32.5 + 0.5 * world.random().nextDouble() - world.time().seconds()
                    : DelayedTransactions.PROMPT);
    world.time().at(16, () -> jobs.forEach(world.users()::cancel));
    world.time().at(32, () -> OwnerWithoutStore.isolate(world, alone, 90));
    world.time().runUntil(170);
    assertTrue(world.state().lateOutcomes().contains(200), world.state().lateOutcomes().toString());
    assertEquals(12, world.users().told().values().stream().filter("cancelled"::equals).count());
    assertEquals(List.of(), world.rules().violations());
  }

  /**
   * Days with a quarter of all transactions carried out late, with restarts and cancellations; 18
   * once broke a rule.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 6, 18})
  void daysOfLateWrites(long seed) {
    assertEquals(
        List.of(),
        (seed % 2 == 0 ? new RandomScenario(seed) : RandomScenario.ofRolls(seed))
            .with(DelayedTransactionFaults::on)
            .play());
  }

  /**
   * Records of jobs accepted together are carried out a minute late: by then each job was accepted
   * again, and is done or cancelled. Its own record counts before any bundle, for those who follow
   * the records and for those who read them anew.
   */
  @Test
  void bundlesCarriedOutAfterTheirJobsAreOver() {
    SimulatedCluster world = new SimulatedCluster(2);
    world.state().applyLate(0);
    world
        .state()
        .delayTransactions(
            transaction ->
                transaction.contains("q/bundle/") && world.time().seconds() < 10.6
                    ? 60
                    : DelayedTransactions.PROMPT);
    for (int i = 0; i < 24; i++) {
      int number = 100 + i;
      world.time().at(10, () -> world.users().submit(number));
    }
    world
        .time()
        .at(
            30,
            () ->
                List.copyOf(world.users().told().keySet())
                    .forEach(
                        id -> {
                          if (id.text().compareTo("job-110") < 0) {
                            world.users().cancel(id);
                          }
                        }));
    world.time().runUntil(69.9);
    assertEquals(24, world.users().told().size());
    long over =
        world.users().told().values().stream()
            .filter(state -> !state.equals("queued") && !state.equals("running"))
            .count();
    assertTrue(over > 8, "over are " + world.users().told());
    world.time().runUntil(72);
    assertTrue(world.state().lateOutcomes().contains(200), world.state().lateOutcomes().toString());
    world.time().runUntil(80);
    for (int node = 0; node < world.nodeCount(); node++) {
      world.crash(node);
    }
    world.time().runUntil(200);
    assertEquals(List.of(), world.rules().violations());
    assertEquals(Set.of(), world.state().keysWithPrefix("q/bundle/"));
  }

  /**
   * A job's own record comes late, when the job runs and nothing but a bundle names it: it goes on,
   * and is cancelled or done as ever.
   */
  @Test
  void aRecordOfItsOwnThatComesAfterABundle() {
    SimulatedCluster world = new SimulatedCluster(2);
    world.state().applyLate(0);
    for (int i = 0; i < 24; i++) {
      int number = 100 + i;
      world.time().at(10, () -> world.users().submit(number));
    }
    world.time().runUntil(18);
    int late = 0;
    for (String bundle : world.state().keysWithPrefix("q/bundle/")) {
      for (Object job : (List<?>) ((Map<?, ?>) world.state().value(bundle)).get("jobs")) {
        String key = "q/job/" + ((Map<?, ?>) ((Map<?, ?>) job).get("job")).get("Uid");
        if (world.state().value(key) == null) {
          world.state().write(key, job);
          late++;
        }
      }
    }
    assertTrue(late > 5, late + " were in bundles alone");
    world.time().runUntil(150);
    assertEquals(List.of(), world.rules().violations());
    world
        .users()
        .told()
        .forEach(
            (id, state) ->
                assertTrue(state.equals("done") || state.equals("cancelled"), id + " " + state));
  }

  /**
   * What a leader writes comes late, after it has written other things: it has no effect any more,
   * whatever it is.
   */
  @ParameterizedTest
  @ValueSource(strings = {"q/block/", "q/alloc/", "q/page/", "\"done\""})
  void whatALeaderWrote(String what) {
    SimulatedCluster world = new SimulatedCluster(4);
    world.state().applyLate(0);
    int[] late = new int[1];
    world
        .state()
        .delayTransactions(
            transaction ->
                world.time().seconds() > 12 && transaction.contains(what) && late[0]++ % 3 == 0
                    ? 5
                    : DelayedTransactions.PROMPT);
    for (int i = 0; i < 40; i++) {
      int number = 100 + i;
      world.time().at(3 + 1.5 * i, () -> world.users().submit(number));
    }
    world.time().at(30, () -> world.crash((world.leader() + 1) % world.nodeCount()));
    world.time().runUntil(90);
    world.state().delayTransactions(DelayedTransactions.NONE);
    world.time().runUntil(200);
    assertTrue(late[0] > 2, late[0] + " such");
    assertEquals(Set.of(409), Set.copyOf(world.state().lateOutcomes()));
    assertEquals(List.of(), world.rules().violations());
  }

  /**
   * One that stands for leadership and ends before that is carried out: its former life does not
   * lead.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 1.5, 2.9, 6})
  void whoEndedBeforeItStood(double later) {
    SimulatedCluster world = new SimulatedCluster(4);
    world.state().applyLate(0);
    world.time().runUntil(30);
    world.crash(world.leader());
    boolean[] stood = new boolean[1];
    world
        .state()
        .delayTransactions(
            transaction -> {
              if (stood[0] || !transaction.contains("\"Set\":\"q/lead")) {
                return DelayedTransactions.PROMPT;
              }
              stood[0] = true;
              int node =
                  Integer.parseInt(transaction.replaceAll("(?s).*\"member\":\"n([0-9]).*", "$1"));
              world.time().after(0.001, () -> world.down(node, 0.1));
              return later;
            });
    world.time().runUntil(42);
    assertTrue(stood[0]);
    assertTrue(world.leader() >= 0);
    assertTrue(
        Set.of(400, 409).containsAll(world.state().lateOutcomes()),
        world.state().lateOutcomes().toString());
  }
}
