package org.quincecross.shard;

import org.quincecross.model.Attempt;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.scheduling.ShardScheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts the tasks that a shard's scheduler has chosen, under new attempts. */
final class TaskStarter {
  private static final Logger LOG = LoggerFactory.getLogger(TaskStarter.class);

  /**
   * An attempt consists of the shard's token and this many bits of a counter, so that attempts
   * under every later lease are larger.
   */
  private static final int ATTEMPT_BITS = 20;

  private final ShardState state;
  private final StartGate startGate;
  private long attempts;

  TaskStarter(ShardState state, StartGate startGate) {
    this.state = state;
    this.startGate = startGate;
  }

  void startScheduled(MonotonicTime now) {
    for (ShardScheduler.Start start : state.scheduler().schedule(now)) {
      start.entry().tasks().forEach(state.queueEntries()::remove);
      boolean mayStart =
          start.entry().tasks().stream()
              .allMatch(task -> startGate.mayStart(state.placements().get(task)));
      if (mayStart) {
        start(start, now);
      }
    }
  }

  private void start(ShardScheduler.Start start, MonotonicTime now) {
    Attempt attempt = new Attempt((state.token().value() << ATTEMPT_BITS) + ++attempts);
    for (int i = 0; i < start.machines().size(); i++) {
      MachineId machine = start.machines().get(i);
      AgentSession session = state.sessions().get(machine);
      Placement placement = state.placements().get(start.entry().tasks().get(i));
      placement.start(machine, attempt, now);
      LOG.debug(
          "shard {}: starting {} on {}, image present: {}",
          state.id(),
          placement.task(),
          machine,
          session.hasImage(placement.job().image()));
      // One pull serves all tasks that need the image, so the next of them is local there too.
      session.usedImage(placement.job().image(), placement.job().imageGb());
    }
  }
}
