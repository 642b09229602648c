package org.quincecross.api;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quincecross.admin.AdminApi;
import org.quincecross.admin.Metrics;
import org.quincecross.block.HolderContext;
import org.quincecross.block.Holdings;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.leader.Fleet;
import org.quincecross.leader.Leader;
import org.quincecross.model.BlockId;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MemberId;
import org.quincecross.model.Span;
import org.quincecross.model.SteadyTime;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.HttpHandler;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerCodec;
import org.quincecross.peer.PeerReport;
import org.quincecross.sched.Reserve;
import org.quincecross.state.Follower;
import org.quincecross.state.Foresight;
import org.quincecross.state.Ledger;
import org.quincecross.state.Membership;
import org.quincecross.state.StateClient;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.JobCodec;
import org.quincecross.wire.Settings;
import org.quincecross.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A whole controller, but for its sockets and its clock. */
public final class Controller implements HttpHandler, HolderContext {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final Span TELL_EVERY = Span.ofMillis(500);
    private static final Span NEWS_AFTER = Span.ofMillis(30);
    private static final Span PEER_FRESH = Span.ofSeconds(3);
    /** Without word from the state service for so long, this controller counts itself out. */
    private static final Span UNHEALTHY = Span.ofSeconds(3);
    /** Of the time that a cancellation has: for clocks, messages, and workers that notice late. */
    private static final Span CANCEL_MARGIN = Span.ofSeconds(4);

    private record Peer(PeerReport report, SteadyTime at) {
    }

    private final Timers timers;
    private final HttpCaller http;
    private final Settings settings;
    private final PeerSender peers;
    private final Ledger ledger = new Ledger();
    private final Foresight foresight = new Foresight(ledger);
    private final Follower follower;
    private final Membership membership;
    private final Holdings holdings;
    private final Leader leader;
    private final Fleet fleet;
    private final UserApi users;
    private final AgentApi agents;
    private final AdminApi admin;
    private final Metrics metrics = new Metrics();
    private final Map<MemberId, Peer> heard = new HashMap<>();
    private final Map<MachineId, List<String>> images = new HashMap<>();
    private final Span longestUnconfirmed;
    private long reports;
    private boolean newsPlanned;

    /** {@code clockMs} tells the time of day. */
    public Controller(Timers timers, HttpCaller http, PeerSender peers, Settings settings, LongSupplier clockMs) {
        this.timers = timers;
        this.http = http;
        this.peers = peers;
        this.settings = settings;
        StateClient client = new StateClient(timers, http, settings.state(), settings.stateLimits());
        follower = new Follower(timers, client, ledger);
        membership = new Membership(timers, client, settings.member(), settings.zone());
        holdings = new Holdings(this, settings.member(), membership::life);
        fleet = new Fleet(timers, http, ledger, settings, foresight, membership::life,
                () -> AdminApi.settings(ledger));
        leader = new Leader(timers, client, ledger, follower, membership, settings, fleet, foresight, clockMs);
        users = new UserApi(timers, ledger, follower, client, settings, this::running, clockMs);
        agents = new AgentApi(timers, ledger, holdings, leader, settings.member());
        admin = new AdminApi(timers, ledger, follower, membership, client, holdings, leader, metrics);
        longestUnconfirmed = longestUnconfirmed(settings.workers());
    }

    /**
     * How long a holder may answer its machines after it last heard from the state service. A cancellation that it
     * has not heard of was told at that time or later; its machines go on for at most a lease after its last answer;
     * and all must be over within the time that a cancellation has.
     */
    static Span longestUnconfirmed(Settings.Workers workers) {
        double seconds = workers.cancel().seconds() - workers.lease().seconds() * 1.002 - CANCEL_MARGIN.seconds();
        return Span.ofSeconds(Math.max(1, seconds));
    }

    public void start() {
        ledger.listen(holdings::ledgerChanged);
        ledger.listen(changes -> leader.soon());
        membership.start();
        follower.start();
        holdings.start();
        leader.start();
        fleet.start();
        timers.every(TELL_EVERY, () -> tell(true));
    }

    // ---- the other controllers ----

    private PeerReport report() {
        SteadyTime confirmed = follower.confirmed();
        Span unconfirmed = confirmed == null ? Span.ofSeconds(1e6) : timers.now().since(confirmed);
        return new PeerReport(settings.member(), membership.life(), ++reports, unconfirmed, holdings.reports(), agents.strays());
    }

    private void tell(boolean everyone) {
        PeerReport report = report();
        leader.hear(report);
        byte[] frame = null;
        for (Settings.Sibling sibling : settings.siblings()) {
            boolean leads = ledger.leader() != null && ledger.leader().member().equals(sibling.member());
            if (everyone || leads) {
                frame = frame == null ? PeerCodec.write(report) : frame;
                peers.send(sibling.member(), frame);
            }
        }
    }

    /** Takes a frame from another controller; false if it cannot be read. */
    public boolean frame(byte[] frame) {
        try {
            PeerReport report = PeerCodec.read(frame);
            heard.put(report.member(), new Peer(report, timers.now()));
            for (PeerReport.Block block : report.blocks()) {
                block.machines().forEach(machine -> images.put(machine.id(), machine.images()));
            }
            images.keySet().removeIf(machine -> ledger.blockOf(machine) == null);
            leader.hear(report);
            return true;
        } catch (BadMessage e) {
            LOG.info("{}", e.getMessage());
            return false;
        }
    }

    private int running(JobId job) {
        int count = holdings.running().getOrDefault(job, 0);
        for (Peer peer : heard.values()) {
            for (PeerReport.Block block : peer.report().blocks()) {
                count += holdings.get(block.id()) == null ? block.running().getOrDefault(job, 0) : 0;
            }
        }
        return count;
    }

    // ---- requests ----

    @Override
    public void handle(HttpRequest request, Consumer<HttpResponse> reply) {
        SteadyTime begun = timers.now();
        String path = request.path();
        String what = path.startsWith(JobCodec.JOBS) ? request.method() + (path.endsWith(JobCodec.CANCEL) ? " cancel" : " job")
                : path.equals(WorkerCodec.BEAT) ? "report" : "other";
        route(request, path, response -> {
            metrics.record(what, response.status(), timers.now().since(begun));
            reply.accept(response);
        });
    }

    private void route(HttpRequest request, String path, Consumer<HttpResponse> reply) {
        if (path.equals(WorkerCodec.BEAT)) {
            if (request.method().equals("POST")) {
                agents.beat(request.body(), reply);
            } else {
                reply.accept(HttpResponse.of(405));
            }
        } else if (path.equals(JobCodec.JOBS) || path.startsWith(JobCodec.JOBS + "/")) {
            users.handle(request, reply);
        } else if (path.equals(JobCodec.HEALTH)) {
            reply.accept(request.method().equals("GET") ? HttpResponse.of(isHealthy() ? 200 : 503) : HttpResponse.of(405));
        } else if (path.startsWith(AdminApi.ROOT + "/")) {
            admin.handle(request, reply);
        } else {
            reply.accept(HttpResponse.of(404));
        }
    }

    /**
     * Whether users should come here. A controller that alone cannot reach the state service sends them elsewhere; if
     * nobody can, staying in keeps users' way back open for the moment that the state service returns.
     */
    private boolean isHealthy() {
        if (!ledger.isLoaded()) {
            return false;
        }
        if (!timers.now().since(follower.confirmed()).isMoreThan(UNHEALTHY)) {
            return true;
        }
        for (Peer peer : heard.values()) {
            boolean recent = !timers.now().since(peer.at()).isMoreThan(PEER_FRESH);
            if (recent && !peer.report().unconfirmed().isMoreThan(UNHEALTHY)) {
                return false;
            }
        }
        return true;
    }

    // ---- what the holders of blocks need ----

    @Override
    public Timers timers() {
        return timers;
    }

    @Override
    public HttpCaller http() {
        return http;
    }

    @Override
    public Ledger ledger() {
        return ledger;
    }

    @Override
    public List<Reserve> reserves(BlockId block) {
        return foresight.of(block, timers.now());
    }

    @Override
    public Settings.Workers workers() {
        return settings.workers();
    }

    @Override
    public List<String> imagesOf(MachineId machine) {
        return images.getOrDefault(machine, List.of());
    }

    @Override
    public boolean isEntitled() {
        SteadyTime confirmed = follower.confirmed();
        return confirmed != null && !timers.now().since(confirmed).isMoreThan(longestUnconfirmed);
    }

    @Override
    public Span longestUnconfirmed() {
        return longestUnconfirmed;
    }

    @Override
    public void newsForLeader() {
        if (!newsPlanned) {
            newsPlanned = true;
            timers.after(NEWS_AFTER, () -> {
                newsPlanned = false;
                tell(false);
            });
        }
    }
}
