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

  /** What really happened to a job. */
  private static final class Story {
    private final Job job;
    private final double accepted;
    private final List<Double> starts = new ArrayList<>();
    private double done = -1;
    private boolean cancelled;

    Story(Job job, double accepted) {
      this.job = job;
      this.accepted = accepted;
    }
  }

  /**
   * What may not run by an agreed record counts neither as unserved nor as late, and time goes on
   * for it when it may.
   */
  @Example
  void whatIsKeptBackIsNobodysFault() {
    JobAccounting books = new JobAccounting(job -> List.of(START, END));
    Job job = job(1, "t", "c", 4);
    books.accepted(job, at(0));
    books.withheld(job.id(), 4, at(5));
    ServiceLevels kept = books.teams(at(500)).get("t");
    assertEquals(0, kept.startable());
    assertEquals(5, kept.starvedS());
    assertEquals(List.of(), kept.aims().stream().filter(met -> met.missed() > 0).toList());
    books.withheld(job.id(), 0, at(500));
    books.started(job.id(), 4, at(504));
    books.done(job.id(), at(534));
    ServiceLevels then = books.teams(at(535)).get("t");
    assertEquals(4, then.startable());
    assertEquals(0, then.aims().stream().mapToInt(ServiceLevels.Met::missed).sum());
    assertEquals(5, then.starvedS());
  }

  /** After any sequence of events the books say what a recount of all that happened says. */
  @Property(tries = 200, seed = "7")
  void theBooksAgreeWithARecount(@ForAll Random random) {
    JobAccounting books = new JobAccounting(job -> List.of(START, END));
    Map<Integer, Story> stories = new LinkedHashMap<>();
    double now = 0;
    for (int step = 0; step < 150; step++) {
      now += random.nextDouble() * 4;
      int number = random.nextInt(25);
      Story story = stories.get(number);
      if (story == null) {
        Job job =
            job(number, "t" + random.nextInt(3), "c" + random.nextInt(2), 1 + random.nextInt(6));
        stories.put(number, new Story(job, now));
        books.accepted(job, at(now));
        books.accepted(job, at(now + 1)); // told twice
      } else if (story.done < 0 && !story.cancelled) {
        int what = random.nextInt(5);
        if (what == 0) {
          books.cancelled(story.job.id(), at(now));
          story.cancelled = true;
        } else if (what == 1) {
          books.done(story.job.id(), at(now));
          while (story.starts.size() < story.job.taskCount()) {
            story.starts.add(now);
          }
          story.done = now;
        } else {
          int reached = random.nextInt(story.job.taskCount() + 1);
          books.started(story.job.id(), reached, at(now));
          while (story.starts.size() < reached) {
            story.starts.add(now);
          }
        }
      }
    }
    for (Map.Entry<JobAccounting.Group, ServiceLevels> group : books.groups(at(now)).entrySet()) {
      assertEquals(
          recount(stories, group.getKey(), now),
          group.getValue().aims().toString()
              + group.getValue().jobs()
              + "/"
              + group.getValue().ended()
              + "/"
              + group.getValue().started()
              + "/"
              + group.getValue().tasks());
    }
    int started = stories.values().stream().mapToInt(story -> story.starts.size()).sum();
    assertEquals(
        started, books.teams(at(now)).values().stream().mapToInt(ServiceLevels::started).sum());
    assertEquals(
        started, books.classes(at(now)).values().stream().mapToInt(ServiceLevels::started).sum());
  }

  private static String recount(
      Map<Integer, Story> stories, JobAccounting.Group group, double now) {
    int[] start = new int[2];
    int[] end = new int[2];
    int jobs = 0;
    int ended = 0;
    int started = 0;
    int tasks = 0;
    for (Story story : stories.values()) {
      if (!story.job.team().equals(group.team())
          || !story.job.jobClass().equals(group.jobClass())) {
        continue;
      }
      started += story.starts.size();
      tasks += story.cancelled ? story.starts.size() : story.job.taskCount();
      jobs += story.cancelled ? 0 : 1;
      for (double each : story.starts) {
        start[each - story.accepted > 10 ? 1 : 0]++;
      }
      boolean open = story.done < 0 && !story.cancelled;
      if (open && now - story.accepted > 10) {
        start[1] += story.job.taskCount() - story.starts.size();
      }
      if (story.done >= 0) {
        ended++;
        end[story.done - story.accepted > 40 ? 1 : 0]++;
      } else if (open && now - story.accepted > 40) {
        end[1]++;
      }
    }
    List<ServiceLevels.Met> met = new ArrayList<>();
    if (start[0] + start[1] > 0) {
      met.add(new ServiceLevels.Met(START.name(), start[0], start[1]));
    }
    if (end[0] + end[1] > 0) {
      met.add(new ServiceLevels.Met(END.name(), end[0], end[1]));
    }
    return met.toString() + jobs + "/" + ended + "/" + started + "/" + tasks;
  }

  /** After a restart: what ran before is not called late, what ends late is. */
  @Example
  void whatWasOpenBefore() {
    JobAccounting books = new JobAccounting(job -> List.of(START, END));
    books.found(job(1, "t", "c", 4), at(0));
    books.started(new JobId("job-1"), 4, at(30));
    books.done(new JobId("job-1"), at(50));
    assertEquals(
        List.of(new ServiceLevels.Met(END.name(), 0, 1)), books.teams(at(60)).get("t").aims());
  }

  /**
   * The longest time with work waiting and nothing served; what waits at its team's limit could not
   * have been started.
   */
  @Example
  void starvationAndLimits() {
    JobAccounting books = new JobAccounting(job -> List.of(START));
    Job first = job(1, "t", "c", 4);
    books.accepted(first, at(0));
    books.started(first.id(), 1, at(5));
    books.started(first.id(), 2, at(30));
    assertEquals(25, books.teams(at(31)).get("t").starvedS());
    assertEquals(70, books.teams(at(100)).get("t").starvedS());
    books.heldBack(first.id(), 2);
    ServiceLevels served = books.teams(at(100)).get("t");
    assertEquals(2, served.startable());
    assertEquals(1, served.startedShare());
    assertEquals(0.5, served.least());
    books.started(first.id(), 4, at(101));
    books.heldBack(first.id(), 0);
    books.done(first.id(), at(200));
    assertEquals(71, books.teams(at(300)).get("t").starvedS());
    assertEquals(0, books.openJobs());
  }

  /** The largest tenth is known only at the end; what was counted of it before must be there. */
  @Example
  void theLargestAreFoundAmongManySizes() {
    JobAccounting books = new JobAccounting(job -> List.of());
    for (int i = 1; i <= 40; i++) {
      JobId id = new JobId("job-" + i);
      books.accepted(
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
      books.started(id, i * i, at(i > 38 ? 250 : 10));
      if (i != 40) {
        books.done(id, at(260));
      }
    }
    LargestJobs tenth = books.largest(at(300)).get("c").get(0);
    assertTrue(tenth.jobs() >= 4 && tenth.jobs() <= 6, tenth.toString());
    assertEquals(tenth.jobs() - 1, tenth.served());
    assertEquals(tenth.jobs() - 2, tenth.inTime());
    assertEquals(250, tenth.longestS(), 1e-6);
  }
}
