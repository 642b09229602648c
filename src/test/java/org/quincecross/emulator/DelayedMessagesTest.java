package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Days on which commands, reports and the answers to either are held up for half a second to 15 s
 * and then arrive, after later ones, and reports come a second time up to three leases late.
 */
class DelayedMessagesTest {
  private static final double LONGEST_S = 15;

  /**
   * Of every four such days one has each of: few messages held up and many copies, many and few,
   * half of all, machines back at once.
   */
  static RandomScenario day(long seed) {
    double held = List.of(0.03, 0.2, 0.5, 0.1).get((int) (seed % 4));
    double copies = List.of(0.5, 0.05, 0.2, 0.1).get((int) (seed % 4));
    return new RandomScenario(seed)
        .with(
            (cluster, each) ->
                new FastRestartFaults(cluster, each)
                    .copies(copies)
                    .held(held, LONGEST_S)
                    .machines(1.0 / 6, seed % 4 == 3 ? 2 : 0));
  }

  /**
   * 8 fails where exits are cleared or starts without an answer are forgotten, 9 and 13 where late
   * reports pass for news.
   */
  @ParameterizedTest
  @ValueSource(longs = {2, 8, 9, 13})
  void keepsTheRulesAndFinishesTheWork(long seed) {
    assertEquals(List.of(), day(seed).play());
  }
}
