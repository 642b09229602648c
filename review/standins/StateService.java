package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service: keys, holds, transactions and watches, as the protocol describes them. */
final class StateService implements AutoCloseable {
  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_ITEMS = 1000;
  private static final int MAX_BYTES = 512 * 1024;

  private record Entry(String value, long stamp, long hold) {}

  /** One change of a key; {@code value} is null for a deletion. */
  private record Change(String key, String value, long stamp) {}

  /** May delay or refuse requests of one controller before they are carried out. */
  interface Trouble {
    /** Returns an answer instead of carrying the request out, or null. */
    Web.Answer before(int controller, Web.Request request) throws InterruptedException;
  }

  private final Site.Figures figures;
  private final List<Web.Server> servers = new ArrayList<>();
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final ArrayDeque<Change> log = new ArrayDeque<>();
  private final Map<Long, Long> holdEnds = new HashMap<>();
  private final Map<Long, Long> holdLives = new HashMap<>();
  private long epoch = 1;
  private long forgottenUpTo = 1;
  private long holds;
  private double requestTokens;
  private double writeTokens;
  private long tokensAt = System.nanoTime();
  volatile Trouble trouble = (controller, request) -> null;

  StateService(Site.Figures figures, int controllers) throws IOException {
    this.figures = figures;
    requestTokens = figures.stateRps();
    writeTokens = figures.writeRps();
    for (int i = 0; i < controllers; i++) {
      int controller = i;
      servers.add(new Web.Server(0, request -> handle(controller, request)));
    }
    Web.daemon(this::expireHolds);
  }

  int port(int controller) {
    return servers.get(controller).port();
  }

  synchronized int keyCount() {
    return keys.size();
  }

  synchronized long bytes() {
    return keys.values().stream().mapToLong(entry -> entry.value.length()).sum();
  }

  /** The lengths of the values below a prefix. */
  synchronized String lengths(String prefix) {
    StringBuilder out = new StringBuilder();
    keys.forEach((key, entry) -> {
      if (key.startsWith(prefix)) {
        out.append(key).append(' ').append(entry.value.length()).append("; ");
      }
    });
    return out.toString();
  }

  synchronized String value(String key) {
    Entry entry = keys.get(key);
    return entry == null ? null : entry.value;
  }

  private Web.Answer handle(int controller, Web.Request request) throws InterruptedException {
    Web.Answer instead = trouble.before(controller, request);
    if (instead != null) {
      return instead;
    }
    String path = request.path();
    synchronized (this) {
      refill();
      if (requestTokens < 1) {
        return Web.Answer.of(429, Json.object("error", "too many requests"));
      }
      requestTokens--;
    }
    if (path.equals("/follow")) {
      return follow(request);
    }
    synchronized (this) {
      if (path.equals("/keys")) {
        return list(request);
      }
      if (path.startsWith("/keys/")) {
        return get(path.substring("/keys/".length()));
      }
      if (path.equals("/txn")) {
        return transaction(request);
      }
      if (path.equals("/holds")) {
        long id = ++holds;
        long life = Json.number(Json.parseObject(request.body()).get("LifeMs"));
        holdLives.put(id, life);
        holdEnds.put(id, System.nanoTime() + life * 1_000_000);
        return Web.Answer.of(200, Json.object("Hold", id));
      }
      if (path.startsWith("/holds/")) {
        long id = Long.parseLong(path.split("/")[2]);
        if (!holdEnds.containsKey(id)) {
          return Web.Answer.of(404, Json.object("error", "no such lease"));
        }
        if (request.method().equals("DELETE")) {
          endHold(id);
        } else {
          holdEnds.put(id, System.nanoTime() + holdLives.get(id) * 1_000_000);
        }
        return Web.Answer.of(200, Json.object("Hold", id));
      }
    }
    return Web.Answer.of(400, Json.object("error", "unknown request"));
  }

  private void refill() {
    long now = System.nanoTime();
    double seconds = (now - tokensAt) / 1e9;
    tokensAt = now;
    requestTokens = Math.min(figures.stateRps(), requestTokens + seconds * figures.stateRps());
    writeTokens = Math.min(figures.writeRps(), writeTokens + seconds * figures.writeRps());
  }

  private Web.Answer get(String key) {
    Entry entry = keys.get(key);
    if (entry == null) {
      return Web.Answer.of(404, Json.object("Epoch", epoch));
    }
    return new Web.Answer(
        200,
        "{\"Path\":" + Json.write(key) + ",\"Value\":" + entry.value + ",\"Stamp\":" + entry.stamp
            + (entry.hold == 0 ? "" : ",\"Hold\":" + entry.hold) + "}");
  }

  private Web.Answer list(Web.Request request) {
    String under = request.query("Under");
    String since = request.query("Since");
    int page = Math.min(MAX_ITEMS, Integer.parseInt(request.query("Page")));
    StringBuilder out = new StringBuilder("{\"Items\":[");
    int count = 0;
    boolean more = false;
    for (Map.Entry<String, Entry> each : keys.tailMap(since == null ? under : since, since == null).entrySet()) {
      if (!each.getKey().startsWith(under)) {
        break;
      }
      if (count == page || out.length() + each.getValue().value.length() + 300 > MAX_BYTES) {
        more = true;
        break;
      }
      out.append(count++ == 0 ? "" : ",")
          .append("{\"Path\":").append(Json.write(each.getKey()))
          .append(",\"Value\":").append(each.getValue().value)
          .append(",\"Stamp\":").append(each.getValue().stamp).append('}');
    }
    return new Web.Answer(200, out.append("],\"More\":").append(more).append(",\"Epoch\":").append(epoch).append('}').toString());
  }

  private Web.Answer transaction(Web.Request request) {
    Map<String, Object> in = Json.parseObject(request.body());
    List<Map<String, Object>> apply = Json.objects(in.get("Apply"));
    List<Map<String, Object>> guards = Json.objects(in.get("Guards"));
    if (writeTokens < apply.size()) {
      return Web.Answer.of(429, Json.object("error", "too many changes"));
    }
    writeTokens -= apply.size();
    if (apply.size() > figures.txnOps()
        || guards.size() > 4 * figures.txnOps()
        || request.body().length() > 64 * 1024) {
      return Web.Answer.of(400, Json.object("error", "too large"));
    }
    for (Map<String, Object> change : apply) {
      if (change.containsKey("Set")) {
        if (Json.write(change.get("Value")).getBytes(StandardCharsets.UTF_8).length > figures.valueKb() * 1024) {
          return Web.Answer.of(400, Json.object("error", "value too large"));
        }
        if (change.get("Hold") != null && !holdEnds.containsKey(Json.number(change.get("Hold")))) {
          return Web.Answer.of(400, Json.object("error", "no such lease"));
        }
      }
    }
    List<String> failed = new ArrayList<>();
    for (Map<String, Object> guard : guards) {
      Entry entry = keys.get((String) guard.get("Path"));
      if ((entry == null ? 0 : entry.stamp) != Json.number(guard.get("Stamp"))) {
        failed.add((String) guard.get("Path"));
      }
    }
    if (!failed.isEmpty()) {
      return Web.Answer.of(409, Json.object("failed", failed, "Epoch", epoch));
    }
    if (!apply.isEmpty()) {
      epoch++;
      for (Map<String, Object> change : apply) {
        if (change.containsKey("Set")) {
          String value = Json.write(change.get("Value"));
          long hold = change.get("Hold") == null ? 0 : Json.number(change.get("Hold"));
          keys.put((String) change.get("Set"), new Entry(value, epoch, hold));
          changed(new Change((String) change.get("Set"), value, epoch));
        } else if (keys.remove((String) change.get("Drop")) != null) {
          changed(new Change((String) change.get("Drop"), null, epoch));
        }
      }
      notifyAll();
    }
    return Web.Answer.of(200, Json.object("Epoch", epoch));
  }

  private void changed(Change change) {
    log.add(change);
    while (log.size() > KEPT_CHANGES) {
      forgottenUpTo = log.poll().stamp;
    }
  }

  private Web.Answer follow(Web.Request request) throws InterruptedException {
    String under = request.query("Under");
    long since = Long.parseLong(request.query("Since"));
    String block = request.query("BlockMs");
    long until = System.nanoTime() + (block == null ? 0 : Long.parseLong(block)) * 1_000_000;
    synchronized (this) {
      while (true) {
        if (since < forgottenUpTo && forgottenUpTo > 1) {
          return Web.Answer.of(410, Json.object("Epoch", epoch));
        }
        StringBuilder out = new StringBuilder();
        for (var i = log.descendingIterator(); i.hasNext(); ) {
          Change change = i.next();
          if (change.stamp <= since) {
            break;
          }
          if (change.key.startsWith(under)) {
            out.insert(0, ","); // placeholder, replaced below
            break;
          }
        }
        long left = until - System.nanoTime();
        if (out.length() > 0 || left <= 0) {
          out.setLength(0);
          out.append("{\"Epoch\":").append(epoch).append(",\"Log\":[");
          String comma = "";
          for (Change change : log) {
            if (change.stamp > since && change.key.startsWith(under)) {
              out.append(comma);
              if (change.value == null) {
                out.append("{\"Drop\":").append(Json.write(change.key));
              } else {
                out.append("{\"Set\":").append(Json.write(change.key)).append(",\"Value\":").append(change.value);
              }
              out.append(",\"Stamp\":").append(change.stamp).append('}');
              comma = ",";
            }
          }
          return new Web.Answer(200, out.append("]}").toString());
        }
        wait(Math.max(1, left / 1_000_000));
      }
    }
  }

  private void endHold(long id) {
    holdEnds.remove(id);
    holdLives.remove(id);
    List<String> ended = new ArrayList<>();
    keys.forEach((key, entry) -> {
      if (entry.hold == id) {
        ended.add(key);
      }
    });
    if (!ended.isEmpty()) {
      epoch++;
      for (String key : ended) {
        keys.remove(key);
        changed(new Change(key, null, epoch));
      }
      notifyAll();
    }
  }

  private void expireHolds() {
    while (true) {
      Site.sleep(0.05);
      synchronized (this) {
        long now = System.nanoTime();
        for (long id : List.copyOf(holdEnds.keySet())) {
          if (holdEnds.get(id) < now) {
            endHold(id);
          }
        }
      }
    }
  }

  /** Gives all leases their full time again, as after an outage. */
  synchronized void renewAllHolds() {
    holdEnds.replaceAll((id, end) -> System.nanoTime() + holdLives.get(id) * 1_000_000);
  }

  @Override
  public void close() {
    servers.forEach(Web.Server::close);
  }
}
