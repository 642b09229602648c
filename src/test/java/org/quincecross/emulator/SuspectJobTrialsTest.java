package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * A sound job that has failed on faulty machines alone is tried elsewhere, before it waits long.
 */
@Tag("known-red")
class SuspectJobTrialsTest {
  /** Each trial of the job goes to the same faulty machine, the only one in its shard. */
  @Test
  void soundJobIsNotTriedOnFaultyMachineForLong() {
    assertEquals(List.of(), DuplicatedCommandsTest.scenario(20740).run());
  }
}
