package org.quincecross.peer;

import java.util.List;
import java.util.Map;
import org.quincecross.model.BlockId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MemberId;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.Span;
import org.quincecross.model.TaskId;
import org.quincecross.model.Token;

/**
 * What a controller tells the others again and again, whole each time: nothing hangs on any one message arriving.
 *
 * @param number rises with every report of a life
 * @param unconfirmed how long ago the sender last heard from the state service
 * @param strays machines of others' blocks that report to the sender
 */
public record PeerReport(
        MemberId member, Incarnation life, long number, Span unconfirmed, List<Block> blocks, List<MachineId> strays) {

    /**
     * A block that the sender holds.
     *
     * @param allocation the version of the allocation that {@code released} speaks of
     * @param completed tasks whose completion is not yet durable
     * @param released tasks that are on no machine and will not be started
     */
    public record Block(BlockId id, Token token, Revision allocation, List<TaskId> completed, List<TaskId> released,
            Map<JobId, Integer> running, List<MachineState> machines) {
    }

    /**
     * A machine of a block.
     *
     * @param images those that it has or is fetching; {@code imagesInUse}: those that its tasks need
     * @param movable whether all that runs there are services that have been up for a while
     */
    public record MachineState(MachineId id, Resources free, Span silent, boolean fenced, boolean notice, boolean sick,
            boolean movable, int tasks, int queued, List<String> images, List<String> imagesInUse) {
    }
}
