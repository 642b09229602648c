package org.quincecross.world;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
    private static final double FAILS_AFTER_S = 0.3;

    /**
     * What a machine is like.
     *
     * @param speed 1 is nominal
     * @param sick whether every task that starts there fails
     * @param clock how fast its steady clock runs
     */
    record Traits(double speed, boolean sick, double clock) {
        static final Traits ORDINARY = new Traits(1, false, 1);
    }

    /** A start: the worker tells attempts of a task apart and keeps each until it is cleared. */
    private record Key(TaskId task, long attempt) {
    }

    private static final class Task {
        private String state = "pulling";
        private String cause;
        private boolean saved;
        private double runningFrom;
        private boolean ran;

        boolean isOver() {
            return state.equals("exited");
        }
    }

    private final World world;
    private final Machine machine;
    private final Resources capacity;
    private final Traits traits;
    private final VirtualTime.Process process = new VirtualTime.Process();
    private final Map<Key, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long session = 1;
    private long order;
    private long token;
    private double leaseFrom;
    private double takenAt = Double.NaN;
    private int node;
    private boolean reporting;
    private double lastBeat = -1;
    private double tokenTold = -100;

    VirtualWorker(World world, Machine machine, Resources capacity, Traits traits, int firstNode) {
        this.world = world;
        this.machine = machine;
        this.capacity = capacity;
        this.traits = traits;
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

    /** The cloud gives notice that it takes the machine back. */
    void notice(double seconds) {
        takenAt = world.time().seconds() + seconds;
        beatLater(0.5);
    }

    private void dropAll() {
        for (Map.Entry<Key, Task> entry : Map.copyOf(tasks).entrySet()) {
            keepCheckpoint(entry.getKey().task(), entry.getValue());
            world.rules().off(entry.getKey().task(), machine.id());
            tasks.remove(entry.getKey());
        }
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
        if ((world.time().seconds() - leaseFrom) * traits.clock() > World.LEASE_S) {
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
            int next = world.nodeNamed(new String(outcome.response().body(), StandardCharsets.UTF_8));
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
        tasks.forEach((key, task) -> {
            Map<String, Object> piece = Json.object("Piece", key.task().toString(), "Try", key.attempt(), "Status", task.state);
            if (task.cause != null) {
                piece.put("Cause", task.cause);
                piece.put("Stored", task.saved);
            }
            pieces.add(piece);
        });
        Map<String, Object> out = Json.object("Host", machine.id().text(), "Addr", machine.address().toString(), "Hull",
                machine.type(), "Yard", machine.zone(), "Loaners", machine.spot(), "Shift", session, "Tick", ++order, "Baton",
                token, "Pieces", pieces);
        if (!Double.isNaN(takenAt)) {
            out.put("RecallS", Math.max(0, takenAt - world.time().seconds()));
        }
        return Json.write(out);
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
            Key key = new Key(TaskId.parse(command.text("Piece")), command.unsigned("Try"));
            Task task = tasks.get(key);
            switch (command.text("Verb")) {
                case "start" -> {
                    if (task == null) {
                        start(key);
                    }
                }
                case "halt" -> {
                    if (task != null && !task.isOver()) {
                        halt(key, task, command.amount("WindDownS"));
                    }
                }
                case "clear" -> {
                    if (task != null && task.isOver()) {
                        tasks.remove(key);
                    }
                }
                default -> throw new IllegalStateException();
            }
        }
    }

    private void start(Key key) {
        Job job = world.job(key.task().job());
        boolean inUse = false;
        Resources used = job.each();
        for (Map.Entry<Key, Task> other : tasks.entrySet()) {
            if (!other.getValue().isOver()) {
                used = used.plus(world.job(other.getKey().task().job()).each());
                inUse |= other.getKey().task().equals(key.task());
            }
        }
        Task task = new Task();
        tasks.put(key, task);
        if (inUse || !used.fitsIn(capacity)) {
            task.state = "exited";
            task.cause = inUse ? "in_use" : "full";
            return;
        }
        after(images.add(job.image()) ? FETCH_S : 0, () -> {
            if (tasks.get(key) == task && task.state.equals("pulling")) {
                world.rules().on(key.task(), machine);
                beatLater(0.5);
                if (job.shape() == Shape.GANG) {
                    gather(key, task, job);
                } else {
                    run(key, task, job, world.secondsLeft(key.task()) / traits.speed());
                }
            }
        });
    }

    private void gather(Key key, Task task, Job job) {
        task.state = "gathering";
        after(World.GANG_WAIT_S, () -> {
            if (tasks.get(key) == task && task.state.equals("gathering")) {
                exit(key, task, "alone");
            }
        });
        world.gangGathers(job, key.attempt());
    }

    private void run(Key key, Task task, Job job, double seconds) {
        task.state = "running";
        task.runningFrom = world.time().seconds();
        task.ran = true;
        beatLater(0.5);
        if (traits.sick()) {
            after(FAILS_AFTER_S, () -> {
                if (tasks.get(key) == task && !task.isOver()) {
                    exit(key, task, "error");
                }
            });
        } else if (job.shape() != Shape.SERVICE) {
            after(seconds, () -> {
                if (tasks.get(key) == task && task.state.equals("running")) {
                    if (job.shape() == Shape.GANG) {
                        world.completeGang(job, key.attempt());
                    } else {
                        complete(key.task(), key.attempt());
                    }
                }
            });
        }
    }

    // ---- gangs ----

    /** Whether a task of a gang waits here for the others of its attempt. */
    boolean gathers(TaskId id, long attempt) {
        Task task = tasks.get(new Key(id, attempt));
        return task != null && task.state.equals("gathering");
    }

    double speed() {
        return traits.speed();
    }

    /** All tasks of the attempt have their images: they start together, and run for so long. */
    void gangStarts(Job job, TaskId id, long attempt, double seconds) {
        Key key = new Key(id, attempt);
        Task task = tasks.get(key);
        if (task != null && task.state.equals("gathering")) {
            run(key, task, job, seconds);
        }
    }

    /** Another task of the gang is gone: this one notices after a while. */
    void gangLost(TaskId id, long attempt) {
        Key key = new Key(id, attempt);
        Task task = tasks.get(key);
        if (task != null && task.state.equals("running")) {
            after(World.GANG_PEER_S, () -> {
                if (tasks.get(key) == task && !task.isOver()) {
                    exit(key, task, "peers");
                }
            });
        }
    }

    // ---- ends ----

    private void halt(Key key, Task task, double windDown) {
        Job job = world.job(key.task().job());
        if (task.state.equals("running") && job.saves() && windDown >= job.saveTime().seconds()) {
            task.state = "saving";
            after(job.saveTime().seconds(), () -> {
                if (tasks.get(key) == task && task.state.equals("saving")) {
                    task.saved = true;
                    world.save(key.task(), progress(task));
                    exit(key, task, "stopped");
                }
            });
        } else if (!task.state.equals("saving") || windDown == 0) {
            exit(key, task, "stopped");
        }
    }

    private double progress(Task task) {
        return task.ran ? (world.time().seconds() - task.runningFrom) * traits.speed() : 0;
    }

    private void keepCheckpoint(TaskId id, Task task) {
        double every = world.job(id.job()).checkpointEvery().seconds();
        if (every > 0 && !task.isOver()) {
            world.save(id, Math.floor(progress(task) / every) * every);
        }
    }

    /** The task, if it is here with this attempt, is done. */
    void complete(TaskId id, long attempt) {
        Key key = new Key(id, attempt);
        Task task = tasks.get(key);
        if (task != null && !task.isOver()) {
            exit(key, task, "done");
            world.rules().completed(id);
        }
    }

    private void exit(Key key, Task task, String cause) {
        if (!cause.equals("done") && !task.saved) {
            keepCheckpoint(key.task(), task);
        }
        boolean ran = task.ran;
        task.state = "exited";
        task.cause = cause;
        world.rules().off(key.task(), machine.id());
        beatLater(0.5);
        Job job = world.job(key.task().job());
        if (job.shape() == Shape.GANG && ran && !cause.equals("done") && !cause.equals("peers")) {
            world.gangLost(job, key.attempt());
        }
    }
}
