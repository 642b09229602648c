package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Days with pipelines drawn from fixed seeds, among all troubles: no task too early, no job
 * orphaned, and all work gets done.
 */
class DependencyScenarioTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void keepsTheRulesAndFinishesTheWork(long seed) {
    assertEquals(List.of(), RandomScenario.ofPipelines(seed).play());
  }
}
