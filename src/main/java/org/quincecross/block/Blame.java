package org.quincecross.block;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;

/** Tells sick machines from bad jobs, by what has failed where in a block. */
final class Blame {
    /** A job that has failed on so many machines and run on none is bad. */
    private static final int BAD_AFTER = 3;
    private static final int SICK_AT = 2;

    private final Map<JobId, Set<MachineId>> failedOn = new HashMap<>();
    private final Set<JobId> succeeded = new HashSet<>();

    void succeeded(JobId job) {
        succeeded.add(job);
    }

    /** The machines on which a job has failed. */
    Set<MachineId> failedOn(JobId job) {
        return failedOn.getOrDefault(job, Set.of());
    }

    /**
     * A task of a job has failed on a machine. Says whether the machine is to be called sick: when several jobs fail
     * there and none succeeds, or one that runs well elsewhere; a job that fails wherever it is tried says nothing
     * about the machines.
     */
    boolean failed(Session session, JobId job) {
        failedOn.computeIfAbsent(job, j -> new HashSet<>()).add(session.machine().id());
        session.failures().merge(job, 1, Integer::sum);
        int blame = 0;
        for (Map.Entry<JobId, Integer> failed : session.failures().entrySet()) {
            boolean runsElsewhere = succeeded.contains(failed.getKey());
            boolean isBad = failedOn.get(failed.getKey()).size() >= BAD_AFTER && !runsElsewhere;
            if (!isBad) {
                blame += runsElsewhere ? Math.min(SICK_AT, failed.getValue()) : 1;
            }
        }
        return blame >= SICK_AT && !session.isSick();
    }
}
