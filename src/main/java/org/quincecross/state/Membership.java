package org.quincecross.state;

import java.util.List;
import java.util.Map;
import org.quincecross.model.Incarnation;
import org.quincecross.model.MemberId;
import org.quincecross.model.Revision;
import org.quincecross.model.Span;
import org.quincecross.net.HttpOutcome;
import org.quincecross.net.Timers;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Json;
import org.quincecross.wire.StateCodec;
import org.quincecross.wire.StateCodec.Change;
import org.quincecross.wire.StateCodec.Guard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this controller's lease and member record. A controller that starts ends the lease of its former life at once,
 * which proves to the others that that life is over.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    private static final Span TTL = Span.ofSeconds(3);
    private static final Span RENEW_EVERY = Span.ofMillis(900);
    private static final Span RENEW_TIMEOUT = Span.ofSeconds(1);
    private static final Span RETRY = Span.ofMillis(300);

    /** The states of membership. */
    public enum State { ENDING_FORMER_LIFE, ASKING_FOR_LEASE, ANNOUNCING, LIVE }

    private final Timers timers;
    private final StateClient client;
    private final MemberId member;
    private final String zone;
    private State state = State.ENDING_FORMER_LIFE;
    private Incarnation life = Incarnation.NONE;

    public Membership(Timers timers, StateClient client, MemberId member, String zone) {
        this.timers = timers;
        this.client = client;
        this.member = member;
        this.zone = zone;
    }

    public State state() {
        return state;
    }

    public boolean isLive() {
        return state == State.LIVE;
    }

    /** The present life, {@link Incarnation#NONE} before the first. */
    public Incarnation life() {
        return life;
    }

    /** The record that names this controller, as a member or as the leader. */
    public Map<String, Object> record() {
        return Json.object("member", member.text(), "life", life.number(), "zone", zone);
    }

    public void start() {
        step();
    }

    /** The one place where membership changes its state. */
    private void enter(State next) {
        state = next;
    }

    private void stepTo(State next) {
        enter(next);
        step();
    }

    private void again() {
        timers.after(RETRY, this::step);
    }

    private void step() {
        switch (state) {
            case ENDING_FORMER_LIFE -> client.readNow(StateCodec.keyPath(Keys.member(member)), this::endFormer);
            case ASKING_FOR_LEASE -> client.grant(TTL, this::granted);
            case ANNOUNCING -> client.txnNow(List.of(),
                    List.of(new Change(Keys.member(member), record(), life)), this::announced);
            case LIVE -> client.renew(life, RENEW_TIMEOUT, this::renewed);
            default -> throw new IllegalStateException(state.toString());
        }
    }

    private void endFormer(HttpOutcome outcome) {
        if (outcome.status() == 404) {
            stepTo(State.ASKING_FOR_LEASE);
            return;
        }
        if (outcome.status() != 200) {
            again();
            return;
        }
        try {
            var in = Json.parseFields(outcome.response().body());
            if (!in.has("Hold")) {
                stepTo(State.ASKING_FOR_LEASE);
                return;
            }
            client.end(StateCodec.readGrant(in), ended -> {
                if (ended.status() == 200 || ended.status() == 204 || ended.status() == 404) {
                    stepTo(State.ASKING_FOR_LEASE);
                } else {
                    again();
                }
            });
        } catch (BadMessage e) {
            again();
        }
    }

    private void granted(HttpOutcome outcome) {
        try {
            if (outcome.status() == 200 || outcome.status() == 201) {
                life = StateCodec.readGrant(Json.parseFields(outcome.response().body()));
                stepTo(State.ANNOUNCING);
                return;
            }
        } catch (BadMessage e) {
            LOG.info("unreadable lease: {}", e.getMessage());
        }
        again();
    }

    private void announced(TxnOutcome outcome) {
        switch (outcome.kind()) {
            case COMMITTED -> {
                LOG.info("member {} lives, life {}", member, life);
                enter(State.LIVE);
                timers.after(RENEW_EVERY, this::step);
            }
            case NO_LEASE -> stepTo(State.ASKING_FOR_LEASE);
            default -> again(); // the record is the same however often it is written
        }
    }

    private void renewed(HttpOutcome outcome) {
        if (outcome.status() == 404) {
            LOG.info("life {} is over: its lease has run out", life);
            stepTo(State.ASKING_FOR_LEASE);
        } else {
            timers.after(outcome.status() == 200 ? RENEW_EVERY : RETRY, this::step);
        }
    }

    /** A condition that this life is not over. */
    public Guard alive(Ledger ledger) {
        Revision version = ledger.version(Keys.member(member));
        return new Guard(Keys.member(member), version);
    }
}
