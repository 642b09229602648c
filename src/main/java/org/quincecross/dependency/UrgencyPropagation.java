package org.quincecross.dependency;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.quincecross.model.JobId;
import org.quincecross.model.Priority;

/**
 * How urgent each job is for the sake of those that need it: users set priority and deadline on the
 * last job of a pipeline only. A job has the highest priority of its own and of all that need it,
 * and has to end early enough for each of them to end in time.
 *
 * <p>Recomputed where a job is submitted or is over, for the jobs before it and as far as something
 * changes.
 */
public final class UrgencyPropagation {
  /** There is no time by which it has to end. */
  public static final long NEVER = Long.MAX_VALUE;

  /**
   * What a job asks for by itself.
   *
   * @param endByMs the time of day by which it should end, or {@link #NEVER}
   * @param runMs how long it takes from the end of those before it, at best: hand-over, image and
   *     run
   */
  public record Own(Priority priority, long endByMs, long runMs) {}

  /** What a job is to be treated as. */
  public record Urgency(Priority priority, long endByMs) {}

  private final Function<JobId, Own> jobs;
  private final DependencyGraph pipelines;

  /** Of jobs that are more urgent than they say. */
  private final Map<JobId, Urgency> inherited = new HashMap<>();

  /**
   * @param jobs what an open job asks for, null for a job that is over or not known
   */
  public UrgencyPropagation(Function<JobId, Own> jobs, DependencyGraph pipelines) {
    this.jobs = jobs;
    this.pipelines = pipelines;
  }

  /** What a job inherits; null where it is treated as it says itself. */
  public Urgency inherited(JobId id) {
    return inherited.get(id);
  }

  /**
   * These jobs ask for something else than before, or others than before need them; {@code changed}
   * is told of each whose urgency changes.
   */
  public void look(Collection<JobId> first, Consumer<JobId> changed) {
    ArrayDeque<JobId> toLookAt = new ArrayDeque<>(first);
    while (!toLookAt.isEmpty()) {
      JobId id = toLookAt.poll();
      Own own = jobs.apply(id);
      Urgency now = own == null ? null : of(id, own);
      Urgency next =
          own == null || now.equals(new Urgency(own.priority(), own.endByMs())) ? null : now;
      Urgency before = next == null ? inherited.remove(id) : inherited.put(id, next);
      if (next == null ? before != null : !next.equals(before)) {
        changed.accept(id);
        toLookAt.addAll(pipelines.needsOf(id));
      }
    }
  }

  private Urgency of(JobId id, Own own) {
    Priority priority = own.priority();
    long endBy = own.endByMs();
    for (JobId follower : pipelines.followersOf(id)) {
      Own its = jobs.apply(follower);
      if (its == null) {
        continue;
      }
      Urgency inheritedToo = inherited.get(follower);
      Priority itsRank = inheritedToo == null ? its.priority() : inheritedToo.priority();
      // The highest priority has ways of its own, for what has to start within seconds: only who
      // asks for it has them.
      itsRank = itsRank == Priority.PRODUCTION ? Priority.HIGH : itsRank;
      long itsEndBy = inheritedToo == null ? its.endByMs() : inheritedToo.endByMs();
      priority = itsRank.isHigherThan(priority) ? itsRank : priority;
      endBy = itsEndBy == NEVER ? endBy : Math.min(endBy, itsEndBy - its.runMs());
    }
    return new Urgency(priority, endBy);
  }
}
