package org.quincecross.api;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.block.BlockHolder;
import org.quincecross.block.Holdings;
import org.quincecross.model.BlockId;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MachineId;
import org.quincecross.model.Revision;
import org.quincecross.model.Span;
import org.quincecross.model.SteadyTime;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerReport;
import org.quincecross.peer.PeerViews;
import org.quincecross.state.BlockLease;
import org.quincecross.state.JobRecord;
import org.quincecross.state.Ledger;

/**
 * Decides when users may be told that a job is cancelled. A holder that is cut off goes on for longer than a
 * cancellation has, less a lease; in exchange nobody is told of a cancellation before every holder that has the job's
 * tasks has seen it, with all of its machines fenced, or the difference has passed since it became durable.
 */
final class Cancellations {
    private static final Span LOOK_AGAIN = Span.ofMillis(100);
    private static final Span PATIENCE = Span.ofSeconds(1.2);

    private final Timers timers;
    private final Ledger ledger;
    private final Holdings holdings;
    private final PeerViews views;
    private final Span delay;
    private final Map<JobId, SteadyTime> untold = new HashMap<>();
    /** Cancellations up to here have been taken note of. */
    private Revision noted = Revision.NONE;

    /** @param delay how long after it became durable a cancellation may be told in any case */
    Cancellations(Timers timers, Ledger ledger, Holdings holdings, PeerViews views, Span delay) {
        this.timers = timers;
        this.ledger = ledger;
        this.holdings = holdings;
        this.views = views;
        this.delay = delay;
    }

    /**
     * Takes note of new cancellations. A record says when it was decided on, and it may have become durable long after that: a
     * transaction without an answer is carried out late. So the delay runs from when the record was first seen here, and
     * what was there when the records were first read counts as new while any block has tasks of it
     * (docs/incidents/cancelled-late.md).
     */
    void ledgerChanged(Ledger.Changes changes) {
        for (JobId id : changes.reloaded() ? ledger.jobs() : changes.jobs()) {
            JobRecord record = ledger.job(id);
            if (record != null && record.phase() == JobPhase.CANCELLED && record.version().isAfter(noted)
                    && !ledger.blocksOf(id).isEmpty()) {
                untold.putIfAbsent(id, timers.now());
            }
        }
        noted = ledger.revision();
    }

    /** Says, soon, whether a user may be told what the record says. */
    void whenSafe(JobRecord record, Consumer<Boolean> safe) {
        whenSafe(record, timers.now().plus(PATIENCE), safe);
    }

    private void whenSafe(JobRecord record, SteadyTime until, Consumer<Boolean> safe) {
        if (record.phase() != JobPhase.CANCELLED || mayTell(record)) {
            safe.accept(true);
        } else if (until.isBefore(timers.now())) {
            safe.accept(false);
        } else {
            timers.after(LOOK_AGAIN, () -> whenSafe(record, until, safe));
        }
    }

    private boolean mayTell(JobRecord record) {
        SteadyTime since = untold.get(record.id());
        if (since == null) {
            return true;
        }
        if (timers.now().since(since).isMoreThan(delay) || allHoldersHaveSeen(record)) {
            untold.remove(record.id());
            return true;
        }
        return false;
    }

    private boolean allHoldersHaveSeen(JobRecord record) {
        for (BlockId id : ledger.allocatedBlocks()) {
            BlockLease lease = ledger.block(id);
            if (lease != null && ledger.allocation(id).tasks().containsKey(record.id()) && !hasSeen(lease, record)) {
                return false;
            }
        }
        return true;
    }

    private boolean hasSeen(BlockLease lease, JobRecord record) {
        BlockHolder own = holdings.get(lease.id());
        if (own != null) {
            return own.hasAllFenced();
        }
        PeerViews.View view = views.of(lease.holder());
        PeerViews.BlockView block = view == null ? null : view.blocks().get(lease.id());
        if (block == null || !block.token().equals(lease.token()) || record.version().isAfter(view.ledger())) {
            return false;
        }
        for (MachineId machine : lease.machines().keySet()) {
            PeerReport.MachineState state = block.machines().get(machine);
            if (state == null || !state.fenced()) {
                return false;
            }
        }
        return true;
    }
}
