package org.quincecross.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class TaskSetTest {
    @Property(tries = 500, seed = "9")
    void rangesReadTheSame(@ForAll Set<@IntRange(min = 0, max = 500) Integer> members) {
        TaskSet set = new TaskSet();
        members.forEach(set::add);
        assertEquals(set, TaskSet.parse(set.toString(), 501));
        assertEquals(members.size(), set.size());
    }

    @Example
    void refusesWhatIsNoSet() {
        for (String text : new String[] {"a", "1-", "-1", "3-2", "1,,2", "10", "1-10", "99999999999"}) {
            assertNull(TaskSet.parse(text, 10), text);
        }
    }
}
