package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpOutcome;
import org.quincecross.protocol.JobCodec;

/**
 * Simulates the users' load balancer as the protocol describes it. A new connection goes to the
 * healthy controller with the fewest open connections. Two failed probes in a row, or three of the
 * last six, make a controller unhealthy, and its connections are reset 5 s later. Two successful
 * probes make it healthy again, but not before a pause that doubles with each removal within two
 * minutes.
 */
final class LoadBalancerSimulator {
  private static final double PROBE_INTERVAL_S = 1;
  private static final double RESET_AFTER_S = 5;
  private static final double MIN_REINSTATEMENT_DELAY_S = 3;
  private static final double MAX_REINSTATEMENT_DELAY_S = 60;
  private static final double REMOVAL_MEMORY_S = 120;
  private static final double SLOW_START_S = 10;
  private static final int PROBE_WINDOW = 6;

  /** The load balancer's view of a controller. */
  private enum State {
    NEW,
    HEALTHY,
    UNHEALTHY
  }

  private static final class Node {
    private State state = State.NEW;
    private double stateSince;
    private int consecutiveFailures;
    private int consecutiveSuccesses;
    private int recentFailures;
    private final List<Double> removals = new ArrayList<>();
    private int openConnections;
  }

  private static final class Connection {
    private final int node;
    private ProcessScope process = new ProcessScope();

    Connection(int node) {
      this.node = node;
    }
  }

  private final ClusterEnvironment environment;
  private final Node[] nodes;
  private final Map<Object, Connection> connections = new HashMap<>();

  LoadBalancerSimulator(ClusterEnvironment environment) {
    this.environment = environment;
    nodes = new Node[environment.spec().nodes()];
    for (int i = 0; i < nodes.length; i++) {
      nodes[i] = new Node();
      probe(i);
    }
  }

  private void enter(Node node, State next) {
    node.state = next;
    node.stateSince = environment.clock().seconds();
  }

  boolean isHealthy(int node) {
    return nodes[node].state == State.HEALTHY;
  }

  private void probe(int number) {
    environment
        .network()
        .call(
            new ProcessScope(),
            "users",
            environment.node(number),
            HttpRequest.get(JobCodec.HEALTH_PATH),
            TimeSpan.ofSeconds(1),
            outcome -> probed(number, outcome.status() == 200));
    environment
        .clock()
        .after(
            PROBE_INTERVAL_S * (0.9 + 0.2 * environment.random().nextDouble()),
            () -> probe(number));
  }

  private void probed(int number, boolean succeeded) {
    Node node = nodes[number];
    double now = environment.clock().seconds();
    node.consecutiveSuccesses = succeeded ? node.consecutiveSuccesses + 1 : 0;
    node.consecutiveFailures = succeeded ? 0 : node.consecutiveFailures + 1;
    node.recentFailures =
        (node.recentFailures << 1 | (succeeded ? 0 : 1)) & (1 << PROBE_WINDOW) - 1;
    if (node.state == State.HEALTHY
        && (node.consecutiveFailures >= 2 || Integer.bitCount(node.recentFailures) >= 3)) {
      node.removals.removeIf(at -> now - at > REMOVAL_MEMORY_S);
      node.removals.add(now);
      enter(node, State.UNHEALTHY);
      environment
          .clock()
          .after(
              RESET_AFTER_S,
              () -> {
                if (node.state == State.UNHEALTHY
                    && environment.clock().seconds() - node.stateSince >= RESET_AFTER_S - 0.01) {
                  connections.values().stream()
                      .filter(each -> each.node == number)
                      .toList()
                      .forEach(this::close);
                }
              });
    } else if (node.state == State.NEW && succeeded) {
      enter(node, State.HEALTHY);
    } else if (node.state == State.UNHEALTHY
        && node.consecutiveSuccesses >= 2
        && now - node.stateSince
            >= Math.min(
                MAX_REINSTATEMENT_DELAY_S,
                MIN_REINSTATEMENT_DELAY_S * Math.pow(2, node.removals.size() - 1))) {
      node.recentFailures = 0;
      enter(node, State.HEALTHY);
    }
  }

  private void close(Connection connection) {
    if (connections.values().remove(connection)) {
      nodes[connection.node].openConnections--;
    }
    connection.process.end();
  }

  private int leastLoadedNode() {
    int leastLoaded = -1;
    double leastLoad = 0;
    for (int i = 0; i < nodes.length; i++) {
      double slowStartWeight =
          Math.min(1, 0.1 + (environment.clock().seconds() - nodes[i].stateSince) / SLOW_START_S);
      double load =
          (nodes[i].openConnections + environment.random().nextDouble()) / slowStartWeight;
      if (nodes[i].state == State.HEALTHY && (leastLoaded < 0 || load < leastLoad)) {
        leastLoaded = i;
        leastLoad = load;
      }
    }
    return leastLoaded;
  }

  /**
   * Sends a user's request over the existing connection, or a new one. A reset connection counts as
   * no answer.
   */
  void call(Object user, HttpRequest request, double timeoutS, Consumer<HttpOutcome> done) {
    Connection existing = connections.get(user);
    if (existing == null) {
      int node = leastLoadedNode();
      if (node < 0) {
        environment.clock().after(0.001, () -> done.accept(HttpOutcome.failed(false)));
        return;
      }
      existing = new Connection(node);
      connections.put(user, existing);
      nodes[node].openConnections++;
    }
    Connection connection = existing;
    boolean[] answered = new boolean[1];
    Consumer<HttpOutcome> once =
        outcome -> {
          if (!answered[0]) {
            answered[0] = true;
            if (outcome.status() == 0 || outcome.response().close()) {
              close(connection);
            }
            done.accept(outcome);
          }
        };
    environment
        .network()
        .call(
            connection.process,
            "users",
            environment.node(connection.node),
            request,
            TimeSpan.ofSeconds(timeoutS),
            once);
    environment
        .clock()
        .after(
            timeoutS + 0.01,
            () -> once.accept(HttpOutcome.failed(true))); // the connection was reset
  }
}
