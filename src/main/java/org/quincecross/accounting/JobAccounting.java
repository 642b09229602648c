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
 * Counts what each class of jobs of each team asked for and got. An event costs the same however
 * many jobs there are; what is missed by jobs that are still open is counted when the books are
 * read.
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

  /** Met and missed, of an aim. */
  private static final class Tally {
    private int met;
    private int missed;

    void add(Tally other) {
      met += other.met;
      missed += other.missed;
    }
  }

  /** What is counted for a group. */
  private static final class Count {
    private int jobs;
    private int ended;
    private int tasks;
    private int started;
    private int heldBack;
    private int withheld;

    /** Jobs with tasks that have not been started yet. */
    private int waiting;

    private double starvedS;
    private MonotonicTime hungrySince;
    private final Map<String, Tally> aims = new LinkedHashMap<>();

    /** Aims of one name are counted together: each job's deadline is another length of time. */
    Tally tally(String aim) {
      return aims.computeIfAbsent(aim, a -> new Tally());
    }

    /** Some work waits from now on, or is waited for no longer, or has just been served. */
    void hungry(MonotonicTime now, boolean served) {
      if (hungrySince != null && (served || waiting == 0)) {
        starvedS = Math.max(starvedS, now.since(hungrySince).seconds());
        hungrySince = null;
      }
      if (waiting > 0 && hungrySince == null) {
        hungrySince = now;
      }
    }

    void add(Count other, MonotonicTime now) {
      jobs += other.jobs;
      ended += other.ended;
      tasks += other.tasks;
      started += other.started;
      heldBack += other.heldBack;
      withheld += other.withheld;
      starvedS = Math.max(starvedS, other.starvedS);
      if (other.hungrySince != null) {
        starvedS = Math.max(starvedS, now.since(other.hungrySince).seconds());
      }
      other.aims.forEach((aim, tally) -> tally(aim).add(tally));
    }
  }

  /** A job that is not over. */
  private static final class Open {
    private final Count count;
    private final int tasks;
    private final MonotonicTime accepted;
    private final List<ServiceLevelObjective> aims;
    private final String jobClass;
    private final int step;
    private final int toBegin;
    private final boolean isService;
    private final boolean wasFound;
    private int started;
    private int heldBack;
    private boolean hasBegun;
    private boolean waits = true;

    /**
     * Tasks that may not run by an agreed record, and since when there are such; the time of that
     * counts against no aim.
     */
    private int withheld;

    private MonotonicTime withheldSince;
    private TimeSpan excused = TimeSpan.ZERO;

    Open(
        Count count,
        Job job,
        MonotonicTime accepted,
        List<ServiceLevelObjective> aims,
        boolean wasFound) {
      this.wasFound = wasFound;
      this.count = count;
      this.tasks = job.taskCount();
      this.jobClass = job.jobClass();
      this.step = JobSizeHistogram.step(job.estimatedDemand());
      this.toBegin = job.startQuorum();
      this.isService = job.kind() == JobKind.SERVICE;
      this.accepted = accepted;
      this.aims = aims;
    }

    private TimeSpan without(MonotonicTime now) {
      return withheldSince == null ? excused : excused.plus(now.since(withheldSince));
    }

    boolean isPast(ServiceLevelObjective aim, MonotonicTime now) {
      return now.since(accepted).isLongerThan(aim.timeLimit().plus(without(now)));
    }

    /** For how long it has waited while it was let run. */
    double waitedS(MonotonicTime now) {
      return now.since(accepted).seconds() - without(now).seconds();
    }

    /** Whether some task may start that has not yet; counted with the others of its group. */
    void countWaiting() {
      boolean now = started + withheld < tasks;
      if (now != waits) {
        waits = now;
        count.waiting += now ? 1 : -1;
      }
    }
  }

  private final Function<Job, List<ServiceLevelObjective>> aims;
  private final Map<Group, Count> counts = new TreeMap<>();
  private final Map<JobId, Open> open = new HashMap<>();
  private final Map<String, JobSizeHistogram> sizes = new TreeMap<>();

  /**
   * @param aims what is expected of a job
   */
  public JobAccounting(Function<Job, List<ServiceLevelObjective>> aims) {
    this.aims = aims;
  }

  /** A job was accepted: once for each job, later calls change nothing. */
  public void accepted(Job job, MonotonicTime at) {
    add(job, at, aims.apply(job), false);
  }

  /**
   * A job was open when the counting began: when its tasks started that run already, nobody knows,
   * so starts do not count.
   */
  public void found(Job job, MonotonicTime at) {
    add(
        job,
        at,
        aims.apply(job).stream()
            .filter(aim -> aim.event() == ServiceLevelObjective.Event.END)
            .toList(),
        true);
  }

  private void add(Job job, MonotonicTime at, List<ServiceLevelObjective> ofJob, boolean wasFound) {
    if (open.containsKey(job.id())) {
      return;
    }
    Count count =
        counts.computeIfAbsent(new Group(job.team(), job.jobClass()), group -> new Count());
    Open opened = new Open(count, job, at, ofJob, wasFound);
    open.put(job.id(), opened);
    ofSize(opened).jobs++;
    count.jobs++;
    count.tasks += job.taskCount();
    count.waiting++;
    count.hungry(at, false);
  }

  private JobSizeHistogram.Tally ofSize(Open job) {
    return sizes.computeIfAbsent(job.jobClass, name -> new JobSizeHistogram()).of(job.step);
  }

  /**
   * So many tasks of a job have been started or have ended so far: what is no news changes nothing.
   */
  public void started(JobId id, int tasks, MonotonicTime now) {
    Open job = open.get(id);
    if (job == null || tasks <= job.started) {
      return;
    }
    int more = Math.min(tasks, job.tasks) - job.started;
    job.started += more;
    job.count.started += more;
    if (!job.hasBegun && job.started >= job.toBegin) {
      job.hasBegun = true;
      double afterS = job.waitedS(now);
      if (!job.wasFound
          || afterS
              <= JobSizeHistogram.BEGIN_S) { // of what was open before, nobody knows when it began
        ofSize(job).began(afterS);
      }
      ofSize(job).served += job.isService ? 1 : 0;
    }
    for (ServiceLevelObjective aim : job.aims) {
      if (aim.event() == ServiceLevelObjective.Event.EACH_START) {
        Tally tally = job.count.tally(aim.name());
        if (job.isPast(aim, now)) {
          tally.missed += more;
        } else {
          tally.met += more;
        }
      }
    }
    withhold(job, job.withheld);
    job.count.hungry(now, true);
  }

  /** So many tasks of an open job may not run now, by an agreed record; 0 from when they may. */
  public void withheld(JobId id, int tasks, MonotonicTime now) {
    Open job = open.get(id);
    if (job == null || (tasks == 0 && job.withheldSince == null)) {
      return;
    }
    if (tasks > 0 && job.withheldSince == null) {
      job.withheldSince = now;
    } else if (tasks == 0) {
      job.excused = job.excused.plus(now.since(job.withheldSince));
      job.withheldSince = null;
    }
    withhold(job, tasks);
    job.count.hungry(now, false);
  }

  private static void withhold(Open job, int tasks) {
    int notStarted = Math.min(tasks, job.tasks - job.started);
    job.count.withheld += notStarted - job.withheld;
    job.withheld = notStarted;
    job.countWaiting();
  }

  /** So many tasks of an open job cannot be started now, because its team is at its limit. */
  public void heldBack(JobId id, int tasks) {
    Open job = open.get(id);
    if (job != null) {
      job.count.heldBack += tasks - job.heldBack;
      job.heldBack = tasks;
    }
  }

  /** A job is done. */
  public void done(JobId id, MonotonicTime now) {
    Open job = open.get(id);
    if (job == null) {
      return;
    }
    heldBack(id, 0);
    withhold(job, 0);
    started(id, job.tasks, now);
    open.remove(id);
    job.count.ended++;
    ofSize(job).served += job.isService ? 0 : 1;
    for (ServiceLevelObjective aim : job.aims) {
      if (aim.event() == ServiceLevelObjective.Event.END) {
        Tally tally = job.count.tally(aim.name());
        if (job.isPast(aim, now)) {
          tally.missed++;
        } else {
          tally.met++;
        }
      }
    }
  }

  /** A job's user does not want it any more: what it did not get is nobody's fault. */
  public void cancelled(JobId id, MonotonicTime now) {
    heldBack(id, 0);
    Open job = open.remove(id);
    if (job == null) {
      return;
    }
    withhold(job, 0);
    job.count.jobs--;
    if (!job.hasBegun) {
      ofSize(job).jobs--;
    } else if (!job.isService) {
      ofSize(job).served++; // it ran until nobody wanted it any more
    }
    job.count.tasks -= job.tasks - job.started;
    if (job.started < job.tasks) {
      job.count.waiting--;
    }
    job.count.hungry(now, false);
  }

  /** How many jobs are known that are not over: what the books hold in memory. */
  public int openJobs() {
    return open.size();
  }

  /** The ids of the jobs that are not over. */
  public Collection<JobId> openIds() {
    return open.keySet();
  }

  /** How each class of each team has been served so far. */
  public Map<Group, ServiceLevels> groups(MonotonicTime now) {
    return by(group -> group, now);
  }

  /** How each team has been served so far. */
  public Map<String, ServiceLevels> teams(MonotonicTime now) {
    return by(Group::team, now);
  }

  /** How each class has been served so far. */
  public Map<String, ServiceLevels> classes(MonotonicTime now) {
    return by(Group::jobClass, now);
  }

  /**
   * How the largest jobs of each class have fared so far: its largest tenth and its largest
   * quarter.
   */
  public Map<String, List<LargestJobs>> largest(MonotonicTime now) {
    Map<String, JobSizeHistogram> sums = new TreeMap<>();
    sizes.forEach(
        (name, each) -> sums.computeIfAbsent(name, n -> new JobSizeHistogram()).add(each));
    for (Open job : open.values()) {
      // What its team's limit holds back is nobody's fault.
      if (!job.hasBegun && job.started + job.heldBack < job.tasks) {
        sums.get(job.jobClass).of(job.step).waits(job.waitedS(now));
      }
    }
    Map<String, List<LargestJobs>> largest = new TreeMap<>();
    sums.forEach((name, sum) -> largest.put(name, sum.largest()));
    return largest;
  }

  private <K> Map<K, ServiceLevels> by(Function<Group, K> key, MonotonicTime now) {
    Map<Count, Count> late = new HashMap<>();
    for (Open job : open.values()) {
      Count count = late.computeIfAbsent(job.count, c -> new Count());
      for (ServiceLevelObjective aim : job.aims) {
        if (job.isPast(aim, now)) {
          count.tally(aim.name()).missed +=
              aim.event() == ServiceLevelObjective.Event.END
                  ? 1
                  : job.tasks - job.started - job.heldBack - job.withheld;
        }
      }
    }
    Map<K, Count> sums = new TreeMap<>();
    counts.forEach(
        (group, count) -> {
          Count sum = sums.computeIfAbsent(key.apply(group), k -> new Count());
          sum.add(count, now);
          if (late.containsKey(count)) {
            sum.add(late.get(count), now);
          }
        });
    Map<K, ServiceLevels> served = new TreeMap<>();
    sums.forEach(
        (each, sum) -> {
          List<ServiceLevels.Met> met = new ArrayList<>();
          sum.aims.forEach(
              (aim, tally) -> met.add(new ServiceLevels.Met(aim, tally.met, tally.missed)));
          served.put(
              each,
              new ServiceLevels(
                  sum.jobs,
                  sum.ended,
                  sum.tasks,
                  sum.started,
                  sum.tasks - sum.heldBack - sum.withheld,
                  met,
                  sum.starvedS));
        });
    return served;
  }
}
