package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Many drawn gap days, for a machine with time: {@code mvn -B -Pseeds test -Dtest=GapSeedsTest -Dseeds=1-1000}. */
@Tag("seeds")
class GapSeedsTest {
    @Test
    void everyGapDayKeepsTheRulesAndNothingHangs() {
        String[] range = System.getProperty("seeds", "1-1000").split("-");
        Map<Long, Object> wrong = new ConcurrentSkipListMap<>();
        LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1])).parallel().forEach(seed -> {
            Object findings;
            try {
                findings = new GapDay(seed).play();
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
