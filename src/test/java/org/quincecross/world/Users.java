package org.quincecross.world;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.Rank;
import org.quincecross.model.Resources;
import org.quincecross.model.Shape;
import org.quincecross.model.Span;
import org.quincecross.net.HttpOutcome;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.JobCodec;
import org.quincecross.wire.Json;

/** Those who submit jobs, ask for them and cancel some. */
final class Users {
    /** Beyond one chunk of the records of done tasks. */
    private static final int MANY_TASKS = 4500;

    private final World world;
    private final Random random;
    private final Map<JobId, Job> jobs = new LinkedHashMap<>();
    private final Map<JobId, String> told = new TreeMap<>();
    private final Map<JobId, Boolean> cancelAsked = new HashMap<>();

    Users(World world, Random random) {
        this.world = world;
        this.random = random;
    }

    Job job(JobId id) {
        return jobs.get(id);
    }

    /** What users were told last of the jobs that were accepted. */
    Map<JobId, String> told() {
        return told;
    }

    /** Submits one service replica that stays until it is cancelled. */
    JobId submitService(int number) {
        return submit(new Job(new JobId("job-" + number), "service", "red", Shape.SERVICE, Rank.PRODUCTION, 1,
                new Resources(1, 0, 2), null, null, false, false, false, "img-0", 1, Span.ZERO, Span.ZERO, Span.ZERO, null));
    }

    /** Submits a gang each of whose tasks takes most of a machine. */
    JobId submitLargeGang(int number, int tasks) {
        return submit(new Job(new JobId("job-" + number), "gang", "red", Shape.GANG, Rank.NORMAL, tasks,
                new Resources(5, 0, 2), null, null, true, false, false, "img-0", 1, Span.ofSeconds(20), Span.ZERO, Span.ZERO, null));
    }

    /** Submits one array of long tasks. */
    JobId submitArray(int number, int tasks) {
        return submit(new Job(new JobId("job-" + number), "array", "red", Shape.ARRAY, Rank.NORMAL, tasks,
                new Resources(4, 0, 2), null, null, false, false, true, "img-0", 1, Span.ofSeconds(300), Span.ZERO, Span.ZERO, null));
    }

    /** Submits an array of short tasks, more than a chunk of the records of done tasks has. */
    JobId submitManyTasks(int number) {
        return submit(new Job(new JobId("job-" + number), "many", "red", Shape.ARRAY, Rank.NORMAL, MANY_TASKS,
                new Resources(0.25, 0, 0.5), null, null, false, false, true, "img-0", 1, Span.ofSeconds(1), Span.ZERO, Span.ZERO, null));
    }

    private JobId submit(Job job) {
        jobs.put(job.id(), job);
        sendSubmission(job, world.time().seconds());
        return job.id();
    }

    /** Submits a job of any kind; some are cancelled later, services all. */
    void submit(int number) {
        Shape shape = random.nextInt(4) == 0 ? Shape.SERVICE : random.nextInt(5) == 0 ? Shape.GANG : Shape.ARRAY;
        boolean wide = shape == Shape.GANG && random.nextInt(3) == 0;
        int tasks = shape == Shape.ARRAY ? 1 + random.nextInt(8) : wide ? 2 + random.nextInt(2) : 1 + random.nextInt(2);
        boolean spread = shape == Shape.SERVICE && random.nextBoolean();
        boolean saves = shape != Shape.SERVICE && random.nextInt(3) == 0;
        Job job = new Job(new JobId("job-" + number), shape.name(), random.nextInt(3) == 0 && !wide ? "blue" : "red", shape,
                shape == Shape.SERVICE ? Rank.PRODUCTION : random.nextBoolean() ? Rank.NORMAL : Rank.LOW, tasks,
                new Resources(wide ? 5 : 1 + random.nextInt(3), 0, 2), null, null, shape == Shape.GANG && tasks > 1, spread,
                shape != Shape.SERVICE && random.nextBoolean(), "img-" + random.nextInt(3), 1,
                Span.ofSeconds(2 + random.nextInt(15)), saves ? Span.ofSeconds(3) : Span.ZERO,
                saves ? Span.ofSeconds(0.5 + random.nextDouble()) : Span.ZERO, null);
        submit(job);
        if (shape == Shape.SERVICE || random.nextInt(4) == 0) {
            world.time().after(1 + random.nextDouble() * 60, () -> cancel(job.id()));
        }
    }

    private void sendSubmission(Job job, double since) {
        HttpRequest request = HttpRequest.post(JobCodec.JOBS, Json.write(JobCodec.write(job)));
        String before = world.rules().lastTold(job.id());
        ask(request, 5, outcome -> {
            if (outcome.status() == 200 || outcome.status() == 201) {
                heard(job.id(), outcome, before);
                world.time().after(2, () -> poll(job.id()));
            } else if (world.time().seconds() - since < 60) {
                world.time().after(1, () -> sendSubmission(job, since));
            }
        });
    }

    private void ask(HttpRequest request, double timeout, Consumer<HttpOutcome> done) {
        world.callNode(new VirtualTime.Process(), "users", random.nextInt(World.NODES), request, Span.ofSeconds(timeout), done);
    }

    private void heard(JobId id, HttpOutcome outcome, String before) {
        try {
            String status = Json.parseFields(outcome.response().body()).text("Status");
            told.put(id, status);
            world.rules().told(id, status, before, cancelAsked.containsKey(id));
        } catch (BadMessage e) {
            throw new IllegalStateException(e);
        }
    }

    private void poll(JobId id) {
        String before = world.rules().lastTold(id);
        ask(HttpRequest.get(JobCodec.JOBS + "/" + id), 2, outcome -> {
            if (outcome.status() == 200) {
                heard(id, outcome, before);
            } else if (outcome.status() == 404) {
                world.rules().forgotten(id);
            }
            world.time().after(3, () -> poll(id));
        });
    }

    void cancel(JobId id) {
        if (!told.containsKey(id)) {
            world.time().after(1, () -> cancel(id)); // not accepted yet
            return;
        }
        cancelAsked.put(id, true);
        String before = world.rules().lastTold(id);
        ask(HttpRequest.post(JobCodec.JOBS + "/" + id + JobCodec.CANCEL, new byte[0]), 5, outcome -> {
            if (outcome.status() == 200) {
                heard(id, outcome, before);
            } else {
                world.time().after(1, () -> cancel(id));
            }
        });
    }
}
