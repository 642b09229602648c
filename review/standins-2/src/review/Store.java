package review;

import java.math.BigInteger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.quincecross.protocol.Json;

/** The state service, as PROTOCOL "Controller nodes -> state service" describes it. */
final class Store {
  private record Value(Object value, int bytes, BigInteger stamp, BigInteger hold) {}

  private record Change(String key, Object value, int bytes, BigInteger stamp) {}

  private static final class Hold {
    final long lifeMs;
    long until;
    final Set<String> keys = new HashSet<>();

    Hold(long lifeMs) {
      this.lifeMs = lifeMs;
    }
  }

  /** Gives the id of the next lease. */
  interface HoldIds {
    BigInteger next(int number);
  }

  final TreeMap<String, Value> keys = new TreeMap<>();
  private final ArrayDeque<Change> log = new ArrayDeque<>();
  private final Map<BigInteger, Hold> holds = new HashMap<>();
  private final Set<Integer> refused = new HashSet<>();
  private final double valueBytes;
  private final int ops;
  private final HoldIds holdIds;
  private final double[] requests;
  private final double[] writes;
  private BigInteger epoch;
  private BigInteger forgotten;
  private int granted;
  private boolean outage;
  long bytesWritten;
  volatile double lateShare;
  private final java.util.Random random = new java.util.Random(58);

  Store(double rps, double writeRps, double valueKb, int ops, BigInteger epoch, HoldIds holdIds) {
    this.requests = new double[] {rps, rps, System.nanoTime()};
    this.writes = new double[] {writeRps, writeRps, System.nanoTime()};
    this.valueBytes = valueKb * 1024;
    this.ops = ops;
    this.epoch = epoch;
    this.forgotten = epoch;
    this.holdIds = holdIds;
    Http.thread(
        () -> {
          while (true) {
            Site.sleep(20);
            synchronized (this) {
              expire();
            }
          }
        });
  }

  /** Serves one controller on a port of its own. */
  int serve(int node) throws Exception {
    return new Http.Server(0, request -> handle(node, request)).port();
  }

  /** Answers one controller, or all (-1), with 503 from now on, or serves it again. */
  synchronized void refuse(int node, boolean on) {
    if (node < 0) {
      outage = on;
    } else if (on) {
      refused.add(node);
    } else {
      refused.remove(node);
    }
    if (node < 0 && !on) {
      holds.values().forEach(hold -> hold.until = now() + hold.lifeMs);
    }
    notifyAll();
  }

  synchronized BigInteger epoch() {
    return epoch;
  }

  synchronized Object value(String key) {
    return keys.containsKey(key) ? keys.get(key).value() : null;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private static boolean take(double[] bucket, double amount) {
    double now = System.nanoTime();
    bucket[1] = Math.min(bucket[0], bucket[1] + (now - bucket[2]) / 1e9 * bucket[0]);
    bucket[2] = now;
    if (bucket[1] < amount) {
      return false;
    }
    bucket[1] -= amount;
    return true;
  }

  private static Http.Response answer(int status, Object... fields) {
    return new Http.Response(status, Json.write(Json.object(fields)));
  }

  private boolean isRefused(int node) {
    return outage || refused.contains(node);
  }

  private synchronized Http.Response handle(int node, Http.Request request) throws Exception {
    if (isRefused(node)) {
      return answer(503, "error", "trouble");
    }
    if (!take(requests, 1)) {
      return answer(429, "error", "too many requests");
    }
    expire();
    String path = request.path();
    if (path.equals("/txn")) {
      if (lateShare > 0 && random.nextDouble() < lateShare) {
        // No answer; carried out at once, or 2 to 12 s later.
        if (random.nextBoolean()) {
          transaction(request);
        } else {
          long after = 2000 + random.nextInt(10_000);
          Http.thread(
              () -> {
                Site.sleep(after);
                synchronized (this) {
                  try {
                    expire();
                    transaction(request);
                  } catch (Exception e) {
                    throw new IllegalStateException(e);
                  }
                }
              });
        }
        for (long until = now() + 5000; now() < until; ) {
          wait(500);
        }
        return Http.Response.NONE;
      }
      return transaction(request);
    }
    if (path.startsWith("/keys/")) {
      Value value = keys.get(path.substring(6));
      if (value == null) {
        return answer(404, "Epoch", epoch);
      }
      Map<String, Object> out =
          Json.object(
              "Path", path.substring(6), "Value", value.value(), "Stamp", value.stamp());
      if (value.hold() != null) {
        out.put("Hold", value.hold());
      }
      return new Http.Response(200, Json.write(out));
    }
    if (path.equals("/keys")) {
      return list(request);
    }
    if (path.equals("/holds")) {
      Map<?, ?> in = (Map<?, ?>) Json.parse(request.body());
      Hold hold = new Hold((Long) in.get("LifeMs"));
      hold.until = now() + hold.lifeMs;
      BigInteger id = holdIds.next(++granted);
      holds.put(id, hold);
      return answer(200, "Hold", id);
    }
    if (path.startsWith("/holds/")) {
      BigInteger id = new BigInteger(path.split("/")[2]);
      Hold hold = holds.get(id);
      if (hold == null) {
        return answer(404);
      }
      if (request.method().equals("DELETE")) {
        end(id);
      } else {
        hold.until = now() + hold.lifeMs;
      }
      return answer(200);
    }
    if (path.equals("/follow")) {
      return follow(node, request);
    }
    return answer(404);
  }

  private void expire() {
    if (outage) {
      return;
    }
    for (BigInteger id : List.copyOf(holds.keySet())) {
      if (holds.get(id).until < now()) {
        end(id);
      }
    }
  }

  private void end(BigInteger id) {
    Hold hold = holds.remove(id);
    if (!hold.keys.isEmpty()) {
      epoch = epoch.add(BigInteger.ONE);
      List.copyOf(hold.keys).forEach(key -> change(key, null, null));
      notifyAll();
    }
  }

  private void change(String key, Object value, BigInteger hold) {
    Value before = keys.get(key);
    if (before != null && before.hold() != null && holds.containsKey(before.hold())) {
      holds.get(before.hold()).keys.remove(key);
    }
    if (value == null && before == null) {
      return;
    }
    int bytes = value == null ? 0 : Json.write(value).length;
    bytesWritten += bytes + key.length();
    if (value == null) {
      keys.remove(key);
    } else {
      keys.put(key, new Value(value, bytes, epoch, hold));
      if (hold != null) {
        holds.get(hold).keys.add(key);
      }
    }
    log.add(new Change(key, value, bytes, epoch));
    while (log.size() > 10_000) {
      forgotten = log.poll().stamp();
    }
  }

  private static BigInteger big(Object number) {
    return new BigInteger(number.toString());
  }

  private static List<?> items(Object list) {
    return list == null ? List.of() : (List<?>) list;
  }

  private Http.Response transaction(Http.Request request) throws Exception {
    Map<?, ?> in = (Map<?, ?>) Json.parse(request.body());
    List<?> apply = items(in.get("Apply"));
    List<?> guards = items(in.get("Guards"));
    if (!apply.isEmpty() && !take(writes, apply.size())) {
      return answer(429, "error", "too many changes");
    }
    if (request.body().length > 64 * 1024 || apply.size() > ops || guards.size() > 4 * ops) {
      return answer(400, "error", "too much in a transaction");
    }
    List<Object> failed = new ArrayList<>();
    for (Object item : guards) {
      Map<?, ?> guard = (Map<?, ?>) item;
      Value value = keys.get((String) guard.get("Path"));
      BigInteger stamp = value == null ? BigInteger.ZERO : value.stamp();
      if (!stamp.equals(big(guard.get("Stamp")))) {
        failed.add(guard.get("Path"));
      }
    }
    for (Object item : apply) {
      Map<?, ?> each = (Map<?, ?>) item;
      if (each.get("Hold") != null && !holds.containsKey(big(each.get("Hold")))) {
        return answer(400, "error", "no such lease");
      }
      if (each.get("Set") != null && Json.write(each.get("Value")).length > valueBytes) {
        return answer(400, "error", "value too large");
      }
    }
    if (!failed.isEmpty()) {
      return answer(409, "failed", failed, "Epoch", epoch);
    }
    if (!apply.isEmpty()) {
      epoch = epoch.add(BigInteger.ONE);
      for (Object item : apply) {
        Map<?, ?> each = (Map<?, ?>) item;
        if (each.get("Set") != null) {
          change(
              (String) each.get("Set"),
              each.get("Value"),
              each.get("Hold") == null ? null : big(each.get("Hold")));
        } else {
          change((String) each.get("Drop"), null, null);
        }
      }
      notifyAll();
    }
    return answer(200, "Epoch", epoch);
  }

  private Http.Response list(Http.Request request) {
    String under = request.parameter("Under") == null ? "" : request.parameter("Under");
    String since = request.parameter("Since");
    int page =
        request.parameter("Page") == null ? 1000 : Integer.parseInt(request.parameter("Page"));
    List<Object> items = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Value> each :
        keys.tailMap(since == null ? under : since, since == null).entrySet()) {
      if (!each.getKey().startsWith(under)) {
        break;
      }
      bytes += each.getValue().bytes() + each.getKey().length() + 60;
      if (items.size() >= Math.min(page, 1000) || bytes > 500 * 1024) {
        more = true;
        break;
      }
      items.add(
          Json.object(
              "Path",
              each.getKey(),
              "Value",
              each.getValue().value(),
              "Stamp",
              each.getValue().stamp()));
    }
    return answer(200, "Items", items, "More", more, "Epoch", epoch);
  }

  private Http.Response follow(int node, Http.Request request) throws InterruptedException {
    String under = request.parameter("Under") == null ? "" : request.parameter("Under");
    BigInteger since = new BigInteger(request.parameter("Since"));
    String block = request.parameter("BlockMs");
    long until = now() + (block == null ? 0 : Math.min(60_000, Long.parseLong(block)));
    while (true) {
      if (since.compareTo(forgotten) < 0) {
        return answer(410, "error", "too old");
      }
      List<Object> events = new ArrayList<>();
      for (var i = log.descendingIterator(); i.hasNext(); ) {
        Change change = i.next();
        if (change.stamp().compareTo(since) <= 0) {
          break;
        }
        if (change.key().startsWith(under)) {
          Map<String, Object> event = new LinkedHashMap<>();
          event.put(change.value() == null ? "Drop" : "Set", change.key());
          if (change.value() != null) {
            event.put("Value", change.value());
          }
          event.put("Stamp", change.stamp());
          events.add(event);
        }
      }
      java.util.Collections.reverse(events);
      // During an outage, open watches stay open and wait.
      if (!isRefused(node) && (!events.isEmpty() || now() >= until)) {
        return answer(200, "Epoch", epoch, "Log", events);
      }
      wait(isRefused(node) ? 100 : Math.max(1, until - now()));
    }
  }
}
