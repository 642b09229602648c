package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Many random days, for a machine with time: {@code mvn -B -Pseeds test -Dseeds=20000-24999}. Not
 * part of the ordinary tests. A seed that fails here is added to {@link RandomScenarioTest}.
 */
@Tag("seeds")
class SeedsTest {
  @Test
  void keepsRulesWithoutHangingJobs() {
    run(RandomScenario::new);
  }

  /** The same with a rolling upgrade to a build with another record format. */
  @Test
  void keepsRulesDuringUpgrades() {
    run(RandomScenario::withUpgrade);
  }

  /**
   * The same with duplicated late reports, a sixth of the machines restarting now and then, and
   * controllers that restart at once.
   */
  @Test
  void keepsRulesWithDuplicatedReportsAndFastRestarts() {
    double share = Integer.getInteger("copies", 10) / 100.0;
    int machines = Integer.getInteger("machines", 4);
    int controllers = Integer.getInteger("controllers", 3);
    run(
        seed ->
            (seed % 2 == 0 ? new RandomScenario(seed) : RandomScenario.withUpgrade(seed))
                .with(
                    (cluster, each) ->
                        new FastRestartFaults(cluster, each)
                            .duplicateReports(share)
                            .restartMachines(1.0 / 6, machines)
                            .restartControllers(controllers)));
  }

  /**
   * The same with a quarter of all transactions applied late, jobs that are submitted together, and
   * cancellations at any time.
   */
  @Test
  void keepsRulesWithDelayedTransactions() {
    run(
        seed ->
            (seed % 2 == 0 ? new RandomScenario(seed) : RandomScenario.withUpgrade(seed))
                .with(DelayedTransactionFaults::inject));
  }

  /**
   * The same with duplicated late reports, and commands, reports and answers that are delayed by up
   * to 15 s.
   */
  @Test
  void keepsRulesWithDelayedMessages() {
    run(DelayedMessagesTest::scenario);
  }

  /** The same with commands that were executed and arrive a second time. */
  @Test
  void keepsRulesWithDuplicatedCommands() {
    run(DuplicatedCommandsTest::scenario);
  }

  /**
   * Jobs of two and three tasks that end far apart, while controllers fail, are partitioned and
   * return.
   */
  @Test
  void keepsRulesDuringLeaderChanges() {
    runAll(seed -> new LeaderFailureScenario(seed).run());
  }

  /** Pairs of faults that overlap. */
  @Test
  void keepsRulesWithCombinedFaults() {
    run(RandomScenario::withCombinedFaults);
  }

  /**
   * The same with lost answers, reports kept for the next leader, machines that cannot send, and
   * fast boots.
   */
  @Test
  void keepsRulesWithFurtherCombinedFaults() {
    run(RandomScenario::withFurtherCombinedFaults);
  }

  /** The same, with faults caused by users in addition. */
  @Test
  void keepsRulesWithCombinedFaultsAndUserErrors() {
    run(seed -> RandomScenario.withCombinedFaults(seed).with(UserErrorFaults::inject));
  }

  /** The state service refuses one controller, then all, while users cancel and poll. */
  @Test
  void keepsRulesWithCancellationsDuringOutages() {
    runAll(seed -> new CancellationDuringOutageScenario(seed).run());
  }

  /** Jobs with dependencies, cancelled at every stage, with all kinds of faults. */
  @Test
  void keepsRulesWithDependentJobs() {
    run(RandomScenario::withPipelines);
  }

  private static void run(LongFunction<RandomScenario> day) {
    runAll(seed -> day.apply(seed).run());
  }

  private static void runAll(LongFunction<List<String>> day) {
    String[] range = System.getProperty("seeds", "20000-24999").split("-");
    Map<Long, Object> wrong = new ConcurrentSkipListMap<>();
    LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]))
        .parallel()
        .forEach(
            seed -> {
              Object findings;
              try {
                findings = day.apply(seed);
              } catch (RuntimeException | AssertionError e) {
                findings = e;
              }
              if (!findings.equals(List.of())) {
                wrong.put(seed, findings);
                System.err.println("seed " + seed + ": " + findings);
              }
            });
    assertEquals(Map.of(), wrong);
  }
}
