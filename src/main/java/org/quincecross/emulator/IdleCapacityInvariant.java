package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Machine;
import org.quincecross.model.Resources;

/**
 * After all faults have ended, no job waits for more than 90 s while a suitable machine has room
 * and its team is below its limit. A job waits while some of its tasks are neither done nor on a
 * machine, and none of its tasks has started. Checked every second, for the machines as they are
 * then.
 */
final class IdleCapacityInvariant {
  static final double MAX_WAIT_S = 90;

  private record WaitingJob(double since, int started) {}

  private final ClusterEnvironment environment;
  private final Map<JobId, WaitingJob> waiting = new HashMap<>();
  private final Set<JobId> reported = new HashSet<>();
  private boolean isWatching;

  IdleCapacityInvariant(ClusterEnvironment environment) {
    this.environment = environment;
  }

  /** All faults have ended: starts the checks. */
  void watch() {
    if (!isWatching) {
      isWatching = true;
      check();
    }
  }

  private void check() {
    List<AgentSimulator> open =
        environment.cloud().workers().stream().filter(AgentSimulator::canRunTasks).toList();
    for (JobId id : List.copyOf(environment.users().reportedStates().keySet())) {
      if (!environment.users().isOpen(id)
          || environment.users().isCancelRequested(id)
          || environment.users().isMisconfigured(id)
          || !hasRoom(environment.job(id), open)) {
        waiting.remove(id);
        continue;
      }
      double now = environment.clock().seconds();
      int started = environment.invariants().started(id);
      WaitingJob before = waiting.get(id);
      if (before == null || before.started() != started) {
        waiting.put(id, new WaitingJob(now, started));
      } else if (now - before.since() >= MAX_WAIT_S && reported.add(id)) {
        environment.invariants().onLeftWaiting(id, now - before.since());
      }
    }
    environment.clock().after(1, this::check);
  }

  /** Whether the next tasks of a job could start: one task, or all tasks of a gang. */
  private boolean hasRoom(Job job, List<AgentSimulator> open) {
    int next = 0;
    while (next < job.taskCount()
        && (environment.invariants().isCompleted(job.id().task(next))
            || environment.invariants().isOn(job.id().task(next)))) {
      next++;
    }
    int together = job.kind() == JobKind.GANG ? job.taskCount() : 1;
    Resources left =
        environment
            .spec()
            .teams()
            .get(job.team())
            .limit()
            .minus(environment.invariants().used(job.team()));
    boolean isBegunGang =
        job.kind() == JobKind.GANG && environment.invariants().onMachines(job.id()) > 0;
    if (next == job.taskCount()
        || isBegunGang
        || left.capacityFor(job.taskResources()) < together) {
      return false;
    }
    Map<String, Integer> places = new HashMap<>();
    for (AgentSimulator worker : open) {
      Machine machine = worker.machine();
      if (job.allows(machine.type(), machine.zone(), machine.spot())) {
        places.merge(
            job.singleZone() ? machine.zone() : "any",
            permittedInZone(
                job,
                machine.zone(),
                worker.capacity().minus(worker.used()).capacityFor(job.taskResources())),
            Integer::sum);
      }
    }
    return places.values().stream().anyMatch(each -> each >= together);
  }

  /**
   * Of the tasks that the machines of a zone have room for, the number that the spreading rule
   * permits there.
   */
  private int permittedInZone(Job job, String zone, int room) {
    List<String> zones = new ArrayList<>(environment.spec().zones());
    zones.removeIf(each -> environment.invariants().onMachines(job.id(), each) == 0);
    if (job.singleZone() && !zones.isEmpty() && !zones.contains(zone)) {
      return 0;
    }
    return job.spreadOverZones()
        ? Math.min(
            room,
            Math.max(
                0, job.maxTasksPerZone() - environment.invariants().onMachines(job.id(), zone)))
        : room;
  }
}
