package org.quincecross.api;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Job;
import org.quincecross.model.MemberId;
import org.quincecross.model.Revision;
import org.quincecross.model.Span;
import org.quincecross.model.SteadyTime;
import org.quincecross.net.Timers;
import org.quincecross.state.Follower;
import org.quincecross.state.JobRecord;
import org.quincecross.state.Keys;
import org.quincecross.state.StateClient;
import org.quincecross.state.TxnOutcome;
import org.quincecross.wire.Json;
import org.quincecross.wire.Settings;
import org.quincecross.wire.StateCodec.Change;
import org.quincecross.wire.StateCodec.Guard;

/**
 * Makes submissions durable, several in one change where several have come.
 *
 * <p>What ends each wait: a transaction waits for the budget, which refills, and then for its answer, for as long as
 * {@link StateClient} gives it; one without an answer, or in conflict, waits for a reading of the records, which fails after
 * a second; one that was refused for its number is tried again until {@link #PATIENCE} is over, and one that the state
 * service does not serve ends at once. Whatever this comes to together, {@link InTime} answers before the user stops waiting;
 * what has not been written by then is not written any more.
 */
final class Submissions {
    private static final Span PATIENCE = Span.ofSeconds(2);
    /** The longest that a user is left without an answer, who waits 5 s for it. */
    static final Span ANSWERED = Span.ofSeconds(3.2);
    private static final Span RETRY = Span.ofMillis(120);
    private static final int MOST_BYTES = 40 * 1024;
    private static final int VALUE_MARGIN = 64;

    /** How a submission ended. */
    enum Outcome {
        ACCEPTED,
        /** The record was there before, or what became of the write is not known: the ledger has the answer. */
        LOOK,
        /** Not taken. */
        REFUSED
    }

    private record Pending(Job job, long acceptedMs, SteadyTime since, Consumer<Outcome> done) {
    }

    private final Timers timers;
    private final StateClient client;
    private final Follower follower;
    private final MemberId member;
    private final Supplier<Incarnation> life;
    private final int mostChanges;
    private final int mostValue;
    private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
    private boolean writing;
    private long bundles;

    Submissions(Timers timers, StateClient client, Follower follower, MemberId member, Supplier<Incarnation> life,
            Settings.StateLimits limits) {
        this.timers = timers;
        this.client = client;
        this.follower = follower;
        this.member = member;
        this.life = life;
        this.mostChanges = limits.txnChanges();
        this.mostValue = limits.valueBytes() - VALUE_MARGIN;
    }

    void submit(Job job, long nowMs, Consumer<Outcome> done) {
        waiting.add(new Pending(job, nowMs, timers.now(), done));
        flush();
    }

    private void flush() {
        if (writing) {
            return;
        }
        // Whoever asked has been answered: the repetition will be written.
        waiting.removeIf(pending -> timers.now().since(pending.since()).isMoreThan(ANSWERED));
        if (waiting.isEmpty()) {
            return;
        }
        if (waiting.size() == 1) {
            writeOne(waiting.poll());
        } else {
            writeMany();
        }
    }

    private void writeOne(Pending pending) {
        String key = Keys.job(pending.job().id());
        write(List.of(new Guard(key, Revision.NONE)),
                List.of(Change.put(key, JobRecord.open(pending.job(), pending.acceptedMs()))), outcome -> {
                    switch (outcome.kind()) {
                        case COMMITTED -> pending.done().accept(Outcome.ACCEPTED);
                        case CONFLICT, UNKNOWN -> end(pending);
                        case UNAVAILABLE -> pending.done().accept(Outcome.REFUSED);
                        case REFUSED, NO_LEASE -> again(pending);
                        default -> throw new IllegalStateException(outcome.kind().toString());
                    }
                });
    }

    /** Changes are few and jobs may come many at a time: what fits one value is accepted with one change. */
    private void writeMany() {
        List<Pending> group = new ArrayList<>();
        List<Guard> guards = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        int bytes = 0;
        while (!waiting.isEmpty() && changes.size() < mostChanges && bytes < MOST_BYTES) {
            List<Map<String, Object>> jobs = new ArrayList<>();
            int size = 0;
            while (!waiting.isEmpty()) {
                Map<String, Object> open = JobRecord.open(waiting.peek().job(), waiting.peek().acceptedMs());
                int more = Json.write(open).length + 1;
                if (!jobs.isEmpty() && size + more > mostValue) {
                    break;
                }
                size += more;
                jobs.add(open);
                group.add(waiting.poll());
            }
            String key = Keys.bundle(member, life.get(), ++bundles);
            guards.add(new Guard(key, Revision.NONE));
            changes.add(Change.put(key, JobRecord.bundle(jobs)));
            bytes += size;
        }
        write(guards, changes, outcome -> {
            switch (outcome.kind()) {
                // Nothing says whether a job was known already: only a ledger that has the bundle can tell.
                case COMMITTED, UNKNOWN -> group.forEach(this::end);
                case UNAVAILABLE -> group.forEach(pending -> pending.done().accept(Outcome.REFUSED));
                case CONFLICT, REFUSED, NO_LEASE -> group.forEach(this::again);
                default -> throw new IllegalStateException(outcome.kind().toString());
            }
        });
    }

    private void write(List<Guard> guards, List<Change> changes, Consumer<TxnOutcome> done) {
        writing = true;
        client.txn(guards, changes, outcome -> {
            writing = false;
            done.accept(outcome);
            flush();
        });
    }

    private void again(Pending pending) {
        if (timers.now().since(pending.since()).isMoreThan(PATIENCE)) {
            pending.done().accept(Outcome.REFUSED);
            return;
        }
        timers.after(RETRY, () -> {
            waiting.add(pending);
            flush();
        });
    }

    private void end(Pending pending) {
        follower.barrier(current -> pending.done().accept(current ? Outcome.LOOK : Outcome.REFUSED));
    }
}
