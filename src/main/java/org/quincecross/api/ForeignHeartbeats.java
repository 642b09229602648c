package org.quincecross.api;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Heartbeat;

/**
 * Machines of others' blocks that have reported here lately: the leader moves a block that its
 * holder does not hear, and returns no machine that somebody hears. A late copy must do neither, so
 * that a report counts only if it was made after all that came here from that machine before: one
 * that goes on shows larger counts at each.
 */
final class ForeignHeartbeats {
  private static final TimeSpan STRAY_FOR = TimeSpan.ofSeconds(6);

  /**
   * Counts are remembered for so long after the last report that counted: copies come later than
   * most of leases.
   */
  private static final TimeSpan REMEMBERED = TimeSpan.ofSeconds(300);

  /**
   * @param stray false where the machine's block was held here at that time
   */
  private record Heard(long session, long order, MonotonicTime at, boolean stray) {
    boolean isBefore(Heartbeat heartbeat) {
      int bySession = Long.compareUnsigned(heartbeat.session(), session);
      return bySession != 0 ? bySession > 0 : Long.compareUnsigned(heartbeat.sequence(), order) > 0;
    }
  }

  private final Map<MachineId, Heard> heard = new HashMap<>();
  private MonotonicTime tidied = new MonotonicTime(0);

  /** A machine of another's block has reported here, or a copy of a report came. */
  void heard(Heartbeat heartbeat, MonotonicTime now) {
    note(heartbeat, now, true);
  }

  /** Its block is held here now, and that holder has answered it. */
  void answered(Heartbeat heartbeat, MonotonicTime now) {
    note(heartbeat, now, false);
  }

  private void note(Heartbeat heartbeat, MonotonicTime now, boolean stray) {
    MachineId machine = heartbeat.machine().id();
    Heard before = heard.get(machine);
    if (before == null
        || before.isBefore(heartbeat)
        || now.since(before.at()).isLongerThan(REMEMBERED)) {
      heard.put(machine, new Heard(heartbeat.session(), heartbeat.sequence(), now, stray));
    }
  }

  List<MachineId> lately(MonotonicTime now) {
    if (now.since(tidied).isLongerThan(STRAY_FOR)) {
      tidied = now;
      heard.values().removeIf(each -> now.since(each.at()).isLongerThan(REMEMBERED));
    }
    return heard.entrySet().stream()
        .filter(
            each ->
                each.getValue().stray() && !now.since(each.getValue().at()).isLongerThan(STRAY_FOR))
        .map(Map.Entry::getKey)
        .toList();
  }
}
