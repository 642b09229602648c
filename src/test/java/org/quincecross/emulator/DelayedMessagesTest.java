package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Commands, reports and the answers to both are delayed by half a second to 15 s and then arrive
 * after later messages; reports are duplicated up to three leases later.
 */
class DelayedMessagesTest {
  private static final double MAX_DELAY_S = 15;

  /**
   * Cycles through four kinds of runs: few delays and many duplicates, many delays and few
   * duplicates, half of all messages, and machines that restart at once.
   */
  static RandomScenario scenario(long seed) {
    double held = List.of(0.03, 0.2, 0.5, 0.1).get((int) (seed % 4));
    double copies = List.of(0.5, 0.05, 0.2, 0.1).get((int) (seed % 4));
    return new RandomScenario(seed)
        .with(
            (cluster, each) ->
                new FastRestartFaults(cluster, each)
                    .duplicateReports(copies)
                    .delayMessages(held, MAX_DELAY_S)
                    .restartMachines(1.0 / 6, seed % 4 == 3 ? 2 : 0));
  }

  /**
   * Seed 8 fails if exits are cleared or unanswered starts are forgotten; seeds 9 and 13 fail if
   * late reports count as new.
   */
  @ParameterizedTest
  @ValueSource(longs = {2, 8, 9, 13})
  void keepsRulesAndCompletesWork(long seed) {
    assertEquals(List.of(), scenario(seed).run());
  }
}
