package org.quincecross.leader;

import java.util.Collection;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.peer.PeerViews;
import org.quincecross.state.ClusterStateCache;

/** Explains in words what pending tasks wait for. */
final class PendingReasons {
  private static final int MAX_NAMED_JOBS = 10;

  private final ClusterStateCache cache;
  private final AllocationIndex allocationIndex;
  private final PendingDemand pendingDemand;
  private final PeerViews views;
  private final Autoscaler autoscaler;
  private final Supplier<Map<String, Team>> teams;

  /**
   * Creates an explainer.
   *
   * @param teams the teams with the limits in force
   */
  PendingReasons(
      ClusterStateCache cache,
      AllocationIndex allocationIndex,
      PendingDemand pendingDemand,
      PeerViews views,
      Autoscaler autoscaler,
      Supplier<Map<String, Team>> teams) {
    this.cache = cache;
    this.allocationIndex = allocationIndex;
    this.pendingDemand = pendingDemand;
    this.views = views;
    this.autoscaler = autoscaler;
    this.teams = teams;
  }

  /** What the pending tasks of an open job wait for; null if it has none. */
  String of(JobId id) {
    Collection<JobId> unfinished = cache.dependencyGraph().unfinishedDependencies(id);
    if (!unfinished.isEmpty()) {
      return "waits for "
          + unfinished.stream()
              .limit(MAX_NAMED_JOBS)
              .map(JobId::text)
              .collect(Collectors.joining(", "))
          + (unfinished.size() > MAX_NAMED_JOBS
              ? " and " + (unfinished.size() - MAX_NAMED_JOBS) + " more"
              : "");
    }
    AllocationIndex.JobAllocation account = allocationIndex.get(id);
    if (account == null || account.pending().isEmpty()) {
      return null;
    }
    Job job = account.job();
    int tasks = job.kind() == JobKind.GANG ? job.taskCount() : 1;
    String what = account.pending().size() + " tasks in the pool: ";
    Team team = teams.get().get(job.team());
    Resources use = allocationIndex.teamUsage().getOrDefault(job.team(), Resources.NONE);
    if (team == null) {
      return what + "the settings name no team " + job.team();
    }
    if (team.limit().minus(use).capacityFor(job.taskResources()) < tasks) {
      return what + "team " + job.team() + " uses " + use + " of its limit " + team.limit();
    }
    if (job.kind() == JobKind.GANG && account.pending().size() < job.taskCount()) {
      return what + "the rest of the gang is still in a block";
    }
    String heldBack = pendingDemand.suspectReason(id);
    if (heldBack != null) {
      return what + heldBack;
    }
    long declines =
        views.all().stream()
            .flatMap(view -> view.shards().values().stream())
            .filter(shardView -> shardView.declinedJobs().contains(id))
            .count();
    if (declines > 0) {
      return what
          + "failed on every machine of "
          + declines
          + " blocks, to be tried there again later";
    }
    return what
        + (autoscaler.isUnmet(id)
            ? "no block has room, machines are rented as the cloud gives them"
            : "to be allocated");
  }
}
