package org.quincecross.api;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.quincecross.model.Job;
import org.quincecross.model.Revision;
import org.quincecross.model.Span;
import org.quincecross.model.SteadyTime;
import org.quincecross.net.Timers;
import org.quincecross.state.Follower;
import org.quincecross.state.JobRecord;
import org.quincecross.state.Keys;
import org.quincecross.state.StateClient;
import org.quincecross.state.TxnOutcome;
import org.quincecross.wire.StateCodec.Change;
import org.quincecross.wire.StateCodec.Guard;

/** Makes submissions durable, several in one transaction where several have come. */
final class Submissions {
    private static final Span PATIENCE = Span.ofSeconds(2);
    private static final Span RETRY = Span.ofMillis(120);
    private static final int MOST_BYTES = 40 * 1024;

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
    private final int mostChanges;
    private final ArrayDeque<Pending> waiting = new ArrayDeque<>();
    private boolean writing;

    Submissions(Timers timers, StateClient client, Follower follower, int mostChanges) {
        this.timers = timers;
        this.client = client;
        this.follower = follower;
        this.mostChanges = mostChanges;
    }

    void submit(Job job, long nowMs, Consumer<Outcome> done) {
        waiting.add(new Pending(job, nowMs, timers.now(), done));
        flush();
    }

    private void flush() {
        if (writing || waiting.isEmpty()) {
            return;
        }
        List<Pending> group = new ArrayList<>();
        List<Guard> guards = new ArrayList<>();
        List<Change> changes = new ArrayList<>();
        int bytes = 0;
        while (!waiting.isEmpty() && group.size() < mostChanges && bytes < MOST_BYTES) {
            Pending next = waiting.poll();
            String key = Keys.job(next.job().id());
            if (guards.stream().anyMatch(guard -> guard.key().equals(key))) {
                end(next, Outcome.LOOK); // the same submission twice at once
                continue;
            }
            group.add(next);
            guards.add(new Guard(key, Revision.NONE));
            changes.add(Change.put(key, JobRecord.open(next.job(), next.acceptedMs())));
            bytes += 1024;
        }
        if (group.isEmpty()) {
            return;
        }
        writing = true;
        client.txn(guards, changes, outcome -> {
            writing = false;
            written(group, outcome);
            flush();
        });
    }

    private void written(List<Pending> group, TxnOutcome outcome) {
        for (Pending pending : group) {
            switch (outcome.kind()) {
                case COMMITTED -> pending.done().accept(Outcome.ACCEPTED);
                case CONFLICT -> {
                    if (outcome.failed().contains(Keys.job(pending.job().id()))) {
                        end(pending, Outcome.LOOK);
                    } else {
                        again(pending, Span.ZERO);
                    }
                }
                case UNKNOWN -> end(pending, Outcome.LOOK);
                case REFUSED, NO_LEASE -> again(pending, RETRY);
                default -> throw new IllegalStateException(outcome.kind().toString());
            }
        }
    }

    private void again(Pending pending, Span wait) {
        if (timers.now().since(pending.since()).isMoreThan(PATIENCE)) {
            pending.done().accept(Outcome.REFUSED);
            return;
        }
        timers.after(wait, () -> {
            waiting.add(pending);
            flush();
        });
    }

    private void end(Pending pending, Outcome outcome) {
        follower.barrier(current -> pending.done().accept(current ? outcome : Outcome.REFUSED));
    }
}
