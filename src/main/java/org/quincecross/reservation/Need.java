package org.quincecross.reservation;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.quincecross.model.Resources;

/**
 * The room that answering a request takes.
 *
 * @param lane the class of the jobs that the room is kept for
 * @param team whose limit and guarantee the room counts against
 * @param tasks of that lane that are to find room
 * @param each what one of them takes
 * @param zones where they may be; none named: anywhere
 */
public record Need(String lane, String team, int tasks, Resources each, Set<String> zones) {
  public Need {
    zones = Set.copyOf(zones);
  }

  /** What all of its tasks take. */
  public Resources total() {
    return each.times(tasks);
  }

  public boolean allows(String zone) {
    return zones.isEmpty() || zones.contains(zone);
  }

  /**
   * The most of its tasks that are reserved in one zone where {@code zones} may take some: so one
   * zone's loss leaves about half.
   */
  int mostInOneZone(int zones, int ofTasks) {
    return zones < 2 ? ofTasks : (ofTasks + 1) / 2;
  }

  /** In which fields another differs, in words that name both figures. */
  List<String> differences(Need other) {
    List<String> differences = new ArrayList<>();
    differ(differences, "lane", lane, other.lane);
    differ(differences, "team", team, other.team);
    differ(differences, "tasks", tasks, other.tasks);
    differ(differences, "cpus", each.cpus(), other.each.cpus());
    differ(differences, "gpus", each.gpus(), other.each.gpus());
    differ(differences, "memory_gb", each.memoryGb(), other.each.memoryGb());
    differ(
        differences,
        "zones",
        zones.stream().sorted().toList(),
        other.zones.stream().sorted().toList());
    return differences;
  }

  static void differ(List<String> differences, String field, Object here, Object there) {
    if (!here.equals(there)) {
      differences.add(field + " is " + here + ", not " + there);
    }
  }
}
