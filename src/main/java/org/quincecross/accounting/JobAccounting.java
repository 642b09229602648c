package org.quincecross.accounting;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.ServiceLevelObjective;
import org.quincecross.model.TimeSpan;

/**
 * Counts what each class of jobs of each team requested and received. The cost of an event does not
 * depend on the number of jobs; objectives missed by jobs that are still open are counted when the
 * figures are read.
 */
public final class JobAccounting {
  /** The jobs of one class of one team. */
  public record Group(String team, String jobClass) implements Comparable<Group> {
    @Override
    public int compareTo(Group other) {
      int byTeam = team.compareTo(other.team);
      return byTeam != 0 ? byTeam : jobClass.compareTo(other.jobClass);
    }
  }

  /** How often a service-level objective was met and missed. */
  private static final class Tally {
    private int met;
    private int missed;

    void add(Tally other) {
      met += other.met;
      missed += other.missed;
    }
  }

  /** The figures of a group. */
  private static final class GroupFigures {
    private int jobs;
    private int ended;
    private int tasks;
    private int started;
    private int heldBack;
    private int blocked;

    /** Jobs with tasks that have not been started yet. */
    private int waiting;

    private double starvedS;
    private MonotonicTime starvedSince;
    private final Map<String, Tally> objectives = new LinkedHashMap<>();

    /**
     * Objectives of the same name are counted together, although the deadline of each job is a
     * different length of time.
     */
    Tally tally(String objective) {
      return objectives.computeIfAbsent(objective, a -> new Tally());
    }

    /**
     * Updates the starvation time: work starts to wait, nothing waits any more, or work has just
     * been served.
     */
    void updateStarvation(MonotonicTime now, boolean served) {
      if (starvedSince != null && (served || waiting == 0)) {
        starvedS = Math.max(starvedS, now.since(starvedSince).seconds());
        starvedSince = null;
      }
      if (waiting > 0 && starvedSince == null) {
        starvedSince = now;
      }
    }

    void add(GroupFigures other, MonotonicTime now) {
      jobs += other.jobs;
      ended += other.ended;
      tasks += other.tasks;
      started += other.started;
      heldBack += other.heldBack;
      blocked += other.blocked;
      starvedS = Math.max(starvedS, other.starvedS);
      if (other.starvedSince != null) {
        starvedS = Math.max(starvedS, now.since(other.starvedSince).seconds());
      }
      other.objectives.forEach((objective, tally) -> tally(objective).add(tally));
    }
  }

  /** A job that has not ended. */
  private static final class OpenJob {
    private final GroupFigures group;
    private final int tasks;
    private final MonotonicTime accepted;
    private final List<ServiceLevelObjective> objectives;
    private final String jobClass;
    private final int sizeStep;
    private final int startQuorum;
    private final boolean isService;
    private final boolean openBeforeCounting;
    private int started;
    private int heldBack;
    private boolean hasStarted;
    private boolean waits = true;

    /**
     * Tasks blocked by a replicated record, and since when some are blocked; blocked time counts
     * against no objective.
     */
    private int blocked;

    private MonotonicTime blockedSince;
    private TimeSpan blockedTime = TimeSpan.ZERO;

    OpenJob(
        GroupFigures group,
        Job job,
        MonotonicTime accepted,
        List<ServiceLevelObjective> objectives,
        boolean openBeforeCounting) {
      this.openBeforeCounting = openBeforeCounting;
      this.group = group;
      this.tasks = job.taskCount();
      this.jobClass = job.jobClass();
      this.sizeStep = JobSizeHistogram.step(job.estimatedDemand());
      this.startQuorum = job.startQuorum();
      this.isService = job.kind() == JobKind.SERVICE;
      this.accepted = accepted;
      this.objectives = objectives;
    }

    private TimeSpan blockedTime(MonotonicTime now) {
      return blockedSince == null ? blockedTime : blockedTime.plus(now.since(blockedSince));
    }

    boolean isPast(ServiceLevelObjective objective, MonotonicTime now) {
      return now.since(accepted).isLongerThan(objective.timeLimit().plus(blockedTime(now)));
    }

    /** Returns how long it has waited while it was allowed to run. */
    double waitedS(MonotonicTime now) {
      return now.since(accepted).seconds() - blockedTime(now).seconds();
    }

    /**
     * Updates whether a task that may run has not started yet, and the count of such jobs in its
     * group.
     */
    void updateWaiting() {
      boolean now = started + blocked < tasks;
      if (now != waits) {
        waits = now;
        group.waiting += now ? 1 : -1;
      }
    }
  }

  private final Function<Job, List<ServiceLevelObjective>> objectives;
  private final Map<Group, GroupFigures> counts = new TreeMap<>();
  private final Map<JobId, OpenJob> open = new HashMap<>();
  private final Map<String, JobSizeHistogram> sizes = new TreeMap<>();

  /**
   * @param objectives the service-level objectives of a job
   */
  public JobAccounting(Function<Job, List<ServiceLevelObjective>> objectives) {
    this.objectives = objectives;
  }

  /** Records that a job was accepted; repeated calls for the same job have no effect. */
  public void accepted(Job job, MonotonicTime at) {
    add(job, at, objectives.apply(job), false);
  }

  /**
   * Records a job that was open when counting began. When its running tasks started is unknown, so
   * start objectives are not counted for it.
   */
  public void recordAlreadyOpen(Job job, MonotonicTime at) {
    add(
        job,
        at,
        objectives.apply(job).stream()
            .filter(objective -> objective.event() == ServiceLevelObjective.Event.END)
            .toList(),
        true);
  }

  private void add(
      Job job,
      MonotonicTime at,
      List<ServiceLevelObjective> objectivesOfJob,
      boolean openBeforeCounting) {
    if (open.containsKey(job.id())) {
      return;
    }
    GroupFigures count =
        counts.computeIfAbsent(new Group(job.team(), job.jobClass()), group -> new GroupFigures());
    OpenJob opened = new OpenJob(count, job, at, objectivesOfJob, openBeforeCounting);
    open.put(job.id(), opened);
    sizeTally(opened).jobs++;
    count.jobs++;
    count.tasks += job.taskCount();
    count.waiting++;
    count.updateStarvation(at, false);
  }

  private JobSizeHistogram.Tally sizeTally(OpenJob job) {
    return sizes.computeIfAbsent(job.jobClass, name -> new JobSizeHistogram()).of(job.sizeStep);
  }

  /**
   * Records how many tasks of a job have been started or have ended so far; an unchanged number has
   * no effect.
   */
  public void started(JobId id, int tasks, MonotonicTime now) {
    OpenJob job = open.get(id);
    if (job == null || tasks <= job.started) {
      return;
    }
    int more = Math.min(tasks, job.tasks) - job.started;
    job.started += more;
    job.group.started += more;
    if (!job.hasStarted && job.started >= job.startQuorum) {
      job.hasStarted = true;
      double afterS = job.waitedS(now);
      if (!job.openBeforeCounting
          || afterS
              <= JobSizeHistogram
                  .MAX_START_DELAY_S) { // when jobs that were open before counting began were
        // started is unknown
        sizeTally(job).recordStart(afterS);
      }
      sizeTally(job).served += job.isService ? 1 : 0;
    }
    for (ServiceLevelObjective objective : job.objectives) {
      if (objective.event() == ServiceLevelObjective.Event.EACH_START) {
        Tally tally = job.group.tally(objective.name());
        if (job.isPast(objective, now)) {
          tally.missed += more;
        } else {
          tally.met += more;
        }
      }
    }
    setBlocked(job, job.blocked);
    job.group.updateStarvation(now, true);
  }

  /**
   * Records how many tasks of an open job a replicated record blocks now; 0 when none are blocked
   * any more.
   */
  public void blocked(JobId id, int tasks, MonotonicTime now) {
    OpenJob job = open.get(id);
    if (job == null || (tasks == 0 && job.blockedSince == null)) {
      return;
    }
    if (tasks > 0 && job.blockedSince == null) {
      job.blockedSince = now;
    } else if (tasks == 0) {
      job.blockedTime = job.blockedTime.plus(now.since(job.blockedSince));
      job.blockedSince = null;
    }
    setBlocked(job, tasks);
    job.group.updateStarvation(now, false);
  }

  private static void setBlocked(OpenJob job, int tasks) {
    int notStarted = Math.min(tasks, job.tasks - job.started);
    job.group.blocked += notStarted - job.blocked;
    job.blocked = notStarted;
    job.updateWaiting();
  }

  /** Records how many tasks of an open job cannot start because its team is at its limit. */
  public void heldBack(JobId id, int tasks) {
    OpenJob job = open.get(id);
    if (job != null) {
      job.group.heldBack += tasks - job.heldBack;
      job.heldBack = tasks;
    }
  }

  /** Records that a job is done. */
  public void done(JobId id, MonotonicTime now) {
    OpenJob job = open.get(id);
    if (job == null) {
      return;
    }
    heldBack(id, 0);
    setBlocked(job, 0);
    started(id, job.tasks, now);
    open.remove(id);
    job.group.ended++;
    sizeTally(job).served += job.isService ? 0 : 1;
    for (ServiceLevelObjective objective : job.objectives) {
      if (objective.event() == ServiceLevelObjective.Event.END) {
        Tally tally = job.group.tally(objective.name());
        if (job.isPast(objective, now)) {
          tally.missed++;
        } else {
          tally.met++;
        }
      }
    }
  }

  /** Records that a job was cancelled; what it did not receive counts against no objective. */
  public void cancelled(JobId id, MonotonicTime now) {
    heldBack(id, 0);
    OpenJob job = open.remove(id);
    if (job == null) {
      return;
    }
    setBlocked(job, 0);
    job.group.jobs--;
    if (!job.hasStarted) {
      sizeTally(job).jobs--;
    } else if (!job.isService) {
      sizeTally(job).served++; // it ran until it was no longer wanted
    }
    job.group.tasks -= job.tasks - job.started;
    if (job.started < job.tasks) {
      job.group.waiting--;
    }
    job.group.updateStarvation(now, false);
  }

  /** Number of jobs held in memory: those that have not ended. */
  public int openJobs() {
    return open.size();
  }

  /** Ids of the jobs that have not ended. */
  public Collection<JobId> openIds() {
    return open.keySet();
  }

  /** Returns the figures by class and team. */
  public Map<Group, ServiceLevels> groups(MonotonicTime now) {
    return aggregate(group -> group, now);
  }

  /** Returns the figures by team. */
  public Map<String, ServiceLevels> teams(MonotonicTime now) {
    return aggregate(Group::team, now);
  }

  /** Returns the figures by class. */
  public Map<String, ServiceLevels> classes(MonotonicTime now) {
    return aggregate(Group::jobClass, now);
  }

  /** Returns how the largest tenth and the largest quarter of each class have been served. */
  public Map<String, List<LargestJobs>> largest(MonotonicTime now) {
    Map<String, JobSizeHistogram> sums = new TreeMap<>();
    sizes.forEach(
        (name, each) -> sums.computeIfAbsent(name, n -> new JobSizeHistogram()).add(each));
    for (OpenJob job : open.values()) {
      // Tasks held back by the team's limit do not count as late.
      if (!job.hasStarted && job.started + job.heldBack < job.tasks) {
        sums.get(job.jobClass).of(job.sizeStep).recordWaiting(job.waitedS(now));
      }
    }
    Map<String, List<LargestJobs>> largest = new TreeMap<>();
    sums.forEach((name, sum) -> largest.put(name, sum.largest()));
    return largest;
  }

  private <K> Map<K, ServiceLevels> aggregate(Function<Group, K> key, MonotonicTime now) {
    Map<GroupFigures, GroupFigures> missedByOpenJobs = new HashMap<>();
    for (OpenJob job : open.values()) {
      GroupFigures count = missedByOpenJobs.computeIfAbsent(job.group, c -> new GroupFigures());
      for (ServiceLevelObjective objective : job.objectives) {
        if (job.isPast(objective, now)) {
          count.tally(objective.name()).missed +=
              objective.event() == ServiceLevelObjective.Event.END
                  ? 1
                  : job.tasks - job.started - job.heldBack - job.blocked;
        }
      }
    }
    Map<K, GroupFigures> sums = new TreeMap<>();
    counts.forEach(
        (group, count) -> {
          GroupFigures sum = sums.computeIfAbsent(key.apply(group), k -> new GroupFigures());
          sum.add(count, now);
          if (missedByOpenJobs.containsKey(count)) {
            sum.add(missedByOpenJobs.get(count), now);
          }
        });
    Map<K, ServiceLevels> served = new TreeMap<>();
    sums.forEach(
        (group, sum) -> {
          List<ServiceLevels.ObjectiveCount> objectivesMet = new ArrayList<>();
          sum.objectives.forEach(
              (objective, tally) ->
                  objectivesMet.add(
                      new ServiceLevels.ObjectiveCount(objective, tally.met, tally.missed)));
          served.put(
              group,
              new ServiceLevels(
                  sum.jobs,
                  sum.ended,
                  sum.tasks,
                  sum.started,
                  sum.tasks - sum.heldBack - sum.blocked,
                  objectivesMet,
                  sum.starvedS));
        });
    return served;
  }
}
