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
final class Balancer {
  private static final double PROBE_S = 1;
  private static final double RESET_AFTER_S = 5;
  private static final double PAUSE_S = 3;
  private static final double LONGEST_PAUSE_S = 60;
  private static final double REMOVALS_COUNT_FOR_S = 120;
  private static final double RAISED_OVER_S = 10;
  private static final int PROBES = 6;

  /** The load balancer's view of a controller. */
  private enum State {
    NEW,
    HEALTHY,
    UNHEALTHY
  }

  private static final class Node {
    private State state = State.NEW;
    private double since;
    private int fails;
    private int goods;
    private int recent;
    private final List<Double> removals = new ArrayList<>();
    private int open;
  }

  private static final class Connection {
    private final int node;
    private ProcessScope life = new ProcessScope();

    Connection(int node) {
      this.node = node;
    }
  }

  private final ClusterEnvironment around;
  private final Node[] nodes;
  private final Map<Object, Connection> connections = new HashMap<>();

  Balancer(ClusterEnvironment around) {
    this.around = around;
    nodes = new Node[around.site().nodes()];
    for (int i = 0; i < nodes.length; i++) {
      nodes[i] = new Node();
      probe(i);
    }
  }

  private void enter(Node node, State next) {
    node.state = next;
    node.since = around.clock().seconds();
  }

  boolean isHealthy(int node) {
    return nodes[node].state == State.HEALTHY;
  }

  private void probe(int number) {
    around
        .network()
        .call(
            new ProcessScope(),
            "users",
            around.node(number),
            HttpRequest.get(JobCodec.HEALTH_PATH),
            TimeSpan.ofSeconds(1),
            outcome -> probed(number, outcome.status() == 200));
    around.clock().after(PROBE_S * (0.9 + 0.2 * around.random().nextDouble()), () -> probe(number));
  }

  private void probed(int number, boolean good) {
    Node node = nodes[number];
    double now = around.clock().seconds();
    node.goods = good ? node.goods + 1 : 0;
    node.fails = good ? 0 : node.fails + 1;
    node.recent = (node.recent << 1 | (good ? 0 : 1)) & (1 << PROBES) - 1;
    if (node.state == State.HEALTHY && (node.fails >= 2 || Integer.bitCount(node.recent) >= 3)) {
      node.removals.removeIf(at -> now - at > REMOVALS_COUNT_FOR_S);
      node.removals.add(now);
      enter(node, State.UNHEALTHY);
      around
          .clock()
          .after(
              RESET_AFTER_S,
              () -> {
                if (node.state == State.UNHEALTHY
                    && around.clock().seconds() - node.since >= RESET_AFTER_S - 0.01) {
                  connections.values().stream()
                      .filter(each -> each.node == number)
                      .toList()
                      .forEach(this::close);
                }
              });
    } else if (node.state == State.NEW && good) {
      enter(node, State.HEALTHY);
    } else if (node.state == State.UNHEALTHY
        && node.goods >= 2
        && now - node.since
            >= Math.min(LONGEST_PAUSE_S, PAUSE_S * Math.pow(2, node.removals.size() - 1))) {
      node.recent = 0;
      enter(node, State.HEALTHY);
    }
  }

  private void close(Connection connection) {
    if (connections.values().remove(connection)) {
      nodes[connection.node].open--;
    }
    connection.life.end();
  }

  private int choose() {
    int best = -1;
    double least = 0;
    for (int i = 0; i < nodes.length; i++) {
      double raised =
          Math.min(1, 0.1 + (around.clock().seconds() - nodes[i].since) / RAISED_OVER_S);
      double load = (nodes[i].open + around.random().nextDouble()) / raised;
      if (nodes[i].state == State.HEALTHY && (best < 0 || load < least)) {
        best = i;
        least = load;
      }
    }
    return best;
  }

  /**
   * Sends a user's request over the existing connection, or a new one. A reset connection counts as
   * no answer.
   */
  void call(Object user, HttpRequest request, double timeoutS, Consumer<HttpOutcome> done) {
    Connection kept = connections.get(user);
    if (kept == null) {
      int node = choose();
      if (node < 0) {
        around.clock().after(0.001, () -> done.accept(HttpOutcome.failed(false)));
        return;
      }
      kept = new Connection(node);
      connections.put(user, kept);
      nodes[node].open++;
    }
    Connection over = kept;
    boolean[] answered = new boolean[1];
    Consumer<HttpOutcome> once =
        outcome -> {
          if (!answered[0]) {
            answered[0] = true;
            if (outcome.status() == 0 || outcome.response().close()) {
              close(over);
            }
            done.accept(outcome);
          }
        };
    around
        .network()
        .call(
            over.life,
            "users",
            around.node(over.node),
            request,
            TimeSpan.ofSeconds(timeoutS),
            once);
    around
        .clock()
        .after(
            timeoutS + 0.01,
            () -> once.accept(HttpOutcome.failed(true))); // the connection was reset
  }
}
