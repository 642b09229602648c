package org.quincecross.emulator;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.quincecross.api.Controller;
import org.quincecross.api.PeerSender;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.TaskId;
import org.quincecross.model.Team;
import org.quincecross.protocol.Features;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.rollout.Build;

/**
 * A whole deployment in virtual time, on one thread: the real controllers in a simulated
 * environment.
 */
final class SimulatedCluster {
  private static final Endpoint STATE = new Endpoint("10.2.0.1", 2379);
  private static final Endpoint CLOUD = new Endpoint("10.2.0.2", 8443);

  /** The time of day at the start of a simulated day. */
  static final double EPOCH_S = 1_000_000;

  private final VirtualTime time = new VirtualTime();
  private final ClusterSpec site;
  private final BiConsumer<Integer, Controller> prepare;
  private final Features[] features;
  private final Random random;
  private final VirtualNetwork net;
  private final ClusterEnvironment around;
  private final Meter meter;
  private final List<Endpoint> nodes;
  private final Map<Integer, Map<String, Team>> toldTeams = new HashMap<>();

  /**
   * The limits of the state service in the settings of a controller, by its number; absent if they
   * are those of the deployment.
   */
  private final Map<Integer, Settings.StoreLimits> toldLimits = new HashMap<>();

  private boolean memoryIsShort;
  private Trap trap;
  private double clockAheadS = EPOCH_S;
  private final Map<String, Double> longestAnswers = new TreeMap<>();
  private final ProcessScope[] lives;
  private final Controller[] controllers;

  /**
   * Connections between controllers on which something was sent while the other side was
   * unreachable.
   */
  private final Set<String> hanging = new HashSet<>();

  private final Map<String, Double> hangsUntil = new HashMap<>();
  private final Map<Set<String>, Double> refusedUntil = new HashMap<>();

  /**
   * A small deployment with unreliable machines and a state service that sometimes applies a
   * transaction late.
   */
  SimulatedCluster(long seed) {
    this(ClusterSpec.small(), seed, Meter.OFF);
    state().applyLate(60);
  }

  SimulatedCluster(ClusterSpec site, long seed, Meter meter) {
    this(site, seed, meter, Features.NONE);
  }

  /**
   * @param features the features that are enabled in all controllers
   */
  SimulatedCluster(ClusterSpec site, long seed, Meter meter, Features features) {
    this(site, seed, meter, features, (node, controller) -> {});
  }

  /**
   * @param prepare applied to each controller, with its number, before it starts
   */
  SimulatedCluster(
      ClusterSpec site,
      long seed,
      Meter meter,
      Features features,
      BiConsumer<Integer, Controller> prepare) {
    this.prepare = prepare;
    this.site = site;
    this.features = new Features[site.nodes()];
    Arrays.fill(this.features, features);
    this.meter = meter;
    random = new Random(seed);
    net = new VirtualNetwork(time, random);
    nodes =
        IntStream.range(0, site.nodes())
            .mapToObj(node -> new Endpoint("10.0.0." + (node + 1), 8080))
            .toList();
    lives = new ProcessScope[site.nodes()];
    controllers = new Controller[site.nodes()];
    around =
        new ClusterEnvironment(
            site, time, net, random, nodes, CLOUD, Collections.nCopies(site.nodes(), STATE));
    net.watchStarts(this::checkStarts);
    for (int node = 0; node < site.nodes(); node++) {
      hostNode(node);
      startNode(node);
    }
  }

  /**
   * Checks messages to machines from the moment when a job is cancelled; messages already on their
   * way then are not checked.
   */
  private void checkStarts(byte[] message) {
    if (!rules().hasCancelled() || message.length == 0) {
      return;
    }
    try {
      JsonFields in = Json.parseFields(message);
      for (JsonFields order : in.has("Orders") ? in.objects("Orders") : List.<JsonFields>of()) {
        if (order.string("Verb").equals("start")) {
          rules().startSent(TaskId.parse(order.string("Piece")).job());
        }
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Registers an observer of all messages from now on. */
  void observe(MessageObserver observer) {
    net.observe(observer);
  }

  ClusterSpec site() {
    return site;
  }

  VirtualTime time() {
    return time;
  }

  ClusterEnvironment around() {
    return around;
  }

  ProtocolInvariants rules() {
    return around.rules();
  }

  Random random() {
    return random;
  }

  KeyValueStoreSimulator state() {
    return around.state();
  }

  CloudSimulator cloud() {
    return around.cloud();
  }

  UserSimulator users() {
    return around.users();
  }

  Job job(JobId id) {
    return around.job(id);
  }

  Team team(String name) {
    return site.teams().get(name);
  }

  int nodeCount() {
    return site.nodes();
  }

  // ---- controllers ----

  private void hostNode(int node) {
    net.host(
        nodes.get(node),
        ClusterSpec.nodeName(node),
        new Network.Host() {
          @Override
          public boolean isUp() {
            return lives[node] != null && lives[node].isAlive();
          }

          @Override
          public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
            ProcessScope life = lives[node];
            String kind = request.method() + " " + kind(request.path());
            double begun = time.seconds();
            time.whenAwake(
                life,
                () ->
                    meter.run(
                        kind,
                        () ->
                            controllers[node].handle(
                                request,
                                response -> {
                                  if (life.isAlive()) {
                                    longestAnswers.merge(kind, time.seconds() - begun, Math::max);
                                    reply.accept(response);
                                  }
                                })));
          }
        });
  }

  /**
   * The longest time that a controller took to answer, in seconds, by method and path, without
   * network delay.
   */
  Map<String, Double> longestAnswers() {
    return longestAnswers;
  }

  /** A path without ids. */
  private static String kind(String path) {
    String kind = path.replaceAll("[0-9]+", "N");
    int last = kind.indexOf('/', 1);
    return last < 0
        ? kind
        : kind.substring(0, last) + "/…" + (kind.endsWith("/cancel") ? "/cancel" : "");
  }

  private void startNode(int node) {
    if (lives[node] != null) {
      lives[node].end(); // if two faults restart the controller, the second start replaces
      // the first one
    }
    ProcessScope life = new ProcessScope();
    lives[node] = life;
    String name = ClusterSpec.nodeName(node);
    controllers[node] =
        new Controller(
            time.timersOf(
                life, random.nextInt(1_000_000_000), 1 + 0.0005 * random.nextDouble(), meter),
            (to, request, timeout, done) -> {
              Runnable send =
                  () ->
                      net.call(
                          life,
                          name,
                          to,
                          request,
                          timeout,
                          outcome ->
                              time.whenAwake(
                                  life,
                                  () ->
                                      meter.run(
                                          "answer " + kind(request.path()),
                                          () -> done.accept(outcome))));
              double late = trap == null ? 0 : trap.sprung(node, request);
              if (late > 0) {
                time.after(late, send);
              } else {
                send.run();
              }
            },
            peerLinks(name),
            site.with(toldTeams.getOrDefault(node, site.teams()))
                .with(toldLimits.getOrDefault(node, site.stateLimits()))
                .settings(node, nodes, nodes, CLOUD, STATE),
            features[node],
            () -> (long) ((time.seconds() + clockAheadS) * 1000),
            () -> memoryIsShort);
    prepare.accept(node, controllers[node]);
    meter.run("start", controllers[node]::start);
  }

  private PeerSender peerLinks(String name) {
    return new PeerSender() {
      @Override
      public boolean send(ControllerId peer, byte[] frame) {
        int other = Integer.parseInt(peer.text().substring(1));
        if (refusedUntil.getOrDefault(Set.of(name, peer.text()), 0.0) > time.seconds()) {
          return false;
        }
        net.frameSent(frame);
        if (net.isSilent(peer.text())) {
          hanging.add(name + " " + peer);
        }
        // TCP retries only after as much time again as the silence lasted; a new connection is
        // faster.
        boolean hangs =
            hanging.contains(name + " " + peer)
                && time.seconds() < hangsUntil.getOrDefault(peer.text(), 0.0);
        if (!hangs) {
          net.send(
              name,
              peer.text(),
              () -> {
                Controller to = controllers[other];
                time.whenAwake(lives[other], () -> meter.run("peer report", () -> to.frame(frame)));
              });
        }
        return true;
      }

      @Override
      public void renew(ControllerId peer) {
        hanging.remove(name + " " + peer);
      }
    };
  }

  /**
   * A controller neither sends nor receives for a while; afterwards it continues with its memory,
   * or restarts without it.
   */
  void silence(int node, double seconds, boolean keepsMemory) {
    net.silence(ClusterSpec.nodeName(node), time.seconds() + seconds);
    hangsUntil.put(ClusterSpec.nodeName(node), time.seconds() + 2 * seconds);
    if (!keepsMemory) {
      down(node, seconds);
    }
  }

  /** A fault that strikes a controller as it sends a message. */
  enum Mishap {
    /**
     * The controller is suspended after its decision and before the message is sent: the packet
     * leaves late.
     */
    STILL_BEFORE,
    /** The message is sent, and its answer waits for the suspended controller. */
    STILL_AFTER,
    /** The controller is cut off for a while right after this message. */
    SILENT,
    /** The network delays this message only; its sender continues and times out. */
    HELD
  }

  /** Applies a fault to the controller that first sends a matching request. */
  private final class Trap {
    private final Predicate<String> request;
    private final double seconds;
    private final Mishap mishap;
    private int sprungAt = -1;

    Trap(Predicate<String> request, double seconds, Mishap mishap) {
      this.request = request;
      this.seconds = seconds;
      this.mishap = mishap;
    }

    /** The delay before a request is sent. */
    double sprung(int node, HttpRequest sent) {
      if (sprungAt >= 0
          || !request.test(
              sent.method()
                  + " "
                  + sent.path()
                  + " "
                  + new String(sent.body(), StandardCharsets.UTF_8))) {
        return 0;
      }
      sprungAt = node;
      if (mishap == Mishap.HELD) {
        net.holdNext(seconds);
      } else if (mishap == Mishap.SILENT) {
        time.after(0.006, () -> silence(node, seconds, true));
      } else {
        standStill(node, seconds);
      }
      return mishap == Mishap.STILL_BEFORE ? seconds : 0;
    }
  }

  /**
   * Applies a fault to the next controller that sends a matching request (method, path and body).
   */
  void mishapAt(Predicate<String> request, double seconds, Mishap mishap) {
    trap = new Trap(request, seconds, mishap);
  }

  /** The controller that the fault struck; -1 if no matching request was sent. */
  int mishapHit() {
    return trap.sprungAt;
  }

  void crash(int node) {
    if (lives[node].isAlive()) {
      lives[node].end();
      time.after(site.restart().seconds(), () -> startNode(node));
    }
  }

  /** From its next start on, a controller runs another build. */
  void install(int node, Build build) {
    features[node] =
        new Features(
            features[node].overload(),
            features[node].accountingInterval(),
            build,
            features[node].replicatedFeatures());
  }

  /**
   * From its next start on, the settings of a controller have other teams than those of the other
   * controllers.
   */
  void tellTeams(int node, Map<String, Team> teams) {
    toldTeams.put(node, teams);
  }

  /**
   * From its next start on, the settings of a controller announce new limits of the state service.
   */
  void tellNext(int node, Settings.StoreLimits next) {
    toldLimits.put(node, site.stateLimits().min(next));
  }

  /** Replaces a controller by one with another build: it ends, and the new one starts. */
  void roll(int node, Build build) {
    install(node, build);
    crash(node);
  }

  /** A controller is down for some time. */
  void down(int node, double seconds) {
    lives[node].end();
    time.after(seconds, () -> startNode(node));
  }

  /** Suspends a controller for a while: its clocks keep running, and incoming messages wait. */
  void standStill(int node, double seconds) {
    lives[node].suspendUntil(time.seconds() + seconds);
  }

  /** The controller that reports to be the leader, or -1. */
  int leader() {
    for (int node = 0; node < nodeCount(); node++) {
      try {
        JsonFields status = status(node);
        if (status != null && status.string("role").equals("LEADING")) {
          return node;
        }
      } catch (MalformedMessageException e) {
        throw new IllegalStateException(e);
      }
    }
    return -1;
  }

  /** Sets whether all controllers find their memory short. */
  void memoryIsShort(boolean now) {
    memoryIsShort = now;
  }

  /** Sets the wall clock of all controllers forward or back. */
  void setClock(double aheadS) {
    clockAheadS = EPOCH_S + aheadS;
  }

  /** From now on a share of all reports arrives a second time, 1 s to three leases later. */
  void copyLate(double share, Random draws) {
    net.copyLate(
        share == 0
            ? DuplicatedMessages.NONE
            : DuplicatedMessages.delayed(
                share, 3 * site.workers().lease().seconds(), nodes, draws));
  }

  /**
   * From now on copies of a share of all reports are kept until there is a new leader, and then
   * arrive at every controller.
   */
  void keepForNextLeader(double share, Random draws) {
    net.copyLate(
        share == 0
            ? DuplicatedMessages.NONE
            : DuplicatedMessages.forNextLeader(share, nodes, draws, this::leadership));
  }

  /** The leader by the records, and its process; null if there is none. */
  Object leadership() {
    Object leader =
        state().value("q/leads") instanceof Map<?, ?> moved ? moved : state().value("q/leader");
    return leader instanceof Map<?, ?> record
        ? List.of(record.get("member"), record.get("life"))
        : null;
  }

  /**
   * From now on a share of all commands to machines, of reports, and of the answers to both is
   * delayed by 0.5 s to {@code longestS}.
   */
  void holdMessages(double share, double longestS, Random draws) {
    net.hold(new DelayedMessages(share, longestS, draws));
  }

  /** Connections between a controller and the others are refused for a while. */
  void refuseLinks(int node, double seconds) {
    for (int other = 0; other < nodeCount(); other++) {
      if (other != node) {
        refusedUntil.merge(
            Set.of(ClusterSpec.nodeName(node), ClusterSpec.nodeName(other)),
            time.seconds() + seconds,
            Math::max);
      }
    }
  }

  /**
   * Separates a controller from the state service and from the other controllers for a while; it
   * still reaches its machines and users.
   *
   * @param lose whether packets are lost, rather than refused at once
   */
  void lone(int node, double seconds, boolean lose) {
    if (lose) {
      cut(ClusterSpec.nodeName(node), "state", seconds, true);
      for (int other = 0; other < nodeCount(); other++) {
        if (other != node) {
          cut(ClusterSpec.nodeName(node), ClusterSpec.nodeName(other), seconds, true);
        }
      }
    } else {
      state().refuse(ClusterSpec.nodeName(node), seconds);
      refuseLinks(node, seconds);
    }
  }

  void cut(String one, String other, double seconds, boolean lose) {
    net.cut(one, other, time.seconds() + seconds, lose);
  }

  /** The reports of a machine arrive, but for a while nothing that is sent to it does. */
  void deafen(MachineId machine, double seconds) {
    net.deafen(machine.text(), time.seconds() + seconds);
  }

  /** A machine reaches no controller for a while; what is sent to it arrives and is answered. */
  void mute(MachineId machine, double seconds) {
    net.mute(machine.text(), time.seconds() + seconds);
  }

  int startsUnheard() {
    return net.startsUnheard();
  }

  /** Sends a request to a running controller directly, without the network. */
  void ask(int node, HttpRequest request, Consumer<HttpResponse> reply) {
    controllers[node].handle(request, reply);
  }

  /** The status of a controller; null if it is down. */
  JsonFields status(int node) {
    JsonFields[] status = new JsonFields[1];
    if (lives[node].isAlive()) {
      controllers[node].handle(
          HttpRequest.get("/admin/status"),
          response -> {
            try {
              status[0] = Json.parseFields(response.body());
            } catch (MalformedMessageException e) {
              throw new IllegalStateException(e);
            }
          });
    }
    return status[0];
  }
}
