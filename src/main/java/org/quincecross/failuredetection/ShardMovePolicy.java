package org.quincecross.failuredetection;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Decides which machines' heartbeats to other controllers are a reason to move their shard.
 *
 * <p>A machine that sends heartbeats to other controllers because its owner does not respond can be
 * served by another one, so the problem is on the owner's side. If the next owner does not reach it
 * either, the machine receives nothing and keeps trying all controllers; moving its shard every
 * time would repeatedly delay all other machines of the shard. Kept by the leader only.
 */
public final class ShardMovePolicy {
  /**
   * The pause after the first move; doubled by each further one until the machine has been fenced.
   */
  static final TimeSpan FIRST_PAUSE = TimeSpan.ofSeconds(36);

  static final TimeSpan MAX_PAUSE = TimeSpan.ofSeconds(288);

  /** The states of a machine with regard to the controllers. */
  public enum State {
    /**
     * The controller that it sends heartbeats to can presumably reach it, so its heartbeats count.
     */
    COUNTS,
    /**
     * Its shard has been moved because of it, and it has not been fenced since. Ends when it is
     * fenced, or after the pause.
     */
    MOVED
  }

  private static final class MachineMoves {
    private State state = State.COUNTS;
    private MonotonicTime until;
    private TimeSpan pause = FIRST_PAUSE;
  }

  private final Map<MachineId, MachineMoves> moves = new HashMap<>();

  /** The only method that changes the state. */
  private static void enter(MachineMoves machineMoves, State next, MonotonicTime until) {
    machineMoves.state = next;
    machineMoves.until = until;
  }

  /** Called when a shard was moved because these machines of it sent heartbeats to others. */
  public void recordMove(Collection<MachineId> machines, MonotonicTime now) {
    for (MachineId machine : machines) {
      MachineMoves machineMoves = moves.computeIfAbsent(machine, id -> new MachineMoves());
      enter(machineMoves, State.MOVED, now.plus(machineMoves.pause));
      machineMoves.pause =
          machineMoves.pause.times(2).isLongerThan(MAX_PAUSE)
              ? MAX_PAUSE
              : machineMoves.pause.times(2);
    }
  }

  /** The machines whose shards were moved and that have not been fenced since. */
  public Collection<MachineId> suspendedMachines() {
    return moves.keySet();
  }

  /** Called when machines are fenced for their owner, or no longer exist. */
  public void fenced(Collection<MachineId> machines) {
    moves.keySet().removeAll(machines);
  }

  /** Whether a machine's heartbeats are a reason to move its shard. */
  public State state(MachineId machine, MonotonicTime now) {
    MachineMoves machineMoves = moves.get(machine);
    if (machineMoves != null
        && machineMoves.state == State.MOVED
        && !now.isBefore(machineMoves.until)) {
      enter(machineMoves, State.COUNTS, now);
    }
    return machineMoves == null ? State.COUNTS : machineMoves.state;
  }
}
