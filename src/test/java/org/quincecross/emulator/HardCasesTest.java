package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;
import org.quincecross.wire.BadMessage;

/** What happens to a fleet all at once, in virtual time. */
class HardCasesTest {
    private static final int MACHINES = 45;

    private static final String JOBS = """
            [[jobs]]
            name = "front"
            shape = "service"
            rank = "critical"
            team = "web"
            copies = 12
            tasks = 3
            cpus = 2
            memory_gb = 4
            spread = true

            [[jobs]]
            name = "rebuild"
            shape = "array"
            rank = "standard"
            team = "batch"
            copies = 12
            every_s = 1.5
            tasks = 24
            cpus = 1
            memory_gb = 2
            run_s = 6
            """;

    private final Site site = Site.tryOut(MACHINES, true);
    private final World world;
    private final List<JobId> arrays = new ArrayList<>();

    HardCasesTest() throws BadMessage {
        world = new World(site, 5, Meter.OFF);
        for (JobsFile.Due due : JobsFile.read(JOBS, site)) {
            world.time().at(4 + due.atS(), () -> world.users().submit(due.job()));
            if (due.job().jobClass().equals("rebuild")) {
                arrays.add(due.job().id());
            }
        }
    }

    private void assertAllIsWell(double atS) {
        world.time().runUntil(atS);
        assertEquals(List.of(), world.rules().broken());
        for (JobId id : arrays) {
            assertEquals("done", world.users().told().get(id), id.text());
        }
        assertEquals(36, world.users().told().keySet().stream().filter(id -> !arrays.contains(id))
                .mapToInt(world.rules()::onMachines).sum(), "replicas");
    }

    /** All controllers begin to read the records and are killed on the way, three times; then they come up. */
    @Test
    void aRestartInTheMiddleOfAPageOfRecords() {
        for (int i = 0; i < 3; i++) {
            for (int node = 0; node < site.nodes(); node++) {
                int each = node;
                world.time().at(12 + 0.012 * i, () -> world.crash(each));
            }
        }
        assertAllIsWell(120);
    }

    /** The state service keeps so few changes that every watch and every barrier is too old, on all controllers at once. */
    @Test
    void aFollowThatIsTooOldOnAllAtOnce() {
        world.time().at(12, () -> world.state().keepChanges(1));
        world.time().at(18, () -> world.state().keepChanges(10_000));
        assertAllIsWell(120);
    }

    /** In an outage users come back in the very second that they were told; all are accepted soon after its end. */
    @Test
    void aBurstOfSubmissionsThatCameBackAtTheSameSecond() throws BadMessage {
        world.time().at(30, () -> world.state().outage(15));
        List<JobId> burst = new ArrayList<>();
        String jobs = JOBS.substring(JOBS.indexOf("[[jobs]]", 10)).replace("copies = 12", "copies = 150").replace("every_s = 1.5", "every_s = 0")
                .replace("tasks = 24", "tasks = 1");
        int number = 50_000;
        for (JobsFile.Due due : JobsFile.read(jobs, site)) {
            JobId id = new JobId("job-" + number++);
            burst.add(id);
            var job = due.job();
            world.time().at(33, () -> world.users().submit(new org.quincecross.model.Job(id, job.jobClass(), job.team(), job.shape(),
                    job.rank(), job.tasks(), job.each(), null, null, false, false, false, job.image(), job.imageGb(), job.estimate(),
                    job.checkpointEvery(), job.saveTime(), null)));
        }
        world.time().runUntil(44.9);
        assertEquals(0, burst.stream().filter(world.users().acceptedAfter()::containsKey).count());
        world.time().runUntil(50);
        assertEquals(150, burst.stream().filter(world.users().acceptedAfter()::containsKey).count(), world.users().answers().toString());
        assertTrue(world.state().throttled() < 30, "refused for their number: " + world.state().throttled());
        assertAllIsWell(150);
    }

    /** A leader stands still until another one leads, and goes on with plans and commands of the time before. */
    @ParameterizedTest
    @ValueSource(doubles = {4, 9, 20, 33})
    void aLeaderThatGoesOnAfterItsSuccessorLeads(double seconds) {
        world.time().runUntil(14.03);
        int leader = world.leader();
        assertTrue(leader >= 0);
        world.standStill(leader, seconds);
        world.time().runUntil(14 + seconds + 3);
        assertNotEquals(leader, world.leader());
        assertAllIsWell(170);
    }
}
