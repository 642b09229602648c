package org.quincecross.legalhold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;

class LegalHoldIndexTest {
  private static Job job(int number, String jobClass, int tasks) {
    return Job.builder(new JobId("job-" + number))
        .jobClass(jobClass)
        .team("team")
        .kind(JobKind.ARRAY)
        .priority(Priority.NORMAL)
        .taskCount(tasks)
        .taskResources(Resources.NONE)
        .allowsSpot(true)
        .image("image")
        .imageGb(0)
        .estimate(TimeSpan.ZERO)
        .build();
  }

  private static RecordSelector records(Random random, int series) {
    String name = "s" + random.nextInt(series);
    int year = 2020 + random.nextInt(3);
    String month = String.format("%d-%02d", year, 1 + random.nextInt(12));
    return RecordSelector.parse(
        switch (random.nextInt(6)) {
          case 0 -> name;
          case 1 -> name + "#k" + random.nextInt(4);
          case 2 -> name + "/" + year;
          case 3 -> name + "/" + month + String.format("-%02d", 1 + random.nextInt(28));
          case 4 -> name + "/" + month + ".." + (year + 1);
          default -> name + "/" + month;
        });
  }

  /** Computes the blocked tasks from holds, claims and sweep classes from scratch. */
  private static TaskSet expected(
      Job job,
      Map<JobId, Map<String, List<RecordClaim>>> claims,
      Map<String, List<RecordSelector>> sweepClasses,
      Map<String, List<RecordSelector>> holds) {
    TaskSet blocked = new TaskSet();
    for (int task = 0; task < job.taskCount(); task++) {
      List<RecordSelector> touched = new ArrayList<>();
      boolean hasClaim = false;
      for (List<RecordClaim> page : claims.getOrDefault(job.id(), Map.of()).values()) {
        for (RecordClaim claim : page) {
          if (claim.tasks().contains(task)) {
            hasClaim = true;
            touched.addAll(claim.records());
          }
        }
      }
      if (!hasClaim) {
        touched.addAll(sweepClasses.getOrDefault(job.jobClass(), List.of()));
      }
      if (holds.values().stream()
          .flatMap(List::stream)
          .anyMatch(hold -> touched.stream().anyMatch(hold::overlaps))) {
        blocked.add(task);
      }
    }
    return blocked;
  }

  @Property(tries = 300)
  void indexEqualsComputationFromScratch(@ForAll @LongRange(max = 1_000_000) long seed) {
    Random random = new Random(seed);
    LegalHoldIndex index = new LegalHoldIndex();
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      jobs.add(job(i, "lane" + i % 3, 1 + random.nextInt(30)));
    }
    Map<JobId, Map<String, List<RecordClaim>>> claims = new HashMap<>();
    Map<String, List<RecordSelector>> sweepClasses = new HashMap<>();
    Map<String, List<RecordSelector>> holds = new TreeMap<>();
    Map<JobId, TaskSet> before = new HashMap<>();
    for (int step = 0; step < 60; step++) {
      Set<JobId> changed;
      Job job = jobs.get(random.nextInt(jobs.size()));
      switch (random.nextInt(5)) {
        case 0, 1 -> {
          String reference = "ref-" + random.nextInt(5);
          List<RecordSelector> records = List.of(records(random, 3), records(random, 3));
          holds.put(reference, records);
          changed = index.open(reference, records);
        }
        case 2 -> {
          String reference = "ref-" + random.nextInt(5);
          holds.remove(reference);
          changed = index.close(reference);
        }
        case 3 -> {
          TaskSet tasks = new TaskSet();
          for (int task = 0; task < job.taskCount(); task++) {
            if (random.nextInt(3) == 0) {
              tasks.add(task);
            }
          }
          List<RecordClaim> page =
              tasks.isEmpty()
                  ? List.of()
                  : List.of(
                      new RecordClaim(tasks, List.of(records(random, 3), records(random, 3))));
          String name = "" + random.nextInt(2);
          claims.computeIfAbsent(job.id(), id -> new HashMap<>()).put(name, page);
          changed = index.setClaims(job.id(), name, page);
        }
        default -> {
          List<RecordSelector> series =
              random.nextInt(3) == 0
                  ? List.of()
                  : random.nextInt(3) == 0
                      ? List.of(RecordSelector.ANY)
                      : List.of(RecordSelector.parse("s" + random.nextInt(3)));
          sweepClasses.put("lane" + random.nextInt(3), series);
          changed = new java.util.HashSet<>();
          sweepClasses.forEach(
              (jobClass, each) -> changed.addAll(index.setSweepClass(jobClass, each)));
          jobs.forEach(
              each ->
                  changed.add(each.id())); // the jobs of a class are queried again after a change
        }
      }
      for (Job each : jobs) {
        TaskSet expected = expected(each, claims, sweepClasses, holds);
        assertEquals(expected, index.blockedTasks(each), "step " + step + " " + each.id());
        TaskSet was = before.put(each.id(), expected);
        assertTrue(
            changed.contains(each.id()) || was == null || was.equals(expected),
            "a change of " + each.id() + " was not reported");
        assertEquals(!expected.isEmpty(), !index.holdsBlocking(each.id()).isEmpty());
        TaskSet touching = new TaskSet();
        holds
            .values()
            .forEach(
                hold ->
                    index
                        .tasksAccessing(hold)
                        .forEach(
                            (id, tasks) -> {
                              if (id.equals(each.id())) {
                                touching.addAll(tasks);
                              }
                            }));
        assertEquals(expected, touching);
      }
    }
    jobs.forEach(each -> index.jobEnded(each.id()));
    claims.forEach(
        (id, pages) -> pages.keySet().forEach(page -> index.setClaims(id, page, List.of())));
    assertEquals(0, index.size());
  }

  /**
   * Ten jobs of 10,000 tasks with 20,000 claims in all, under 10,000 holds that overlap and are
   * closed again. Counts steps, not time.
   */
  @Test
  void updateCostIsProportionalToChange() {
    Random random = new Random(33);
    LegalHoldIndex index = new LegalHoldIndex();
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Job job = job(i, "sweep", 10_000);
      jobs.add(job);
      for (int page = 0; page < 20; page++) {
        List<RecordClaim> claims = new ArrayList<>();
        for (int k = 0; k < 100; k++) {
          TaskSet tasks = new TaskSet();
          for (int task = 0; task < 5; task++) {
            tasks.add((page * 100 + k) * 5 + task);
          }
          RecordSelector day =
              RecordSelector.parse(
                  String.format(
                      "s%d/%d-%02d-%02d",
                      i, 2020 + page / 5, 1 + k % 12, 1 + (page * 100 + k) % 28));
          claims.add(
              new RecordClaim(
                  tasks,
                  List.of(
                      k % 4 == 0 ? RecordSelector.parse("s" + i + "#key" + page + "-" + k) : day)));
        }
        index.setClaims(job.id(), "" + page, claims);
      }
      index.blockedTasks(job);
    }
    assertEquals(20_000, index.size());
    long stepsForClaims = index.steps();
    for (int i = 0; i < 10_000; i++) {
      String series = "s" + random.nextInt(10);
      index.open(
          "ref-" + i,
          List.of(
              RecordSelector.parse(
                  i % 2 == 0
                      ? series + "#key" + random.nextInt(20) + "-" + random.nextInt(100)
                      : String.format(
                          "%s/%d-%02d-%02d",
                          series,
                          2020 + random.nextInt(4),
                          1 + random.nextInt(12),
                          1 + random.nextInt(28)))));
    }
    long stepsToOpen = index.steps() - stepsForClaims;
    for (int i = 0; i < 10_000; i++) {
      index.close("ref-" + (i * 7919) % 10_000);
    }
    long stepsToClose = index.steps() - stepsForClaims - stepsToOpen;
    jobs.forEach(job -> assertTrue(index.blockedTasks(job).isEmpty()));
    // Each hold visits the claims of one day or one key, and the wildcards of its series, whose
    // 20,000 entries change state once in each direction.
    assertTrue(
        stepsToOpen < 200_000 && stepsToClose < 200_000,
        "steps: " + stepsToOpen + " to open, " + stepsToClose + " to close");
  }

  @Test
  void selectorsHaveOneTextForm() {
    for (String text :
        List.of(
            "cdr",
            "cdr/2026",
            "cdr/2026-03",
            "cdr/2026-12-31",
            "cdr/2025..2026-03-15",
            "cdr#a/b:c",
            "a.b_c-d/2026-09..2026-10")) {
      assertEquals(text, RecordSelector.parse(text).toString());
    }
    for (String text :
        List.of(
            "",
            "*",
            "cdr/2026-13",
            "cdr/2026-02-30",
            "cdr/2026-03..2026-02",
            "cdr/26",
            "cdr#",
            "cdr#a b",
            "cdr/2026-00")) {
      assertThrows(IllegalArgumentException.class, () -> RecordSelector.parse(text), text);
    }
  }
}
