package org.quincecross.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * The jobs that blocks have declined one after the other: they are tried now and then, one at a
 * time, until one runs or their owner cancels them. Without this each block tries such a job anew,
 * all of its tasks, and one job with a mistake comes to hundreds of attempts, which take images,
 * room and changes of records that others need (docs/incidents/inc-6ced.md).
 *
 * <p>Kept by the leader alone; a new one finds out anew, from what the holders decline.
 */
public final class SuspectJobs {
  /** Declined by so many blocks, or by all that may have it, and run nowhere. */
  static final int SUSPECT_AT = 3;

  static final TimeSpan FIRST_PAUSE = TimeSpan.ofSeconds(15);
  static final TimeSpan LONGEST_PAUSE = TimeSpan.ofSeconds(120);

  /** What has run for so long on trial is cleared. */
  static final TimeSpan CLEARED_AFTER = TimeSpan.ofSeconds(5);

  /** However many suspects there are, one trial begins in this time. */
  static final TimeSpan BETWEEN_TRIALS = TimeSpan.ofSeconds(1);

  /** The states of a job that has been declined; a job that is not known here is none. */
  public enum State {
    /** Nothing of it is admitted until its pause is over. */
    PAUSED,
    /** The pause is over: one task, or the whole gang, may go to a block. */
    TO_BE_TRIED,
    /** A task of it is out. Ends with the task's return, or with its running well. */
    ON_TRIAL
  }

  /**
   * An open job with tasks in the pool, or out.
   *
   * @param declinedBy how many blocks decline it
   * @param couldGoTo how many blocks there are that it may go to by its type, zone and kind, those
   *     that decline it among them
   * @param done how many of its tasks have completed; {@code out}: are in blocks; {@code running}:
   *     run there
   */
  public record Look(JobId job, int declinedBy, int couldGoTo, int done, int out, int running) {}

  private static final class Suspect {
    private State state = State.PAUSED;
    private TimeSpan pause = FIRST_PAUSE;
    private MonotonicTime until;
    private MonotonicTime runningSince;
    private int doneBefore;
  }

  private final Map<JobId, Suspect> suspects = new HashMap<>();
  private MonotonicTime trialAt;

  /** The one place where a suspect changes its state. */
  private static void enter(Suspect suspect, State next) {
    suspect.state = next;
  }

  private static void pause(Suspect suspect, JobId job, MonotonicTime now) {
    // Suspects that were found together are not tried together.
    double spread = 0.75 + 0.5 * Math.floorMod((job.hashCode() * 0x9E3779B1L) >> 16, 100) / 100.0;
    suspect.until = now.plus(suspect.pause.times(spread));
    suspect.pause =
        suspect.pause.times(2).isLongerThan(LONGEST_PAUSE) ? LONGEST_PAUSE : suspect.pause.times(2);
    suspect.runningSince = null;
    enter(suspect, State.PAUSED);
  }

  /** Whether a job is held back or on trial. */
  public boolean isSuspect(JobId job) {
    return suspects.containsKey(job);
  }

  /** The state of a job; null where nothing is known against it. */
  public State of(JobId job) {
    Suspect suspect = suspects.get(job);
    return suspect == null ? null : suspect.state;
  }

  /**
   * Takes note of a job as it is now; returns whether tasks of it may be admitted: {@link
   * Integer#MAX_VALUE} where any may.
   */
  public int mayGo(Look look, MonotonicTime now) {
    Suspect suspect = suspects.get(look.job());
    if (suspect == null) {
      boolean declined =
          look.declinedBy() >= SUSPECT_AT
              || (look.declinedBy() > 0 && look.declinedBy() >= look.couldGoTo());
      if (!declined || look.running() > 0) {
        return Integer.MAX_VALUE;
      }
      suspect = new Suspect();
      suspect.doneBefore = look.done();
      suspects.put(look.job(), suspect);
      pause(suspect, look.job(), now);
      return 0;
    }
    if (isCleared(suspect, look, now)) {
      suspects.remove(look.job());
      return Integer.MAX_VALUE;
    }
    switch (suspect.state) {
      case PAUSED -> {
        boolean mayBegin = trialAt == null || now.since(trialAt).isLongerThan(BETWEEN_TRIALS);
        if (!now.isBefore(suspect.until) && look.out() == 0 && mayBegin) {
          trialAt = now;
          enter(suspect, State.TO_BE_TRIED);
        }
      }
      case TO_BE_TRIED -> {} // ends when a block is given a task
      case ON_TRIAL -> {
        if (look.out() == 0) {
          pause(suspect, look.job(), now);
        }
      }
      default -> throw new IllegalStateException(suspect.state.toString());
    }
    return suspect.state == State.TO_BE_TRIED ? 1 : 0;
  }

  /** A block has been given a task of a job. */
  public void given(JobId job) {
    Suspect suspect = suspects.get(job);
    if (suspect != null && suspect.state == State.TO_BE_TRIED) {
      enter(suspect, State.ON_TRIAL);
    }
  }

  private static boolean isCleared(Suspect suspect, Look look, MonotonicTime now) {
    if (look.running() == 0) {
      suspect.runningSince = null;
    } else if (suspect.runningSince == null) {
      suspect.runningSince = now;
    }
    return look.done() > suspect.doneBefore
        || (suspect.runningSince != null
            && now.since(suspect.runningSince).isLongerThan(CLEARED_AFTER));
  }

  /** Forgets jobs that are over. */
  public void keepOnly(Collection<JobId> open) {
    suspects.keySet().retainAll(open);
  }
}
