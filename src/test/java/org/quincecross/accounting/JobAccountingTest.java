package org.quincecross.accounting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.ServiceLevelObjective;
import org.quincecross.model.TimeSpan;

class JobAccountingTest {
  private static final ServiceLevelObjective START =
      new ServiceLevelObjective(
          "wait 10 s", ServiceLevelObjective.Event.EACH_START, TimeSpan.ofSeconds(10));
  private static final ServiceLevelObjective END =
      new ServiceLevelObjective(
          "deadline 1.00x", ServiceLevelObjective.Event.END, TimeSpan.ofSeconds(40));

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime((long) (seconds * 1e9));
  }

  private static Job job(int number, String team, String jobClass, int tasks) {
    return Job.builder(new JobId("job-" + number))
        .jobClass(jobClass)
        .team(team)
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(tasks)
        .taskResources(new Resources(1, 0, 1))
        .image("i")
        .imageGb(1)
        .estimate(TimeSpan.ZERO)
        .build();
  }

  /** The actual history of a job. */
  private static final class JobHistory {
    private final Job job;
    private final double accepted;
    private final List<Double> starts = new ArrayList<>();
    private double done = -1;
    private boolean cancelled;

    JobHistory(Job job, double accepted) {
      this.job = job;
      this.accepted = accepted;
    }
  }

  /**
   * Tasks blocked by a replicated record count neither as unserved nor as late, and their waiting
   * time resumes when they are unblocked.
   */
  @Example
  void blockedTimeCountsAgainstNoObjective() {
    JobAccounting accounting = new JobAccounting(job -> List.of(START, END));
    Job job = job(1, "t", "c", 4);
    accounting.accepted(job, at(0));
    accounting.blocked(job.id(), 4, at(5));
    ServiceLevels whileBlocked = accounting.teams(at(500)).get("t");
    assertEquals(0, whileBlocked.startable());
    assertEquals(5, whileBlocked.starvedS());
    assertEquals(
        List.of(), whileBlocked.objectives().stream().filter(met -> met.missed() > 0).toList());
    accounting.blocked(job.id(), 0, at(500));
    accounting.started(job.id(), 4, at(504));
    accounting.done(job.id(), at(534));
    ServiceLevels afterwards = accounting.teams(at(535)).get("t");
    assertEquals(4, afterwards.startable());
    assertEquals(
        0, afterwards.objectives().stream().mapToInt(ServiceLevels.ObjectiveCount::missed).sum());
    assertEquals(5, afterwards.starvedS());
  }

  /** After any sequence of events the figures equal a recount of the full history. */
  @Property(tries = 200, seed = "7")
  void figuresEqualARecount(@ForAll Random random) {
    JobAccounting accounting = new JobAccounting(job -> List.of(START, END));
    Map<Integer, JobHistory> histories = new LinkedHashMap<>();
    double now = 0;
    for (int step = 0; step < 150; step++) {
      now += random.nextDouble() * 4;
      int number = random.nextInt(25);
      JobHistory history = histories.get(number);
      if (history == null) {
        Job job =
            job(number, "t" + random.nextInt(3), "c" + random.nextInt(2), 1 + random.nextInt(6));
        histories.put(number, new JobHistory(job, now));
        accounting.accepted(job, at(now));
        accounting.accepted(job, at(now + 1)); // repeated event
      } else if (history.done < 0 && !history.cancelled) {
        int what = random.nextInt(5);
        if (what == 0) {
          accounting.cancelled(history.job.id(), at(now));
          history.cancelled = true;
        } else if (what == 1) {
          accounting.done(history.job.id(), at(now));
          while (history.starts.size() < history.job.taskCount()) {
            history.starts.add(now);
          }
          history.done = now;
        } else {
          int reached = random.nextInt(history.job.taskCount() + 1);
          accounting.started(history.job.id(), reached, at(now));
          while (history.starts.size() < reached) {
            history.starts.add(now);
          }
        }
      }
    }
    for (Map.Entry<JobAccounting.Group, ServiceLevels> group :
        accounting.groups(at(now)).entrySet()) {
      assertEquals(
          recount(histories, group.getKey(), now),
          group.getValue().objectives().toString()
              + group.getValue().jobs()
              + "/"
              + group.getValue().ended()
              + "/"
              + group.getValue().started()
              + "/"
              + group.getValue().tasks());
    }
    int started = histories.values().stream().mapToInt(history -> history.starts.size()).sum();
    assertEquals(
        started,
        accounting.teams(at(now)).values().stream().mapToInt(ServiceLevels::started).sum());
    assertEquals(
        started,
        accounting.classes(at(now)).values().stream().mapToInt(ServiceLevels::started).sum());
  }

  private static String recount(
      Map<Integer, JobHistory> histories, JobAccounting.Group group, double now) {
    int[] start = new int[2];
    int[] end = new int[2];
    int jobs = 0;
    int ended = 0;
    int started = 0;
    int tasks = 0;
    for (JobHistory history : histories.values()) {
      if (!history.job.team().equals(group.team())
          || !history.job.jobClass().equals(group.jobClass())) {
        continue;
      }
      started += history.starts.size();
      tasks += history.cancelled ? history.starts.size() : history.job.taskCount();
      jobs += history.cancelled ? 0 : 1;
      for (double each : history.starts) {
        start[each - history.accepted > 10 ? 1 : 0]++;
      }
      boolean open = history.done < 0 && !history.cancelled;
      if (open && now - history.accepted > 10) {
        start[1] += history.job.taskCount() - history.starts.size();
      }
      if (history.done >= 0) {
        ended++;
        end[history.done - history.accepted > 40 ? 1 : 0]++;
      } else if (open && now - history.accepted > 40) {
        end[1]++;
      }
    }
    List<ServiceLevels.ObjectiveCount> met = new ArrayList<>();
    if (start[0] + start[1] > 0) {
      met.add(new ServiceLevels.ObjectiveCount(START.name(), start[0], start[1]));
    }
    if (end[0] + end[1] > 0) {
      met.add(new ServiceLevels.ObjectiveCount(END.name(), end[0], end[1]));
    }
    return met.toString() + jobs + "/" + ended + "/" + started + "/" + tasks;
  }

  /** After a restart, starts before counting began do not count as late, but late ends do. */
  @Example
  void jobsOpenBeforeCountingMissOnlyEndObjectives() {
    JobAccounting accounting = new JobAccounting(job -> List.of(START, END));
    accounting.recordAlreadyOpen(job(1, "t", "c", 4), at(0));
    accounting.started(new JobId("job-1"), 4, at(30));
    accounting.done(new JobId("job-1"), at(50));
    assertEquals(
        List.of(new ServiceLevels.ObjectiveCount(END.name(), 0, 1)),
        accounting.teams(at(60)).get("t").objectives());
  }

  /**
   * The longest time with waiting work and nothing served; tasks held back by their team's limit do
   * not count as startable.
   */
  @Example
  void measuresStarvationWithoutTasksAtTeamLimit() {
    JobAccounting accounting = new JobAccounting(job -> List.of(START));
    Job first = job(1, "t", "c", 4);
    accounting.accepted(first, at(0));
    accounting.started(first.id(), 1, at(5));
    accounting.started(first.id(), 2, at(30));
    assertEquals(25, accounting.teams(at(31)).get("t").starvedS());
    assertEquals(70, accounting.teams(at(100)).get("t").starvedS());
    accounting.heldBack(first.id(), 2);
    ServiceLevels served = accounting.teams(at(100)).get("t");
    assertEquals(2, served.startable());
    assertEquals(1, served.startedShare());
    assertEquals(0.5, served.lowestShare());
    accounting.started(first.id(), 4, at(101));
    accounting.heldBack(first.id(), 0);
    accounting.done(first.id(), at(200));
    assertEquals(71, accounting.teams(at(300)).get("t").starvedS());
    assertEquals(0, accounting.openJobs());
  }

  /** The largest tenth is known only at the end, yet jobs counted earlier must be included. */
  @Example
  void findsLargestJobsAmongManySizes() {
    JobAccounting accounting = new JobAccounting(job -> List.of());
    for (int i = 1; i <= 40; i++) {
      JobId id = new JobId("job-" + i);
      accounting.accepted(
          Job.builder(id)
              .jobClass("c")
              .team("t")
              .kind(JobKind.ARRAY)
              .priority(Priority.NORMAL)
              .taskCount(10 * i * i)
              .taskResources(new Resources(1, 0, 2))
              .image("i")
              .imageGb(1)
              .estimate(TimeSpan.ofSeconds(10))
              .build(),
          at(0));
      accounting.started(id, i * i, at(i > 38 ? 250 : 10));
      if (i != 40) {
        accounting.done(id, at(260));
      }
    }
    LargestJobs tenth = accounting.largest(at(300)).get("c").get(0);
    assertTrue(tenth.jobs() >= 4 && tenth.jobs() <= 6, tenth.toString());
    assertEquals(tenth.jobs() - 1, tenth.served());
    assertEquals(tenth.jobs() - 2, tenth.inTime());
    assertEquals(250, tenth.longestS(), 1e-6);
  }
}
