package org.quincecross.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class TaskSetTest {
  @Property(tries = 500, seed = "9")
  void writtenRangesReadTheSame(@ForAll Set<@IntRange(min = 0, max = 500) Integer> members) {
    TaskSet set = new TaskSet();
    members.forEach(set::add);
    assertEquals(set, TaskSet.parse(set.toString(), 501));
    assertEquals(members.size(), set.size());
  }

  /** A task set behaves like a plain set under any sequence of operations. */
  @Property(tries = 300, seed = "10")
  void behavesLikePlainSet(@ForAll long seed) {
    Random random = new Random(seed);
    TaskSet set = new TaskSet();
    TreeSet<Integer> plain = new TreeSet<>();
    for (int step = 0; step < 40; step++) {
      int index = random.nextInt(300);
      TaskSet other = TaskSet.range(random.nextInt(200));
      TreeSet<Integer> otherPlain = new TreeSet<>();
      for (int i = other.nextMember(0); i >= 0; i = other.nextMember(i + 1)) {
        otherPlain.add(i);
      }
      switch (random.nextInt(4)) {
        case 0, 1 -> {
          set.add(index);
          plain.add(index);
        }
        case 2 -> {
          set.remove(index);
          plain.remove(index);
        }
        default -> {
          if (random.nextBoolean()) {
            set.addAll(other);
            plain.addAll(otherPlain);
          } else {
            set.removeAll(other);
            plain.removeAll(otherPlain);
          }
        }
      }
      assertEquals(plain.contains(index), set.contains(index));
      assertEquals(plain.size(), set.size());
      assertEquals(plain.ceiling(index) == null ? -1 : plain.ceiling(index), set.nextMember(index));
      assertEquals(
          plain.stream().filter(otherPlain::contains).count(), set.intersectionSize(other));
      assertEquals(set.toString().length(), set.textLength());
      assertEquals(set, TaskSet.parse(set.toString(), 300));
      assertEquals(set.hashCode(), TaskSet.parse(set.toString(), 300).hashCode());
    }
  }

  @Example
  void refusesMalformedSets() {
    for (String text :
        new String[] {"a", "1-", "-1", "3-2", "1,,2", "10", "1-10", "99999999999", "1,", ",1"}) {
      assertNull(TaskSet.parse(text, 10), text);
    }
  }
}
