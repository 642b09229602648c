package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.protocol.MalformedMessageException;

/** Runs models with faults; {@code mvn -B -Pseeds test -Dseeds=A-B} runs many seeds. */
class ModelServingSeedsTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void keepsRulesOnFixedSeeds(long seed) throws MalformedMessageException {
    assertEquals(List.of(), new ModelServingScenario(seed).run());
  }

  @Test
  @Tag("seeds")
  void keepsRulesOnManySeeds() {
    String[] range = System.getProperty("seeds", "20000-20999").split("-");
    Map<Long, Object> wrong = new ConcurrentSkipListMap<>();
    LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]))
        .parallel()
        .forEach(
            seed -> {
              Object findings;
              try {
                findings = new ModelServingScenario(seed).run();
              } catch (MalformedMessageException | RuntimeException | AssertionError e) {
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
