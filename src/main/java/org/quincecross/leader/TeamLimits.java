package org.quincecross.leader;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.rollout.AnnouncedLimits;

/** The team limits in force: the lowest that any controller announces. */
final class TeamLimits {
  private final LeaderContext context;

  TeamLimits(LeaderContext context) {
    this.context = context;
  }

  /** The teams with their limits. */
  Map<String, Team> teams() {
    return AnnouncedLimits.lowest(
        context.settings().teams(), context.cache().announcedLimits().values());
  }

  /** For each of some jobs, the number of pending tasks that exceed its team's limit. */
  Map<JobId, Integer> tasksOverLimit(Collection<JobId> jobs) {
    Map<String, Resources> usage = context.allocationIndex().teamUsage();
    Map<String, Team> teams = teams();
    Map<JobId, Integer> tasksOverLimit = new HashMap<>();
    for (JobId id : jobs) {
      AllocationIndex.JobAllocation allocation = context.allocationIndex().get(id);
      Team team = allocation == null ? null : teams.get(allocation.job().team());
      tasksOverLimit.put(id, team == null ? 0 : tasksOverLimit(allocation, team, usage));
    }
    return tasksOverLimit;
  }

  private static int tasksOverLimit(
      AllocationIndex.JobAllocation allocation, Team team, Map<String, Resources> usage) {
    if (allocation.pending().isEmpty()) {
      return 0;
    }
    Resources left = team.limit().minus(usage.getOrDefault(team.name(), Resources.NONE));
    int withinLimit = left.capacityFor(allocation.job().taskResources());
    return Math.max(0, allocation.pending().size() - withinLimit);
  }
}
