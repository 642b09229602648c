package org.quincecross.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;

/**
 * Guarantees that every job starts within a bounded time, in every overload state and for every
 * priority and size: jobs that have not started take the next room that becomes free, oldest first.
 * The guarantee claims free room; it never preempts running tasks.
 */
public final class StartGuarantee {
  /** How the guarantee applies to a job. */
  public enum State {
    /** It waits for its place in the normal order. */
    YOUNG,
    /**
     * It goes before others, as long as promoted jobs claim less than their share of the capacity.
     */
    PROMOTED,
    /** It goes before others however much is claimed. */
    GUARANTEED,
    /** As many of its tasks have run as its start requires. */
    BEGUN
  }

  /**
   * A job with unallocated tasks.
   *
   * @param ageS seconds since it was submitted
   * @param needed how many of its tasks must run for the job to count as started
   * @param ran how many run or are done
   * @param allocated how many are allocated to shards, including those that ran
   * @param taskRoom capacity share of one task, of all machines
   * @param whole whether its tasks start together, so that room has to be gathered for them
   */
  public record Waiting(
      JobId id,
      Revision accepted,
      double ageS,
      int needed,
      int ran,
      int allocated,
      double taskRoom,
      boolean whole) {}

  /** Capacity share that promoted jobs may claim at a time; the oldest may exceed it. */
  private static final double MAX_PROMOTED_SHARE = 0.2;

  /**
   * How long before the guarantee a job is promoted, so that enough room has become free by then.
   */
  private static final double PROMOTION_LEAD_S = 50;

  /** Upper limit of the promotion lead time, however long running tasks take. */
  private static final double MAX_PROMOTION_LEAD_S = 120;

  private static final Comparator<Waiting> OLDEST_FIRST =
      Comparator.comparing(Waiting::accepted).thenComparing(Waiting::id);

  private final double guaranteedS;
  private final Map<JobId, State> states = new HashMap<>();

  /**
   * @param guaranteedS age in seconds from which a job goes before all others until it has started;
   *     0 disables the guarantee
   */
  StartGuarantee(double guaranteedS) {
    this.guaranteedS = guaranteedS;
  }

  /** Whether the guarantee is enabled. */
  public boolean isEnabled() {
    return guaranteedS > 0;
  }

  /** Whether a job of this age is too young to be promoted; such jobs need not be evaluated. */
  public boolean isTooYoungForPromotion(double ageS) {
    return !isEnabled() || ageS < guaranteedS - Math.min(guaranteedS, MAX_PROMOTION_LEAD_S);
  }

  /** Returns the state of a job as of the last evaluation. */
  public State of(JobId job) {
    return states.getOrDefault(job, State.YOUNG);
  }

  /** Returns the state after {@code state}. */
  static State next(
      State state, boolean hasStarted, double ageS, double promotedS, double guaranteedS) {
    return switch (state) {
      case BEGUN -> State.BEGUN; // losing tasks later does not undo the start
      case GUARANTEED -> hasStarted ? State.BEGUN : State.GUARANTEED;
      case PROMOTED, YOUNG ->
          hasStarted
              ? State.BEGUN
              : ageS >= guaranteedS
                  ? State.GUARANTEED
                  : state == State.PROMOTED || ageS >= promotedS ? State.PROMOTED : State.YOUNG;
    };
  }

  /**
   * Evaluates all jobs with unallocated tasks that are not young; forgets all others.
   *
   * @param emptyS estimated seconds until most running tasks have ended; jobs that start as a whole
   *     wait for that
   * @return how many tasks of which jobs go before all others now
   */
  public Map<JobId, Integer> evaluate(Collection<Waiting> waiting, double emptyS) {
    Map<JobId, State> previous = new HashMap<>(states);
    states.clear();
    List<Waiting> claiming = new ArrayList<>();
    for (Waiting job : waiting) {
      double leadS =
          job.whole
              ? Math.max(PROMOTION_LEAD_S, Math.min(MAX_PROMOTION_LEAD_S, emptyS))
              : PROMOTION_LEAD_S;
      State state =
          next(
              previous.getOrDefault(job.id, State.YOUNG),
              job.ran >= job.needed,
              job.ageS,
              guaranteedS - Math.min(guaranteedS, leadS),
              guaranteedS);
      states.put(job.id, state);
      if (isEnabled()
          && (state == State.PROMOTED || state == State.GUARANTEED)
          && job.allocated < job.needed) {
        claiming.add(job);
      }
    }
    claiming.sort(OLDEST_FIRST);
    Map<JobId, Integer> claims = new HashMap<>();
    double claimed = 0;
    for (Waiting job : claiming) {
      int tasks = job.needed - job.allocated;
      if (states.get(job.id) == State.GUARANTEED || claimed < MAX_PROMOTED_SHARE) {
        claims.put(job.id, tasks);
        claimed += tasks * job.taskRoom;
      }
    }
    return claims;
  }
}
