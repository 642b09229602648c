package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs random pipelines from fixed seeds with all kinds of faults: no task starts too early, no job
 * is orphaned, and all work completes.
 */
class DependencyScenarioTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void keepsRulesAndCompletesWork(long seed) {
    assertEquals(List.of(), RandomScenario.withPipelines(seed).run());
  }
}
