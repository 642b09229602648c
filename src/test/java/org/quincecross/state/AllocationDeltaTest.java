package org.quincecross.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

class AllocationDeltaTest {
  private static Map<JobId, TaskSet> tasks(Random random) {
    Map<JobId, TaskSet> tasks = new LinkedHashMap<>();
    for (int job = 1; job < 8; job++) {
      TaskSet set = new TaskSet();
      for (int i = 0; i < 40; i++) {
        if (random.nextInt(3) == 0) {
          set.add(i);
        }
      }
      if (random.nextBoolean() && !set.isEmpty()) {
        tasks.put(new JobId("job-" + job), set);
      }
    }
    return tasks;
  }

  /**
   * A delta reads as the full record that it was made from; a delta of another base record is not
   * applied.
   */
  @Property(tries = 200, seed = "6")
  void deltaReadsAsFullRecord(@ForAll Random random) throws MalformedMessageException {
    Allocation whole = new Allocation(tasks(random), new Revision(7));
    Map<JobId, TaskSet> next = tasks(random);
    AllocationDelta change =
        AllocationDelta.read(
            Json.parse(Json.write(AllocationDelta.write(whole, next))), new Revision(9));
    assertEquals(next, new LinkedHashMap<>(change.applyTo(whole).tasks()));
    assertEquals(new Revision(9), change.applyTo(whole).version());
    Allocation other = new Allocation(whole.tasks(), new Revision(8));
    assertSame(other, change.applyTo(other));
  }
}
