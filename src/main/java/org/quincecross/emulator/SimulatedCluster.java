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
  private final ClusterSpec spec;
  private final BiConsumer<Integer, Controller> prepare;
  private final Features[] features;
  private final Random random;
  private final VirtualNetwork network;
  private final ClusterEnvironment environment;
  private final Meter meter;
  private final List<Endpoint> nodes;
  private final Map<Integer, Map<String, Team>> configuredTeams = new HashMap<>();

  /**
   * The limits of the state service in the settings of a controller, by its number; absent if they
   * are those of the deployment.
   */
  private final Map<Integer, Settings.StoreLimits> configuredLimits = new HashMap<>();

  private boolean memoryIsShort;
  private FaultTrigger faultTrigger;
  private double clockAheadS = EPOCH_S;
  private final Map<String, Double> longestAnswers = new TreeMap<>();
  private final ProcessScope[] processes;
  private final Controller[] controllers;

  /**
   * Connections between controllers on which something was sent while the other side was
   * unreachable.
   */
  private final Set<String> hangingConnections = new HashSet<>();

  private final Map<String, Double> connectionsHangUntil = new HashMap<>();
  private final Map<Set<String>, Double> refusedUntil = new HashMap<>();

  /**
   * A small deployment with unreliable machines and a state service that sometimes applies a
   * transaction late.
   */
  SimulatedCluster(long seed) {
    this(ClusterSpec.small(), seed, Meter.OFF);
    state().applyLate(60);
  }

  SimulatedCluster(ClusterSpec spec, long seed, Meter meter) {
    this(spec, seed, meter, Features.NONE);
  }

  /**
   * @param features the features that are enabled in all controllers
   */
  SimulatedCluster(ClusterSpec spec, long seed, Meter meter, Features features) {
    this(spec, seed, meter, features, (node, controller) -> {});
  }

  /**
   * @param prepare applied to each controller, with its number, before it starts
   */
  SimulatedCluster(
      ClusterSpec spec,
      long seed,
      Meter meter,
      Features features,
      BiConsumer<Integer, Controller> prepare) {
    this.prepare = prepare;
    this.spec = spec;
    this.features = new Features[spec.nodes()];
    Arrays.fill(this.features, features);
    this.meter = meter;
    random = new Random(seed);
    network = new VirtualNetwork(time, random);
    nodes =
        IntStream.range(0, spec.nodes())
            .mapToObj(node -> new Endpoint("10.0.0." + (node + 1), 8080))
            .toList();
    processes = new ProcessScope[spec.nodes()];
    controllers = new Controller[spec.nodes()];
    environment =
        new ClusterEnvironment(
            spec, time, network, random, nodes, CLOUD, Collections.nCopies(spec.nodes(), STATE));
    network.watchStarts(this::checkStarts);
    for (int node = 0; node < spec.nodes(); node++) {
      hostNode(node);
      startNode(node);
    }
  }

  /**
   * Checks messages to machines from the moment when a job is cancelled; messages already on their
   * way then are not checked.
   */
  private void checkStarts(byte[] message) {
    if (!invariants().hasCancelled() || message.length == 0) {
      return;
    }
    try {
      JsonFields in = Json.parseFields(message);
      for (JsonFields order : in.has("Orders") ? in.objects("Orders") : List.<JsonFields>of()) {
        if (order.string("Verb").equals("start")) {
          invariants().startSent(TaskId.parse(order.string("Piece")).job());
        }
      }
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Registers an observer of all messages from now on. */
  void observe(MessageObserver observer) {
    network.observe(observer);
  }

  ClusterSpec spec() {
    return spec;
  }

  VirtualTime time() {
    return time;
  }

  ClusterEnvironment environment() {
    return environment;
  }

  ProtocolInvariants invariants() {
    return environment.invariants();
  }

  Random random() {
    return random;
  }

  KeyValueStoreSimulator state() {
    return environment.state();
  }

  CloudSimulator cloud() {
    return environment.cloud();
  }

  UserSimulator users() {
    return environment.users();
  }

  Job job(JobId id) {
    return environment.job(id);
  }

  Team team(String name) {
    return spec.teams().get(name);
  }

  int nodeCount() {
    return spec.nodes();
  }

  // ---- controllers ----

  private void hostNode(int node) {
    network.host(
        nodes.get(node),
        ClusterSpec.nodeName(node),
        new Network.Host() {
          @Override
          public boolean isUp() {
            return processes[node] != null && processes[node].isAlive();
          }

          @Override
          public void request(String from, HttpRequest request, Consumer<HttpResponse> reply) {
            ProcessScope process = processes[node];
            String kind = request.method() + " " + pathWithoutIds(request.path());
            double begun = time.seconds();
            time.whenAwake(
                process,
                () ->
                    meter.run(
                        kind,
                        () ->
                            controllers[node].handle(
                                request,
                                response -> {
                                  if (process.isAlive()) {
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
  private static String pathWithoutIds(String path) {
    String kind = path.replaceAll("[0-9]+", "N");
    int last = kind.indexOf('/', 1);
    return last < 0
        ? kind
        : kind.substring(0, last) + "/…" + (kind.endsWith("/cancel") ? "/cancel" : "");
  }

  private void startNode(int node) {
    if (processes[node] != null) {
      processes[node].end(); // if two faults restart the controller, the second start replaces
      // the first one
    }
    ProcessScope process = new ProcessScope();
    processes[node] = process;
    String name = ClusterSpec.nodeName(node);
    controllers[node] =
        new Controller(
            time.timersOf(
                process, random.nextInt(1_000_000_000), 1 + 0.0005 * random.nextDouble(), meter),
            (to, request, timeout, done) -> {
              Runnable send =
                  () ->
                      network.call(
                          process,
                          name,
                          to,
                          request,
                          timeout,
                          outcome ->
                              time.whenAwake(
                                  process,
                                  () ->
                                      meter.run(
                                          "answer " + pathWithoutIds(request.path()),
                                          () -> done.accept(outcome))));
              double late = faultTrigger == null ? 0 : faultTrigger.delayFor(node, request);
              if (late > 0) {
                time.after(late, send);
              } else {
                send.run();
              }
            },
            peerLinks(name),
            spec.with(configuredTeams.getOrDefault(node, spec.teams()))
                .with(configuredLimits.getOrDefault(node, spec.stateLimits()))
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
        network.frameSent(frame);
        if (network.isIsolated(peer.text())) {
          hangingConnections.add(name + " " + peer);
        }
        // TCP retries only after as much time again as the silence lasted; a new connection is
        // faster.
        boolean hangs =
            hangingConnections.contains(name + " " + peer)
                && time.seconds() < connectionsHangUntil.getOrDefault(peer.text(), 0.0);
        if (!hangs) {
          network.send(
              name,
              peer.text(),
              () -> {
                Controller to = controllers[other];
                time.whenAwake(
                    processes[other], () -> meter.run("peer report", () -> to.frame(frame)));
              });
        }
        return true;
      }

      @Override
      public void renew(ControllerId peer) {
        hangingConnections.remove(name + " " + peer);
      }
    };
  }

  /**
   * A controller neither sends nor receives for a while; afterwards it continues with its memory,
   * or restarts without it.
   */
  void isolate(int node, double seconds, boolean keepsMemory) {
    network.isolate(ClusterSpec.nodeName(node), time.seconds() + seconds);
    connectionsHangUntil.put(ClusterSpec.nodeName(node), time.seconds() + 2 * seconds);
    if (!keepsMemory) {
      stopFor(node, seconds);
    }
  }

  /** A fault that strikes a controller as it sends a message. */
  enum SendFault {
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
  private final class FaultTrigger {
    private final Predicate<String> request;
    private final double seconds;
    private final SendFault fault;
    private int triggeredAt = -1;

    FaultTrigger(Predicate<String> request, double seconds, SendFault mishap) {
      this.request = request;
      this.seconds = seconds;
      this.fault = mishap;
    }

    /** The delay before a request is sent. */
    double delayFor(int node, HttpRequest sent) {
      if (triggeredAt >= 0
          || !request.test(
              sent.method()
                  + " "
                  + sent.path()
                  + " "
                  + new String(sent.body(), StandardCharsets.UTF_8))) {
        return 0;
      }
      triggeredAt = node;
      if (fault == SendFault.HELD) {
        network.delayNext(seconds);
      } else if (fault == SendFault.SILENT) {
        time.after(0.006, () -> isolate(node, seconds, true));
      } else {
        suspend(node, seconds);
      }
      return fault == SendFault.STILL_BEFORE ? seconds : 0;
    }
  }

  /**
   * Applies a fault to the next controller that sends a matching request (method, path and body).
   */
  void injectFaultAt(Predicate<String> request, double seconds, SendFault fault) {
    faultTrigger = new FaultTrigger(request, seconds, fault);
  }

  /** The controller that the fault struck; -1 if no matching request was sent. */
  int faultedController() {
    return faultTrigger.triggeredAt;
  }

  void crash(int node) {
    if (processes[node].isAlive()) {
      processes[node].end();
      time.after(spec.restart().seconds(), () -> startNode(node));
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
  void configureTeams(int node, Map<String, Team> teams) {
    configuredTeams.put(node, teams);
  }

  /**
   * From its next start on, the settings of a controller announce new limits of the state service.
   */
  void configureNextLimits(int node, Settings.StoreLimits next) {
    configuredLimits.put(node, spec.stateLimits().min(next));
  }

  /** Replaces a controller by one with another build: it ends, and the new one starts. */
  void upgrade(int node, Build build) {
    install(node, build);
    crash(node);
  }

  /** A controller is down for some time. */
  void stopFor(int node, double seconds) {
    processes[node].end();
    time.after(seconds, () -> startNode(node));
  }

  /** Suspends a controller for a while: its clocks keep running, and incoming messages wait. */
  void suspend(int node, double seconds) {
    processes[node].suspendUntil(time.seconds() + seconds);
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
  void duplicateReports(double share, Random draws) {
    network.duplicateReports(
        share == 0
            ? DuplicatedMessages.NONE
            : DuplicatedMessages.delayed(
                share, 3 * spec.workers().lease().seconds(), nodes, draws));
  }

  /**
   * From now on a share of all commands that machines have executed arrives there a second time, 1
   * s to three leases later.
   */
  void duplicateCommands(double share, Random draws) {
    network.duplicateCommands(
        share == 0
            ? DuplicatedMessages.NONE
            : DuplicatedMessages.delayedCommands(
                share, 3 * spec.workers().lease().seconds(), draws));
  }

  /**
   * From now on copies of a share of all reports are kept until there is a new leader, and then
   * arrive at every controller.
   */
  void duplicateReportsForNextLeader(double share, Random draws) {
    network.duplicateReports(
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
  void delayMessages(double share, double longestS, Random draws) {
    network.delayMessages(new DelayedMessages(share, longestS, draws));
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
  void separate(int node, double seconds, boolean lose) {
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
    network.cut(one, other, time.seconds() + seconds, lose);
  }

  /** The reports of a machine arrive, but for a while nothing that is sent to it does. */
  void dropInbound(MachineId machine, double seconds) {
    network.dropInbound(machine.text(), time.seconds() + seconds);
  }

  /** A machine reaches no controller for a while; what is sent to it arrives and is answered. */
  void dropOutbound(MachineId machine, double seconds) {
    network.dropOutbound(machine.text(), time.seconds() + seconds);
  }

  int undeliveredStarts() {
    return network.undeliveredStarts();
  }

  /** Sends a request to a running controller directly, without the network. */
  void sendDirectly(int node, HttpRequest request, Consumer<HttpResponse> reply) {
    controllers[node].handle(request, reply);
  }

  /** The status of a controller; null if it is down. */
  JsonFields status(int node) {
    JsonFields[] status = new JsonFields[1];
    if (processes[node].isAlive()) {
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
