package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud: rents machines, each with a worker. Its list is exact. */
final class Cloud implements AutoCloseable {
  /** Machines of one type, zone and kind that the cloud can give. */
  record Pool(String hull, String yard, boolean loaners, int most) {}

  private final Site site;
  private final List<Integer> controllers;
  private final Web.Server server;
  private final List<Map<String, Object>> hulls = new ArrayList<>();
  private final List<Pool> pools = new ArrayList<>();
  private final TreeMap<String, Worker> machines = new TreeMap<>();
  private final Map<String, Web.Answer> charters = new LinkedHashMap<>();
  private int named;

  Cloud(Site site, List<Integer> controllers) throws IOException {
    this.site = site;
    this.controllers = controllers;
    server = new Web.Server(0, this::handle);
  }

  int port() {
    return server.port();
  }

  synchronized void offer(String sku, double cpus, double cards, double memGb, double startupS, List<String> yards) {
    hulls.add(
        Json.object(
            "Sku", sku, "Cpus", cpus, "Cards", cards, "MemGb", memGb, "CacheGb", 40.0,
            "PullGbPerS", 2.0, "Rate", 0.55, "MarketPrice", 0.18, "StartupS", startupS, "Yards", yards));
  }

  synchronized void pool(Pool pool) {
    pools.add(pool);
  }

  /** Rents a machine that is up at once. */
  synchronized Worker up(String hull, String yard, boolean loaners) throws IOException {
    return rent(hull, yard, loaners, 0);
  }

  synchronized List<Worker> workers() {
    return List.copyOf(machines.values());
  }

  private Worker rent(String hull, String yard, boolean loaners, double bootS) throws IOException {
    String id = String.format("m-%06d", ++named);
    Map<String, Object> type =
        hulls.stream().filter(each -> each.get("Sku").equals(hull)).findFirst().orElseThrow();
    Worker worker = new Worker(site, id, type, yard, loaners, controllers, bootS);
    machines.put(id, worker);
    site.say("machine %s: %s in %s, spot %s, at 127.0.0.1:%d", id, hull, yard, loaners, worker.port());
    return worker;
  }

  private Web.Answer handle(Web.Request request) {
    try {
      return answer(request);
    } catch (IOException e) {
      return Web.Answer.of(503, Json.object("error", "trouble"));
    }
  }

  private synchronized Web.Answer answer(Web.Request request) throws IOException {
    if (request.path().equals("/catalog")) {
      return Web.Answer.of(200, Json.object("Hulls", hulls));
    }
    if (request.path().equals("/hosts/return")) {
      for (Object name : (List<?>) Json.parseObject(request.body()).get("Hosts")) {
        Worker worker = machines.remove(name);
        if (worker != null) {
          site.say("machine %s returned", name);
          worker.close();
        }
      }
      return Web.Answer.of(200, Json.object());
    }
    if (request.method().equals("POST")) {
      Map<String, Object> in = Json.parseObject(request.body());
      String charter = (String) in.get("Charter");
      if (charters.containsKey(charter)) {
        return charters.get(charter);
      }
      List<Object> names = new ArrayList<>();
      for (Pool pool : pools) {
        if (pool.hull().equals(in.get("Hull"))
            && pool.yard().equals(in.get("Yard"))
            && pool.loaners() == (Boolean) in.get("Loaners")) {
          long have = machines.values().stream().filter(each -> each.isOf(pool)).count();
          for (long i = have; i < pool.most() && names.size() < Json.number(in.get("HowMany")); i++) {
            names.add(rent(pool.hull(), pool.yard(), pool.loaners(), 2).id);
          }
        }
      }
      if (names.isEmpty()) {
        return Web.Answer.of(503, Json.object("error", "no capacity"));
      }
      Web.Answer answer = Web.Answer.of(200, Json.object("Hosts", names));
      charters.put(charter, answer);
      return answer;
    }
    String since = request.query("Since");
    List<Object> list = new ArrayList<>();
    for (Worker worker : since == null ? machines.values() : machines.tailMap(since, false).values()) {
      list.add(worker.listed());
    }
    return Web.Answer.of(200, Json.object("Hosts", list, "More", false));
  }

  @Override
  public synchronized void close() {
    server.close();
    machines.values().forEach(Worker::close);
  }
}
