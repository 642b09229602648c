package org.quincecross.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineType;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ServiceLevelObjective;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.overload.AdmissionCandidate;
import org.quincecross.overload.JobDeadline;
import org.quincecross.overload.JobRanking;
import org.quincecross.overload.Overload;
import org.quincecross.overload.StartGuarantee;
import org.quincecross.protocol.Settings;
import org.quincecross.quarantine.SuspectJobs;
import org.quincecross.scheduling.Admission;
import org.quincecross.scheduling.JobDemand;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;

/**
 * Collects the jobs with pending tasks, their due times, and under overload the order in which they
 * are served.
 */
final class PendingDemand {
  /** The due time of a job without a deadline or objective. */
  private static final double NO_DEADLINE_S = 3600;

  /**
   * Jobs with less than this share of their estimated run time left will miss their due time;
   * estimates are often too high by half.
   */
  private static final double FEASIBLE_SHARE = 0.6;

  /**
   * The time from the start of a job's last task to its end, in estimated run times, including an
   * image pull.
   */
  private static final double TAIL_FACTOR = 1.1;

  /** After this many mean run times most running tasks have ended. */
  private static final double DRAIN_FACTOR = 1.5;

  private final ClusterStateCache cache;
  private final Settings settings;
  private final AllocationIndex allocationIndex;
  private final LongSupplier clockMs;
  private final Overload overload;
  private final ToIntFunction<JobId> running;
  private final SuspectJobs suspects = new SuspectJobs();
  private final Map<JobId, Age> ages = new HashMap<>();

  /**
   * The age of a job since it became runnable, at the moment it was first seen here, with its
   * objectives.
   */
  private record Age(double seconds, MonotonicTime at, Job job, List<ServiceLevelObjective> aims) {}

  /**
   * Creates an empty collection.
   *
   * @param clockMs the time of day in milliseconds
   * @param overload null if work is ordered by due time alone
   * @param running the number of running tasks of a job, as reported by the owners
   */
  PendingDemand(
      ClusterStateCache cache,
      Settings settings,
      AllocationIndex allocationIndex,
      LongSupplier clockMs,
      Overload overload,
      ToIntFunction<JobId> running) {
    this.cache = cache;
    this.settings = settings;
    this.allocationIndex = allocationIndex;
    this.clockMs = clockMs;
    this.overload = overload;
    this.running = running;
    allocationIndex.addListener((job, more, reached) -> suspects.allocated(job));
    if (overload != null) {
      allocationIndex.addListener((job, more, reached) -> overload.admitted(job, more));
    }
  }

  /** A job with pending tasks; {@code pool} are those that may be admitted now. */
  private record PendingJob(
      JobRecord record, AllocationIndex.JobAllocation account, TaskSet pool, boolean guaranteed) {}

  /**
   * Why no task of a pending job is admitted, if it is suspected to fail on every machine; else
   * null.
   */
  String suspectReason(JobId job) {
    SuspectJobs.State state = suspects.state(job);
    return state == null
        ? null
        : switch (state) {
          case PAUSED -> "failed wherever it was tried, to be tried again with one task";
          case TO_BE_TRIED, ON_TRIAL ->
              "failed wherever it was tried, one task is being tried again";
        };
  }

  /**
   * The tasks of a pending job that may be admitted: all, or a few trial tasks if shards have
   * declined it.
   */
  private TaskSet admissibleTasks(
      AllocationIndex.JobAllocation account,
      Collection<Admission.ShardCapacity> shards,
      MonotonicTime now) {
    Job job = account.job();
    int declinedBy = Admission.decliningShards(job, shards);
    if (declinedBy == 0 && !suspects.isSuspect(job.id())) {
      return account.pending();
    }
    int most =
        suspects.admissibleTasks(
            new SuspectJobs.JobStatus(
                job.id(),
                declinedBy,
                Admission.eligibleShards(job, shards),
                account.completed().size(),
                account.outstanding().size(),
                running.applyAsInt(job.id())),
            now);
    if (most >= account.pending().size() || (most > 0 && job.kind() == JobKind.GANG)) {
      return account.pending();
    }
    TaskSet first = new TaskSet();
    if (most > 0) {
      first.add(account.pending().nextMember(0));
    }
    return first;
  }

  /** All pending demand; tasks with guaranteed starts come first. */
  List<JobDemand> collect(Collection<Admission.ShardCapacity> shards, MonotonicTime now) {
    List<JobDemand> demands = new ArrayList<>();
    List<PendingJob> waiting = waiting(shards, now);
    if (overload == null) {
      for (PendingJob each : waiting) {
        demands.add(
            inOrder(
                each, secondsUntilDue(each.account.job(), age(each.record), aims(each.record))));
      }
      return demands;
    }
    ages.keySet().retainAll(allocationIndex.openJobIds());
    List<AdmissionCandidate> claims = new ArrayList<>();
    Resources room = Admission.roomForArrays(shards);
    for (PendingJob each : waiting) {
      if (each.account.job().priority() != Priority.PRODUCTION) {
        claims.add(claim(each, room, now));
      }
    }
    Map<JobId, JobRanking> verdicts = overload.rank(claims, now);
    Map<JobId, Integer> begin = guaranteedStarts(waiting, room, now);
    for (PendingJob each : waiting) {
      JobRanking verdict = verdicts.get(each.record.id());
      if (verdict == null) {
        inOrder(
                each,
                secondsUntilDue(
                    each.account.job(),
                    monotonicAge(each.record, now),
                    ages.get(each.record.id()).aims()))
            .with(begin.getOrDefault(each.record.id(), 0), Admission.Place.GUARANTEED_START)
            .forEach(demands::add);
        continue;
      }
      JobDemand all =
          demand(
              each,
              verdict.dueS(),
              verdict.standing() == JobRanking.Standing.SET_ASIDE
                  ? Admission.Place.DEPRIORITIZED
                  : Admission.Place.BY_PRIORITY,
              verdict.order());
      for (JobDemand part :
          all.with(begin.getOrDefault(each.record.id(), 0), Admission.Place.GUARANTEED_START)) {
        demands.addAll(part.with(verdict.turn(), Admission.Place.ROUND_ROBIN_TURN));
      }
    }
    return demands;
  }

  /**
   * The number of tasks of each job that go before all others because the job has waited too long
   * to start.
   */
  private Map<JobId, Integer> guaranteedStarts(
      List<PendingJob> waiting, Resources room, MonotonicTime now) {
    StartGuarantee beginnings = overload.startGuarantee();
    List<StartGuarantee.Waiting> old = new ArrayList<>();
    for (PendingJob each : waiting) {
      Job job = each.account.job();
      // The job was submitted before its acceptance, which was timed by a clock that may have been
      // ahead.
      double age = monotonicAge(each.record, now) + 2 * settings.clockBound().seconds();
      if (beginnings.isTooYoungForPromotion(age)) {
        continue;
      }
      int done = each.account.completed().size();
      int given = done + each.account.outstanding().size();
      int ran =
          beginnings.of(job.id()) == StartGuarantee.State.BEGUN || given < job.startQuorum()
              ? given
              : done + running.applyAsInt(job.id());
      old.add(
          new StartGuarantee.Waiting(
              job.id(),
              each.record.version(),
              age,
              job.startQuorum(),
              ran,
              given,
              job.taskResources().dominantShareOf(room.max(job.taskResources())),
              job.kind() == JobKind.GANG));
    }
    return beginnings.evaluate(old, old.isEmpty() ? 0 : drainSeconds());
  }

  /**
   * The time until most of the currently running array tasks have ended. Long tasks are
   * over-represented among running tasks.
   */
  private double drainSeconds() {
    double sum = 0;
    double squares = 0;
    for (AllocationIndex.JobAllocation account : allocationIndex.openJobs().values()) {
      double run =
          account.job().kind() == JobKind.ARRAY && !account.outstanding().isEmpty()
              ? account.job().estimate().seconds()
              : 0;
      sum += account.outstanding().size() * run;
      squares += account.outstanding().size() * run * run;
    }
    return sum == 0 ? 0 : DRAIN_FACTOR * squares / sum;
  }

  private List<PendingJob> waiting(Collection<Admission.ShardCapacity> shards, MonotonicTime now) {
    List<PendingJob> waiting = new ArrayList<>();
    suspects.retainOpen(allocationIndex.openJobIds());
    if (allocationIndex.jobsWithPendingTasks().isEmpty()) {
      return waiting;
    }
    Map<String, Guarantee> guarantees = new HashMap<>();
    settings.teams().forEach((name, team) -> guarantees.put(name, new Guarantee(team.guarantee())));
    allocationIndex
        .openJobs()
        .forEach(
            (record, account) -> {
              Guarantee guarantee = guarantees.get(account.job().team());
              if (guarantee == null || cache.dependencyGraph().isWaiting(record.id())) {
                return; // jobs with unfinished dependencies do not use the guarantee
              }
              boolean within =
                  guarantee.addAndCheck(
                      account.job().taskResources(),
                      account.job().taskCount() - account.completed().size());
              TaskSet pool =
                  account.pending().isEmpty()
                      ? account.pending()
                      : admissibleTasks(account, shards, now);
              if (!pool.isEmpty()) {
                waiting.add(new PendingJob(record, account, pool, within));
              }
            });
    return waiting;
  }

  private JobDemand inOrder(PendingJob each, double dueS) {
    return demand(each, dueS, Admission.Place.BY_PRIORITY, JobRanking.byDue(dueS));
  }

  private JobDemand demand(PendingJob each, double dueS, Admission.Place place, double order) {
    Job job = each.account.job();
    return new JobDemand(
        job,
        each.record.version(),
        dueS,
        each.guaranteed,
        needsLocalImage(job),
        each.pool,
        each.account.outstandingByZone(),
        place,
        order);
  }

  private AdmissionCandidate claim(PendingJob each, Resources room, MonotonicTime now) {
    Job job = each.account.job();
    double age = monotonicAge(each.record, now);
    // With almost no capacity left, a task counts as taking all of it.
    double share = job.taskResources().dominantShareOf(room.max(job.taskResources()));
    double run = Math.max(1, job.estimate().seconds());
    return new AdmissionCandidate(
        job.id(),
        new AdmissionCandidate.Group(job.team(), job.jobClass()),
        job.priority(),
        each.guaranteed,
        each.record.version(),
        each.pool.size(),
        job.kind() != JobKind.GANG,
        share * run,
        TAIL_FACTOR * run,
        age,
        goals(job, age));
  }

  /**
   * A team's guaranteed resources and the demand of its jobs so far, computed over all open jobs.
   */
  private static final class Guarantee {
    private final Resources most;
    private double cpus;
    private double gpus;
    private double memoryGb;

    Guarantee(Resources most) {
      this.most = most;
    }

    /** Adds a job's tasks; whether all demand so far is within the guarantee. */
    boolean addAndCheck(Resources each, int tasks) {
      cpus += each.cpus() * tasks;
      gpus += each.gpus() * tasks;
      memoryGb += each.memoryGb() * tasks;
      return new Resources(cpus, gpus, memoryGb).fitsIn(most);
    }
  }

  /**
   * Whether pulling its image takes longer, even on the fastest machines, than the job's tasks may
   * take to start.
   */
  private boolean needsLocalImage(Job job) {
    TimeSpan within = settings.startTimeLimit(job.jobClass());
    double rate = 0;
    for (MachineType type : cache.machineTypes().values()) {
      rate = Math.max(rate, type.pullGbPerSecond());
    }
    return within != null
        && job.priority() == Priority.PRODUCTION
        && job.imageGb() > rate * within.seconds();
  }

  /**
   * The seconds since a job became runnable; only its own deadline counts the time it waited for
   * dependencies.
   */
  private double age(JobRecord record) {
    return (clockMs.getAsLong() - cache.runnableSinceMs(record)) / 1000.0;
  }

  /**
   * The age of a job in seconds: by the time of day when it was first seen here, and by the
   * monotonic clock from then on, so that a jump of the time of day makes no known job late and no
   * job younger than new.
   */
  // A record that was read again is a new instance; comparing instances is cheaper than comparing
  // fields.
  @SuppressWarnings("ReferenceEquality")
  private double monotonicAge(JobRecord record, MonotonicTime now) {
    Age age =
        ages.computeIfAbsent(
            record.id(), id -> new Age(Math.max(0, age(record)), now, record.job(), aims(record)));
    if (age.job != record.job()) { // the job inherited a higher urgency from a dependent job
      age = new Age(age.seconds, age.at, record.job(), aims(record));
      ages.put(record.id(), age);
    }
    return age.seconds + now.since(age.at).seconds();
  }

  private List<ServiceLevelObjective> aims(JobRecord record) {
    return settings.objectivesOf(
        record.job(), TimeSpan.ofMillis(cache.runnableSinceMs(record) - record.acceptedMs()));
  }

  private List<JobDeadline> goals(Job job, double age) {
    List<JobDeadline> goals = new ArrayList<>();
    for (ServiceLevelObjective aim : ages.get(job.id()).aims()) {
      goals.add(
          new JobDeadline(
              aim.timeLimit().seconds() - age,
              aim.event() == ServiceLevelObjective.Event.EACH_START));
    }
    return goals;
  }

  /**
   * The seconds until a job should be over: the earliest of its deadline, multiples of it, and its
   * class's objectives that it can still meet. A job that can meet none is late.
   */
  private static double secondsUntilDue(Job job, double age, List<ServiceLevelObjective> aims) {
    double soonest = FEASIBLE_SHARE * job.estimate().seconds();
    double last = NO_DEADLINE_S;
    for (ServiceLevelObjective aim : aims) {
      double left = aim.timeLimit().seconds() - age;
      if (left > soonest) {
        return left;
      }
      last = Math.min(-1, left);
    }
    return last < 0 ? last : last - age;
  }
}
