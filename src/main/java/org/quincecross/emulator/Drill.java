package org.quincecross.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.Shape;
import org.quincecross.wire.Json;

/** Something that fails on a site that is tried, and how long it takes until all is as it was. */
public final class Drill {
    /** What fails. */
    public enum Kind {
        /** All controllers are killed and started again at once. */
        RESTART,
        /** The controller of one zone stands still, and its workers hang, for longer than leases last. */
        ZONE,
        /** The state service refuses everybody for a while. */
        STATE,
        /** Half of the machines are gone without notice. */
        WORKERS
    }

    /** Where the drill stands. */
    enum Phase { WAITS_FOR_REPLICAS, TROUBLE, RECOVERY, OVER, FAILED }

    private static final double LOOK_S = 0.1;
    private static final double STATE_OUT_S = 12;
    private static final double LONGER_THAN_LEASE = 1.5;
    private static final double PREPARED_WITHIN_S = 90;
    private static final double RECOVERED_WITHIN_S = 150;

    private final Kind kind;
    private final Surroundings around;
    private final List<ControllerProcess> controllers;
    private final Map<String, Object> result;
    private Phase phase = Phase.WAITS_FOR_REPLICAS;
    private double since;
    private double failedAt;
    private double notBefore;
    private int acceptedBefore;

    Drill(Kind kind, Surroundings around, List<ControllerProcess> controllers) {
        this.kind = kind;
        this.around = around;
        this.controllers = controllers;
        this.result = Json.object("kind", kind.toString().toLowerCase(java.util.Locale.ROOT));
    }

    boolean isOver() {
        return phase == Phase.OVER;
    }

    Phase phase() {
        return phase;
    }

    /** What was measured, in seconds since the trouble began. */
    Map<String, Object> result() {
        result.put("phase", phase.toString().toLowerCase(java.util.Locale.ROOT));
        return result;
    }

    /** The one place where the drill changes its phase. */
    private void enter(Phase next) {
        phase = next;
        since = around.clock().seconds();
    }

    /** Begins once the site's replicas run, and not before so many seconds from now. */
    void begin(double afterS) {
        notBefore = around.clock().seconds() + afterS;
        enter(Phase.WAITS_FOR_REPLICAS);
        around.clock().after(LOOK_S, this::look);
    }

    private void look() {
        double now = around.clock().seconds();
        switch (phase) {
            case WAITS_FOR_REPLICAS -> {
                if (now >= notBefore && replicasMissing() == 0 && allAccepted()) {
                    result.put("replicas", replicas());
                    result.put("machines", around.cloud().workers().size());
                    acceptedBefore = around.users().acceptedAfter().size();
                    failedAt = now;
                    enter(Phase.TROUBLE);
                    fail();
                } else if (now - since > PREPARED_WITHIN_S) {
                    result.put("why", replicasMissing() + " replicas never ran");
                    enter(Phase.FAILED);
                }
            }
            case TROUBLE -> { }
            case RECOVERY -> {
                measure(now);
                if (result.containsKey("all_replicas_s") && result.containsKey("all_workers_s")) {
                    enter(Phase.OVER);
                } else if (now - since > RECOVERED_WITHIN_S) {
                    result.put("why", replicasMissing() + " replicas do not run, " + workersUnanswered() + " workers were not answered");
                    enter(Phase.FAILED);
                }
            }
            default -> throw new IllegalStateException(phase.toString());
        }
        if (phase != Phase.OVER && phase != Phase.FAILED) {
            around.clock().after(LOOK_S, this::look);
        }
    }

    private void fail() {
        try {
            switch (kind) {
                case RESTART -> {
                    controllers.forEach(ControllerProcess::kill);
                    failedAt = around.clock().seconds();
                    for (ControllerProcess controller : controllers) {
                        controller.start();
                    }
                    enter(Phase.RECOVERY);
                }
                case ZONE -> {
                    double length = LONGER_THAN_LEASE * around.site().workers().lease().seconds();
                    String zone = around.site().nodeZones().get(0);
                    controllers.get(0).freeze(true);
                    around.cloud().workers().stream().filter(worker -> worker.machine().zone().equals(zone))
                            .forEach(worker -> worker.hang(length));
                    end(length, () -> controllers.get(0).freeze(false));
                }
                case STATE -> {
                    around.state().outage(STATE_OUT_S);
                    end(STATE_OUT_S, () -> { });
                }
                case WORKERS -> {
                    List<MachineId> machines = new ArrayList<>(around.cloud().machines());
                    for (int i = 0; i < machines.size(); i += 2) {
                        around.cloud().take(machines.get(i), 0);
                    }
                    result.put("machines_lost", (machines.size() + 1) / 2);
                    enter(Phase.RECOVERY);
                }
                default -> throw new IllegalStateException(kind.toString());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Something that ends a trouble. */
    private interface End {
        void run() throws IOException;
    }

    private void end(double afterS, End end) {
        around.clock().after(afterS, () -> {
            try {
                end.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            result.put("trouble_s", afterS);
            enter(Phase.RECOVERY);
        });
    }

    private void measure(double now) {
        double began = kind == Kind.RESTART ? failedAt : since;
        List<Worker> workers = around.cloud().workers();
        if (workers.stream().anyMatch(worker -> worker.answeredFrom() > began)) {
            result.putIfAbsent("first_report_answered_s", TrySite.round(now - failedAt));
        }
        if (workersUnanswered() == 0) {
            result.putIfAbsent("all_workers_s", TrySite.round(now - failedAt));
        }
        if (replicasMissing() == 0 && result.containsKey("all_workers_s")) {
            result.putIfAbsent("all_replicas_s", TrySite.round(now - failedAt));
        }
        if (around.users().acceptedAfter().size() > acceptedBefore) {
            result.putIfAbsent("first_job_accepted_s", TrySite.round(now - failedAt));
        }
    }

    private long workersUnanswered() {
        double began = kind == Kind.RESTART ? failedAt : since;
        return around.cloud().workers().stream().filter(worker -> worker.answeredFrom() <= began).count();
    }

    private boolean allAccepted() {
        return around.users().submitted() > 0 && around.users().acceptedAfter().size() >= around.users().submitted();
    }

    private Set<Job> services() {
        Set<Job> services = new HashSet<>();
        for (JobId id : around.users().told().keySet()) {
            Job job = around.job(id);
            if (job.shape() == Shape.SERVICE && around.rules().cancelledAt(id) == null) {
                services.add(job);
            }
        }
        return services;
    }

    private int replicas() {
        return services().stream().mapToInt(Job::tasks).sum();
    }

    private int replicasMissing() {
        return services().stream().mapToInt(job -> job.tasks() - around.rules().onMachines(job.id())).sum();
    }
}
