package org.quincecross.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.model.JobId;

/** Days of a whole deployment with troubles drawn from fixed seeds: every rule is kept, and all work gets done. */
class WholeServiceTest {
    private static final double TROUBLE_S = 150;
    private static final double DAY_S = 420;

    private static void trouble(World world) {
        Random random = world.random();
        int node = random.nextInt(World.NODES);
        double length = 3 + random.nextDouble() * 30;
        List<String> machines = new ArrayList<>();
        world.machines().forEach(machine -> machines.add(machine.text()));
        String machine = machines.isEmpty() ? "none" : machines.get(random.nextInt(machines.size()));
        switch (random.nextInt(9)) {
            case 0 -> world.crash(node);
            case 1 -> {
                for (int i = 0; i < World.NODES; i++) {
                    world.crash(i);
                }
            }
            case 2 -> world.state().outage(length);
            case 3 -> world.state().refuse(World.nodeName(node), length);
            case 4 -> world.cut(World.nodeName(node), "state", length, random.nextBoolean());
            case 5 -> machines.forEach(each -> world.cut(World.nodeName(node), each, length, random.nextBoolean()));
            case 6 -> world.cut(World.nodeName(node), World.nodeName((node + 1) % World.NODES), length, random.nextBoolean());
            case 7 -> {
                for (int i = 0; i < World.NODES; i++) {
                    world.cut(World.nodeName(i), machine, length, random.nextBoolean());
                }
            }
            default -> world.machines().stream().filter(each -> each.text().equals(machine)).forEach(world::take);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void keepsTheRulesAndFinishesTheWork(long seed) {
        World world = new World(seed);
        for (int i = 0; i < 60; i++) {
            int number = 1000 + i;
            world.time().at(3 + i * 2.2, () -> world.submit(number));
        }
        for (double at = 12; at < TROUBLE_S; at += 4 + world.random().nextDouble() * 14) {
            world.time().at(at, () -> trouble(world));
        }
        world.time().runUntil(DAY_S);
        assertEquals(List.of(), world.rules().broken());
        assertTrue(world.rules().starts() > 100, "little was started: " + world.rules().starts());
        for (Map.Entry<JobId, String> told : world.told().entrySet()) {
            assertTrue(told.getValue().equals("done") || told.getValue().equals("cancelled"), told + " " + world.job(told.getKey()));
        }
    }
}
