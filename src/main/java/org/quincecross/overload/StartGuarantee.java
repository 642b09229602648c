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
 * Sees to it that every job begins within a bounded time, whatever the overload's state, its
 * priority and its size: what has not begun has the next room that becomes free, the oldest first.
 * It is a claim on free room, not a right to stop what runs.
 */
public final class StartGuarantee {
  /** How a job stands with regard to its beginning. */
  public enum State {
    /** It may wait for its place in the order. */
    YOUNG,
    /** It goes before others, as long as what is claimed so is a part of the room. */
    PROMOTED,
    /** It goes before others however much is claimed. */
    GUARANTEED,
    /** As many of its tasks as a beginning takes have run. */
    BEGUN
  }

  /**
   * A job with tasks in the pool.
   *
   * @param ageS seconds since it was submitted
   * @param needed how many of its tasks make a beginning
   * @param ran how many run or are done
   * @param given how many have been given to blocks, those that ran among them
   * @param taskRoom what a task takes, as a part of the room of all machines
   * @param whole whether they start together, so that room has to be gathered for them
   */
  public record Waiting(
      JobId id,
      Revision accepted,
      double ageS,
      int needed,
      int ran,
      int given,
      double taskRoom,
      boolean whole) {}

  /** What is promoted claims at most this part of the room at a time, but for the oldest. */
  private static final double MOST_PROMOTED = 0.2;

  /** Before the guarantee, so that as much room as it takes has become free by then. */
  private static final double PROMOTED_BEFORE_S = 50;

  /** However long what runs takes, nothing is promoted earlier than this before its guarantee. */
  private static final double MOST_BEFORE_S = 120;

  private static final Comparator<Waiting> OLDEST_FIRST =
      Comparator.comparing(Waiting::accepted).thenComparing(Waiting::id);

  private final double guaranteedS;
  private final Map<JobId, State> states = new HashMap<>();

  /**
   * @param guaranteedS the age in seconds from which a job goes before all others until it has
   *     begun; 0: none ever does
   */
  StartGuarantee(double guaranteedS) {
    this.guaranteedS = guaranteedS;
  }

  /** Whether it does anything at all. */
  public boolean isOn() {
    return guaranteedS > 0;
  }

  /** Whether nobody of this age could claim anything: such jobs need not be shown. */
  public boolean isYoung(double ageS) {
    return !isOn() || ageS < guaranteedS - Math.min(guaranteedS, MOST_BEFORE_S);
  }

  /** The state of a job as of the last look. */
  public State of(JobId job) {
    return states.getOrDefault(job, State.YOUNG);
  }

  /** The one function for every change of state. */
  static State next(
      State state, boolean hasBegun, double ageS, double promotedS, double guaranteedS) {
    return switch (state) {
      case BEGUN -> State.BEGUN; // what it loses later is not its beginning
      case GUARANTEED -> hasBegun ? State.BEGUN : State.GUARANTEED;
      case PROMOTED, YOUNG ->
          hasBegun
              ? State.BEGUN
              : ageS >= guaranteedS
                  ? State.GUARANTEED
                  : state == State.PROMOTED || ageS >= promotedS ? State.PROMOTED : State.YOUNG;
    };
  }

  /**
   * Looks at all jobs with tasks in the pool that are not young; others are forgotten.
   *
   * @param emptyS how long it takes, in seconds, until most of what runs has ended: what starts
   *     whole waits for that
   * @return how many tasks of which jobs go before all others now
   */
  public Map<JobId, Integer> look(Collection<Waiting> waiting, double emptyS) {
    Map<JobId, State> before = new HashMap<>(states);
    states.clear();
    List<Waiting> claiming = new ArrayList<>();
    for (Waiting each : waiting) {
      double beforeS =
          each.whole
              ? Math.max(PROMOTED_BEFORE_S, Math.min(MOST_BEFORE_S, emptyS))
              : PROMOTED_BEFORE_S;
      State state =
          next(
              before.getOrDefault(each.id, State.YOUNG),
              each.ran >= each.needed,
              each.ageS,
              guaranteedS - Math.min(guaranteedS, beforeS),
              guaranteedS);
      states.put(each.id, state);
      if (isOn()
          && (state == State.PROMOTED || state == State.GUARANTEED)
          && each.given < each.needed) {
        claiming.add(each);
      }
    }
    claiming.sort(OLDEST_FIRST);
    Map<JobId, Integer> claims = new HashMap<>();
    double claimed = 0;
    for (Waiting each : claiming) {
      int tasks = each.needed - each.given;
      if (states.get(each.id) == State.GUARANTEED || claimed < MOST_PROMOTED) {
        claims.put(each.id, tasks);
        claimed += tasks * each.taskRoom;
      }
    }
    return claims;
  }
}
