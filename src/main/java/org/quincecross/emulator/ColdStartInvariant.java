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
import org.quincecross.model.MachineId;
import org.quincecross.model.TaskId;
import org.quincecross.modelserving.ModelKind;

/**
 * Checks that each placement in a model's record is started once and fetches the weights once, as
 * long as its machine is not lost. Compares what machines do with the records in the state service.
 */
final class ColdStartInvariant {
  private record ReplicaPlacement(TaskId task, MachineId machine, long epoch) {}

  private final ClusterEnvironment environment;
  private final Map<JobId, String> names = new HashMap<>();
  private final Set<ReplicaPlacement> started = new HashSet<>();
  private final Set<ReplicaPlacement> fetched = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private int fetches;
  private int lateStarts;

  ColdStartInvariant(ClusterEnvironment environment) {
    this.environment = environment;
  }

  /** Watches a job that serves the model of this name. */
  void watch(String name, JobId job) {
    names.put(job, name);
  }

  /** Placements that were started, or whose weights were fetched, more than once. */
  List<String> violations() {
    return violations;
  }

  /** The number of placements that were started. */
  int starts() {
    return started.size();
  }

  /** The number of times that fetching of weights began. */
  int fetches() {
    return fetches;
  }

  /** The number of starts that arrived after the placement had left the record. */
  int lateStarts() {
    return lateStarts;
  }

  /** The model's state in the state service; null before the model is defined. */
  static Map<?, ?> state(KeyValueStoreSimulator stateService, String name) {
    return stateService.value("q/agreed/" + ModelKind.NAME + "/" + name) instanceof Map<?, ?> record
            && record.get("state") instanceof Map<?, ?> state
        ? state
        : null;
  }

  private ReplicaPlacement placementOf(TaskId task, MachineId machine) {
    Map<?, ?> model = state(environment.state(), names.get(task.job()));
    if (model != null && model.get("places") instanceof List<?> places) {
      for (Object each : places) {
        Map<?, ?> place = (Map<?, ?>) each;
        // Each task of a gang runs on every machine of the gang's placements, in the order of
        // arrival.
        boolean matches =
            ((Number) place.get("replica")).intValue() == task.index()
                || environment.job(task.job()).kind() == JobKind.GANG;
        if (matches && machine.text().equals(place.get("machine"))) {
          return new ReplicaPlacement(task, machine, ((Number) place.get("epoch")).longValue());
        }
      }
    }
    return null;
  }

  /** A machine has begun a task; {@code fetch} if it also began to fetch the image for it. */
  void started(TaskId task, MachineId machine, boolean fetch) {
    if (!names.containsKey(task.job())) {
      return;
    }
    fetches += fetch ? 1 : 0;
    ReplicaPlacement place = placementOf(task, machine);
    if (place == null) {
      lateStarts += state(environment.state(), names.get(task.job())) == null ? 0 : 1;
    } else if (!started.add(place)) {
      violations.add("at " + environment.clock().seconds() + " started again: " + place);
    } else if (fetch && !fetched.add(place)) {
      violations.add("at " + environment.clock().seconds() + " fetched again: " + place);
    }
  }

  /** A machine has lost its tasks. */
  void lost(MachineId machine) {
    Set<JobId> gangs = new HashSet<>();
    started.forEach(
        place -> {
          Job job = environment.job(place.task().job());
          if (place.machine().equals(machine) && job.kind() == JobKind.GANG) {
            gangs.add(
                job.id()); // the other tasks of the gang cannot continue, and start again on the
            // same machines
          }
        });
    started.removeIf(
        place -> place.machine().equals(machine) || gangs.contains(place.task().job()));
    fetched.removeIf(
        place -> place.machine().equals(machine) || gangs.contains(place.task().job()));
  }
}
