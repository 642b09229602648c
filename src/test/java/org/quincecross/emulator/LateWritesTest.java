package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;

/** Transactions without an answer that are carried out late, after newer ones of the same controller, in virtual time. */
class LateWritesTest {
    /**
     * A cancellation becomes durable long after it was asked for, when a holder has just lost the state service and its machines
     * hear nobody else. It is new when it becomes durable, not when it was asked for: told at once, it would be told 8 s too
     * early for what that holder goes on answering.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aCancellationThatBecomesDurableLate(int alone) {
        World world = new World(1);
        List<JobId> jobs = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int number = i;
            world.time().at(5 + i * 0.1, () -> jobs.add(world.users().submitService(number)));
        }
        world.state().late(transaction -> transaction.contains("\"cancelled\"") && world.time().seconds() < 32.4
                ? 32.5 + 0.5 * world.random().nextDouble() - world.time().seconds() : LateWrites.PROMPT);
        world.time().at(16, () -> jobs.forEach(world.users()::cancel));
        world.time().at(32, () -> {
            world.state().refuse(Site.nodeName(alone), 90);
            world.cloud().machines().forEach(machine -> {
                world.cut(Site.nodeName((alone + 1) % world.nodeCount()), machine.text(), 90, true);
                world.cut(Site.nodeName((alone + 2) % world.nodeCount()), machine.text(), 90, true);
            });
        });
        world.time().runUntil(170);
        assertTrue(world.state().lateOutcomes().contains(200), world.state().lateOutcomes().toString());
        assertEquals(12, world.users().told().values().stream().filter("cancelled"::equals).count());
        assertEquals(List.of(), world.rules().broken());
    }
}
