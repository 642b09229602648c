package org.quincecross.emulator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.quincecross.protocol.Features;

/**
 * A day of a whole fleet in virtual time, all of whose controllers are restarted in the middle, and
 * what it costs its controllers: processor time and bytes allocated, by what they were called for.
 * One thread, no sockets: the HTTP parser, the selector and the start of a process are not in it.
 */
public final class Measurement {
  /** The sites that can be measured. */
  public enum Kind {
    /** One type of machine in three zones: replicas, arrays, sweeps. */
    FLEET,
    /** Three types in two zones, gangs of whole machines. */
    MIXED
  }

  private static final double JOBS_FROM_S = 15;
  private static final double JOBS_OVER_S = 20;
  private static final double RESTART_AT_S = 150;

  private final Kind kind;
  private final int machines;
  private final SimulatedCluster world;
  private final Meter meter = new Meter(true);
  private double lasted;

  /**
   * @param features what is switched on in all controllers
   */
  public Measurement(Kind kind, int machines, long seed, Features features) {
    this.kind = kind;
    this.machines = machines;
    this.world =
        new SimulatedCluster(
            kind == Kind.FLEET ? ClusterSpec.fleet(machines) : ClusterSpec.mixed(machines),
            seed,
            meter,
            features);
    WorkloadGenerator load = new WorkloadGenerator(world.around(), seed);
    world.time().at(JOBS_FROM_S, () -> load.begin(JOBS_OVER_S));
    world
        .time()
        .at(
            RESTART_AT_S,
            () -> {
              for (int node = 0; node < world.nodeCount(); node++) {
                world.crash(node);
              }
            });
  }

  /** Plays the day up to a time, in seconds from its beginning. */
  public void playUntil(double seconds) {
    world.time().runUntil(seconds);
    lasted = seconds;
  }

  /** Whether every rule was kept. */
  public boolean isSound() {
    return world.rules().broken().isEmpty();
  }

  /** Processor time of all controllers so far, in seconds. */
  public double processorS() {
    return meter.costs().values().stream().mapToLong(Meter.Cost::nanos).sum() / 1e9;
  }

  /** What a call was made for, in the words of the table. */
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

  /** Writes a table, dearest first, of what makes up all but a hundredth of the whole. */
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
        world.cloud().workers().size(),
        lasted,
        world.users().submitted(),
        world.rules().starts(),
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
                cost.longest() / 1e6,
                cost.nanos() / 1e9,
                100 * cost.nanos() / 1e9 / all);
          }
        });
  }
}
