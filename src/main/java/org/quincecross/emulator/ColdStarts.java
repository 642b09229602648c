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
 * Watches that each place of a model's record is started once, and has the weights fetched once, as
 * long as its machine is not lost: by what the machines do, and by the records as the state service
 * has them.
 */
final class ColdStarts {
  private record Place(TaskId task, MachineId machine, long epoch) {}

  private final ClusterEnvironment around;
  private final Map<JobId, String> names = new HashMap<>();
  private final Set<Place> started = new HashSet<>();
  private final Set<Place> fetched = new HashSet<>();
  private final List<String> wrong = new ArrayList<>();
  private int fetches;
  private int late;

  ColdStarts(ClusterEnvironment around) {
    this.around = around;
  }

  /** Has a job watched that is a model of this name. */
  void watch(String name, JobId job) {
    names.put(job, name);
  }

  /** What was started or fetched twice. */
  List<String> wrong() {
    return wrong;
  }

  /** How many places were started. */
  int starts() {
    return started.size();
  }

  /** How often weights began to be fetched. */
  int fetches() {
    return fetches;
  }

  /** Starts that arrived when the record had the place no more. */
  int late() {
    return late;
  }

  /** What the state service has of a model's state; null before it is defined. */
  static Map<?, ?> state(KeyValueStoreSimulator state, String name) {
    return state.value("q/agreed/" + ModelKind.NAME + "/" + name) instanceof Map<?, ?> record
            && record.get("state") instanceof Map<?, ?> of
        ? of
        : null;
  }

  private Place place(TaskId task, MachineId machine) {
    Map<?, ?> model = state(around.state(), names.get(task.job()));
    if (model != null && model.get("places") instanceof List<?> places) {
      for (Object each : places) {
        Map<?, ?> place = (Map<?, ?>) each;
        // The tasks of a gang go to the machines of all of them as it comes.
        boolean its =
            ((Number) place.get("replica")).intValue() == task.index()
                || around.job(task.job()).kind() == JobKind.GANG;
        if (its && machine.text().equals(place.get("machine"))) {
          return new Place(task, machine, ((Number) place.get("epoch")).longValue());
        }
      }
    }
    return null;
  }

  /** A machine has begun a task; {@code fetches}: and to fetch its image for that. */
  void started(TaskId task, MachineId machine, boolean fetch) {
    if (!names.containsKey(task.job())) {
      return;
    }
    fetches += fetch ? 1 : 0;
    Place place = place(task, machine);
    if (place == null) {
      late += state(around.state(), names.get(task.job())) == null ? 0 : 1;
    } else if (!started.add(place)) {
      wrong.add("at " + around.clock().seconds() + " started again: " + place);
    } else if (fetch && !fetched.add(place)) {
      wrong.add("at " + around.clock().seconds() + " fetched again: " + place);
    }
  }

  /** A machine has lost what was on it. */
  void lost(MachineId machine) {
    Set<JobId> gangs = new HashSet<>();
    started.forEach(
        place -> {
          Job job = around.job(place.task().job());
          if (place.machine().equals(machine) && job.kind() == JobKind.GANG) {
            gangs.add(job.id()); // the rest of it cannot go on, and starts again where it is
          }
        });
    started.removeIf(
        place -> place.machine().equals(machine) || gangs.contains(place.task().job()));
    fetched.removeIf(
        place -> place.machine().equals(machine) || gangs.contains(place.task().job()));
  }
}
