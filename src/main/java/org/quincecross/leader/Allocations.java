package org.quincecross.leader;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.quincecross.model.BlockId;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskSet;
import org.quincecross.rollout.Feature;
import org.quincecross.state.Allocation;
import org.quincecross.state.AllocationChange;
import org.quincecross.state.Keys;
import org.quincecross.state.Ledger;
import org.quincecross.wire.Json;

/** Writes which tasks a block has: whole, or from level 2 on what has changed since it was last written whole. */
final class Allocations {
    /** A change larger than this part of the whole record is not worth having beside it. */
    private static final double LARGEST_CHANGE = 0.5;

    private final Ledger ledger;
    private final BooleanSupplier wholeOnly;

    /** @param wholeOnly whether no changes are to be written, for a level is to come that does not have them */
    Allocations(Ledger ledger, BooleanSupplier wholeOnly) {
        this.ledger = ledger;
        this.wholeOnly = wholeOnly;
    }

    /** Adds the write to a transaction; false if there is no room for it. */
    boolean put(TxnPlan plan, BlockId id, Map<JobId, TaskSet> next) {
        Map<String, Object> whole = Allocation.write(next);
        String changeKey = Keys.changedAllocation(id);
        if (!wholeOnly.getAsBoolean() && Feature.ALLOCATION_CHANGES.isIn(ledger.level().level()) && ledger.wholeAllocation(id).version().number() != 0) {
            Map<String, Object> change = AllocationChange.write(ledger.wholeAllocation(id), next);
            if (Json.write(change).length < LARGEST_CHANGE * Json.write(whole).length) {
                plan.guard(Keys.allocation(id)); // a change of another whole record says nothing
                return plan.put(changeKey, change);
            }
        }
        return putWhole(plan, id, next);
    }

    /** Writes it whole: at any level it can be read so. */
    boolean putWhole(TxnPlan plan, BlockId id, Map<JobId, TaskSet> next) {
        String changeKey = Keys.changedAllocation(id);
        Map<String, Object> whole = Allocation.write(next);
        boolean hasChange = ledger.version(changeKey).number() != 0;
        if (hasChange && plan.room() < 2) {
            return false;
        }
        return plan.put(Keys.allocation(id), whole) && (!hasChange || plan.delete(changeKey));
    }

    /** The records that there are of a block's tasks: whoever deletes the block deletes them with it. */
    List<String> keys(BlockId id) {
        return Stream.of(Keys.allocation(id), Keys.changedAllocation(id)).filter(key -> ledger.version(key).number() != 0).toList();
    }
}
