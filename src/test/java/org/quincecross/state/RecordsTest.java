package org.quincecross.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskSet;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Json;

class RecordsTest {
    private static final int SMALLEST_VALUE = 1024;

    private static Object throughJson(Map<String, Object> value) throws BadMessage {
        return Json.parse(Json.write(value));
    }

    @Property(tries = 100, seed = "12")
    void doneTasksReadTheSameAndStaySmall(@ForAll @IntRange(max = 2) int chunk, @ForAll @IntRange(max = 100) int percent,
            @ForAll int seed) throws BadMessage {
        Random random = new Random(seed);
        TaskSet all = new TaskSet();
        TaskSet inChunk = new TaskSet();
        for (int i = 0; i < 3 * DoneTasks.CHUNK; i++) {
            if (random.nextInt(100) < percent) {
                all.add(i);
                if (i / DoneTasks.CHUNK == chunk) {
                    inChunk.add(i);
                }
            }
        }
        Map<String, Object> value = DoneTasks.write(all, chunk);
        assertTrue(Json.write(value).length < SMALLEST_VALUE);
        assertEquals(inChunk, DoneTasks.read(throughJson(value), chunk));
    }

    @Property(tries = 100, seed = "13")
    void allocationsReadTheSame(@ForAll int seed) throws BadMessage {
        Random random = new Random(seed);
        Map<JobId, TaskSet> tasks = new java.util.LinkedHashMap<>();
        for (int j = 0; j < random.nextInt(6); j++) {
            TaskSet set = new TaskSet();
            for (int i = 0; i <= random.nextInt(30); i++) {
                set.add(random.nextInt(60));
            }
            tasks.put(new JobId("job-" + j), set);
        }
        assertEquals(tasks, Allocation.read(throughJson(Allocation.write(tasks)), Revision.NONE).tasks());
    }
}
