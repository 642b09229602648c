package org.quincecross.sched;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.quincecross.model.MachineId;
import org.quincecross.model.Rank;
import org.quincecross.model.Resources;
import org.quincecross.model.SteadyTime;
import org.quincecross.model.TaskId;

/** Chooses what is stopped so that work of a higher priority gets room. */
public final class Preemption {
    /** A task that takes up room and could be stopped. */
    public record Running(TaskId task, MachineId machine, Rank rank, Resources each, boolean saves, SteadyTime since) {
    }

    private Preemption() {
    }

    /**
     * The tasks to stop on one machine so that {@code entry} fits there, or null if no machine can be made to fit it.
     * The machine that loses least is chosen; on it the lowest priority goes first, then what saves its progress, then
     * what was started last.
     */
    public static List<Running> choose(BlockScheduler block, Entry entry, List<Running> running) {
        List<Running> best = null;
        for (MachineQueue machine : block.machines()) {
            if (!machine.isOpen() || !machine.canEver(entry) || entry.avoided().contains(machine.machine())) {
                continue;
            }
            List<Running> victims = onMachine(machine, entry, running);
            if (victims != null && (best == null || loss(victims) < loss(best))) {
                best = victims;
            }
        }
        return best;
    }

    private static double loss(List<Running> victims) {
        double loss = 0;
        for (Running victim : victims) {
            loss += victim.each().cpus() * (victim.saves() ? 1 : 3) * (1 + victim.rank().ordinal());
        }
        return loss;
    }

    private static List<Running> onMachine(MachineQueue machine, Entry entry, List<Running> running) {
        List<Running> stoppable = new ArrayList<>();
        for (Running task : running) {
            if (task.machine().equals(machine.machine()) && entry.job().rank().isAbove(task.rank())) {
                stoppable.add(task);
            }
        }
        stoppable.sort(Comparator.comparing(Running::rank)
                .thenComparing(task -> !task.saves())
                .thenComparing(Running::since, Comparator.reverseOrder()));
        List<Running> victims = new ArrayList<>();
        Resources room = machine.free();
        for (Running task : stoppable) {
            if (entry.job().each().fitsIn(room)) {
                break;
            }
            victims.add(task);
            room = room.plus(task.each());
        }
        return entry.job().each().fitsIn(room) ? victims : null;
    }
}
