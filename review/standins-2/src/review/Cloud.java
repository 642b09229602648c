package review;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quincecross.protocol.Json;

/** The cloud, as PROTOCOL "Controller nodes -> cloud" describes it, with one machine type. */
final class Cloud {
  record Machine(String id, String zone, boolean spot, double since, Worker[] worker) {}

  private record Listed(double at, List<Object> machines) {}

  private final Site site;
  private final double lagS;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<Object>> answered = new LinkedHashMap<>();
  private final ArrayDeque<Listed> lists = new ArrayDeque<>();
  private final Map<String, Integer> capacity = new LinkedHashMap<>();
  private final double[] calls;
  private int names;
  double bootS = 5;
  int port;

  /** Ports that machines which are gone have left, for the next machines; null: never reused. */
  ArrayDeque<Integer> freePorts;

  Cloud(Site site, double rps, double lagS) throws Exception {
    this.site = site;
    this.lagS = lagS;
    this.calls = new double[] {rps, 2 * rps, System.nanoTime()};
    this.port = new Http.Server(0, this::handle).port();
    Http.thread(
        () -> {
          while (true) {
            snapshot();
            Site.sleep(1000);
          }
        });
  }

  synchronized void capacity(String zone, boolean spot, int most) {
    capacity.put(zone + spot, most);
  }

  synchronized String boot(String zone, boolean spot, double afterS) {
    String id = String.format("m-%06d", names++);
    Machine machine = new Machine(id, zone, spot, site.now(), new Worker[1]);
    machines.put(id, machine);
    Http.thread(
        () -> {
          Site.sleep((long) (afterS * 1000));
          synchronized (this) {
            if (machines.get(id) != machine) {
              return;
            }
            try {
              Integer port = freePorts == null ? null : freePorts.poll();
              machine.worker()[0] =
                  new Worker(
                      site, id, site.deployment.machine(), zone, spot, site.deployment.cpus(),
                      site.deployment.memoryGb(), 0.5, port == null ? 0 : port);
              site.record("cloud", id + " is up at " + machine.worker()[0].address());
            } catch (Exception e) {
              site.record("cloud", id + " cannot start: " + e);
            }
          }
        });
    return id;
  }

  /** Takes a spot machine back, without notice. */
  synchronized void take(String id) {
    Machine machine = machines.remove(id);
    site.record("cloud", id + " is taken back");
    if (machine != null && machine.worker()[0] != null) {
      machine.worker()[0].take(freePorts != null);
      if (freePorts != null) {
        freePorts.add(machine.worker()[0].port);
      }
    }
  }

  /** The machines that are not up yet. */
  synchronized List<String> booting() {
    return machines.values().stream()
        .filter(machine -> machine.worker()[0] == null)
        .map(Machine::id)
        .toList();
  }

  /** How many machines were rented or there from the start. */
  synchronized int rented() {
    return names;
  }

  synchronized List<Worker> workers() {
    List<Worker> all = new ArrayList<>();
    machines.values().forEach(
        machine -> {
          if (machine.worker()[0] != null) {
            all.add(machine.worker()[0]);
          }
        });
    return all;
  }

  private synchronized void snapshot() {
    List<Object> list = new ArrayList<>();
    for (Machine machine : machines.values()) {
      Worker worker = machine.worker()[0];
      Map<String, Object> out =
          Json.object(
              "Uid", machine.id(), "Hull", site.deployment.machine(), "Yard", machine.zone(), "Loaners",
              machine.spot(), "Status", worker == null ? "starting" : "running", "AgeS",
              site.now() - machine.since());
      if (worker != null) {
        out.put("Addr", worker.address());
      }
      list.add(out);
    }
    lists.add(new Listed(site.now(), list));
  }

  private static Http.Response answer(int status, Object... fields) {
    return new Http.Response(status, Json.write(Json.object(fields)));
  }

  private synchronized Http.Response handle(Http.Request request) throws Exception {
    double now = System.nanoTime();
    calls[1] = Math.min(2 * calls[0], calls[1] + (now - calls[2]) / 1e9 * calls[0]);
    calls[2] = now;
    if (calls[1] < 1) {
      return answer(429);
    }
    calls[1] -= 1;
    if (request.path().equals("/catalog")) {
      return answer(
          200,
          "Hulls",
          List.of(
              Json.object(
                  "Sku", site.deployment.machine(), "Cpus", site.deployment.cpus(), "Cards",
                  0.0, "MemGb", site.deployment.memoryGb(), "CacheGb", 50.0,
                  "PullGbPerS", 0.5, "Rate", 0.55, "MarketPrice", 0.18, "StartupS", bootS,
                  "Yards", site.zones)));
    }
    if (request.path().equals("/hosts") && request.method().equals("GET")) {
      while (lists.size() > 1 && lists.peek().at() < site.now() - lagS - 1) {
        lists.poll();
      }
      String since = request.parameter("Since");
      List<Object> page = new ArrayList<>();
      for (Object item : lists.peek().machines()) {
        if (since == null || ((String) ((Map<?, ?>) item).get("Uid")).compareTo(since) > 0) {
          page.add(item);
        }
      }
      return answer(200, "Hosts", page, "More", false);
    }
    Map<?, ?> in = (Map<?, ?>) Json.parse(request.body());
    if (request.path().equals("/hosts/return")) {
      for (Object id : (List<?>) in.get("Hosts")) {
        Machine machine = machines.remove((String) id);
        site.record("cloud", id + " is returned");
        if (machine != null && machine.worker()[0] != null) {
          machine.worker()[0].take(false);
        }
      }
      return answer(200);
    }
    if (request.path().equals("/hosts")) {
      String charter = (String) in.get("Charter");
      if (!answered.containsKey(charter)) {
        String zone = (String) in.get("Yard");
        boolean spot = (Boolean) in.get("Loaners");
        int have = 0;
        for (Machine machine : machines.values()) {
          have += machine.zone().equals(zone) && machine.spot() == spot ? 1 : 0;
        }
        int count =
            (int)
                Math.min(
                    (Long) in.get("HowMany"),
                    capacity.getOrDefault(zone + spot, 0) - have);
        if (count <= 0) {
          return answer(503, "error", "no capacity");
        }
        List<Object> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          hosts.add(boot(zone, spot, bootS));
        }
        site.record("cloud", "rented " + hosts + " in " + zone + (spot ? ", spot" : ""));
        answered.put(charter, hosts);
      }
      return answer(200, "Hosts", answered.get(charter));
    }
    return answer(404);
  }
}
