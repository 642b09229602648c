package org.quincecross.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.Resources;
import org.quincecross.model.TaskId;

/** Watches over the rules of the protocol. */
final class Rules {
    private final World world;
    private final Map<TaskId, Map<MachineId, Machine>> on = new HashMap<>();
    private final Map<JobId, Double> cancelled = new HashMap<>();
    private final Map<JobId, String> last = new HashMap<>();
    private final Map<JobId, Set<Integer>> done = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private int starts;

    Rules(World world) {
        this.world = world;
    }

    List<String> broken() {
        return broken;
    }

    int starts() {
        return starts;
    }

    private void breaks(String rule, Object what) {
        broken.add(rule + " at " + world.time().seconds() + ": " + what);
    }

    void on(TaskId task, Machine machine) {
        starts++;
        Job job = world.job(task.job());
        Map<MachineId, Machine> places = on.computeIfAbsent(task, t -> new HashMap<>());
        places.put(machine.id(), machine);
        if (places.size() > 1) {
            breaks("ran_twice", task + " on " + places.keySet());
        }
        Resources used = Resources.NONE;
        Map<String, Integer> zones = new HashMap<>();
        for (Map.Entry<TaskId, Map<MachineId, Machine>> entry : on.entrySet()) {
            Job other = world.job(entry.getKey().job());
            for (Machine place : entry.getValue().values()) {
                used = other.team().equals(job.team()) ? used.plus(other.each()) : used;
                if (other.id().equals(job.id())) {
                    zones.merge(place.zone(), 1, Integer::sum);
                }
            }
        }
        if (!used.fitsIn(world.team(job.team()).limit())) {
            breaks("quota", task + " brings " + job.team() + " to " + used);
        }
        boolean misplaced = !job.allows(machine.type(), machine.zone(), machine.spot()) || job.oneZone() && zones.size() > 1
                || job.spread() && zones.get(machine.zone()) > job.mostInOneZone();
        if (misplaced) {
            breaks("wrong_place", task + " on " + machine);
        }
        check();
    }

    void off(TaskId task, MachineId machine) {
        Map<MachineId, Machine> places = on.get(task);
        if (places != null) {
            places.remove(machine);
            if (places.isEmpty()) {
                on.remove(task);
            }
        }
    }

    void completed(TaskId task) {
        done.computeIfAbsent(task.job(), job -> new HashSet<>()).add(task.index());
    }

    boolean isCompleted(TaskId task) {
        return done.getOrDefault(task.job(), Set.of()).contains(task.index());
    }

    int completedTasks(JobId job) {
        return done.getOrDefault(job, Set.of()).size();
    }

    /** When a job's user was told that it is cancelled, or null. */
    Double cancelledAt(JobId job) {
        return cancelled.get(job);
    }

    /** How many tasks of a job are on machines. */
    int onMachines(JobId job) {
        return (int) on.keySet().stream().filter(task -> task.job().equals(job)).count();
    }

    /** What the tasks of a team take that are on machines. */
    Resources used(String team) {
        Resources used = Resources.NONE;
        for (Map.Entry<TaskId, Map<MachineId, Machine>> entry : on.entrySet()) {
            Job job = world.job(entry.getKey().job());
            used = job.team().equals(team) ? used.plus(job.each().times(entry.getValue().size())) : used;
        }
        return used;
    }

    /** To be called now and then. */
    void check() {
        cancelled.forEach((job, at) -> on.forEach((task, places) -> {
            if (task.job().equals(job) && world.time().seconds() > at + World.CANCEL_S) {
                breaks("ran_cancelled", task + " on " + places.keySet());
            }
        }));
    }

    /** What users were told of a job last, or null. */
    String lastTold(JobId id) {
        return last.get(id);
    }

    /** A user was told of a job; {@code before}: what users had been told when the question was put. */
    void told(JobId id, String state, String before, boolean asked) {
        last.put(id, state);
        if (before != null && (before.equals("done") || before.equals("cancelled")) && !before.equals(state)) {
            breaks("went_back", id + " from " + before + " to " + state);
        }
        if (state.equals("cancelled")) {
            cancelled.putIfAbsent(id, world.time().seconds());
            if (!asked) {
                breaks("went_back", id + " was not cancelled by its user");
            }
        }
        if (state.equals("done") && done.getOrDefault(id, Set.of()).size() < world.job(id).tasks()) {
            breaks("not_done", id);
        }
    }

    void forgotten(JobId id) {
        breaks("forgotten", id);
    }
}
