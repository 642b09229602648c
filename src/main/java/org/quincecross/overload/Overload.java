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
 * Detects that more work is pending than can be served in time, and orders admission in that case:
 * as many jobs as possible are served in time ({@link TardinessMinimizer}), the rest is deferred
 * but still receives a share of capacity, and every group of jobs is guaranteed a minimum share.
 */
public final class Overload {
  /** The states, in the order in which they are passed through. */
  public enum State {
    /** All work fits. Jobs are ordered by due time. */
    CALM,
    /**
     * Some work has not fitted for a moment. Machines may be booting, or a burst may end at once.
     */
    STRAINED,
    /** Some work does not fit: jobs are deferred, and groups receive their minimum shares. */
    OVERLOADED,
    /** All work has fitted again for a moment. The order of an overload still applies. */
    EASING
  }

  private static final TimeSpan STRAIN_DELAY = TimeSpan.ofSeconds(3);
  private static final TimeSpan EASE_DELAY = TimeSpan.ofSeconds(15);

  /** For how many seconds a group may save up its share. */
  private static final double MAX_SAVED_S = 30;

  /**
   * Upper limit of the time credited for one step: while no leader ranked jobs, no credit accrued.
   */
  private static final double MAX_STEP_S = 2;

  /**
   * Lower limit of the admission rate, as a share of the assumed one: after a lull in admissions,
   * machines come back.
   */
  private static final double MIN_USED_SHARE = 0.25;

  /** Share of capacity that always remains for waiting work, however much arrives. */
  private static final double MIN_WAITING_SHARE = 0.15;

  /**
   * A job first seen at a greater age was submitted under another leader, so it does not count as
   * an arrival.
   */
  private static final double NEW_JOB_MAX_AGE_S = 5;

  private static final double GANG_FIRST_OFFSET = 1e9;
  private static final String DEFERRED_GROUP = "set aside";
  private static final Comparator<AdmissionCandidate> OLDEST_FIRST =
      Comparator.comparing(AdmissionCandidate::accepted).thenComparing(AdmissionCandidate::id);

  private final Shares shares;
  private final StartGuarantee startGuarantee;
  private final FairShareCredits<AdmissionCandidate.Group> floorCredits;
  private final FairShareCredits<String> deferredCredits;
  private final DecayingRate admitted = new DecayingRate();
  private final DecayingRate arrivalRate = new DecayingRate();
  private final Map<JobId, AdmissionCandidate> pendingById = new HashMap<>();
  private final Set<JobId> deferred = new HashSet<>();
  private State state = State.CALM;
  private MonotonicTime since;
  private MonotonicTime rankedAt;
  private double backlogS;

  public Overload(Shares shares) {
    this.shares = shares;
    this.startGuarantee = new StartGuarantee(shares.startGuaranteeS());
    this.floorCredits = new FairShareCredits<>(shares.floor(), MAX_SAVED_S);
    this.deferredCredits = new FairShareCredits<>(shares.deferred(), MAX_SAVED_S);
  }

  /** Returns the start guarantee, which applies in every state. */
  public StartGuarantee startGuarantee() {
    return startGuarantee;
  }

  public State state() {
    return state;
  }

  /** When the current state was entered; null before the first ranking. */
  public MonotonicTime since() {
    return since;
  }

  /**
   * Returns the work admitted per second, as a share of all capacity for arrays: the observed rate,
   * or the assumed one before that.
   */
  public double rate() {
    return Math.max(MIN_USED_SHARE * shares.usable(), Math.min(1, admitted.rate(shares.usable())));
  }

  /** Returns the work arriving per second, as a share of all capacity for arrays. */
  public double arrivalRate() {
    return arrivalRate.rate(0);
  }

  /**
   * Returns the capacity per second for work that waits: without work that will arrive and be due
   * sooner, and without the share of deferred work.
   */
  private double rateForWaiting() {
    double left = Math.max(MIN_WAITING_SHARE, 1 - shares.earlierDue() * arrivalRate() / rate());
    return rate() * left * (isActive() ? 1 - shares.deferred() : 1);
  }

  /** Records new jobs in the arrival rate. */
  private void recordArrivals(Collection<AdmissionCandidate> pending, double elapsedS) {
    admitted.advance(elapsedS);
    arrivalRate.advance(elapsedS);
    for (AdmissionCandidate job : pending) {
      if (job.divisible() && job.ageS() < NEW_JOB_MAX_AGE_S && !pendingById.containsKey(job.id())) {
        arrivalRate.add(job.work());
      }
    }
    pendingById.clear();
    pending.forEach(job -> pendingById.put(job.id(), job));
  }

  /** How many jobs were deferred by the last ranking. */
  public int deferredJobs() {
    return isActive() ? deferred.size() : 0;
  }

  /**
   * Seconds until all work that can be served in time will have started, as of the last ranking.
   */
  public double backlogS() {
    return backlogS;
  }

  /** The only method that changes the state. */
  private void setState(State next, MonotonicTime now) {
    if (next != state || since == null) {
      since = now;
    }
    state = next;
  }

  private void updateState(boolean fits, MonotonicTime now) {
    TimeSpan inState = since == null ? TimeSpan.ZERO : now.since(since);
    switch (state) {
      case CALM -> setState(fits ? State.CALM : State.STRAINED, now);
      case STRAINED ->
          setState(
              fits
                  ? State.CALM
                  : inState.isLongerThan(STRAIN_DELAY) ? State.OVERLOADED : State.STRAINED,
              now);
      case OVERLOADED -> setState(fits ? State.EASING : State.OVERLOADED, now);
      case EASING ->
          setState(
              !fits
                  ? State.OVERLOADED
                  : inState.isLongerThan(EASE_DELAY) ? State.CALM : State.EASING,
              now);
      default -> throw new IllegalStateException(state.toString());
    }
  }

  private boolean isActive() {
    return state == State.OVERLOADED || state == State.EASING;
  }

  /** Ranks all waiting work, except work that must start at once. */
  public Map<JobId, JobRanking> rank(Collection<AdmissionCandidate> pending, MonotonicTime now) {
    double elapsedS = rankedAt == null ? 0 : Math.min(MAX_STEP_S, now.since(rankedAt).seconds());
    rankedAt = now;
    recordArrivals(pending, elapsedS);
    TardinessMinimizer schedule = new TardinessMinimizer(rateForWaiting());
    byPriority(pending).forEach(schedule::add);
    backlogS = schedule.backlogS();
    updateState(schedule.fits(), now);
    if (state == State.CALM) {
      admitted
          .reset(); // admissions without an overload reflect demand, not the rate that is possible
    }
    deferred.clear();
    schedule.lateJobs().forEach(job -> deferred.add(job.id()));
    Map<JobId, Integer> turns = deferredCredits(pending, elapsedS);
    Map<JobId, JobRanking> rankings = new HashMap<>();
    for (AdmissionCandidate job : pending) {
      Double due = schedule.dueS(job.id());
      boolean isDeferred = isActive() && deferred.contains(job.id());
      double dueS = due == null ? job.dueS() : due;
      rankings.put(
          job.id(),
          new JobRanking(
              isDeferred ? JobRanking.Standing.SET_ASIDE : JobRanking.Standing.IN_TIME,
              dueS,
              order(job, dueS),
              turns.getOrDefault(job.id(), 0)));
    }
    return rankings;
  }

  /**
   * Sort key within a priority. Without an overload, by due time. In an overload, least work first:
   * estimates are always off, and ordered by due time, one slightly late job would delay all jobs
   * after it. Gangs go before divisible work, because they need contiguous room that is seldom
   * free.
   */
  private double order(AdmissionCandidate job, double dueS) {
    return !isActive()
        ? JobRanking.byDue(dueS)
        : job.divisible() ? job.work() : JobRanking.byDue(dueS) - GANG_FIRST_OFFSET;
  }

  /**
   * The divisible jobs grouped by priority, highest first; a higher priority is served before all
   * lower ones.
   */
  private static Collection<List<AdmissionCandidate>> byPriority(
      Collection<AdmissionCandidate> pending) {
    List<AdmissionCandidate> order = new ArrayList<>(pending);
    order.removeIf(job -> !job.divisible());
    order.sort(
        Comparator.comparing((AdmissionCandidate job) -> !job.guaranteed())
            .thenComparing(AdmissionCandidate::priority, Comparator.reverseOrder()));
    Map<String, List<AdmissionCandidate>> groups = new LinkedHashMap<>();
    order.forEach(
        job ->
            groups
                .computeIfAbsent(job.guaranteed() + " " + job.priority(), key -> new ArrayList<>())
                .add(job));
    return groups.values();
  }

  // ---- shares of groups and of deferred work ----

  /**
   * Returns how many tasks of each job are admitted ahead of the order: those of groups below their
   * minimum share, and deferred work.
   */
  private Map<JobId, Integer> deferredCredits(
      Collection<AdmissionCandidate> pending, double elapsedS) {
    List<AdmissionCandidate> waiting = new ArrayList<>(pending);
    waiting.removeIf(AdmissionCandidate::guaranteed);
    waiting.sort(OLDEST_FIRST);
    Map<AdmissionCandidate.Group, Double> groupAges = new HashMap<>();
    Map<String, Double> deferredAge = new HashMap<>();
    for (AdmissionCandidate job : isActive() ? waiting : List.<AdmissionCandidate>of()) {
      groupAges.merge(job.group(), job.ageS(), Math::max);
      if (deferred.contains(job.id())) {
        deferredAge.merge(DEFERRED_GROUP, job.ageS(), Math::max);
      }
    }
    floorCredits.earn(groupAges, elapsedS);
    deferredCredits.earn(deferredAge, elapsedS);
    Map<JobId, Integer> turns = new HashMap<>();
    Map<AdmissionCandidate.Group, Double> groupCredits = new HashMap<>();
    groupAges.keySet().forEach(group -> groupCredits.put(group, floorCredits.credit(group)));
    double deferredCredit = deferredCredits.credit(DEFERRED_GROUP);
    for (AdmissionCandidate job : isActive() ? waiting : List.<AdmissionCandidate>of()) {
      double groupCredit = groupCredits.get(job.group());
      double jobDeferredCredit = deferred.contains(job.id()) ? deferredCredit : 0;
      int tasks = tasksFor(job, Math.max(groupCredit, jobDeferredCredit));
      if (tasks > 0) {
        turns.put(job.id(), tasks);
        groupCredits.put(job.group(), groupCredit - tasks * job.taskWork());
        deferredCredit =
            jobDeferredCredit > 0 ? jobDeferredCredit - tasks * job.taskWork() : deferredCredit;
      }
    }
    return turns;
  }

  /** Any positive credit admits at least one task; an overdraft is paid back over time. */
  private static int tasksFor(AdmissionCandidate job, double credit) {
    if (credit <= 0) {
      return 0;
    }
    return job.divisible()
        ? (int) Math.min(job.tasks(), Math.ceil(credit / job.taskWork()))
        : job.tasks();
  }

  /**
   * Records that tasks of a job were admitted: charges its group, and the share of deferred work.
   */
  public void admitted(JobId job, int tasks) {
    AdmissionCandidate candidate = pendingById.get(job);
    if (candidate != null && candidate.divisible()) {
      admitted.add(tasks * candidate.taskWork());
    }
    if (candidate != null && !candidate.guaranteed()) {
      floorCredits.pay(candidate.group(), tasks * candidate.taskWork());
      if (deferred.contains(job)) {
        deferredCredits.pay(DEFERRED_GROUP, tasks * candidate.taskWork());
      }
    }
  }
}
