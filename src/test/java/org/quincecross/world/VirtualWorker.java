package org.quincecross.world;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Job;
import org.quincecross.model.Machine;
import org.quincecross.model.Resources;
import org.quincecross.model.Shape;
import org.quincecross.model.Span;
import org.quincecross.model.TaskId;
import org.quincecross.net.HttpOutcome;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Fields;
import org.quincecross.wire.Json;

/** A stand-in for a worker, as its protocol describes it. */
final class VirtualWorker implements VirtualNet.Host {
    private static final double FETCH_S = 0.8;
    private static final double NO_ANSWER_S = 4;

    private static final class Task {
        private final long attempt;
        private String state;
        private String cause;

        Task(long attempt, String state) {
            this.attempt = attempt;
            this.state = state;
        }

        boolean isOver() {
            return state.equals("exited");
        }
    }

    private final World world;
    private final Machine machine;
    private final Resources capacity;
    private final VirtualTime.Process process = new VirtualTime.Process();
    private final Map<TaskId, Task> tasks = new TreeMap<>();
    private final Set<String> images = new HashSet<>();
    private long session = 1;
    private long order;
    private long token;
    private double leaseFrom;
    private int node;
    private boolean reporting;
    private double lastBeat = -1;
    private double tokenTold = -100;

    VirtualWorker(World world, Machine machine, Resources capacity, int firstNode) {
        this.world = world;
        this.machine = machine;
        this.capacity = capacity;
        this.node = firstNode;
        this.leaseFrom = world.time().seconds();
        beatLater(0.1);
        watchLease();
    }

    Machine machine() {
        return machine;
    }

    void destroy() {
        process.kill();
        dropAll();
    }

    private void dropAll() {
        tasks.keySet().forEach(task -> world.rules().off(task, machine.id()));
        tasks.clear();
    }

    @Override
    public boolean isUp() {
        return process.isAlive();
    }

    // ---- reports ----

    private void after(double seconds, Runnable action) {
        world.time().after(seconds, () -> {
            if (process.isAlive()) {
                action.run();
            }
        });
    }

    private void watchLease() {
        if (world.time().seconds() - leaseFrom > World.LEASE_S) {
            dropAll();
            session++;
            leaseFrom = world.time().seconds();
            beatLater(0.5);
        }
        after(0.1, this::watchLease);
    }

    private void beatLater(double seconds) {
        after(seconds, () -> {
            if (!reporting && world.time().seconds() - lastBeat >= 0.4) {
                beat();
            }
        });
    }

    private void beat() {
        reporting = true;
        lastBeat = world.time().seconds();
        long sentSession = session;
        double sentAt = lastBeat;
        HttpRequest request = HttpRequest.post("/agent/beat", report());
        world.callNode(process, machine.id().text(), node, request, Span.ofSeconds(NO_ANSWER_S), outcome -> {
            reporting = false;
            answered(outcome, sentSession, sentAt);
        });
    }

    private void answered(HttpOutcome outcome, long sentSession, double sentAt) {
        if (outcome.status() == 200 && sentSession == session) {
            try {
                Fields in = Json.parseFields(outcome.response().body());
                long answerToken = in.has("Baton") ? in.unsigned("Baton") : 0;
                if (answerToken >= token) {
                    leaseFrom = Math.max(leaseFrom, sentAt);
                    raise(answerToken);
                    execute(in.objects("Orders"));
                }
            } catch (BadMessage e) {
                throw new IllegalStateException(e);
            }
            beatLater(World.REPORT_S);
        } else if (outcome.status() == 421) {
            int next = world.nodeNamed(new String(outcome.response().body(), java.nio.charset.StandardCharsets.UTF_8));
            boolean known = next >= 0 && next != node;
            node = known ? next : (node + 1) % World.NODES;
            beatLater(known ? 0.4 : 1);
        } else {
            node = (node + 1) % World.NODES;
            beatLater(1);
        }
    }

    private void raise(long seen) {
        if (seen > token) {
            token = seen;
            if (world.time().seconds() - tokenTold > World.LEASE_S / 2) {
                tokenTold = world.time().seconds();
                beatLater(0.5);
            }
        }
    }

    private byte[] report() {
        List<Object> pieces = new ArrayList<>();
        tasks.forEach((id, task) -> {
            Map<String, Object> piece = Json.object("Piece", id.toString(), "Try", task.attempt, "Status", task.state);
            if (task.cause != null) {
                piece.put("Cause", task.cause);
            }
            pieces.add(piece);
        });
        return Json.write(Json.object("Host", machine.id().text(), "Addr", machine.address().toString(), "Hull", machine.type(),
                "Yard", machine.zone(), "Loaners", machine.spot(), "Shift", session, "Tick", ++order, "Baton", token,
                "Pieces", pieces));
    }

    // ---- commands ----

    @Override
    public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
        if (request.path().equals("/status")) {
            reply.accept(HttpResponse.of(200, report()));
            return;
        }
        try {
            Fields in = Json.parseFields(request.body());
            if (in.unsigned("Baton") < token || in.unsigned("Shift") != session) {
                reply.accept(HttpResponse.of(409, report()));
                return;
            }
            raise(in.unsigned("Baton"));
            execute(in.objects("Orders"));
            reply.accept(HttpResponse.of(200, report()));
        } catch (BadMessage e) {
            reply.accept(HttpResponse.of(400));
        }
    }

    private void execute(List<Fields> orders) throws BadMessage {
        for (Fields command : orders) {
            TaskId id = TaskId.parse(command.text("Piece"));
            long attempt = command.unsigned("Try");
            Task task = tasks.get(id);
            boolean same = task != null && task.attempt == attempt;
            switch (command.text("Verb")) {
                case "start" -> {
                    if (!same) {
                        start(id, attempt, task);
                    }
                }
                case "halt" -> {
                    if (same && !task.isOver()) {
                        exit(id, task, "stopped");
                    }
                }
                case "clear" -> {
                    if (same && task.isOver()) {
                        tasks.remove(id);
                    }
                }
                default -> throw new IllegalStateException();
            }
        }
    }

    private void start(TaskId id, long attempt, Task present) {
        if (present != null && !present.isOver()) {
            return; // refused as in_use: the report shows the other attempt
        }
        Task task = new Task(attempt, "pulling");
        tasks.put(id, task);
        Job job = world.job(id.job());
        Resources used = Resources.NONE;
        for (Map.Entry<TaskId, Task> other : new LinkedHashMap<>(tasks).entrySet()) {
            if (!other.getValue().isOver()) {
                used = used.plus(world.job(other.getKey().job()).each());
            }
        }
        if (!used.fitsIn(capacity)) {
            task.state = "exited";
            task.cause = "full";
            return;
        }
        after(images.add(job.image()) ? FETCH_S : 0, () -> {
            if (tasks.get(id) == task && task.state.equals("pulling")) {
                task.state = "running";
                world.rules().on(id, machine);
                beatLater(0.5);
                if (job.shape() != Shape.SERVICE) {
                    after(job.estimate().seconds(), () -> {
                        if (tasks.get(id) == task && !task.isOver()) {
                            if (job.shape() == Shape.GANG) {
                                world.completeGang(job, attempt);
                            } else {
                                complete(id, attempt);
                            }
                        }
                    });
                }
            }
        });
    }

    /** The task, if it is here with this attempt, is done. */
    void complete(TaskId id, long attempt) {
        Task task = tasks.get(id);
        if (task != null && task.attempt == attempt && !task.isOver()) {
            exit(id, task, "done");
        }
        world.rules().completed(id);
    }

    private void exit(TaskId id, Task task, String cause) {
        task.state = "exited";
        task.cause = cause;
        world.rules().off(id, machine.id());
        beatLater(0.5);
    }
}
