package org.quincecross.emulator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.MonotonicTime;
import org.quincecross.net.TokenBucket;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;

/**
 * Simulates the state service as its protocol describes it: limits, leases, transactions and
 * watches.
 */
final class KeyValueStoreSimulator implements Network.Host {
  /** How many changes a watch may lag behind. */
  private static final int KEPT_CHANGES = 10_000;

  private static final int MOST_ITEMS = 1000;
  private static final int MOST_LIST_BYTES = 512 * 1024;
  private static final int MOST_TXN_BYTES = 64 * 1024;
  private static final double LONGEST_WATCH_S = 60;

  private record Value(Object value, int bytes, long stamp, long hold) {}

  private record Event(String key, Object value, long stamp) {}

  private static final class Hold {
    private final double life;
    private final Set<String> keys = new LinkedHashSet<>();
    private double until;

    Hold(double life, double until) {
      this.life = life;
      this.until = until;
    }
  }

  private record Watch(
      String from, String under, long since, double until, Consumer<HttpResponse> reply) {}

  private final Clock clock;
  private final Random random;
  private Settings.StoreLimits limits;
  private TokenBucket requests;
  private TokenBucket writes;
  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final Set<String> refused = new HashSet<>();
  private List<Watch> watches = new ArrayList<>();
  private long epoch;
  private long oldest;
  private long lastHold;
  private long throttled;
  private int tooLarge;
  private boolean out;
  private int lateOneIn;
  private DelayedTransactions lateWrites = DelayedTransactions.NONE;
  private final List<Integer> lateOutcomes = new ArrayList<>();
  private double slowLeastS;
  private double slowMostS;
  private double slowUntil;
  private int underWay;
  private int mostUnderWay;
  private Random slowDraws;
  private int keptChanges = KEPT_CHANGES;

  KeyValueStoreSimulator(Clock clock, Random random, Settings.StoreLimits limits) {
    this.clock = clock;
    this.random = random;
    limit(limits);
  }

  /**
   * Changes the limits from now on, without notice. Stored values stay readable, whatever their
   * size.
   */
  void limit(Settings.StoreLimits other) {
    limits = other;
    requests = new TokenBucket(limits.requestsPerSecond(), limits.requestsPerSecond(), now());
    writes = new TokenBucket(limits.writesPerSecond(), limits.writesPerSecond(), now());
  }

  /** The number of transactions refused with 400 for a value or for their own size. */
  int tooLarge() {
    return tooLarge;
  }

  private HttpResponse tooLarge(String what) {
    tooLarge++;
    return answer(400, "error", what);
  }

  private MonotonicTime now() {
    return new MonotonicTime((long) (clock.seconds() * 1e9));
  }

  /**
   * Leaves one in {@code oneIn} transactions unanswered and applies it seconds later; 0 for none.
   */
  void applyLate(int oneIn) {
    lateOneIn = oneIn;
  }

  /** Decides which transactions are applied late and not answered. */
  void late(DelayedTransactions late) {
    lateWrites = late;
  }

  /** The statuses of the unanswered transactions that were applied, in that order. */
  List<Integer> lateOutcomes() {
    return lateOutcomes;
  }

  /**
   * For {@code seconds}, each answer takes between {@code leastS} and {@code mostS}; the request is
   * applied at a random time in between.
   */
  void slow(double leastS, double mostS, double seconds, Random draws) {
    slowLeastS = leastS;
    slowMostS = mostS;
    slowUntil = clock.seconds() + seconds;
    slowDraws = draws;
  }

  /**
   * The largest number of concurrent requests while the service was slow, including those whose
   * caller had timed out.
   */
  int mostUnderWay() {
    return mostUnderWay;
  }

  private boolean isSlow() {
    return clock.seconds() < slowUntil;
  }

  private double slowness() {
    return slowLeastS + slowDraws.nextDouble() * (slowMostS - slowLeastS);
  }

  /** Watches that lag by more than {@code most} changes are answered with 410. */
  void keepChanges(int most) {
    keptChanges = most;
    while (events.size() > keptChanges) {
      oldest = events.poll().stamp();
    }
  }

  void outage(double seconds) {
    out = true;
    clock.after(
        seconds,
        () -> {
          out = false;
          holds.values().forEach(hold -> hold.until = clock.seconds() + hold.life);
          wakeWatches();
        });
  }

  void refuse(String node, double seconds) {
    refused.add(node);
    clock.after(
        seconds,
        () -> {
          refused.remove(node);
          wakeWatches();
        });
  }

  /** The number of requests refused with 429. */
  long throttled() {
    return throttled;
  }

  @Override
  public boolean isUp() {
    return true;
  }

  @Override
  public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
    if (!isSlow()) {
      // A watch that was opened earlier may be answered while the service is slow.
      serve(
          from,
          request,
          response -> {
            if (isSlow()) {
              clock.after(slowness(), () -> reply.accept(response));
            } else {
              reply.accept(response);
            }
          });
      return;
    }
    double there = slowness();
    double before = there * slowDraws.nextDouble();
    underWay++;
    mostUnderWay = Math.max(mostUnderWay, underWay);
    clock.after(there, () -> underWay--);
    clock.after(
        before,
        () ->
            serve(
                from,
                request,
                response -> clock.after(there - before, () -> reply.accept(response))));
  }

  private void serve(String from, HttpRequest request, Consumer<HttpResponse> reply) {
    if (out || refused.contains(from)) {
      reply.accept(HttpResponse.of(503));
      return;
    }
    if (!requests.take(1, now())) {
      throttle(reply);
      return;
    }
    expire();
    try {
      route(from, request, reply);
    } catch (MalformedMessageException | NumberFormatException e) {
      reply.accept(
          HttpResponse.of(400, String.valueOf(e.getMessage()).getBytes(StandardCharsets.UTF_8)));
    }
  }

  private void throttle(Consumer<HttpResponse> reply) {
    throttled++;
    reply.accept(HttpResponse.of(429));
  }

  private void route(String from, HttpRequest request, Consumer<HttpResponse> reply)
      throws MalformedMessageException {
    String path = request.path();
    if (path.equals("/txn")) {
      takeTxn(request, reply);
    } else if (path.startsWith("/keys/")) {
      Value value = keys.get(path.substring(6));
      reply.accept(
          value == null
              ? answer(404, "Epoch", epoch)
              : answer(
                  200,
                  "Path",
                  path.substring(6),
                  "Value",
                  value.value(),
                  "Stamp",
                  value.stamp(),
                  "Hold",
                  value.hold()));
    } else if (path.equals("/keys")) {
      reply.accept(list(request));
    } else if (path.equals("/holds")) {
      long id = ++lastHold;
      double life = Json.parseFields(request.body()).integer("LifeMs", 100, 600_000) / 1000.0;
      holds.put(id, new Hold(life, clock.seconds() + life));
      reply.accept(answer(200, "Hold", id));
    } else if (path.startsWith("/holds/")) {
      reply.accept(hold(request.method(), Long.parseLong(path.split("/")[2])));
    } else if (path.equals("/follow")) {
      double wait =
          request.query("BlockMs") == null ? 0 : Long.parseLong(request.query("BlockMs")) / 1000.0;
      String under = request.query("Under");
      follow(
          new Watch(
              from,
              under == null ? "" : under,
              Long.parseLong(request.query("Since")),
              clock.seconds() + Math.min(wait, LONGEST_WATCH_S),
              reply));
    } else {
      reply.accept(HttpResponse.of(404));
    }
  }

  private static HttpResponse answer(int status, Object... fields) {
    return HttpResponse.of(status, Json.write(Json.object(fields)));
  }

  // ---- leases ----

  private HttpResponse hold(String method, long id) {
    Hold hold = holds.get(id);
    if (hold == null) {
      return answer(404);
    }
    if (method.equals("DELETE")) {
      end(id);
    } else {
      hold.until = clock.seconds() + hold.life;
    }
    return answer(200);
  }

  private void expire() {
    for (long id : List.copyOf(holds.keySet())) {
      if (holds.get(id).until < clock.seconds()) {
        end(id);
      }
    }
  }

  private void end(long id) {
    Collection<String> attached = holds.remove(id).keys;
    if (!attached.isEmpty()) {
      epoch++;
      List.copyOf(attached).forEach(key -> change(key, null, 0, 0));
      wakeWatches();
    }
  }

  // ---- transactions ----

  private void takeTxn(HttpRequest request, Consumer<HttpResponse> reply)
      throws MalformedMessageException {
    if (request.body().length > MOST_TXN_BYTES) {
      reply.accept(tooLarge("too much in a transaction"));
      return;
    }
    JsonFields in = Json.parseFields(request.body());
    List<JsonFields> changes = in.listOrEmpty("Apply").isEmpty() ? List.of() : in.objects("Apply");
    if (!changes.isEmpty() && !writes.take(changes.size(), now())) {
      throttle(reply);
      return;
    }
    double after =
        changes.isEmpty()
            ? DelayedTransactions.PROMPT
            : lateWrites.afterS(new String(request.body(), StandardCharsets.UTF_8));
    if (after == DelayedTransactions.PROMPT && lateOneIn > 0 && random.nextInt(lateOneIn) == 0) {
      after = 3 + random.nextDouble() * 20;
    }
    if (after == DelayedTransactions.PROMPT) {
      reply.accept(txn(in, changes));
    } else if (after == DelayedTransactions.AT_ONCE) {
      carryOut(in, changes);
    } else {
      clock.after(after, () -> carryOut(in, changes));
    }
  }

  /** Applied when the sender may have timed out long ago. */
  private void carryOut(JsonFields in, List<JsonFields> changes) {
    try {
      expire();
      lateOutcomes.add(txn(in, changes).status());
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpResponse txn(JsonFields in, List<JsonFields> changes)
      throws MalformedMessageException {
    List<Object> failed = new ArrayList<>();
    List<JsonFields> guards = in.listOrEmpty("Guards").isEmpty() ? List.of() : in.objects("Guards");
    if (changes.size() > limits.maxMutationsPerTransaction()
        || guards.size()
            > Settings.StoreLimits.PRECONDITIONS_PER_MUTATION
                * limits.maxMutationsPerTransaction()) {
      return tooLarge("too much in a transaction");
    }
    for (JsonFields guard : guards) {
      Value value = keys.get(guard.string("Path"));
      if ((value == null ? 0 : value.stamp()) != guard.unsigned("Stamp")) {
        failed.add(guard.string("Path"));
      }
    }
    int[] bytes = new int[changes.size()];
    for (int i = 0; i < bytes.length; i++) {
      JsonFields change = changes.get(i);
      if (change.has("Hold") && !holds.containsKey(change.unsigned("Hold"))) {
        return answer(400, "error", "no such lease");
      }
      bytes[i] = change.has("Set") ? Json.write(change.raw("Value")).length : 0;
      if (bytes[i] > limits.maxValueBytes()) {
        return tooLarge("value too large");
      }
    }
    if (!failed.isEmpty()) {
      return answer(409, "failed", failed, "Epoch", epoch);
    }
    if (bytes.length > 0) {
      epoch++;
      for (int i = 0; i < bytes.length; i++) {
        JsonFields change = changes.get(i);
        if (change.has("Set")) {
          change(
              change.string("Set"),
              change.raw("Value"),
              bytes[i],
              change.has("Hold") ? change.unsigned("Hold") : 0);
        } else {
          change(change.string("Drop"), null, 0, 0);
        }
      }
      wakeWatches();
    }
    return answer(200, "Epoch", epoch);
  }

  /** The value of a key, or null. */
  Object value(String key) {
    Value value = keys.get(key);
    return value == null ? null : value.value();
  }

  /** The keys with a prefix. */
  Set<String> under(String under) {
    return new TreeSet<>(keys.keySet().stream().filter(key -> key.startsWith(under)).toList());
  }

  /** Writes or deletes a key on behalf of a client other than a controller. */
  void write(String key, Object value) {
    epoch++;
    change(key, value, 100, 0);
    wakeWatches();
  }

  /** The only place where a key changes. */
  private void change(String key, Object value, int bytes, long hold) {
    Value before =
        value == null ? keys.remove(key) : keys.put(key, new Value(value, bytes, epoch, hold));
    if (before != null && holds.containsKey(before.hold())) {
      holds.get(before.hold()).keys.remove(key);
    }
    if (hold != 0) {
      holds.get(hold).keys.add(key);
    }
    if (value != null || before != null) {
      events.add(new Event(key, value, epoch));
      while (events.size() > keptChanges) {
        oldest = events.poll().stamp();
      }
    }
  }

  // ---- reads ----

  private HttpResponse list(HttpRequest request) {
    List<Object> items = new ArrayList<>();
    String after = request.query("Since");
    String under = request.query("Under") == null ? "" : request.query("Under");
    int most =
        request.query("Page") == null
            ? MOST_ITEMS
            : Math.min(MOST_ITEMS, Integer.parseInt(request.query("Page")));
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Value> entry :
        keys.tailMap(after == null ? under : after, after == null).entrySet()) {
      if (!entry.getKey().startsWith(under)) {
        if (entry.getKey().compareTo(under) > 0) {
          break;
        }
        continue;
      }
      if (items.size() == most || bytes + entry.getValue().bytes() > MOST_LIST_BYTES) {
        more = true;
        break;
      }
      bytes += entry.getValue().bytes();
      items.add(
          Json.object(
              "Path",
              entry.getKey(),
              "Value",
              entry.getValue().value(),
              "Stamp",
              entry.getValue().stamp()));
    }
    return answer(200, "Items", items, "More", more, "Epoch", epoch);
  }

  private void wakeWatches() {
    List<Watch> woken = watches;
    watches = new ArrayList<>();
    woken.forEach(this::follow);
  }

  private void follow(Watch watch) {
    if (watch.since() < oldest) {
      watch.reply().accept(answer(410, "Epoch", epoch));
      return;
    }
    ArrayDeque<Object> log = new ArrayDeque<>();
    for (Iterator<Event> newest = events.descendingIterator(); newest.hasNext(); ) {
      Event event = newest.next();
      if (event.stamp() <= watch.since()) {
        break;
      }
      if (event.key().startsWith(watch.under())) {
        log.addFirst(
            event.value() == null
                ? Json.object("Drop", event.key(), "Stamp", event.stamp())
                : Json.object("Set", event.key(), "Value", event.value(), "Stamp", event.stamp()));
      }
    }
    // During an outage, for all clients or for one, open watches stay open.
    boolean silent = out || refused.contains(watch.from());
    if (!silent && (!log.isEmpty() || watch.until() <= clock.seconds())) {
      watch.reply().accept(answer(200, "Epoch", epoch, "Log", new ArrayList<>(log)));
      return;
    }
    watches.add(watch);
    clock.after(
        Math.max(0.05, watch.until() - clock.seconds()),
        () -> {
          if (watches.remove(watch)) {
            follow(watch);
          }
        });
  }
}
