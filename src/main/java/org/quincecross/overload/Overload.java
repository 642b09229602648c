package org.quincecross.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Notices that more work is to be done than can be done in time, and orders it then: as many jobs
 * as can be are served in time ({@link ResponseDeadline}), the rest is set aside but has its turns,
 * and every group of jobs gets a minimum part.
 */
public final class Overload {
  /** The states, in the order in which they are gone through. */
  public enum State {
    /** Everything fits. The order is that of due times. */
    CALM,
    /**
     * Something does not fit, since a moment ago: machines may be booting, or a burst be over at
     * once.
     */
    STRAINED,
    /** Something does not fit: jobs are set aside, and groups have their floors. */
    OVERLOADED,
    /** Everything fits again, since a moment ago. The order is still that of an overload. */
    EASING
  }

  private static final TimeSpan STRAIN = TimeSpan.ofSeconds(3);
  private static final TimeSpan EASE = TimeSpan.ofSeconds(15);

  /** For so long a group may save up its part. */
  private static final double SAVED_S = 30;

  /**
   * A look so much later than the one before earns no more than this: nobody was owed anything
   * while nobody led.
   */
  private static final double LONGEST_STEP_S = 2;

  /**
   * However little is given for a while, no less than this part of what is assumed can be: machines
   * come back.
   */
  private static final double LEAST_USED = 0.25;

  /** However much comes, so much is left for what waits. */
  private static final double LEAST_FOR_WAITING = 0.15;

  /** A job that is met here for the first time at a greater age came under another leader. */
  private static final double NEW_S = 5;

  private static final double WHOLE_FIRST = 1e9;
  private static final String ASIDE = "set aside";
  private static final Comparator<DemandClaim> OLDEST_FIRST =
      Comparator.comparing(DemandClaim::accepted).thenComparing(DemandClaim::id);

  private final Shares shares;
  private final StartGuarantee beginnings;
  private final FairShareCredits<DemandClaim.Group> floors;
  private final FairShareCredits<String> turns;
  private final ArrivalRate given = new ArrivalRate();
  private final ArrivalRate arriving = new ArrivalRate();
  private final Map<JobId, DemandClaim> known = new HashMap<>();
  private final Set<JobId> aside = new HashSet<>();
  private State state = State.CALM;
  private MonotonicTime since;
  private MonotonicTime looked;
  private double behindS;

  public Overload(Shares shares) {
    this.shares = shares;
    this.beginnings = new StartGuarantee(shares.beginS());
    this.floors = new FairShareCredits<>(shares.floor(), SAVED_S);
    this.turns = new FairShareCredits<>(shares.turns(), SAVED_S);
  }

  /** Who goes before all others because it has waited too long to begin, in whatever state. */
  public StartGuarantee beginnings() {
    return beginnings;
  }

  public State state() {
    return state;
  }

  /** Since when it is in this state; null before the first look. */
  public MonotonicTime since() {
    return since;
  }

  /**
   * How much work gets its place in a second, as a part of all room for arrays: as seen of late,
   * and as assumed before that.
   */
  public double rate() {
    return Math.max(LEAST_USED * shares.usable(), Math.min(1, given.rate(shares.usable())));
  }

  /** How much work comes in a second, as a part of all room for arrays. */
  public double arriving() {
    return arriving.rate(0);
  }

  /**
   * What is left in a second for what waits: without what will come and be due sooner, and without
   * the turns.
   */
  private double rateForWaiting() {
    double left = Math.max(LEAST_FOR_WAITING, 1 - shares.coming() * arriving() / rate());
    return rate() * left * (isActive() ? 1 - shares.turns() : 1);
  }

  /** Takes note of the jobs that are new. */
  private void meet(Collection<DemandClaim> claims, double step) {
    given.pass(step);
    arriving.pass(step);
    for (DemandClaim claim : claims) {
      if (claim.divisible() && claim.ageS() < NEW_S && !known.containsKey(claim.id())) {
        arriving.add(claim.work());
      }
    }
    known.clear();
    claims.forEach(claim -> known.put(claim.id(), claim));
  }

  /** How many jobs were set aside when it last looked. */
  public int setAside() {
    return isActive() ? aside.size() : 0;
  }

  /**
   * In how many seconds all work that is to be done in time will have started, as of the last look.
   */
  public double behindS() {
    return behindS;
  }

  /** The one place where the state changes. */
  private void enter(State next, MonotonicTime now) {
    if (next != state || since == null) {
      since = now;
    }
    state = next;
  }

  private void notice(boolean fits, MonotonicTime now) {
    TimeSpan stayed = since == null ? TimeSpan.ZERO : now.since(since);
    switch (state) {
      case CALM -> enter(fits ? State.CALM : State.STRAINED, now);
      case STRAINED ->
          enter(
              fits ? State.CALM : stayed.isLongerThan(STRAIN) ? State.OVERLOADED : State.STRAINED,
              now);
      case OVERLOADED -> enter(fits ? State.EASING : State.OVERLOADED, now);
      case EASING ->
          enter(
              !fits ? State.OVERLOADED : stayed.isLongerThan(EASE) ? State.CALM : State.EASING,
              now);
      default -> throw new IllegalStateException(state.toString());
    }
  }

  private boolean isActive() {
    return state == State.OVERLOADED || state == State.EASING;
  }

  /**
   * Looks at all work that waits, other than what must start at once, and says of each job where it
   * stands.
   */
  public Map<JobId, JobRanking> look(Collection<DemandClaim> claims, MonotonicTime now) {
    double step = looked == null ? 0 : Math.min(LONGEST_STEP_S, now.since(looked).seconds());
    looked = now;
    meet(claims, step);
    TardinessMinimizer inTime = new TardinessMinimizer(rateForWaiting());
    equals(claims).forEach(inTime::take);
    behindS = inTime.busyS();
    notice(inTime.fits(), now);
    if (state == State.CALM) {
      given.forget(); // what nothing waits for says how much is asked for, not how much can be done
    }
    aside.clear();
    inTime.dropped().forEach(claim -> aside.add(claim.id()));
    Map<JobId, Integer> turn = turns(claims, step);
    Map<JobId, JobRanking> verdicts = new HashMap<>();
    for (DemandClaim claim : claims) {
      Double due = inTime.dueS(claim.id());
      boolean isAside = isActive() && aside.contains(claim.id());
      double dueS = due == null ? claim.dueS() : due;
      verdicts.put(
          claim.id(),
          new JobRanking(
              isAside ? JobRanking.Standing.SET_ASIDE : JobRanking.Standing.IN_TIME,
              dueS,
              order(claim, dueS),
              turn.getOrDefault(claim.id(), 0)));
    }
    return verdicts;
  }

  /**
   * Where a job stands among its equals. While all fits, by its due time. In an overload the least
   * work first: whatever is foreseen is wrong by something, and in the order of due times one job
   * that is late by a little has all after it late. What starts whole goes before what can be
   * divided: it needs room that is seldom there.
   */
  private double order(DemandClaim claim, double dueS) {
    return !isActive()
        ? JobRanking.byDue(dueS)
        : claim.divisible() ? claim.work() : JobRanking.byDue(dueS) - WHOLE_FIRST;
  }

  /**
   * The divisible claims by priority, the highest first: what stands in a higher one is served
   * before all of a lower.
   */
  private static Collection<List<DemandClaim>> equals(Collection<DemandClaim> claims) {
    List<DemandClaim> order = new ArrayList<>(claims);
    order.removeIf(claim -> !claim.divisible());
    order.sort(
        Comparator.comparing((DemandClaim claim) -> !claim.first())
            .thenComparing(DemandClaim::priority, Comparator.reverseOrder()));
    Map<String, List<DemandClaim>> equals = new LinkedHashMap<>();
    order.forEach(
        claim ->
            equals
                .computeIfAbsent(claim.first() + " " + claim.priority(), key -> new ArrayList<>())
                .add(claim));
    return equals.values();
  }

  // ---- turns ----

  /**
   * Says how many tasks of which jobs go before others for once: those of groups below their floor,
   * and what was set aside.
   */
  private Map<JobId, Integer> turns(Collection<DemandClaim> claims, double step) {
    List<DemandClaim> waiting = new ArrayList<>(claims);
    waiting.removeIf(DemandClaim::first);
    waiting.sort(OLDEST_FIRST);
    Map<DemandClaim.Group, Double> groups = new HashMap<>();
    Map<String, Double> asides = new HashMap<>();
    for (DemandClaim claim : isActive() ? waiting : List.<DemandClaim>of()) {
      groups.merge(claim.group(), claim.ageS(), Math::max);
      if (aside.contains(claim.id())) {
        asides.merge(ASIDE, claim.ageS(), Math::max);
      }
    }
    floors.earn(groups, step);
    turns.earn(asides, step);
    Map<JobId, Integer> turn = new HashMap<>();
    Map<DemandClaim.Group, Double> owed = new HashMap<>();
    groups.keySet().forEach(group -> owed.put(group, floors.of(group)));
    double owedAside = turns.of(ASIDE);
    for (DemandClaim claim : isActive() ? waiting : List.<DemandClaim>of()) {
      double ofGroup = owed.get(claim.group());
      double ofAside = aside.contains(claim.id()) ? owedAside : 0;
      int tasks = tasksFor(claim, Math.max(ofGroup, ofAside));
      if (tasks > 0) {
        turn.put(claim.id(), tasks);
        owed.put(claim.group(), ofGroup - tasks * claim.taskWork());
        owedAside = ofAside > 0 ? ofAside - tasks * claim.taskWork() : owedAside;
      }
    }
    return turn;
  }

  /**
   * Whoever is owed anything has at least one task's turn: what that is too much is paid back with
   * time.
   */
  private static int tasksFor(DemandClaim claim, double owed) {
    if (owed <= 0) {
      return 0;
    }
    return claim.divisible()
        ? (int) Math.min(claim.tasks(), Math.ceil(owed / claim.taskWork()))
        : claim.tasks();
  }

  /** Tasks of a job have left the pool: its group, and what was set aside, have had so much. */
  public void given(JobId job, int tasks) {
    DemandClaim claim = known.get(job);
    if (claim != null && claim.divisible()) {
      given.add(tasks * claim.taskWork());
    }
    if (claim != null && !claim.first()) {
      floors.pay(claim.group(), tasks * claim.taskWork());
      if (aside.contains(job)) {
        turns.pay(ASIDE, tasks * claim.taskWork());
      }
    }
  }
}
