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

/** Says in words what the tasks in the pool wait for. */
final class PendingReasons {
  private static final int MOST_NAMED = 10;

  private final ClusterStateCache cache;
  private final AllocationIndex books;
  private final PendingDemand demands;
  private final PeerViews views;
  private final Autoscaler fleet;
  private final Supplier<Map<String, Team>> teams;

  /**
   * @param teams with the limits that hold
   */
  PendingReasons(
      ClusterStateCache cache,
      AllocationIndex books,
      PendingDemand demands,
      PeerViews views,
      Autoscaler fleet,
      Supplier<Map<String, Team>> teams) {
    this.cache = cache;
    this.books = books;
    this.demands = demands;
    this.views = views;
    this.fleet = fleet;
    this.teams = teams;
  }

  /** What the tasks of an open job that are in the pool wait for; null where none are. */
  String of(JobId id) {
    Collection<JobId> unfinished = cache.dependencyGraph().unfinished(id);
    if (!unfinished.isEmpty()) {
      return "waits for "
          + unfinished.stream().limit(MOST_NAMED).map(JobId::text).collect(Collectors.joining(", "))
          + (unfinished.size() > MOST_NAMED
              ? " and " + (unfinished.size() - MOST_NAMED) + " more"
              : "");
    }
    AllocationIndex.Account account = books.account(id);
    if (account == null || account.pool().isEmpty()) {
      return null;
    }
    Job job = account.job();
    int tasks = job.kind() == JobKind.GANG ? job.taskCount() : 1;
    String what = account.pool().size() + " tasks in the pool: ";
    Team team = teams.get().get(job.team());
    Resources use = books.teamUse().getOrDefault(job.team(), Resources.NONE);
    if (team == null) {
      return what + "the settings name no team " + job.team();
    }
    if (team.limit().minus(use).capacityFor(job.taskResources()) < tasks) {
      return what + "team " + job.team() + " uses " + use + " of its limit " + team.limit();
    }
    if (job.kind() == JobKind.GANG && account.pool().size() < job.taskCount()) {
      return what + "the rest of the gang is still in a block";
    }
    String heldBack = demands.heldBack(id);
    if (heldBack != null) {
      return what + heldBack;
    }
    long declines =
        views.all().stream()
            .flatMap(view -> view.blocks().values().stream())
            .filter(block -> block.declined().contains(id))
            .count();
    if (declines > 0) {
      return what
          + "failed on every machine of "
          + declines
          + " blocks, to be tried there again later";
    }
    return what
        + (fleet.isUnmet(id)
            ? "no block has room, machines are rented as the cloud gives them"
            : "to be allocated");
  }
}
