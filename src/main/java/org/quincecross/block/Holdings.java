package org.quincecross.block;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.quincecross.model.BlockId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.MemberId;
import org.quincecross.model.Span;
import org.quincecross.peer.PeerReport;
import org.quincecross.state.BlockLease;
import org.quincecross.state.Ledger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The blocks that this controller holds. */
public final class Holdings {
    private static final Logger LOG = LoggerFactory.getLogger(Holdings.class);
    private static final Span TICK = Span.ofMillis(150);

    private final HolderContext context;
    private final MemberId self;
    private final Supplier<Incarnation> life;
    private final Map<BlockId, BlockHolder> holders = new TreeMap<>();

    public Holdings(HolderContext context, MemberId self, Supplier<Incarnation> life) {
        this.context = context;
        this.self = self;
        this.life = life;
    }

    public void start() {
        context.timers().every(TICK, () -> List.copyOf(holders.values()).forEach(BlockHolder::tick));
    }

    public Collection<BlockHolder> all() {
        return holders.values();
    }

    public BlockHolder get(BlockId block) {
        return holders.get(block);
    }

    /** Follows the leases and allocations. */
    public void ledgerChanged(Ledger.Changes changes) {
        Ledger ledger = context.ledger();
        for (BlockId id : List.copyOf(holders.keySet())) {
            BlockLease lease = ledger.blocks().get(id);
            if (lease == null || !lease.holder().equals(self)) {
                LOG.info("block {} is no longer held here", id);
                holders.remove(id);
            }
        }
        for (BlockLease lease : ledger.blocks().values()) {
            if (lease.holder().equals(self)) {
                follow(lease);
            }
        }
        for (BlockHolder holder : holders.values()) {
            if (changes.reloaded() || changes.blocks().contains(holder.id()) || !changes.jobs().isEmpty()) {
                holder.sync();
            }
        }
    }

    private void follow(BlockLease lease) {
        BlockHolder holder = holders.get(lease.id());
        if (holder != null && holder.lease().tenure().equals(lease.tenure())) {
            if (!holder.lease().token().equals(lease.token())) {
                holder.renewed(lease);
            }
        } else if (lease.life().equals(life.get())) {
            // A tenure of this life that has just begun: whatever this process knew of the block is out of date.
            LOG.info("block {} taken over, token {}, {} machines", lease.id(), lease.token(), lease.machines().size());
            holders.put(lease.id(), new BlockHolder(context, lease));
        }
    }

    /** How many tasks of each job run in the blocks held here. */
    public Map<JobId, Integer> running() {
        Map<JobId, Integer> all = new HashMap<>();
        for (BlockHolder holder : holders.values()) {
            holder.running().forEach((job, count) -> all.merge(job, count, Integer::sum));
        }
        return all;
    }

    /** What the other controllers, the leader above all, should know of the blocks held here. */
    public List<PeerReport.Block> reports() {
        List<PeerReport.Block> reports = new ArrayList<>();
        for (BlockHolder holder : holders.values()) {
            List<PeerReport.MachineState> machines = new ArrayList<>();
            for (BlockHolder.MachineView view : holder.machines()) {
                machines.add(new PeerReport.MachineState(view.machine(), view.free(), view.silent(), view.fenced(),
                        view.notice(), view.sick(), view.movable(), view.tasks(), view.queued(), List.copyOf(view.images()),
                        List.copyOf(view.imagesInUse())));
            }
            reports.add(new PeerReport.Block(holder.id(), holder.lease().token(),
                    context.ledger().allocation(holder.id()).version(), holder.completed(), holder.released(),
                    holder.running(), machines));
        }
        return reports;
    }
}
