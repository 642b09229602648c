package org.quincecross.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Jobs that several shards have declined. They are tried now and then, one task at a time, until
 * one runs or the owner cancels the job. Without this every shard would try such a job afresh with
 * all of its tasks, and one faulty job would cause hundreds of attempts, which take images,
 * capacity and state service writes from others (docs/incidents/inc-6ced.md).
 *
 * <p>Kept by the leader only; a new leader rebuilds it from what shard owners decline.
 */
public final class SuspectJobs {
  /**
   * A job is suspect once this many shards, or all that may run it, have declined it and it runs
   * nowhere.
   */
  static final int SUSPECT_AT = 3;

  static final TimeSpan FIRST_PAUSE = TimeSpan.ofSeconds(15);
  static final TimeSpan MAX_PAUSE = TimeSpan.ofSeconds(120);

  /** A trial that has run for this long clears the job. */
  static final TimeSpan CLEARED_AFTER = TimeSpan.ofSeconds(5);

  /** Minimum time between trials, over all suspects. */
  static final TimeSpan MIN_TRIAL_INTERVAL = TimeSpan.ofSeconds(1);

  /** The states of a declined job; other jobs have none. */
  public enum State {
    /** None of its tasks is admitted until the pause is over. */
    PAUSED,
    /** The pause is over: one task, or the whole gang, may go to a shard. */
    TO_BE_TRIED,
    /** A task is allocated. Ends when the task comes back or has run well. */
    ON_TRIAL
  }

  /**
   * An open job with tasks that are unallocated or allocated.
   *
   * @param declinedBy how many shards decline it
   * @param eligibleShards how many shards it may run in by its machine type, zone and kind,
   *     including those that decline it
   * @param done how many of its tasks have completed; {@code allocated}: are in shards; {@code
   *     running}: run there
   */
  public record JobStatus(
      JobId job, int declinedBy, int eligibleShards, int done, int allocated, int running) {}

  private static final class Suspect {
    private State state = State.PAUSED;
    private TimeSpan pause = FIRST_PAUSE;
    private MonotonicTime until;
    private MonotonicTime runningSince;
    private int doneWhenSuspected;
  }

  private final Map<JobId, Suspect> suspects = new HashMap<>();
  private MonotonicTime lastTrialAt;

  /** The only method that changes the state of a suspect. */
  private static void setState(Suspect suspect, State next) {
    suspect.state = next;
  }

  private static void pause(Suspect suspect, JobId job, MonotonicTime now) {
    // Spreads the pauses, so that suspects found together are not tried together.
    double spread = 0.75 + 0.5 * Math.floorMod((job.hashCode() * 0x9E3779B1L) >> 16, 100) / 100.0;
    suspect.until = now.plus(suspect.pause.times(spread));
    suspect.pause =
        suspect.pause.times(2).isLongerThan(MAX_PAUSE) ? MAX_PAUSE : suspect.pause.times(2);
    suspect.runningSince = null;
    setState(suspect, State.PAUSED);
  }

  /** Whether a job is paused or on trial. */
  public boolean isSuspect(JobId job) {
    return suspects.containsKey(job);
  }

  /** Returns the state of a job, or null if it is not suspect. */
  public State state(JobId job) {
    Suspect suspect = suspects.get(job);
    return suspect == null ? null : suspect.state;
  }

  /**
   * Updates a job and returns how many of its tasks may be admitted; {@link Integer#MAX_VALUE} if
   * unlimited.
   */
  public int admissibleTasks(JobStatus status, MonotonicTime now) {
    Suspect suspect = suspects.get(status.job());
    if (suspect == null) {
      boolean declined =
          status.declinedBy() >= SUSPECT_AT
              || (status.declinedBy() > 0 && status.declinedBy() >= status.eligibleShards());
      if (!declined || status.running() > 0) {
        return Integer.MAX_VALUE;
      }
      suspect = new Suspect();
      suspect.doneWhenSuspected = status.done();
      suspects.put(status.job(), suspect);
      pause(suspect, status.job(), now);
      return 0;
    }
    if (isCleared(suspect, status, now)) {
      suspects.remove(status.job());
      return Integer.MAX_VALUE;
    }
    switch (suspect.state) {
      case PAUSED -> {
        boolean intervalOver =
            lastTrialAt == null || now.since(lastTrialAt).isLongerThan(MIN_TRIAL_INTERVAL);
        if (!now.isBefore(suspect.until) && status.allocated() == 0 && intervalOver) {
          lastTrialAt = now;
          setState(suspect, State.TO_BE_TRIED);
        }
      }
      case TO_BE_TRIED -> {} // ends when a shard is allocated a task
      case ON_TRIAL -> {
        if (status.allocated() == 0) {
          pause(suspect, status.job(), now);
        }
      }
      default -> throw new IllegalStateException(suspect.state.toString());
    }
    return suspect.state == State.TO_BE_TRIED ? 1 : 0;
  }

  /** Records that a shard has been allocated a task of a job. */
  public void allocated(JobId job) {
    Suspect suspect = suspects.get(job);
    if (suspect != null && suspect.state == State.TO_BE_TRIED) {
      setState(suspect, State.ON_TRIAL);
    }
  }

  private static boolean isCleared(Suspect suspect, JobStatus status, MonotonicTime now) {
    if (status.running() == 0) {
      suspect.runningSince = null;
    } else if (suspect.runningSince == null) {
      suspect.runningSince = now;
    }
    return status.done() > suspect.doneWhenSuspected
        || (suspect.runningSince != null
            && now.since(suspect.runningSince).isLongerThan(CLEARED_AFTER));
  }

  /** Forgets jobs that have ended. */
  public void retainOpen(Collection<JobId> open) {
    suspects.keySet().retainAll(open);
  }
}
