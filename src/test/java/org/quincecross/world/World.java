package org.quincecross.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.quincecross.api.Controller;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MemberId;
import org.quincecross.model.Resources;
import org.quincecross.model.Span;
import org.quincecross.model.TaskId;
import org.quincecross.model.Team;
import org.quincecross.net.HttpOutcome;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Fields;
import org.quincecross.wire.Json;
import org.quincecross.wire.Settings;

/** A whole deployment in virtual time: controllers as they are, everything around them a stand-in. */
final class World {
    static final int NODES = 3;
    static final double LEASE_S = 11;
    static final double REPORT_S = 0.8;
    static final double CANCEL_S = 36;
    static final double GANG_WAIT_S = 35;
    static final double GANG_PEER_S = 8;
    private static final double RESTART_S = 4;
    private static final Endpoint STATE = new Endpoint("10.2.0.1", 2379);
    private static final Endpoint CLOUD = new Endpoint("10.2.0.2", 8443);

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final VirtualNet net;
    private final VirtualState state;
    private final VirtualCloud cloud;
    private final Users users;
    private final Rules rules = new Rules(this);
    private final Map<String, Team> teams = Map.of(
            "red", new Team("red", new Resources(16, 0, 1e9), new Resources(40, Double.POSITIVE_INFINITY, 1e9)),
            "blue", new Team("blue", new Resources(8, 0, 1e9), new Resources(24, Double.POSITIVE_INFINITY, 1e9)));
    private final Map<TaskId, Double> saved = new HashMap<>();
    private final VirtualTime.Process[] processes = new VirtualTime.Process[NODES];
    private final Controller[] controllers = new Controller[NODES];

    World(long seed) {
        random = new Random(seed);
        net = new VirtualNet(time, random);
        state = new VirtualState(time, random);
        users = new Users(this, random);
        net.host(STATE, "state", state);
        for (int node = 0; node < NODES; node++) {
            hostNode(node);
            startNode(node);
        }
        cloud = new VirtualCloud(this, random);
        net.host(CLOUD, "cloud", cloud);
        time.after(1, this::checkRules);
    }

    VirtualTime time() {
        return time;
    }

    Rules rules() {
        return rules;
    }

    Random random() {
        return random;
    }

    VirtualNet net() {
        return net;
    }

    VirtualState state() {
        return state;
    }

    VirtualCloud cloud() {
        return cloud;
    }

    Users users() {
        return users;
    }

    Job job(JobId id) {
        return users.job(id);
    }

    Team team(String name) {
        return teams.get(name);
    }

    private void checkRules() {
        rules.check();
        time.after(1, this::checkRules);
    }

    // ---- controllers ----

    static String nodeName(int node) {
        return "n" + node;
    }

    private static Endpoint listen(int node) {
        return new Endpoint("10.0.0." + (node + 1), 8080);
    }

    int nodeNamed(String redirect) {
        for (int node = 0; node < NODES; node++) {
            if (redirect.contains("\"" + nodeName(node) + "\"")) {
                return node;
            }
        }
        return -1;
    }

    private Settings settings(int node) {
        List<Settings.Sibling> siblings = new ArrayList<>();
        for (int other = 0; other < NODES; other++) {
            if (other != node) {
                siblings.add(new Settings.Sibling(new MemberId(nodeName(other)), VirtualCloud.ZONES.get(other % 2), listen(other)));
            }
        }
        return new Settings(new MemberId(nodeName(node)), VirtualCloud.ZONES.get(node % 2), listen(node), listen(node), siblings, CLOUD, STATE,
                VirtualCloud.ZONES, teams, List.of(), new Settings.Workers(Span.ofSeconds(REPORT_S), Span.ofSeconds(LEASE_S),
                        Span.ofSeconds(GANG_WAIT_S), Span.ofSeconds(GANG_PEER_S), Span.ofSeconds(CANCEL_S)),
                new Settings.StateLimits(200, 40, 4096, 8), new Settings.CloudLimits(4, Span.ofSeconds(2)), Span.ofSeconds(1),
                new Settings.Quota(0.5, 200, 1000));
    }

    private void hostNode(int node) {
        net.host(listen(node), nodeName(node), new VirtualNet.Host() {
            @Override
            public boolean isUp() {
                return processes[node] != null && processes[node].isAlive();
            }

            @Override
            public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
                VirtualTime.Process process = processes[node];
                controllers[node].handle(request, response -> {
                    if (process.isAlive()) {
                        reply.accept(response);
                    }
                });
            }
        });
    }

    private void startNode(int node) {
        VirtualTime.Process process = new VirtualTime.Process();
        processes[node] = process;
        String name = nodeName(node);
        controllers[node] = new Controller(time.timersOf(process, random.nextInt(1_000_000_000), 1 + 0.0005 * random.nextDouble()),
                (to, request, timeout, done) -> net.call(process, name, to, request, timeout, done),
                (to, frame) -> {
                    net.send(name, to.text(), () -> {
                        int other = Integer.parseInt(to.text().substring(1));
                        if (processes[other].isAlive()) {
                            controllers[other].frame(frame);
                        }
                    });
                    return true;
                }, settings(node), () -> (long) (time.seconds() * 1000));
        controllers[node].start();
    }

    void crash(int node) {
        if (processes[node].isAlive()) {
            processes[node].kill();
            time.after(RESTART_S, () -> startNode(node));
        }
    }

    void callNode(VirtualTime.Process caller, String from, int node, HttpRequest request, Span timeout,
            Consumer<HttpOutcome> done) {
        net.call(caller, from, listen(node), request, timeout, done);
    }

    void cut(String one, String other, double seconds, boolean lose) {
        net.cut(one, other, time.seconds() + seconds, lose);
    }

    /** What a controller's status says; null where it is down. */
    Fields status(int node) {
        Fields[] status = new Fields[1];
        if (processes[node].isAlive()) {
            controllers[node].handle(HttpRequest.get("/admin/status"), response -> {
                try {
                    status[0] = Json.parseFields(response.body());
                } catch (BadMessage e) {
                    throw new IllegalStateException(e);
                }
            });
        }
        return status[0];
    }

    // ---- what tasks do, wherever they are ----

    /** Seconds of work, at nominal speed, that a task still has to do. */
    double secondsLeft(TaskId task) {
        if (rules.isCompleted(task)) {
            return 0; // its result is kept
        }
        Job job = job(task.job());
        double real = job.estimate().seconds() * (0.5 + Math.floorMod(job.id().hashCode(), 100) / 100.0);
        return Math.max(0, real - saved.getOrDefault(task, 0.0));
    }

    /** A task has saved so many seconds more than it had when it started. */
    void save(TaskId task, double seconds) {
        saved.merge(task, seconds, Double::sum);
    }

    /** A task of a gang waits for the others: if all do, they start together, at the pace of the slowest machine. */
    void gangGathers(Job job, long attempt) {
        List<VirtualWorker> places = new ArrayList<>();
        double seconds = 0;
        double speed = Double.MAX_VALUE;
        for (int i = 0; i < job.tasks(); i++) {
            for (VirtualWorker worker : cloud.workers()) {
                if (worker.gathers(job.id().task(i), attempt)) {
                    places.add(worker);
                    seconds = Math.max(seconds, secondsLeft(job.id().task(i)));
                    speed = Math.min(speed, worker.speed());
                    break;
                }
            }
        }
        if (places.size() == job.tasks()) {
            for (int i = 0; i < job.tasks(); i++) {
                places.get(i).gangStarts(job, job.id().task(i), attempt, seconds / speed);
            }
        }
    }

    /** A gang completes together: if one task is done, every one is. */
    void completeGang(Job job, long attempt) {
        for (int i = 0; i < job.tasks(); i++) {
            rules.completed(job.id().task(i));
            for (VirtualWorker worker : cloud.workers()) {
                worker.complete(job.id().task(i), attempt);
            }
        }
    }

    void gangLost(Job job, long attempt) {
        for (int i = 0; i < job.tasks(); i++) {
            for (VirtualWorker worker : cloud.workers()) {
                worker.gangLost(job.id().task(i), attempt);
            }
        }
    }
}
