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
import org.quincecross.overload.DemandClaim;
import org.quincecross.overload.JobRanking;
import org.quincecross.overload.Milestone;
import org.quincecross.overload.Overload;
import org.quincecross.overload.StartGuarantee;
import org.quincecross.protocol.Settings;
import org.quincecross.quarantine.SuspectJobs;
import org.quincecross.scheduling.Admission;
import org.quincecross.scheduling.JobDemand;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.JobRecord;

/**
 * What waits to be admitted, and when it should be over; where there is more than can be done in
 * time, in what order.
 */
final class PendingDemand {
  /**
   * A job that nobody waits for by a certain time comes after those of about an hour's patience.
   */
  private static final double NO_DEADLINE_S = 3600;

  /**
   * Estimates are often too high by half: a job that has less of its estimated time left will be
   * late.
   */
  private static final double FEASIBLE = 0.6;

  /**
   * From the start of its last task to the end of a job, in estimates: the estimate and a fetch.
   */
  private static final double TAIL = 1.1;

  /** Most of what runs has ended after so many mean times. */
  private static final double EMPTIED = 1.5;

  private final ClusterStateCache cache;
  private final Settings settings;
  private final AllocationIndex books;
  private final LongSupplier clockMs;
  private final Overload overload;
  private final ToIntFunction<JobId> running;
  private final SuspectJobs suspects = new SuspectJobs();
  private final Map<JobId, Age> ages = new HashMap<>();

  /**
   * How old a job was, since it could run, when it was first looked at here, when that was, and
   * what is expected of it.
   */
  private record Age(double seconds, MonotonicTime at, Job job, List<ServiceLevelObjective> aims) {}

  /**
   * @param clockMs tells the time of day
   * @param overload null where work is ordered by due time alone
   * @param running how many tasks of a job run, as their holders say
   */
  PendingDemand(
      ClusterStateCache cache,
      Settings settings,
      AllocationIndex books,
      LongSupplier clockMs,
      Overload overload,
      ToIntFunction<JobId> running) {
    this.cache = cache;
    this.settings = settings;
    this.books = books;
    this.clockMs = clockMs;
    this.overload = overload;
    this.running = running;
    books.listen((job, more, reached) -> suspects.given(job));
    if (overload != null) {
      books.listen((job, more, reached) -> overload.given(job, more));
    }
  }

  /** A job with tasks in the pool, {@code pool} of which may be admitted now. */
  private record Waiting(
      JobRecord record, AllocationIndex.Account account, TaskSet pool, boolean guaranteed) {}

  /**
   * Why nothing of a job is admitted though it waits, in words; null where it is none that fails
   * wherever it is tried.
   */
  String heldBack(JobId job) {
    SuspectJobs.State state = suspects.of(job);
    return state == null
        ? null
        : switch (state) {
          case PAUSED -> "failed wherever it was tried, to be tried again with one task";
          case TO_BE_TRIED, ON_TRIAL ->
              "failed wherever it was tried, one task is being tried again";
        };
  }

  /**
   * What may be admitted of a job that waits: all, or where blocks have declined it, what tries it
   * anew.
   */
  private TaskSet mayGo(
      AllocationIndex.Account account, Collection<Admission.Block> blocks, MonotonicTime now) {
    Job job = account.job();
    int declinedBy = Admission.declines(job, blocks);
    if (declinedBy == 0 && !suspects.isSuspect(job.id())) {
      return account.pool();
    }
    int most =
        suspects.mayGo(
            new SuspectJobs.Look(
                job.id(),
                declinedBy,
                Admission.couldGoTo(job, blocks),
                account.done().size(),
                account.out().size(),
                running.applyAsInt(job.id())),
            now);
    if (most >= account.pool().size() || (most > 0 && job.kind() == JobKind.GANG)) {
      return account.pool();
    }
    TaskSet first = new TaskSet();
    if (most > 0) {
      first.add(account.pool().nextMember(0));
    }
    return first;
  }

  /** All that waits; of a job that has its turn for some of its tasks, these first. */
  List<JobDemand> demands(Collection<Admission.Block> blocks, MonotonicTime now) {
    List<JobDemand> demands = new ArrayList<>();
    List<Waiting> waiting = waiting(blocks, now);
    if (overload == null) {
      for (Waiting each : waiting) {
        demands.add(inOrder(each, dueS(each.account.job(), age(each.record), aims(each.record))));
      }
      return demands;
    }
    ages.keySet().retainAll(books.openIds());
    List<DemandClaim> claims = new ArrayList<>();
    Resources room = Admission.roomForArrays(blocks);
    for (Waiting each : waiting) {
      if (each.account.job().priority() != Priority.PRODUCTION) {
        claims.add(claim(each, room, now));
      }
    }
    Map<JobId, JobRanking> verdicts = overload.look(claims, now);
    Map<JobId, Integer> begin = toBegin(waiting, room, now);
    for (Waiting each : waiting) {
      JobRanking verdict = verdicts.get(each.record.id());
      if (verdict == null) {
        inOrder(
                each,
                dueS(
                    each.account.job(),
                    steadyAge(each.record, now),
                    ages.get(each.record.id()).aims()))
            .with(begin.getOrDefault(each.record.id(), 0), Admission.Place.BEGINNING)
            .forEach(demands::add);
        continue;
      }
      JobDemand all =
          demand(
              each,
              verdict.dueS(),
              verdict.standing() == JobRanking.Standing.SET_ASIDE
                  ? Admission.Place.SET_ASIDE
                  : Admission.Place.IN_ORDER,
              verdict.order());
      for (JobDemand part :
          all.with(begin.getOrDefault(each.record.id(), 0), Admission.Place.BEGINNING)) {
        demands.addAll(part.with(verdict.turn(), Admission.Place.TURN));
      }
    }
    return demands;
  }

  /**
   * How many tasks of which jobs go before all others, because the jobs have waited too long to
   * begin.
   */
  private Map<JobId, Integer> toBegin(List<Waiting> waiting, Resources room, MonotonicTime now) {
    StartGuarantee beginnings = overload.beginnings();
    List<StartGuarantee.Waiting> old = new ArrayList<>();
    for (Waiting each : waiting) {
      Job job = each.account.job();
      // It was submitted before it was accepted, by a clock that may have been ahead.
      double age = steadyAge(each.record, now) + 2 * settings.clockBound().seconds();
      if (beginnings.isYoung(age)) {
        continue;
      }
      int done = each.account.done().size();
      int given = done + each.account.out().size();
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
    return beginnings.look(old, old.isEmpty() ? 0 : emptyS());
  }

  /**
   * How long it takes until most of what arrays run now has ended: long tasks are met with more
   * often, for they stay longer.
   */
  private double emptyS() {
    double sum = 0;
    double squares = 0;
    for (AllocationIndex.Account account : books.open().values()) {
      double run =
          account.job().kind() == JobKind.ARRAY && !account.out().isEmpty()
              ? account.job().estimate().seconds()
              : 0;
      sum += account.out().size() * run;
      squares += account.out().size() * run * run;
    }
    return sum == 0 ? 0 : EMPTIED * squares / sum;
  }

  private List<Waiting> waiting(Collection<Admission.Block> blocks, MonotonicTime now) {
    List<Waiting> waiting = new ArrayList<>();
    suspects.keepOnly(books.openIds());
    if (books.waiting().isEmpty()) {
      return waiting;
    }
    Map<String, Guarantee> guarantees = new HashMap<>();
    settings.teams().forEach((name, team) -> guarantees.put(name, new Guarantee(team.guarantee())));
    books
        .open()
        .forEach(
            (record, account) -> {
              Guarantee guarantee = guarantees.get(account.job().team());
              if (guarantee == null || cache.dependencyGraph().waits(record.id())) {
                return; // what waits for other jobs takes no part of a guarantee
              }
              boolean within =
                  guarantee.covers(
                      account.job().taskResources(),
                      account.job().taskCount() - account.done().size());
              TaskSet pool =
                  account.pool().isEmpty() ? account.pool() : mayGo(account, blocks, now);
              if (!pool.isEmpty()) {
                waiting.add(new Waiting(record, account, pool, within));
              }
            });
    return waiting;
  }

  private JobDemand inOrder(Waiting each, double dueS) {
    return demand(each, dueS, Admission.Place.IN_ORDER, JobRanking.byDue(dueS));
  }

  private JobDemand demand(Waiting each, double dueS, Admission.Place place, double order) {
    Job job = each.account.job();
    return new JobDemand(
        job,
        each.record.version(),
        dueS,
        each.guaranteed,
        isHurried(job),
        each.pool,
        each.account.perZone(),
        place,
        order);
  }

  private DemandClaim claim(Waiting each, Resources room, MonotonicTime now) {
    Job job = each.account.job();
    double age = steadyAge(each.record, now);
    // Where there is next to no room, a task takes at least all of it.
    double share = job.taskResources().dominantShareOf(room.max(job.taskResources()));
    double run = Math.max(1, job.estimate().seconds());
    return new DemandClaim(
        job.id(),
        new DemandClaim.Group(job.team(), job.jobClass()),
        job.priority(),
        each.guaranteed,
        each.record.version(),
        each.pool.size(),
        job.kind() != JobKind.GANG,
        share * run,
        TAIL * run,
        age,
        goals(job, age));
  }

  /**
   * What a team is guaranteed, and what its jobs come to that were accepted so far: looked at for
   * every open job.
   */
  private static final class Guarantee {
    private final Resources most;
    private double cpus;
    private double gpus;
    private double memoryGb;

    Guarantee(Resources most) {
      this.most = most;
    }

    /** Counts the tasks of one more job; whether all up to it are within the guarantee. */
    boolean covers(Resources each, int tasks) {
      cpus += each.cpus() * tasks;
      gpus += each.gpus() * tasks;
      memoryGb += each.memoryGb() * tasks;
      return new Resources(cpus, gpus, memoryGb).fitsIn(most);
    }
  }

  /**
   * Whether fetching its image takes longer, on the quickest machines, than the job's tasks may
   * take to start.
   */
  private boolean isHurried(Job job) {
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
   * Seconds since a job could run: only its own deadline counts from before, while it waited for
   * other jobs.
   */
  private double age(JobRecord record) {
    return (clockMs.getAsLong() - cache.runnableSinceMs(record)) / 1000.0;
  }

  /**
   * How old a job is, in seconds: by the time of day as it was when the job was first looked at
   * here, and by the steady clock from then on. A time of day that jumps makes nothing late that is
   * known, and nothing younger than new.
   */
  // A record that was read anew is another instance, and cheaper to tell apart than by its fields.
  @SuppressWarnings("ReferenceEquality")
  private double steadyAge(JobRecord record, MonotonicTime now) {
    Age age =
        ages.computeIfAbsent(
            record.id(), id -> new Age(Math.max(0, age(record)), now, record.job(), aims(record)));
    if (age.job != record.job()) { // it has become more urgent, for the sake of one that needs it
      age = new Age(age.seconds, age.at, record.job(), aims(record));
      ages.put(record.id(), age);
    }
    return age.seconds + now.since(age.at).seconds();
  }

  private List<ServiceLevelObjective> aims(JobRecord record) {
    return settings.objectivesOf(
        record.job(), TimeSpan.ofMillis(cache.runnableSinceMs(record) - record.acceptedMs()));
  }

  private List<Milestone> goals(Job job, double age) {
    List<Milestone> goals = new ArrayList<>();
    for (ServiceLevelObjective aim : ages.get(job.id()).aims()) {
      goals.add(
          new Milestone(
              aim.timeLimit().seconds() - age,
              aim.event() == ServiceLevelObjective.Event.EACH_START));
    }
    return goals;
  }

  /**
   * Seconds until a job should be over: by its deadline, a multiple of it, or what is expected of
   * its class, whichever comes first of those that it can still meet. What can meet none is late.
   */
  private static double dueS(Job job, double age, List<ServiceLevelObjective> aims) {
    double soonest = FEASIBLE * job.estimate().seconds();
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
