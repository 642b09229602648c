package org.quincecross.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.quincecross.model.Resources;

/**
 * The capacity that answering a request takes.
 *
 * @param jobClass the class of jobs that the capacity is reserved for; {@code lane} in messages and
 *     records
 * @param team the team whose limit and guarantee the capacity counts against
 * @param tasks how many tasks of the class need capacity
 * @param resourcesPerTask resources of one task
 * @param zones the allowed zones; empty for any
 */
public record CapacityNeed(
    String jobClass, String team, int tasks, Resources resourcesPerTask, Set<String> zones) {
  public CapacityNeed {
    zones = Set.copyOf(zones);
  }

  /** Returns the resources of all its tasks. */
  public Resources total() {
    return resourcesPerTask.times(tasks);
  }

  public boolean allows(String zone) {
    return zones.isEmpty() || zones.contains(zone);
  }

  /**
   * Returns the most tasks reserved in one of {@code zones} usable zones. Half of the tasks,
   * rounded up, so that about half survive the loss of a zone.
   */
  int maxTasksPerZone(int zones, int ofTasks) {
    return zones < 2 ? ofTasks : (ofTasks + 1) / 2;
  }

  /** Returns the fields in which another differs, as texts that name both values. */
  List<String> differences(CapacityNeed other) {
    List<String> differences = new ArrayList<>();
    addDifference(differences, "lane", jobClass, other.jobClass);
    addDifference(differences, "team", team, other.team);
    addDifference(differences, "tasks", tasks, other.tasks);
    addDifference(differences, "cpus", resourcesPerTask.cpus(), other.resourcesPerTask.cpus());
    addDifference(differences, "gpus", resourcesPerTask.gpus(), other.resourcesPerTask.gpus());
    addDifference(
        differences, "memory_gb", resourcesPerTask.memoryGb(), other.resourcesPerTask.memoryGb());
    addDifference(
        differences,
        "zones",
        zones.stream().sorted().toList(),
        other.zones.stream().sorted().toList());
    return differences;
  }

  static void addDifference(List<String> differences, String field, Object here, Object there) {
    if (!here.equals(there)) {
      differences.add(field + " is " + here + ", not " + there);
    }
  }
}
