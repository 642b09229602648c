package org.quincecross.emulator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.quincecross.protocol.Features;

/**
 * A simulated day of a whole fleet, with all controllers restarted in the middle, and its cost to
 * the controllers: processor time and bytes allocated, by kind of call. It runs on one thread
 * without sockets, so the HTTP parser, the selector and process start are not included.
 */
public final class Measurement {
  /** The deployments that can be measured. */
  public enum Kind {
    /** One machine type in three zones: services, arrays and sweeps. */
    FLEET,
    /** Three machine types in two zones, with gangs of whole machines. */
    MIXED
  }

  private static final double WORKLOAD_START_S = 15;
  private static final double INITIAL_JOBS_SPREAD_S = 20;
  private static final double RESTART_AT_S = 150;

  private final Kind kind;
  private final int machines;
  private final SimulatedCluster cluster;
  private final Meter meter = new Meter(true);
  private double playedS;

  /**
   * @param features the features that are enabled in all controllers
   */
  public Measurement(Kind kind, int machines, long seed, Features features) {
    this.kind = kind;
    this.machines = machines;
    this.cluster =
        new SimulatedCluster(
            kind == Kind.FLEET ? ClusterSpec.fleet(machines) : ClusterSpec.mixed(machines),
            seed,
            meter,
            features);
    WorkloadGenerator load = new WorkloadGenerator(cluster.environment(), seed);
    cluster.time().at(WORKLOAD_START_S, () -> load.begin(INITIAL_JOBS_SPREAD_S));
    cluster
        .time()
        .at(
            RESTART_AT_S,
            () -> {
              for (int node = 0; node < cluster.nodeCount(); node++) {
                cluster.crash(node);
              }
            });
  }

  /** Runs the day up to a time, in seconds from its beginning. */
  public void playUntil(double seconds) {
    cluster.time().runUntil(seconds);
    playedS = seconds;
  }

  /** Whether no rule was broken. */
  public boolean isSound() {
    return cluster.invariants().violations().isEmpty();
  }

  /** The processor time of all controllers so far, in seconds. */
  public double processorS() {
    return meter.costs().values().stream().mapToLong(Meter.Cost::nanos).sum() / 1e9;
  }

  /** The name of a kind of call in the table. */
  private static String name(String kind) {
    String[][] names = {
      {"POST /agent/…", "a worker's report"},
      {"GET /vN/…", "a poll"},
      {"POST /vN/…/cancel", "a cancellation"},
      {"POST /vN/…", "a submission"},
      {"answer /follow", "records followed"},
      {"timer Leader", "a plan of the leader"},
      {"timer Autoscaler", "a look at the fleet"},
      {"timer OwnedShards", "a look at the blocks held"},
      {"peer report", "a peer's report"},
      {"timer PeerReporter", "telling the peers"},
      {"answer /orders", "a worker's answer to a command"},
      {"answer /hosts", "the cloud's list"},
      {"timer StallDetector", "a look for stalled jobs"},
      {"answer /txn", "a transaction's answer"},
      {"answer /keys", "a page of records"},
      {"start", "a start"}
    };
    for (String[] each : names) {
      if (each[0].equals(kind)) {
        return each[1];
      }
    }
    return kind;
  }

  /**
   * Writes a table, most expensive first, of all calls that take more than a hundredth of the
   * total.
   */
  public void write(PrintStream out) {
    Map<String, Meter.Cost> costs = new LinkedHashMap<>();
    List<Map.Entry<String, Meter.Cost>> order = new ArrayList<>(meter.costs().entrySet());
    order.sort((one, other) -> Long.compare(other.getValue().nanos(), one.getValue().nanos()));
    order.forEach(entry -> costs.put(name(entry.getKey()), entry.getValue()));
    double all = processorS();
    out.printf(
        Locale.ROOT,
        "%s, %d machines (%d up at the end), %.0f s, %d jobs submitted, %d tasks started: %.1f s of processor time%n%n",
        kind.toString().toLowerCase(Locale.ROOT),
        machines,
        cluster.cloud().workers().size(),
        playedS,
        cluster.users().submitted(),
        cluster.invariants().starts(),
        all);
    out.println("| what | calls | µs each | KB each | longest, ms | s | share |");
    out.println("| --- | --- | --- | --- | --- | --- | --- |");
    costs.forEach(
        (name, cost) -> {
          if (cost.nanos() / 1e9 > 0.01 * all) {
            out.printf(
                Locale.ROOT,
                "| %s | %d | %.0f | %.1f | %.1f | %.2f | %.0f%% |%n",
                name,
                cost.calls(),
                cost.nanos() / 1e3 / cost.calls(),
                cost.bytes() / 1024.0 / cost.calls(),
                cost.longestNanos() / 1e6,
                cost.nanos() / 1e9,
                100 * cost.nanos() / 1e9 / all);
          }
        });
  }
}
