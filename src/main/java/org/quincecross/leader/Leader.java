package org.quincecross.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.quincecross.model.BlockId;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MemberId;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.Shape;
import org.quincecross.model.Span;
import org.quincecross.model.SteadyTime;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.Team;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerReport;
import org.quincecross.sched.Admission;
import org.quincecross.sched.Reserve;
import org.quincecross.state.Allocation;
import org.quincecross.state.BlockLease;
import org.quincecross.state.DoneTasks;
import org.quincecross.state.Follower;
import org.quincecross.state.JobRecord;
import org.quincecross.state.Keys;
import org.quincecross.state.Foresight;
import org.quincecross.state.Ledger;
import org.quincecross.state.MemberRecord;
import org.quincecross.state.Membership;
import org.quincecross.state.StateClient;
import org.quincecross.state.TxnOutcome;
import org.quincecross.wire.CloudCodec;
import org.quincecross.wire.Settings;
import org.quincecross.wire.StateCodec.Change;
import org.quincecross.wire.StateCodec.Guard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stands for leadership and, while leading, writes block leases, allocations and results: one transaction at a time,
 * each guarded by the version of the leadership and of every key that it changes, and each planned on a ledger that
 * shows the one before.
 */
public final class Leader {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
    private static final Span TICK = Span.ofMillis(100);
    private static final Span GATHER_RESULTS = Span.ofSeconds(2.5);
    /** "Neighbours start at six similar machines per block." */
    private static final int BLOCK_SIZE = 6;
    private static final Span REBALANCE_EVERY = Span.ofSeconds(8);
    /** Moving a block costs a moment and what its holder has learnt of it: a small gain is not worth that. */
    private static final int REBALANCE_GAIN = 4;
    private static final Span UNCONFIRMED = Span.ofSeconds(2);
    private static final Span REPORT_FRESH = Span.ofSeconds(2.5);
    /** A job that nobody waits for by a certain time comes after those of about an hour's patience. */
    private static final double NO_DEADLINE_S = 3600;
    private static final int LEAST_CHANGES = 2;
    private static final int MOST_TASKS_IN_BLOCK = 150;

    /** The states of a controller with regard to leading. */
    public enum State { FOLLOWING, STANDING, LEADING, MENDING }

    private record Heard(PeerReport report, SteadyTime at) {
    }

    private final Timers timers;
    private final StateClient client;
    private final Ledger ledger;
    private final Follower follower;
    private final Membership membership;
    private final Settings settings;
    private final Fleet fleet;
    private final Foresight foresight;
    private final LongSupplier clockMs;
    private final Map<MemberId, Heard> heard = new HashMap<>();
    private final Map<MachineId, Machine> newcomers = new LinkedHashMap<>();
    private final Map<JobId, SteadyTime> resultsSince = new HashMap<>();
    private State state = State.FOLLOWING;
    private boolean writing;
    private Revision awaited = Revision.NONE;
    private SteadyTime rebalanced;
    private boolean stepPlanned;
    private boolean resultsFirst;

    public Leader(Timers timers, StateClient client, Ledger ledger, Follower follower, Membership membership,
            Settings settings, Fleet fleet, Foresight foresight, LongSupplier clockMs) {
        this.timers = timers;
        this.client = client;
        this.ledger = ledger;
        this.follower = follower;
        this.membership = membership;
        this.settings = settings;
        this.fleet = fleet;
        this.foresight = foresight;
        this.clockMs = clockMs;
        this.rebalanced = timers.now();
    }

    public void start() {
        timers.every(TICK, this::step);
    }

    public State state() {
        return state;
    }

    public boolean isLeading() {
        return state == State.LEADING || state == State.MENDING;
    }

    /** The one place where leading changes its state. */
    private void enter(State next) {
        if (next != state) {
            LOG.info("{} -> {}", state, next);
        }
        state = next;
    }

    /** A report of a holder, this controller's own among them. */
    public void hear(PeerReport report) {
        Heard before = heard.get(report.member());
        if (before != null && before.report().life().equals(report.life()) && before.report().number() >= report.number()) {
            return; // late or repeated
        }
        heard.put(report.member(), new Heard(report, timers.now()));
        if (isLeading()) {
            soon();
        }
    }

    /** A machine that is in no block reports. */
    public void newcomer(Machine machine) {
        if (newcomers.put(machine.id(), machine) == null) {
            soon();
        }
    }

    /** Steps a moment from now, once for all that happens until then. */
    public void soon() {
        if (!stepPlanned) {
            stepPlanned = true;
            timers.after(Span.ofMillis(15), () -> {
                stepPlanned = false;
                step();
            });
        }
    }

    private boolean leadsByLedger() {
        MemberRecord leader = ledger.leader();
        return leader != null && leader.member().equals(settings.member()) && leader.life().equals(membership.life());
    }

    private void step() {
        if (!ledger.isLoaded() || writing) {
            return;
        }
        if (awaited.isAfter(ledger.revision())) {
            follower.barrier(ok -> { });
            return;
        }
        if (!leadsByLedger()) {
            enter(State.FOLLOWING);
            client.lead(false);
            newcomers.clear();
            fleet.stop();
            if (ledger.leader() == null && membership.isLive()) {
                stand();
            }
            return;
        }
        if (state == State.MENDING) {
            mend();
            return;
        }
        enter(State.LEADING);
        // A leader that alone has lost the state service can decide nothing: its plans would be refused, again and
        // again, while another one leads already.
        if (!timers.now().since(follower.confirmed()).isMoreThan(UNCONFIRMED)) {
            lead();
        }
    }

    private void stand() {
        enter(State.STANDING);
        write(List.of(new Guard(Keys.LEADER, Revision.NONE), membership.alive(ledger)),
                List.of(new Change(Keys.LEADER, membership.record(), membership.life())), true);
    }

    /**
     * A transaction was not answered: it may be applied at any later time, and what it wrote may not go together with
     * what would be decided now. Writing the leadership anew makes its guards fail from here on.
     */
    private void mend() {
        write(List.of(new Guard(Keys.LEADER, ledger.version(Keys.LEADER))),
                List.of(new Change(Keys.LEADER, membership.record(), membership.life())), true);
    }

    private void write(List<Guard> guards, List<Change> changes, boolean urgent) {
        writing = true;
        if (urgent) {
            client.txnNow(guards, changes, this::written);
        } else {
            client.txn(guards, changes, this::written);
        }
    }

    private void written(TxnOutcome outcome) {
        writing = false;
        switch (outcome.kind()) {
            case COMMITTED -> {
                awaited = outcome.revision();
                if (state == State.MENDING) {
                    enter(State.LEADING);
                }
                soon();
            }
            case CONFLICT -> {
                LOG.debug("transaction out of date: {}", outcome.failed());
                awaited = outcome.revision();
                follower.barrier(ok -> soon());
            }
            case UNKNOWN -> {
                LOG.info("transaction not answered");
                if (isLeading()) {
                    enter(State.MENDING);
                }
                follower.barrier(ok -> { });
            }
            case REFUSED, NO_LEASE -> { }
            default -> throw new IllegalStateException(outcome.kind().toString());
        }
    }

    // ---- leading ----

    private void lead() {
        client.lead(true);
        fleet.lead(this::fleetView);
        // As large as the budget is now: a transaction that waits for its turn is out of date when it goes out.
        int changes = Math.min(settings.stateLimits().txnChanges(), client.changesAffordable());
        if (changes < LEAST_CHANGES) {
            return;
        }
        TxnPlan plan = new TxnPlan(ledger, changes, settings.stateLimits().valueBytes() - 64);
        plan.guard(Keys.LEADER);
        planTypes(plan);
        Set<BlockId> leased = planLeases(plan);
        // Neither results nor starts may crowd the other out of a small budget.
        resultsFirst = !resultsFirst;
        if (resultsFirst) {
            planResults(plan);
        }
        planAllocations(plan, leased);
        if (!resultsFirst) {
            planResults(plan);
        }
        if (!plan.isEmpty()) {
            write(plan.guards(), plan.changes(), false);
        }
    }

    private void planTypes(TxnPlan plan) {
        for (MachineType type : fleet.catalog()) {
            MachineType known = ledger.types().get(type.name());
            if (known == null || !known.capacity().equals(type.capacity()) || !known.zones().equals(type.zones())) {
                plan.put(Keys.type(type.name()), CloudCodec.writeCatalog(List.of(type)));
            }
        }
    }

    private List<MemberRecord> members() {
        return List.copyOf(ledger.members().values());
    }

    /** The member to lease a block to: the one with the fewest machines, and of those one in the block's zone. */
    private MemberRecord chooseHolder(String zone, Map<MemberId, Integer> load) {
        MemberRecord best = null;
        for (MemberRecord member : members()) {
            if (best == null || cost(member, zone, load) < cost(best, zone, load)) {
                best = member;
            }
        }
        return best;
    }

    private static double cost(MemberRecord member, String zone, Map<MemberId, Integer> load) {
        return load.getOrDefault(member.member(), 0) + (member.zone().equals(zone) ? 0 : 2.5);
    }

    private Map<MemberId, Integer> machinesHeld() {
        Map<MemberId, Integer> load = new HashMap<>();
        for (BlockLease block : ledger.blocks().values()) {
            load.merge(block.holder(), block.machines().size(), Integer::sum);
        }
        return load;
    }

    /** Leases blocks of dead holders anew, takes machines in and out; returns the blocks changed. */
    private Set<BlockId> planLeases(TxnPlan plan) {
        Map<BlockId, BlockLease> next = new TreeMap<>();
        Set<BlockId> deleted = new HashSet<>();
        Map<MemberId, Integer> load = machinesHeld();
        for (BlockLease block : ledger.blocks().values()) {
            BlockLease changed = withoutGone(block);
            if (changed.machines().isEmpty()) {
                // No machine is left, so no task of it is anywhere: all of them go back to the pool.
                if (plan.room() >= 2) {
                    plan.delete(Keys.block(block.id()));
                    if (ledger.version(Keys.allocation(block.id())).number() != 0) {
                        plan.delete(Keys.allocation(block.id()));
                    }
                    deleted.add(block.id());
                }
                continue;
            }
            MemberRecord holder = ledger.members().get(block.holder());
            if (holder == null || !holder.life().equals(block.life())) {
                load.merge(block.holder(), -block.machines().size(), Integer::sum);
                MemberRecord chosen = chooseHolder(block.zone(), load);
                if (chosen != null) {
                    LOG.info("block {} goes from {} to {}", block.id(), block.holder(), chosen.member());
                    load.merge(chosen.member(), block.machines().size(), Integer::sum);
                    changed = changed.heldBy(chosen);
                }
            }
            if (changed != block) {
                next.put(block.id(), changed);
            }
        }
        rescueUnheard(next, deleted);
        if (next.isEmpty() && deleted.isEmpty()) {
            rebalance(next, load);
        }
        takeIn(next, deleted, load);
        next.values().removeIf(block -> !plan.put(Keys.block(block.id()), block.write()));
        Set<BlockId> touched = new HashSet<>(next.keySet());
        touched.addAll(deleted);
        return touched;
    }

    private BlockLease withoutGone(BlockLease block) {
        BlockLease changed = block;
        for (MachineId machine : block.machines().keySet()) {
            if (fleet.isGone(machine)) {
                changed = changed.without(machine);
            } else if (fleet.wantsBack(machine) && !block.leaving().contains(machine)) {
                changed = changed.leaving(machine);
            }
        }
        return changed;
    }

    /** A holder whose machines report to another controller is cut off from them: that one gets the block. */
    private void rescueUnheard(Map<BlockId, BlockLease> next, Set<BlockId> deleted) {
        for (BlockLease block : ledger.blocks().values()) {
            if (next.containsKey(block.id()) || deleted.contains(block.id())) {
                continue;
            }
            PeerReport.Block view = blockView(block);
            Map<MemberId, Integer> hearing = new HashMap<>();
            for (MachineId machine : block.machines().keySet()) {
                // A lease that its holder has not reported under yet says nothing of who hears the machines.
                boolean silent = view != null && view.machines().stream()
                        .anyMatch(state -> state.id().equals(machine) && state.silent().isMoreThan(Span.ofSeconds(4)));
                for (MemberRecord member : members()) {
                    PeerReport report = freshReport(member.member());
                    if (silent && report != null && !member.member().equals(block.holder()) && report.strays().contains(machine)) {
                        hearing.merge(member.member(), 1, Integer::sum);
                    }
                }
            }
            hearing.forEach((member, machines) -> {
                if (machines * 2 > block.machines().size() && !next.containsKey(block.id())) {
                    LOG.info("block {} goes from {}, which does not hear it, to {}", block.id(), block.holder(), member);
                    next.put(block.id(), block.heldBy(ledger.members().get(member)));
                }
            });
        }
    }

    /** Moves one block to a controller that has much less to do, now and then. */
    private void rebalance(Map<BlockId, BlockLease> next, Map<MemberId, Integer> load) {
        if (REBALANCE_EVERY.isMoreThan(timers.now().since(rebalanced))) {
            return;
        }
        rebalanced = timers.now();
        for (BlockLease block : ledger.blocks().values()) {
            for (MemberRecord member : members()) {
                int size = block.machines().size();
                int gain = load.getOrDefault(block.holder(), 0) - load.getOrDefault(member.member(), 0) - size;
                PeerReport.Block view = blockView(block);
                boolean calm = view != null && view.machines().stream().allMatch(PeerReport.MachineState::fenced);
                if (gain > REBALANCE_GAIN && calm) {
                    LOG.info("block {} goes from {} to {} to share the load", block.id(), block.holder(), member.member());
                    next.put(block.id(), block.heldBy(member));
                    return;
                }
            }
        }
    }

    private void takeIn(Map<BlockId, BlockLease> next, Set<BlockId> deleted, Map<MemberId, Integer> load) {
        for (Machine machine : List.copyOf(newcomers.values())) {
            if (ledger.blockOf(machine.id()) != null || fleet.isGone(machine.id())) {
                newcomers.remove(machine.id());
                continue;
            }
            if (!ledger.types().containsKey(machine.type()) || members().isEmpty()) {
                continue;
            }
            BlockLease home = null;
            Map<BlockId, BlockLease> blocks = new TreeMap<>(ledger.blocks());
            blocks.putAll(next);
            for (BlockLease block : blocks.values()) {
                if (block.type().equals(machine.type()) && block.zone().equals(machine.zone())
                        && block.spot() == machine.spot() && block.machines().size() < BLOCK_SIZE
                        && !deleted.contains(block.id())) {
                    home = block;
                    break;
                }
            }
            if (home != null) {
                next.put(home.id(), home.with(machine));
            } else {
                MemberRecord holder = chooseHolder(machine.zone(), load);
                BlockLease made = BlockLease.first(new BlockId("b-" + machine.id()), holder, machine);
                load.merge(holder.member(), 1, Integer::sum);
                next.put(made.id(), made);
            }
        }
    }

    private PeerReport freshReport(MemberId member) {
        Heard report = heard.get(member);
        MemberRecord record = ledger.members().get(member);
        return report == null || record == null || timers.now().since(report.at()).isMoreThan(REPORT_FRESH) ? null : report.report();
    }

    /** What the holder of a block last said of it, if that is recent and of the present lease. */
    private PeerReport.Block blockView(BlockLease block) {
        PeerReport report = freshReport(block.holder());
        if (report != null) {
            for (PeerReport.Block view : report.blocks()) {
                if (view.id().equals(block.id()) && view.token().equals(block.token())) {
                    return view;
                }
            }
        }
        return null;
    }

    // ---- results ----

    /** Makes completions durable; a job whose last task is done becomes done in the same stroke. */
    private void planResults(TxnPlan plan) {
        Map<JobId, TaskSet> fresh = completions();
        SteadyTime now = timers.now();
        resultsSince.keySet().retainAll(fresh.keySet());
        List<JobId> unfinished = new ArrayList<>();
        fresh.forEach((id, tasks) -> {
            TaskSet all = ledger.doneTasks(id);
            all.addAll(tasks);
            if (all.size() < ledger.job(id).job().tasks()) {
                // Its machine keeps the result until it is durable, so a part of a job may wait for more of it.
                SteadyTime since = resultsSince.computeIfAbsent(id, j -> now);
                if (now.since(since).isMoreThan(GATHER_RESULTS)) {
                    unfinished.add(id);
                }
            } else {
                plan.put(Keys.job(id), JobRecord.done());
            }
        });
        for (JobId id : unfinished) {
            TaskSet all = ledger.doneTasks(id);
            all.addAll(fresh.get(id));
            Set<Integer> chunks = new HashSet<>();
            TaskSet tasks = fresh.get(id);
            for (int i = tasks.next(0); i >= 0; i = tasks.next(i + 1)) {
                chunks.add(i / DoneTasks.CHUNK);
            }
            for (int chunk : chunks) {
                plan.put(Keys.done(id, chunk), DoneTasks.write(all, chunk));
            }
        }
    }

    /** The completions that holders report and that are not durable yet. */
    private Map<JobId, TaskSet> completions() {
        Map<JobId, TaskSet> fresh = new LinkedHashMap<>();
        for (Heard report : heard.values()) {
            for (PeerReport.Block block : report.report().blocks()) {
                for (TaskId task : block.completed()) {
                    JobRecord job = ledger.job(task.job());
                    if (job != null && job.phase() == JobPhase.OPEN && task.index() < job.job().tasks()
                            && !ledger.isDone(task.job(), task.index())) {
                        TaskSet done = fresh.computeIfAbsent(task.job(), id -> new TaskSet());
                        done.add(task.index());
                        // A gang completes as one, also where the machine of one of its tasks is lost right after.
                        for (int i = 0; job.job().shape() == Shape.GANG && i < job.job().tasks(); i++) {
                            done.add(i);
                        }
                    }
                }
            }
        }
        return fresh;
    }

    // ---- allocations ----

    private void planAllocations(TxnPlan plan, Set<BlockId> leased) {
        Map<JobId, TaskSet> completed = completions();
        Map<BlockId, Map<JobId, TaskSet>> held = new TreeMap<>();
        Map<BlockId, Set<TaskId>> released = new HashMap<>();
        Set<BlockId> dirty = new HashSet<>();
        for (BlockId id : ledger.allocatedBlocks()) {
            Set<TaskId> back = released(id);
            released.put(id, back);
            held.put(id, stillHeld(id, dirty));
            if (!back.isEmpty()) {
                dirty.add(id);
            }
        }
        List<Admission.Block> blocks = new ArrayList<>();
        Map<BlockId, List<Reserve>> reserves = new HashMap<>();
        Map<String, Resources> teamUse = new HashMap<>();
        Map<JobId, Map<String, Integer>> perZone = new HashMap<>();
        Map<JobId, TaskSet> out = new HashMap<>();
        held.forEach((id, jobs) -> {
            BlockLease lease = ledger.blocks().get(id);
            jobs.forEach((jobId, tasks) -> {
                Job job = ledger.job(jobId).job();
                // All of it counts against the team's limit, completed or not: a completion that is lost with its holder
                // and its machine before it is durable is run again under this allocation.
                teamUse.merge(job.team(), job.each().times(tasks.size()), Resources::plus);
                out.computeIfAbsent(jobId, j -> new TaskSet()).addAll(tasks);
                if (lease != null) {
                    perZone.computeIfAbsent(jobId, j -> new TreeMap<>()).merge(lease.zone(), tasks.size(), Integer::sum);
                }
            });
        });
        for (BlockLease lease : ledger.blocks().values()) {
            if (!leased.contains(lease.id())) {
                Admission.Block block = admissionBlock(lease);
                held.getOrDefault(lease.id(), Map.of()).forEach((id, tasks) ->
                        block.count(ledger.job(id).job(), stillRunning(tasks, completed.get(id))));
                blocks.add(block);
                reserves.put(lease.id(), foresight.of(lease.id(), timers.now()));
            }
        }
        List<Admission.Demand> demands = demands(out, perZone);
        Admission admission = new Admission(blocks, settings.teams(), teamUse, reserves, MOST_TASKS_IN_BLOCK);
        fleet.unmet(admission.run(demands));
        for (Admission.Block block : blocks) {
            if (block.admitted().isEmpty() && !dirty.contains(block.id())) {
                continue;
            }
            Map<JobId, TaskSet> next = new LinkedHashMap<>(held.getOrDefault(block.id(), Map.of()));
            for (TaskId task : released.getOrDefault(block.id(), Set.of())) {
                next.computeIfPresent(task.job(), (id, tasks) -> without(tasks, task.index()));
            }
            block.admitted().forEach((job, tasks) -> {
                TaskSet all = next.containsKey(job) ? next.get(job).copy() : new TaskSet();
                all.addAll(tasks);
                next.put(job, all);
            });
            Map<String, Object> value = Allocation.write(next);
            if (plan.fits(value)) {
                plan.put(Keys.allocation(block.id()), value);
            }
        }
    }

    /** How many of a block's tasks still take room: a completed one has exited, durable or not. */
    private static int stillRunning(TaskSet tasks, TaskSet completed) {
        int count = tasks.size();
        for (int i = completed == null ? -1 : completed.next(0); i >= 0; i = completed.next(i + 1)) {
            count -= tasks.has(i) ? 1 : 0;
        }
        return count;
    }

    private static TaskSet without(TaskSet tasks, int index) {
        TaskSet fewer = tasks.copy();
        fewer.remove(index);
        return fewer;
    }

    /**
     * What a holder gives back, of the allocation as it stands: a late report must not take away what the block has
     * been given again since.
     */
    private Set<TaskId> released(BlockId id) {
        BlockLease lease = ledger.blocks().get(id);
        PeerReport.Block view = lease == null ? null : blockView(lease);
        return view != null && view.allocation().equals(ledger.allocation(id).version())
                ? new HashSet<>(view.released()) : Set.of();
    }

    /**
     * The tasks of a block that are not done; a block with many others is worth writing anew. What is given back counts
     * until the allocation without it is durable: only the next plan may give it to another block, for this one's write
     * may not find room in the transaction.
     */
    private Map<JobId, TaskSet> stillHeld(BlockId id, Set<BlockId> dirty) {
        Map<JobId, TaskSet> held = new LinkedHashMap<>();
        int stale = 0;
        for (Map.Entry<JobId, TaskSet> entry : ledger.allocation(id).tasks().entrySet()) {
            JobRecord job = ledger.job(entry.getKey());
            TaskSet tasks = entry.getValue();
            for (int i = tasks.next(0); i >= 0; i = tasks.next(i + 1)) {
                if (job == null || job.job() == null || ledger.isDone(job.id(), i)) {
                    stale++;
                } else {
                    held.computeIfAbsent(job.id(), j -> new TaskSet()).add(i);
                }
            }
        }
        if (stale > 40) {
            dirty.add(id);
        }
        return held;
    }

    private Admission.Block admissionBlock(BlockLease lease) {
        MachineType type = ledger.types().get(lease.type());
        PeerReport.Block view = blockView(lease);
        int open = 0;
        Set<String> images = new HashSet<>();
        if (view != null) {
            for (PeerReport.MachineState machine : view.machines()) {
                if (machine.fenced() && !machine.notice() && !machine.sick() && !lease.leaving().contains(machine.id())
                        && !machine.silent().isMoreThan(settings.workers().report().times(2).plus(Span.ofSeconds(2)))) {
                    open++;
                    images.addAll(machine.images());
                }
            }
        }
        Resources capacity = type == null ? Resources.NONE : type.capacity().times(open);
        return new Admission.Block(lease.id(), lease.type(), lease.zone(), lease.spot(), capacity, open, images);
    }

    private List<Admission.Demand> demands(Map<JobId, TaskSet> out, Map<JobId, Map<String, Integer>> perZone) {
        List<Admission.Demand> demands = new ArrayList<>();
        Map<String, Resources> guaranteed = new HashMap<>();
        for (JobRecord record : ledger.openJobs()) {
            Job job = record.job();
            TaskSet done = ledger.doneTasks(job.id());
            Team team = settings.teams().get(job.team());
            if (team == null) {
                continue;
            }
            Resources sum = guaranteed.getOrDefault(job.team(), Resources.NONE)
                    .plus(job.each().times(job.tasks() - done.size()));
            boolean within = sum.fitsIn(team.guarantee());
            guaranteed.put(job.team(), sum);
            TaskSet pool = new TaskSet();
            TaskSet gone = out.getOrDefault(job.id(), done);
            for (int i = 0; i < job.tasks(); i++) {
                if (!done.has(i) && !gone.has(i)) {
                    pool.add(i);
                }
            }
            if (!pool.isEmpty()) {
                demands.add(new Admission.Demand(job, record.version(), dueS(record), within, pool,
                        perZone.getOrDefault(job.id(), Map.of())));
            }
        }
        return demands;
    }

    /** Seconds until a job should be over, by its own deadline or by what is expected of its class. */
    private double dueS(JobRecord record) {
        double age = (clockMs.getAsLong() - record.acceptedMs()) / 1000.0;
        if (record.job().deadline() != null) {
            return record.job().deadline().seconds() - age;
        }
        double due = NO_DEADLINE_S - age;
        for (Settings.Objective objective : settings.objectives()) {
            if (record.job().jobClass().equals(objective.jobClass()) && objective.within() != null) {
                due = Math.min(due, objective.within().seconds() - age);
            }
        }
        return due;
    }

    private Fleet.View fleetView() {
        Map<MachineId, PeerReport.MachineState> states = new HashMap<>();
        Set<MachineId> strays = new HashSet<>();
        for (BlockLease block : ledger.blocks().values()) {
            PeerReport.Block view = blockView(block);
            if (view != null) {
                view.machines().forEach(machine -> states.put(machine.id(), machine));
            }
        }
        for (MemberId member : ledger.members().keySet()) {
            PeerReport report = freshReport(member);
            if (report != null) {
                strays.addAll(report.strays());
            }
        }
        return new Fleet.View(states, strays);
    }
}
