package org.quincecross.world;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Fields;
import org.quincecross.wire.Json;

/** A stand-in for the state service, as its protocol describes it. */
final class VirtualState implements VirtualNet.Host {
    private static final int MOST_CHANGES = 8;
    private static final int MOST_VALUE = 4096;

    private record Value(Object value, long stamp, long hold) {
    }

    private record Event(String key, Object value, long stamp) {
    }

    private final VirtualTime time;
    private final Random random;
    private final TreeMap<String, Value> keys = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Double> holds = new HashMap<>();
    private final Map<Long, Double> lives = new HashMap<>();
    private final List<Runnable> watches = new ArrayList<>();
    private final Set<String> refused = new HashSet<>();
    private long epoch;
    private long lastHold;
    private boolean out;

    VirtualState(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    void outage(double seconds) {
        out = true;
        time.after(seconds, () -> {
            out = false;
            holds.replaceAll((id, until) -> time.seconds() + lives.get(id));
            wakeWatches();
        });
    }

    void refuse(String node, double seconds) {
        refused.add(node);
        time.after(seconds, () -> refused.remove(node));
    }

    @Override
    public boolean isUp() {
        return true;
    }

    @Override
    public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
        if (out || refused.contains(from)) {
            reply.accept(HttpResponse.of(503));
            return;
        }
        expire();
        try {
            route(from, request, reply);
        } catch (BadMessage e) {
            reply.accept(HttpResponse.of(400, e.getMessage().getBytes(StandardCharsets.UTF_8)));
        }
    }

    private void route(String from, HttpRequest request, Consumer<HttpResponse> reply) throws BadMessage {
        String path = request.path();
        if (path.equals("/txn")) {
            Fields in = Json.parseFields(request.body());
            if (random.nextInt(60) == 0) {
                // Applied late, when the sender has long given up.
                time.after(3 + random.nextDouble() * 20, () -> {
                    try {
                        expire();
                        txn(in);
                    } catch (BadMessage e) {
                        throw new IllegalStateException(e);
                    }
                });
            } else {
                reply.accept(txn(in));
            }
        } else if (path.startsWith("/keys/")) {
            Value value = keys.get(path.substring(6));
            reply.accept(value == null ? answer(404, "Epoch", epoch)
                    : answer(200, "Path", path.substring(6), "Value", value.value(), "Stamp", value.stamp(), "Hold", value.hold()));
        } else if (path.equals("/keys")) {
            reply.accept(list(request));
        } else if (path.equals("/holds")) {
            long id = ++lastHold;
            lives.put(id, Json.parseFields(request.body()).count("LifeMs", 100, 600_000) / 1000.0);
            holds.put(id, time.seconds() + lives.get(id));
            reply.accept(answer(200, "Hold", id));
        } else if (path.startsWith("/holds/")) {
            long id = Long.parseLong(path.split("/")[2]);
            if (!holds.containsKey(id)) {
                reply.accept(answer(404));
            } else if (request.method().equals("DELETE")) {
                end(id);
                reply.accept(answer(200));
            } else {
                holds.put(id, time.seconds() + lives.get(id));
                reply.accept(answer(200));
            }
        } else if (path.equals("/follow")) {
            follow(from, Long.parseLong(request.query("Since")),
                    time.seconds() + Long.parseLong(request.query("BlockMs")) / 1000.0, reply);
        } else {
            reply.accept(HttpResponse.of(404));
        }
    }

    private static HttpResponse answer(int status, Object... fields) {
        return HttpResponse.of(status, Json.write(Json.object(fields)));
    }

    private void expire() {
        if (!out) {
            for (long id : List.copyOf(holds.keySet())) {
                if (holds.get(id) < time.seconds()) {
                    end(id);
                }
            }
        }
    }

    private void end(long id) {
        holds.remove(id);
        List<String> attached = new ArrayList<>();
        keys.forEach((key, value) -> {
            if (value.hold() == id) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            epoch++;
            attached.forEach(key -> change(key, null, 0));
            wakeWatches();
        }
    }

    private void change(String key, Object value, long hold) {
        if (value == null) {
            keys.remove(key);
        } else {
            keys.put(key, new Value(value, epoch, hold));
        }
        events.add(new Event(key, value, epoch));
    }

    private HttpResponse txn(Fields in) throws BadMessage {
        List<Object> failed = new ArrayList<>();
        List<Fields> guards = in.objects("Guards");
        List<Fields> changes = in.objects("Apply");
        if (changes.size() > MOST_CHANGES || guards.size() > 4 * MOST_CHANGES) {
            throw new BadMessage("too much in a transaction");
        }
        for (Fields guard : guards) {
            Value value = keys.get(guard.text("Path"));
            if ((value == null ? 0 : value.stamp()) != guard.unsigned("Stamp")) {
                failed.add(guard.text("Path"));
            }
        }
        for (Fields change : changes) {
            if (change.has("Hold") && !holds.containsKey(change.unsigned("Hold"))) {
                return answer(400, "error", "no such lease");
            }
            if (change.has("Set") && Json.write(change.raw("Value")).length > MOST_VALUE) {
                throw new BadMessage("value too large");
            }
        }
        if (!failed.isEmpty()) {
            return answer(409, "failed", failed, "Epoch", epoch);
        }
        if (!changes.isEmpty()) {
            epoch++;
            for (Fields change : changes) {
                if (change.has("Set")) {
                    change(change.text("Set"), change.raw("Value"), change.has("Hold") ? change.unsigned("Hold") : 0);
                } else {
                    change(change.text("Drop"), null, 0);
                }
            }
            wakeWatches();
        }
        return answer(200, "Epoch", epoch);
    }

    private HttpResponse list(HttpRequest request) {
        List<Object> items = new ArrayList<>();
        String after = request.query("Since");
        int most = Integer.parseInt(request.query("Page"));
        boolean more = false;
        for (Map.Entry<String, Value> entry : keys.tailMap(after == null ? "" : after, false).entrySet()) {
            if (entry.getKey().startsWith(request.query("Under"))) {
                if (items.size() == most) {
                    more = true;
                    break;
                }
                items.add(Json.object("Path", entry.getKey(), "Value", entry.getValue().value(), "Stamp", entry.getValue().stamp()));
            }
        }
        return answer(200, "Items", items, "More", more, "Epoch", epoch);
    }

    private void wakeWatches() {
        List<Runnable> woken = List.copyOf(watches);
        watches.clear();
        woken.forEach(Runnable::run);
    }

    private void follow(String from, long since, double until, Consumer<HttpResponse> reply) {
        boolean silent = out || refused.contains(from);
        List<Object> log = new ArrayList<>();
        for (int i = events.size() - 1; i >= 0 && events.get(i).stamp() > since; i--) {
            Event event = events.get(i);
            log.add(0, event.value() == null ? Json.object("Drop", event.key(), "Stamp", event.stamp())
                    : Json.object("Set", event.key(), "Value", event.value(), "Stamp", event.stamp()));
        }
        if (!silent && (!log.isEmpty() || until <= time.seconds())) {
            reply.accept(answer(200, "Epoch", epoch, "Log", log));
            return;
        }
        boolean[] over = new boolean[1];
        Runnable again = () -> {
            if (!over[0]) {
                over[0] = true;
                follow(from, since, until, reply);
            }
        };
        watches.add(again);
        time.after(Math.max(0.05, until - time.seconds()), again);
    }

    /** What a key holds, for the checks; null if there is no such key. */
    Object peek(String key) {
        Value value = keys.get(key);
        return value == null ? null : value.value();
    }
}
