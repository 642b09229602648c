package org.quincecross.block;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.Span;
import org.quincecross.model.SteadyTime;

/** Tells sick machines from bad jobs, by what has failed where in a block. */
final class Blame {
    /** A job that has failed on so many machines and run on none is bad. */
    private static final int BAD_AFTER = 3;
    private static final int SICK_AT = 2;
    /**
     * A machine that has failed one job so often, and completed nothing since: where nothing else comes to it, as where a
     * gang needs all machines of a block, no other job will ever tell.
     */
    private static final int ALWAYS_AT = 5;
    private static final double DECLINED_S = 30;
    private static final double MOST_DECLINED_S = 600;

    private final Map<JobId, Set<MachineId>> failedOn = new HashMap<>();
    private final Set<JobId> succeeded = new HashSet<>();
    private final Map<JobId, Declined> declined = new HashMap<>();

    /** A job that is not wanted before {@code until}; {@code times}: how often that has been said. */
    private record Declined(SteadyTime until, int times) {
    }

    void succeeded(JobId job) {
        succeeded.add(job);
    }

    /** A job has failed on all machines there are: each time it does, it is kept away for longer. */
    void decline(JobId job, SteadyTime now) {
        int times = declined.containsKey(job) ? declined.get(job).times() + 1 : 1;
        double seconds = Math.min(MOST_DECLINED_S, DECLINED_S * Math.pow(2, Math.min(times, 10) - 1));
        declined.put(job, new Declined(now.plus(Span.ofSeconds(seconds)), times));
    }

    /** The jobs that are kept away. */
    Set<JobId> declined(SteadyTime now) {
        Set<JobId> jobs = new HashSet<>();
        declined.forEach((job, until) -> {
            if (now.isBefore(until.until())) {
                jobs.add(job);
            }
        });
        return jobs;
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
                boolean always = failed.getValue() >= ALWAYS_AT;
                blame += runsElsewhere ? Math.min(SICK_AT, failed.getValue()) : always ? SICK_AT : 1;
            }
        }
        return blame >= SICK_AT && !session.isSick();
    }
}
