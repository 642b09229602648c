package org.quincecross.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.Resources;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Fields;
import org.quincecross.wire.JobCodec;
import org.quincecross.wire.Json;

/** A stand-in for the cloud: one type of machine, two zones, some machines slow, sick, late or never up. */
final class VirtualCloud implements VirtualNet.Host {
    static final List<String> ZONES = List.of("a", "b");
    static final Resources SIZE = new Resources(8, 0, 32);
    private static final int MOST_MACHINES = 14;
    private static final double BOOT_S = 5;
    private static final double LIST_LAG_S = 2;

    /** A machine that is rented: {@code worker} is null until it is up. */
    private static final class Rented {
        private final Machine machine;
        private final double since;
        private VirtualWorker worker;

        Rented(Machine machine, double since) {
            this.machine = machine;
            this.since = since;
        }
    }

    private final World world;
    private final Random random;
    private final Map<MachineId, Rented> rented = new TreeMap<>();
    private final Map<String, List<Object>> charters = new HashMap<>();
    private List<Object> listed = List.of();
    private boolean out;
    private int machines;

    VirtualCloud(World world, Random random) {
        this.world = world;
        this.random = random;
        for (int i = 0; i < 8; i++) {
            boot(ZONES.get(i % 2), false, 0);
        }
        refreshList();
    }

    private void refreshList() {
        List<Object> list = new ArrayList<>();
        for (Rented each : rented.values()) {
            Machine machine = each.machine;
            list.add(Json.object("Uid", machine.id().text(), "Addr", machine.address().toString(), "Hull", machine.type(), "Yard",
                    machine.zone(), "Loaners", machine.spot(), "Status", each.worker == null ? "starting" : "running", "AgeS",
                    world.time().seconds() - each.since));
        }
        world.time().after(LIST_LAG_S * (1 + random.nextDouble()), () -> listed = list);
        world.time().after(1, this::refreshList);
    }

    List<MachineId> machines() {
        return rented.values().stream().filter(each -> each.worker != null).map(each -> each.machine.id()).toList();
    }

    Iterable<VirtualWorker> workers() {
        return rented.values().stream().filter(each -> each.worker != null).map(each -> each.worker).toList();
    }

    private MachineId boot(String zone, boolean spot, double bootS) {
        MachineId id = new MachineId(String.format("m-%06d", machines++));
        Machine machine = new Machine(id, new Endpoint("10.1." + machines / 250 + "." + machines % 250, 9000), "m8", zone, spot);
        Rented place = new Rented(machine, world.time().seconds());
        rented.put(id, place);
        boolean ordinary = machines <= 8;
        VirtualWorker.Traits traits = ordinary ? VirtualWorker.Traits.ORDINARY : traits();
        if (ordinary || random.nextInt(25) != 0) {
            world.time().after(bootS, () -> {
                if (rented.get(id) == place) {
                    place.worker = new VirtualWorker(world, machine, SIZE, traits, random.nextInt(World.NODES));
                    world.net().host(machine.address(), id.text(), place.worker);
                }
            });
        }
        return id;
    }

    private VirtualWorker.Traits traits() {
        double speed = random.nextInt(12) == 0 ? 0.2 + 0.5 * random.nextDouble() : 0.95 + 0.1 * random.nextDouble();
        return new VirtualWorker.Traits(speed, random.nextInt(20) == 0, 1 + 0.0005 * (2 * random.nextDouble() - 1));
    }

    /** Takes a machine back, after {@code noticeS} seconds' notice if that is more than 0. */
    void take(MachineId id, double noticeS) {
        Rented place = rented.get(id);
        if (place == null) {
            return;
        }
        if (noticeS > 0 && place.worker != null) {
            place.worker.notice(noticeS);
            world.time().after(noticeS, () -> take(id, 0));
            return;
        }
        rented.remove(id);
        if (place.worker != null) {
            place.worker.destroy();
        }
    }

    void outage(double seconds) {
        out = true;
        world.time().after(seconds, () -> out = false);
    }

    @Override
    public boolean isUp() {
        return true;
    }

    @Override
    public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
        try {
            reply.accept(out ? HttpResponse.of(503, JobCodec.error("trouble")) : answer(request));
        } catch (BadMessage e) {
            reply.accept(HttpResponse.of(400));
        }
    }

    private HttpResponse answer(HttpRequest request) throws BadMessage {
        Object body;
        if (request.path().equals("/catalog")) {
            body = Json.object("Hulls", List.of(Json.object("Sku", "m8", "Cpus", 8.0, "Cards", 0.0, "MemGb", 32.0, "CacheGb", 50.0,
                    "PullGbPerS", 1.0, "Rate", 1.0, "MarketPrice", 0.4, "StartupS", BOOT_S, "Yards", ZONES)));
        } else if (request.path().equals("/hosts/return")) {
            for (String name : Json.parseFields(request.body()).texts("Hosts")) {
                take(new MachineId(name), 0);
            }
            body = Json.object();
        } else if (request.method().equals("POST")) {
            Fields in = Json.parseFields(request.body());
            if (rented.size() >= MOST_MACHINES) {
                return HttpResponse.of(503, JobCodec.error("no capacity"));
            }
            String zone = in.text("Yard");
            boolean spot = in.flag("Loaners");
            List<Object> names = charters.computeIfAbsent(in.text("Charter"), c -> new ArrayList<>());
            for (int more = names.isEmpty() ? in.count("HowMany", 1, 50) : 0; more > 0 && rented.size() < MOST_MACHINES; more--) {
                names.add(boot(zone, spot, BOOT_S * (0.6 + 0.9 * random.nextDouble())).text());
            }
            body = Json.object("Hosts", names);
        } else {
            body = Json.object("Hosts", listed, "More", false);
        }
        return HttpResponse.of(200, Json.write(body));
    }
}
