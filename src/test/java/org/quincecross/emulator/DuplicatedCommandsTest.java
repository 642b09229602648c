package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Commands that were executed and answered arrive at their machines a second time, 1 s to three
 * leases later (docs/incidents/repeated-start.md).
 */
class DuplicatedCommandsTest {
  /** All commands, or half of them while messages are delayed too, or while machines restart. */
  static RandomScenario scenario(long seed) {
    int kind = (int) (seed % 3);
    return new RandomScenario(seed)
        .with(
            (cluster, each) ->
                new FastRestartFaults(cluster, each)
                    .duplicateCommands(kind == 0 ? 1 : 0.5)
                    .duplicateReports(kind == 0 ? 0 : 0.1)
                    .delayMessages(kind == 1 ? 0.2 : 0, 15)
                    .restartMachines(1.0 / 6, kind == 2 ? 2 : 0));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void keepsRulesAndCompletesWork(long seed) {
    assertEquals(List.of(), scenario(seed).run());
  }
}
