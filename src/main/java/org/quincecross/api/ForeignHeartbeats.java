package org.quincecross.api;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Heartbeat;

/**
 * Records machines of other controllers' shards that have reported here recently. The leader moves
 * a shard whose owner does not reach its machines, and terminates no machine that some controller
 * hears. A late copy must cause neither, so a heartbeat counts only if it was made after all
 * earlier arrivals from that machine: a live agent shows larger counts each time.
 */
final class ForeignHeartbeats {
  private static final TimeSpan FOREIGN_FOR = TimeSpan.ofSeconds(6);

  /**
   * How long counts are remembered after the last heartbeat that counted: copies arrive later than
   * most leases.
   */
  private static final TimeSpan REMEMBERED = TimeSpan.ofSeconds(300);

  /**
   * The last heartbeat of a machine.
   *
   * @param foreign false if this controller owned the machine's shard at that time
   */
  private record LastHeartbeat(long session, long order, MonotonicTime at, boolean foreign) {
    boolean isBefore(Heartbeat heartbeat) {
      int bySession = Long.compareUnsigned(heartbeat.session(), session);
      return bySession != 0 ? bySession > 0 : Long.compareUnsigned(heartbeat.sequence(), order) > 0;
    }
  }

  private final Map<MachineId, LastHeartbeat> lastHeartbeats = new HashMap<>();
  private MonotonicTime cleanedUpAt = new MonotonicTime(0);

  /**
   * Called when a machine of another controller's shard has reported here, or a copy of a heartbeat
   * arrived.
   */
  void onForeignHeartbeat(Heartbeat heartbeat, MonotonicTime now) {
    record(heartbeat, now, true);
  }

  /** Called when this controller owns the machine's shard and has responded to it. */
  void answered(Heartbeat heartbeat, MonotonicTime now) {
    record(heartbeat, now, false);
  }

  private void record(Heartbeat heartbeat, MonotonicTime now, boolean foreign) {
    MachineId machine = heartbeat.machine().id();
    LastHeartbeat before = lastHeartbeats.get(machine);
    if (before == null
        || before.isBefore(heartbeat)
        || now.since(before.at()).isLongerThan(REMEMBERED)) {
      lastHeartbeats.put(
          machine, new LastHeartbeat(heartbeat.session(), heartbeat.sequence(), now, foreign));
    }
  }

  List<MachineId> recentMachines(MonotonicTime now) {
    if (now.since(cleanedUpAt).isLongerThan(FOREIGN_FOR)) {
      cleanedUpAt = now;
      lastHeartbeats.values().removeIf(each -> now.since(each.at()).isLongerThan(REMEMBERED));
    }
    return lastHeartbeats.entrySet().stream()
        .filter(
            each ->
                each.getValue().foreign()
                    && !now.since(each.getValue().at()).isLongerThan(FOREIGN_FOR))
        .map(Map.Entry::getKey)
        .toList();
  }
}
