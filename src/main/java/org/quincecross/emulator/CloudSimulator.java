package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Machine;
import org.quincecross.model.MachineId;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.TokenBucket;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Simulates the cloud provider as its protocol describes it. In a deployment with unreliable
 * machines some are slow, faulty, late or never up.
 */
final class CloudSimulator implements Network.Host {
  private static final int MAX_RENTED_PER_REQUEST = 50;
  private static final int MAX_LISTED_PER_PAGE = 500;
  private static final double LIST_REFRESH_INTERVAL_S = 1;

  /** A rented machine; {@code worker} is null until the machine is up. */
  private static final class Instance {
    private final Machine machine;
    private final ClusterSpec.Pool pool;
    private final double rentedAt;
    private AgentSimulator worker;

    Instance(Machine machine, ClusterSpec.Pool pool, double since) {
      this.machine = machine;
      this.pool = pool;
      this.rentedAt = since;
    }
  }

  private record Listed(MachineId id, Map<String, Object> item) {}

  private final ClusterEnvironment environment;
  private final Random random;
  private final TokenBucket requests;
  private final Map<MachineId, Instance> instances = new TreeMap<>();
  private final Map<ClusterSpec.Pool, Integer> rentedPerPool = new HashMap<>();
  private final Map<String, List<Object>> instancesByRequest = new HashMap<>();
  private List<Listed> listed = List.of();
  private boolean unavailable;
  private int machines;
  private double maxBootS;
  private double quickBootUntil;

  CloudSimulator(ClusterEnvironment environment) {
    this.environment = environment;
    this.random = environment.random();
    double perSecond = environment.spec().cloudLimits().requestsPerSecond();
    this.requests = new TokenBucket(perSecond, 2 * perSecond, now());
    for (int more = 1, i = 0; more > 0; i++) {
      more = 0;
      for (ClusterSpec.Pool pool : environment.spec().pools()) {
        if (i < pool.initial()) {
          boot(pool, 0, true);
          more++;
        }
      }
    }
    refreshList();
  }

  private MonotonicTime now() {
    return new MonotonicTime((long) (environment.clock().seconds() * 1e9));
  }

  /** Takes a snapshot of the machines, which the list shows after its configured lag. */
  private void refreshList() {
    List<Listed> list = new ArrayList<>();
    for (Instance each : instances.values()) {
      Machine machine = each.machine;
      list.add(
          new Listed(
              machine.id(),
              Json.object(
                  "Uid",
                  machine.id().text(),
                  "Addr",
                  machine.address().toString(),
                  "Hull",
                  machine.type(),
                  "Yard",
                  machine.zone(),
                  "Loaners",
                  machine.spot(),
                  "Status",
                  each.worker == null ? "starting" : "running",
                  "AgeS",
                  environment.clock().seconds() - each.rentedAt)));
    }
    environment
        .clock()
        .after(
            environment.spec().cloudLimits().listLag().seconds() * (1 + random.nextDouble()),
            () -> listed = list);
    environment.clock().after(LIST_REFRESH_INTERVAL_S, this::refreshList);
  }

  List<MachineId> machines() {
    return instances.values().stream()
        .filter(each -> each.worker != null)
        .map(each -> each.machine.id())
        .toList();
  }

  List<AgentSimulator> workers() {
    return instances.values().stream()
        .filter(each -> each.worker != null)
        .map(each -> each.worker)
        .toList();
  }

  private MachineId boot(ClusterSpec.Pool pool, double bootS, boolean ordinary) {
    MachineId id = new MachineId(String.format("m-%06d", machines++));
    Machine machine =
        new Machine(
            id,
            environment.network().machineAddress(machines),
            pool.type(),
            pool.zone(),
            pool.spot());
    Instance instance = new Instance(machine, pool, environment.clock().seconds());
    instances.put(id, instance);
    rentedPerPool.merge(pool, 1, Integer::sum);
    boolean unreliable = environment.spec().unreliableMachines() && !ordinary;
    MachineTraits traits = unreliable ? traits() : MachineTraits.ORDINARY;
    if (!unreliable || random.nextInt(25) != 0) {
      environment
          .clock()
          .after(
              bootS,
              () -> {
                if (instances.get(id) == instance) {
                  MachineType type = environment.spec().type(pool.type());
                  instance.worker =
                      new AgentSimulator(
                          environment,
                          machine,
                          type,
                          traits,
                          random.nextInt(environment.spec().nodes()));
                  environment.network().host(machine.address(), id.text(), instance.worker);
                }
              });
    }
    return id;
  }

  private MachineTraits traits() {
    double speed =
        random.nextInt(12) == 0
            ? 0.2 + 0.5 * random.nextDouble()
            : 0.95 + 0.1 * random.nextDouble();
    return new MachineTraits(
        speed, random.nextInt(20) == 0, 1 + 0.0005 * (2 * random.nextDouble() - 1));
  }

  /** Terminates a machine, after {@code noticeS} seconds' notice if that is positive. */
  void terminate(MachineId id, double noticeS) {
    Instance instance = instances.get(id);
    if (instance == null) {
      return;
    }
    if (noticeS > 0 && instance.worker != null) {
      instance.worker.announceTermination(noticeS);
      environment.clock().after(noticeS, () -> terminate(id, 0));
      return;
    }
    instances.remove(id);
    rentedPerPool.merge(instance.pool, -1, Integer::sum);
    if (instance.worker != null) {
      instance.worker.destroy();
      environment.network().remove(instance.machine.address());
    }
  }

  /** For {@code seconds}, rented machines boot within {@code longestS}. */
  void bootWithin(double longestS, double seconds) {
    maxBootS = longestS;
    quickBootUntil = environment.clock().seconds() + seconds;
  }

  private double maxBootS() {
    return environment.clock().seconds() < quickBootUntil
        ? maxBootS * random.nextDouble()
        : Double.MAX_VALUE;
  }

  void outage(double seconds) {
    unavailable = true;
    environment.clock().after(seconds, () -> unavailable = false);
  }

  @Override
  public boolean isUp() {
    return true;
  }

  @Override
  public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
    try {
      if (unavailable) {
        reply.accept(HttpResponse.of(503, JobCodec.writeError("trouble")));
      } else if (!requests.take(1, now())) {
        reply.accept(HttpResponse.of(429));
      } else {
        reply.accept(answer(request));
      }
    } catch (MalformedMessageException | NumberFormatException e) {
      reply.accept(HttpResponse.of(400));
    }
  }

  private HttpResponse answer(HttpRequest request) throws MalformedMessageException {
    Object body;
    if (request.path().equals("/catalog")) {
      body =
          Json.object(
              "Hulls",
              environment.spec().types().stream().map(CloudSimulator::machineTypeJson).toList());
    } else if (request.path().equals("/hosts/return")) {
      for (String name : Json.parseFields(request.body()).strings("Hosts")) {
        terminate(new MachineId(name), 0);
      }
      body = Json.object();
    } else if (request.method().equals("POST")) {
      List<Object> names = rent(Json.parseFields(request.body()));
      if (names == null) {
        return HttpResponse.of(503, JobCodec.writeError("no capacity"));
      }
      body = Json.object("Hosts", names);
    } else {
      body = page(request);
    }
    return HttpResponse.of(200, Json.write(body));
  }

  private static Map<String, Object> machineTypeJson(MachineType type) {
    return Json.object(
        "Sku",
        type.name(),
        "Cpus",
        type.capacity().cpus(),
        "Cards",
        type.capacity().gpus(),
        "MemGb",
        type.capacity().memoryGb(),
        "CacheGb",
        type.cacheGb(),
        "PullGbPerS",
        type.pullGbPerSecond(),
        "Rate",
        type.hourlyPrice(),
        "MarketPrice",
        type.hourlySpotPrice(),
        "StartupS",
        type.bootTime().seconds(),
        "Yards",
        type.zones());
  }

  /**
   * The machines rented, or those of the first request if this one repeats it; null if none are
   * available.
   */
  private List<Object> rent(JsonFields in) throws MalformedMessageException {
    String type = in.string("Hull");
    String zone = in.string("Yard");
    boolean spot = in.bool("Loaners");
    List<Object> previous = instancesByRequest.get(in.string("Charter"));
    int count = in.integer("HowMany", 1, MAX_RENTED_PER_REQUEST);
    if (previous != null) {
      return previous;
    }
    List<Object> names = new ArrayList<>();
    for (ClusterSpec.Pool pool : environment.spec().pools()) {
      if (pool.type().equals(type) && pool.zone().equals(zone) && pool.spot() == spot) {
        TimeSpan boot = environment.spec().type(type).bootTime();
        while (names.size() < count
            && rentedPerPool.getOrDefault(pool, 0) < pool.maxMachines()
            && instances.size() < environment.spec().maxMachines()) {
          names.add(
              boot(
                      pool,
                      Math.min(boot.seconds() * (0.6 + 0.9 * random.nextDouble()), maxBootS()),
                      false)
                  .text());
        }
      }
    }
    if (names.isEmpty()) {
      return null;
    }
    instancesByRequest.put(in.string("Charter"), names);
    return names;
  }

  private Object page(HttpRequest request) {
    String after = request.query("Since");
    int limit =
        request.query("Page") == null
            ? MAX_LISTED_PER_PAGE
            : Math.min(MAX_LISTED_PER_PAGE, Integer.parseInt(request.query("Page")));
    List<Object> items = new ArrayList<>();
    boolean more = false;
    for (Listed each : listed) {
      if (after == null || each.id().text().compareTo(after) > 0) {
        if (items.size() == limit) {
          more = true;
          break;
        }
        items.add(each.item());
      }
    }
    return Json.object("Hosts", items, "More", more);
  }
}
