package org.quincecross.failuredetection;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Which machines' reports to other controllers speak for moving their block.
 *
 * <p>A machine that reports to others because its holder does not answer it is served by another
 * one: that is one controller's trouble. If the next holder is not heard either, the machine hears
 * nobody, and goes the round of all controllers for as long as that lasts; to move its block each
 * time it arrives at another one would put off, for all the other machines of the block, the moment
 * at which all is settled. Kept by the leader alone.
 */
public final class ShardMovePolicy {
  /**
   * The pause after the first move; each further one doubles it, until the machine has obeyed a
   * holder.
   */
  static final TimeSpan FIRST_PAUSE = TimeSpan.ofSeconds(36);

  static final TimeSpan LONGEST_PAUSE = TimeSpan.ofSeconds(288);

  /** The states of a machine with regard to the controllers. */
  public enum State {
    /** Where it reports says who hears it. */
    COUNTS,
    /**
     * Its block has been moved for its sake, and it has not obeyed since: ends with its obeying, or
     * with the pause.
     */
    MOVED
  }

  private static final class Mark {
    private State state = State.COUNTS;
    private MonotonicTime until;
    private TimeSpan pause = FIRST_PAUSE;
  }

  private final Map<MachineId, Mark> marks = new HashMap<>();

  /** The one place where a machine changes its state. */
  private static void enter(Mark mark, State next, MonotonicTime until) {
    mark.state = next;
    mark.until = until;
  }

  /** A block was moved because these machines of it reported to others. */
  public void moved(Collection<MachineId> machines, MonotonicTime now) {
    for (MachineId machine : machines) {
      Mark mark = marks.computeIfAbsent(machine, id -> new Mark());
      enter(mark, State.MOVED, now.plus(mark.pause));
      mark.pause =
          mark.pause.times(2).isLongerThan(LONGEST_PAUSE) ? LONGEST_PAUSE : mark.pause.times(2);
    }
  }

  /** The machines that have been moved and not obeyed since. */
  public Collection<MachineId> suspendedMachines() {
    return marks.keySet();
  }

  /** A machine obeys its holder, or is no more. */
  public void fenced(Collection<MachineId> machines) {
    marks.keySet().removeAll(machines);
  }

  public State of(MachineId machine, MonotonicTime now) {
    Mark mark = marks.get(machine);
    if (mark != null && mark.state == State.MOVED && !now.isBefore(mark.until)) {
      enter(mark, State.COUNTS, now);
    }
    return mark == null ? State.COUNTS : mark.state;
  }
}
