package org.quincecross.sched;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.model.BlockId;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.Rank;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.Shape;
import org.quincecross.model.TaskSet;
import org.quincecross.model.Team;

/**
 * Decides which waiting tasks leave the pool and for which block: team limits, zones and spreading are kept here, and
 * count everything that is not proven gone. Tasks leave late, when their block can start them soon, so that no work is
 * stuck behind one block.
 */
public final class Admission {
    /** A block may be given this much of its capacity in array tasks, so that a short queue is there to start from. */
    private static final double QUEUE_AHEAD = 1.15;

    /** A job with less time to spare than this is pressed. */
    private static final double PRESSED_S = 12;

    /** A block as admission sees it. */
    public static final class Block {
        private final BlockId id;
        private final String type;
        private final String zone;
        private final boolean spot;
        private final Resources capacity;
        private final int machines;
        private final Set<String> images;
        private final Resources[] used = new Resources[Rank.values().length];
        private final Map<JobId, TaskSet> admitted = new LinkedHashMap<>();
        private int taskCount;

        /** {@code capacity}: of the machines that take work. */
        public Block(BlockId id, String type, String zone, boolean spot, Resources capacity, int machines, Set<String> images) {
            this.id = id;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.capacity = capacity;
            this.machines = machines;
            this.images = images;
            Arrays.fill(used, Resources.NONE);
        }

        public BlockId id() {
            return id;
        }

        /** Counts a task that the block has already. */
        public void count(Job job, int tasks) {
            used[job.rank().ordinal()] = used[job.rank().ordinal()].plus(job.each().times(tasks));
            taskCount += tasks;
        }

        /** What was admitted to this block. */
        public Map<JobId, TaskSet> admitted() {
            return admitted;
        }

        private Resources usedFrom(Rank rank) {
            Resources sum = Resources.NONE;
            for (int r = rank.ordinal(); r < used.length; r++) {
                sum = sum.plus(used[r]);
            }
            return sum;
        }

        private Resources free() {
            return capacity.minus(usedFrom(Rank.LOW));
        }

        private void admit(Job job, int index) {
            admitted.computeIfAbsent(job.id(), id -> new TaskSet()).add(index);
            count(job, 1);
        }
    }

    /**
     * An open job with tasks in the pool.
     *
     * @param dueS seconds until it should be over; below 0, what is late already
     * @param perZone how many of its tasks are in each zone
     */
    public record Demand(Job job, Revision accepted, double dueS, boolean guaranteed, TaskSet pool,
            Map<String, Integer> perZone) {

        /** Whether others are to make room for it: it must start at once, or it will be late. */
        boolean isPressed() {
            double run = job.estimate().seconds();
            return job.rank() == Rank.PRODUCTION || dueS < run + Math.max(PRESSED_S, 0.4 * run);
        }
    }

    /** Tasks of a job for which there was no block. */
    public record Unmet(Job job, int tasks, Map<String, Integer> perZone) {
    }

    private final List<Block> blocks;
    private final Map<String, Team> teams;
    private final Map<String, Resources> teamUse;
    private final Map<BlockId, List<Reserve>> reserves;
    private final int mostTasksInBlock;

    /**
     * @param teamUse what the tasks of each team take that are not proven gone
     * @param reserves what blocks keep free
     */
    public Admission(List<Block> blocks, Map<String, Team> teams, Map<String, Resources> teamUse,
            Map<BlockId, List<Reserve>> reserves, int mostTasksInBlock) {
        this.blocks = blocks;
        this.teams = teams;
        this.teamUse = new HashMap<>(teamUse);
        this.reserves = reserves;
        this.mostTasksInBlock = mostTasksInBlock;
    }

    /** Admits what can be admitted, the most urgent first; returns what there was no block for. */
    public List<Unmet> run(List<Demand> demands) {
        List<Demand> order = new ArrayList<>(demands);
        order.sort(Comparator
                .comparing((Demand demand) -> demand.job().rank() != Rank.PRODUCTION)
                .thenComparing(demand -> !demand.guaranteed())
                .thenComparing(demand -> demand.job().rank(), Comparator.reverseOrder())
                .thenComparing(demand -> demand.dueS() < 0)
                .thenComparing(Demand::dueS)
                .thenComparing(Demand::accepted)
                .thenComparing(demand -> demand.job().id()));
        List<Unmet> unmet = new ArrayList<>();
        for (Demand demand : order) {
            Map<String, Integer> perZone = new TreeMap<>(demand.perZone());
            int left = demand.job().shape() == Shape.GANG ? admitGang(demand) : admitTasks(demand, perZone);
            if (left > 0) {
                unmet.add(new Unmet(demand.job(), left, perZone));
            }
        }
        return unmet;
    }

    private boolean withinLimit(Job job, int tasks) {
        Team team = teams.get(job.team());
        Resources use = teamUse.getOrDefault(job.team(), Resources.NONE);
        return team != null && use.plus(job.each().times(tasks)).fitsIn(team.limit());
    }

    private void admit(Job job, int index, Block block) {
        block.admit(job, index);
        teamUse.merge(job.team(), job.each(), Resources::plus);
    }

    /** Returns how many tasks no block has room for; those that wait for their team's limit do not count. */
    private int admitTasks(Demand demand, Map<String, Integer> perZone) {
        Job job = demand.job();
        int left = demand.pool().size();
        for (int index = demand.pool().next(0); index >= 0; index = demand.pool().next(index + 1)) {
            if (!withinLimit(job, 1)) {
                return 0;
            }
            Block best = null;
            for (Block block : blocks) {
                if (mayGo(job, block, perZone) && hasRoom(job, 1, demand.isPressed(), block)
                        && (best == null || preference(job, perZone).compare(block, best) < 0)) {
                    best = block;
                }
            }
            if (best == null) {
                return left;
            }
            admit(job, index, best);
            perZone.merge(best.zone, 1, Integer::sum);
            left--;
        }
        return left;
    }

    /** A gang goes to one block as a whole. */
    private int admitGang(Demand demand) {
        Job job = demand.job();
        if (demand.pool().size() < job.tasks() || !withinLimit(job, job.tasks())) {
            return 0; // some of it is still out there, or its team is at its limit
        }
        Block best = null;
        for (Block block : blocks) {
            if (mayGo(job, block, Map.of()) && hasRoom(job, job.tasks(), demand.isPressed(), block)
                    && (!job.spread() || job.tasks() <= job.mostInOneZone())
                    && (best == null || preference(job, Map.of()).compare(block, best) < 0)) {
                best = block;
            }
        }
        if (best == null) {
            return job.tasks();
        }
        for (int index = 0; index < job.tasks(); index++) {
            admit(job, index, best);
        }
        return 0;
    }

    private static boolean mayGo(Job job, Block block, Map<String, Integer> perZone) {
        if (!job.allows(block.type, block.zone, block.spot)) {
            return false;
        }
        if (job.oneZone() && !perZone.isEmpty() && !perZone.containsKey(block.zone)) {
            return false;
        }
        return !job.spread() || perZone.getOrDefault(block.zone, 0) < job.mostInOneZone();
    }

    private boolean hasRoom(Job job, int tasks, boolean mayPreempt, Block block) {
        if (block.taskCount + tasks > mostTasksInBlock || block.machines == 0) {
            return false;
        }
        Resources machine = block.capacity.times(1.0 / block.machines);
        Resources capacity = job.shape() == Shape.ARRAY ? block.capacity.times(QUEUE_AHEAD) : block.capacity;
        Resources kept = Resources.NONE;
        for (Reserve reserve : reserves.getOrDefault(block.id, List.of())) {
            if (reserve.keepsOut(job, machine)) {
                // What the room is kept for and runs there already is part of what is used.
                capacity = block.capacity;
                kept = kept.plus(reserve.total());
            }
        }
        Resources room = capacity.minus(kept).minus(block.usedFrom(mayPreempt ? job.rank() : Rank.LOW));
        return job.each().times(tasks).fitsIn(room)
                && machine.count(job.each()) * block.machines >= tasks;
    }

    private Comparator<Block> preference(Job job, Map<String, Integer> perZone) {
        return Comparator
                .comparing((Block block) -> job.each().gpus() == 0 && block.capacity.gpus() > 0)
                .thenComparing(block -> !job.each().fitsIn(block.free()))
                .thenComparing(block -> job.spread() ? perZone.getOrDefault(block.zone, 0) : 0)
                .thenComparing(block -> !block.images.contains(job.image()))
                .thenComparing(block -> !block.spot)
                .thenComparing(block -> block.usedFrom(Rank.LOW).shareOf(block.capacity))
                .thenComparing(block -> block.id);
    }
}
