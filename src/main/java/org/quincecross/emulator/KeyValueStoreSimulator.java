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
  private static final int MAX_KEPT_CHANGES = 10_000;

  private static final int MAX_LIST_ITEMS = 1000;
  private static final int MAX_LIST_BYTES = 512 * 1024;
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
  private static final double MAX_WATCH_S = 60;

  private record StoredValue(Object value, int bytes, long stamp, long leaseId) {}

  private record ChangeEvent(String key, Object value, long stamp) {}

  private static final class Lease {
    private final double timeToLiveS;
    private final Set<String> keys = new LinkedHashSet<>();
    private double expiresAt;

    Lease(double timeToLiveS, double expiresAt) {
      this.timeToLiveS = timeToLiveS;
      this.expiresAt = expiresAt;
    }
  }

  private record Watch(
      String from, String under, long since, double until, Consumer<HttpResponse> reply) {}

  private final Clock clock;
  private final Random random;
  private Settings.StoreLimits limits;
  private TokenBucket requests;
  private TokenBucket writes;
  private final TreeMap<String, StoredValue> keys = new TreeMap<>();
  private final ArrayDeque<ChangeEvent> events = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Set<String> refused = new HashSet<>();
  private List<Watch> watches = new ArrayList<>();
  private long epoch;
  private long oldestKeptStamp;
  private long lastLeaseId;
  private long throttled;
  private int tooLarge;
  private boolean unavailable;
  private int lateOneIn;
  private DelayedTransactions delayedTransactions = DelayedTransactions.NONE;
  private final List<Integer> lateOutcomes = new ArrayList<>();
  private double minSlowResponseS;
  private double maxSlowResponseS;
  private double slowUntil;
  private int pendingRequests;
  private int maxPendingRequests;
  private Random slowDraws;
  private int keptChanges = MAX_KEPT_CHANGES;

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
  void delayTransactions(DelayedTransactions late) {
    delayedTransactions = late;
  }

  /** The statuses of the unanswered transactions that were applied, in that order. */
  List<Integer> lateOutcomes() {
    return lateOutcomes;
  }

  /**
   * For {@code seconds}, each answer takes between {@code leastS} and {@code mostS}; the request is
   * applied at a random time in between.
   */
  void slowDown(double leastS, double mostS, double seconds, Random draws) {
    minSlowResponseS = leastS;
    maxSlowResponseS = mostS;
    slowUntil = clock.seconds() + seconds;
    slowDraws = draws;
  }

  /**
   * The largest number of concurrent requests while the service was slow, including those whose
   * caller had timed out.
   */
  int maxPendingRequests() {
    return maxPendingRequests;
  }

  private boolean isSlow() {
    return clock.seconds() < slowUntil;
  }

  private double slowResponseS() {
    return minSlowResponseS + slowDraws.nextDouble() * (maxSlowResponseS - minSlowResponseS);
  }

  /** Watches that lag by more than {@code most} changes are answered with 410. */
  void keepChanges(int most) {
    keptChanges = most;
    while (events.size() > keptChanges) {
      oldestKeptStamp = events.poll().stamp();
    }
  }

  void outage(double seconds) {
    unavailable = true;
    clock.after(
        seconds,
        () -> {
          unavailable = false;
          leases.values().forEach(lease -> lease.expiresAt = clock.seconds() + lease.timeToLiveS);
          answerWatches();
        });
  }

  void refuse(String node, double seconds) {
    refused.add(node);
    clock.after(
        seconds,
        () -> {
          refused.remove(node);
          answerWatches();
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
              clock.after(slowResponseS(), () -> reply.accept(response));
            } else {
              reply.accept(response);
            }
          });
      return;
    }
    double responseS = slowResponseS();
    double appliedAfterS = responseS * slowDraws.nextDouble();
    pendingRequests++;
    maxPendingRequests = Math.max(maxPendingRequests, pendingRequests);
    clock.after(responseS, () -> pendingRequests--);
    clock.after(
        appliedAfterS,
        () ->
            serve(
                from,
                request,
                response -> clock.after(responseS - appliedAfterS, () -> reply.accept(response))));
  }

  private void serve(String from, HttpRequest request, Consumer<HttpResponse> reply) {
    if (unavailable || refused.contains(from)) {
      reply.accept(HttpResponse.of(503));
      return;
    }
    if (!requests.take(1, now())) {
      throttle(reply);
      return;
    }
    expireLeases();
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
      receiveTransaction(request, reply);
    } else if (path.startsWith("/keys/")) {
      StoredValue value = keys.get(path.substring(6));
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
                  value.leaseId()));
    } else if (path.equals("/keys")) {
      reply.accept(list(request));
    } else if (path.equals("/holds")) {
      long id = ++lastLeaseId;
      double timeToLiveS =
          Json.parseFields(request.body()).integer("LifeMs", 100, 600_000) / 1000.0;
      leases.put(id, new Lease(timeToLiveS, clock.seconds() + timeToLiveS));
      reply.accept(answer(200, "Hold", id));
    } else if (path.startsWith("/holds/")) {
      reply.accept(renewOrRevokeLease(request.method(), Long.parseLong(path.split("/")[2])));
    } else if (path.equals("/follow")) {
      double wait =
          request.query("BlockMs") == null ? 0 : Long.parseLong(request.query("BlockMs")) / 1000.0;
      String under = request.query("Under");
      answerOrWait(
          new Watch(
              from,
              under == null ? "" : under,
              Long.parseLong(request.query("Since")),
              clock.seconds() + Math.min(wait, MAX_WATCH_S),
              reply));
    } else {
      reply.accept(HttpResponse.of(404));
    }
  }

  private static HttpResponse answer(int status, Object... fields) {
    return HttpResponse.of(status, Json.write(Json.object(fields)));
  }

  // ---- leases ----

  private HttpResponse renewOrRevokeLease(String method, long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return answer(404);
    }
    if (method.equals("DELETE")) {
      endLease(id);
    } else {
      lease.expiresAt = clock.seconds() + lease.timeToLiveS;
    }
    return answer(200);
  }

  private void expireLeases() {
    for (long id : List.copyOf(leases.keySet())) {
      if (leases.get(id).expiresAt < clock.seconds()) {
        endLease(id);
      }
    }
  }

  private void endLease(long id) {
    Collection<String> attached = leases.remove(id).keys;
    if (!attached.isEmpty()) {
      epoch++;
      List.copyOf(attached).forEach(key -> change(key, null, 0, 0));
      answerWatches();
    }
  }

  // ---- transactions ----

  private void receiveTransaction(HttpRequest request, Consumer<HttpResponse> reply)
      throws MalformedMessageException {
    if (request.body().length > MAX_TRANSACTION_BYTES) {
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
            : delayedTransactions.afterS(new String(request.body(), StandardCharsets.UTF_8));
    if (after == DelayedTransactions.PROMPT && lateOneIn > 0 && random.nextInt(lateOneIn) == 0) {
      after = 3 + random.nextDouble() * 20;
    }
    if (after == DelayedTransactions.PROMPT) {
      reply.accept(applyTransaction(in, changes));
    } else if (after == DelayedTransactions.AT_ONCE) {
      applyWithoutAnswer(in, changes);
    } else {
      clock.after(after, () -> applyWithoutAnswer(in, changes));
    }
  }

  /** Applied when the sender may have timed out long ago. */
  private void applyWithoutAnswer(JsonFields in, List<JsonFields> changes) {
    try {
      expireLeases();
      lateOutcomes.add(applyTransaction(in, changes).status());
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpResponse applyTransaction(JsonFields in, List<JsonFields> changes)
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
      StoredValue value = keys.get(guard.string("Path"));
      if ((value == null ? 0 : value.stamp()) != guard.unsigned("Stamp")) {
        failed.add(guard.string("Path"));
      }
    }
    int[] bytes = new int[changes.size()];
    for (int i = 0; i < bytes.length; i++) {
      JsonFields change = changes.get(i);
      if (change.has("Hold") && !leases.containsKey(change.unsigned("Hold"))) {
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
      answerWatches();
    }
    return answer(200, "Epoch", epoch);
  }

  /** The value of a key, or null. */
  Object value(String key) {
    StoredValue value = keys.get(key);
    return value == null ? null : value.value();
  }

  /** The keys with a prefix. */
  Set<String> keysWithPrefix(String prefix) {
    return new TreeSet<>(keys.keySet().stream().filter(key -> key.startsWith(prefix)).toList());
  }

  /** Writes or deletes a key on behalf of a client other than a controller. */
  void write(String key, Object value) {
    epoch++;
    change(key, value, 100, 0);
    answerWatches();
  }

  /** The only place where a key changes. */
  private void change(String key, Object value, int bytes, long leaseId) {
    StoredValue before =
        value == null
            ? keys.remove(key)
            : keys.put(key, new StoredValue(value, bytes, epoch, leaseId));
    if (before != null && leases.containsKey(before.leaseId())) {
      leases.get(before.leaseId()).keys.remove(key);
    }
    if (leaseId != 0) {
      leases.get(leaseId).keys.add(key);
    }
    if (value != null || before != null) {
      events.add(new ChangeEvent(key, value, epoch));
      while (events.size() > keptChanges) {
        oldestKeptStamp = events.poll().stamp();
      }
    }
  }

  // ---- reads ----

  private HttpResponse list(HttpRequest request) {
    List<Object> items = new ArrayList<>();
    String after = request.query("Since");
    String under = request.query("Under") == null ? "" : request.query("Under");
    int limit =
        request.query("Page") == null
            ? MAX_LIST_ITEMS
            : Math.min(MAX_LIST_ITEMS, Integer.parseInt(request.query("Page")));
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, StoredValue> entry :
        keys.tailMap(after == null ? under : after, after == null).entrySet()) {
      if (!entry.getKey().startsWith(under)) {
        if (entry.getKey().compareTo(under) > 0) {
          break;
        }
        continue;
      }
      if (items.size() == limit || bytes + entry.getValue().bytes() > MAX_LIST_BYTES) {
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

  private void answerWatches() {
    List<Watch> woken = watches;
    watches = new ArrayList<>();
    woken.forEach(this::answerOrWait);
  }

  private void answerOrWait(Watch watch) {
    if (watch.since() < oldestKeptStamp) {
      watch.reply().accept(answer(410, "Epoch", epoch));
      return;
    }
    ArrayDeque<Object> log = new ArrayDeque<>();
    for (Iterator<ChangeEvent> newest = events.descendingIterator(); newest.hasNext(); ) {
      ChangeEvent event = newest.next();
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
    boolean silent = unavailable || refused.contains(watch.from());
    if (!silent && (!log.isEmpty() || watch.until() <= clock.seconds())) {
      watch.reply().accept(answer(200, "Epoch", epoch, "Log", new ArrayList<>(log)));
      return;
    }
    watches.add(watch);
    clock.after(
        Math.max(0.05, watch.until() - clock.seconds()),
        () -> {
          if (watches.remove(watch)) {
            answerOrWait(watch);
          }
        });
  }
}
