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
  private static Job job(int number, String lane, int tasks) {
    return Job.builder(new JobId("job-" + number))
        .jobClass(lane)
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

  private static Records records(Random random, int series) {
    String name = "s" + random.nextInt(series);
    int year = 2020 + random.nextInt(3);
    String month = String.format("%d-%02d", year, 1 + random.nextInt(12));
    return Records.parse(
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
      Map<JobId, Map<String, List<Claim>>> claims,
      Map<String, List<Records>> lanes,
      Map<String, List<Records>> holds) {
    TaskSet withheld = new TaskSet();
    for (int task = 0; task < job.taskCount(); task++) {
      List<Records> touched = new ArrayList<>();
      boolean known = false;
      for (List<Claim> page : claims.getOrDefault(job.id(), Map.of()).values()) {
        for (Claim claim : page) {
          if (claim.tasks().contains(task)) {
            known = true;
            touched.addAll(claim.records());
          }
        }
      }
      if (!known) {
        touched.addAll(lanes.getOrDefault(job.jobClass(), List.of()));
      }
      if (holds.values().stream()
          .flatMap(List::stream)
          .anyMatch(hold -> touched.stream().anyMatch(hold::overlaps))) {
        withheld.add(task);
      }
    }
    return withheld;
  }

  @Property(tries = 300)
  void theBooksSayWhatHoldsAndClaimsComeTo(@ForAll @LongRange(max = 1_000_000) long seed) {
    Random random = new Random(seed);
    LegalHoldIndex books = new LegalHoldIndex();
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      jobs.add(job(i, "lane" + i % 3, 1 + random.nextInt(30)));
    }
    Map<JobId, Map<String, List<Claim>>> claims = new HashMap<>();
    Map<String, List<Records>> lanes = new HashMap<>();
    Map<String, List<Records>> holds = new TreeMap<>();
    Map<JobId, TaskSet> before = new HashMap<>();
    for (int step = 0; step < 60; step++) {
      Set<JobId> changed;
      Job job = jobs.get(random.nextInt(jobs.size()));
      switch (random.nextInt(5)) {
        case 0, 1 -> {
          String reference = "ref-" + random.nextInt(5);
          List<Records> records = List.of(records(random, 3), records(random, 3));
          holds.put(reference, records);
          changed = books.opened(reference, records);
        }
        case 2 -> {
          String reference = "ref-" + random.nextInt(5);
          holds.remove(reference);
          changed = books.closed(reference);
        }
        case 3 -> {
          TaskSet tasks = new TaskSet();
          for (int task = 0; task < job.taskCount(); task++) {
            if (random.nextInt(3) == 0) {
              tasks.add(task);
            }
          }
          List<Claim> page =
              tasks.isEmpty()
                  ? List.of()
                  : List.of(new Claim(tasks, List.of(records(random, 3), records(random, 3))));
          String name = "" + random.nextInt(2);
          claims.computeIfAbsent(job.id(), id -> new HashMap<>()).put(name, page);
          changed = books.claims(job.id(), name, page);
        }
        default -> {
          List<Records> series =
              random.nextInt(3) == 0
                  ? List.of()
                  : random.nextInt(3) == 0
                      ? List.of(Records.ANY)
                      : List.of(Records.parse("s" + random.nextInt(3)));
          lanes.put("lane" + random.nextInt(3), series);
          changed = new java.util.HashSet<>();
          lanes.forEach((lane, each) -> changed.addAll(books.lane(lane, each)));
          jobs.forEach(
              each ->
                  changed.add(each.id())); // the jobs of a class are queried again after a change
        }
      }
      for (Job each : jobs) {
        TaskSet expected = expected(each, claims, lanes, holds);
        assertEquals(expected, books.of(each), "step " + step + " " + each.id());
        TaskSet was = before.put(each.id(), expected);
        assertTrue(
            changed.contains(each.id()) || was == null || was.equals(expected),
            "a change of " + each.id() + " was not reported");
        assertEquals(!expected.isEmpty(), !books.holding(each.id()).isEmpty());
        TaskSet touching = new TaskSet();
        holds
            .values()
            .forEach(
                hold ->
                    books
                        .touching(hold)
                        .forEach(
                            (id, tasks) -> {
                              if (id.equals(each.id())) {
                                touching.addAll(tasks);
                              }
                            }));
        assertEquals(expected, touching);
      }
    }
    jobs.forEach(each -> books.over(each.id()));
    claims.forEach(
        (id, pages) -> pages.keySet().forEach(page -> books.claims(id, page, List.of())));
    assertEquals(0, books.size());
  }

  /**
   * Ten jobs of 10,000 tasks with 20,000 claims in all, under 10,000 holds that overlap and are
   * closed again. Counts steps, not time.
   */
  @Test
  void aHundredThousandTasksUnderTenThousandHoldsCostWhatChanges() {
    Random random = new Random(33);
    LegalHoldIndex books = new LegalHoldIndex();
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Job job = job(i, "sweep", 10_000);
      jobs.add(job);
      for (int page = 0; page < 20; page++) {
        List<Claim> claims = new ArrayList<>();
        for (int k = 0; k < 100; k++) {
          TaskSet tasks = new TaskSet();
          for (int task = 0; task < 5; task++) {
            tasks.add((page * 100 + k) * 5 + task);
          }
          Records day =
              Records.parse(
                  String.format(
                      "s%d/%d-%02d-%02d",
                      i, 2020 + page / 5, 1 + k % 12, 1 + (page * 100 + k) % 28));
          claims.add(
              new Claim(
                  tasks,
                  List.of(k % 4 == 0 ? Records.parse("s" + i + "#key" + page + "-" + k) : day)));
        }
        books.claims(job.id(), "" + page, claims);
      }
      books.of(job);
    }
    assertEquals(20_000, books.size());
    long told = books.work();
    for (int i = 0; i < 10_000; i++) {
      String series = "s" + random.nextInt(10);
      books.opened(
          "ref-" + i,
          List.of(
              Records.parse(
                  i % 2 == 0
                      ? series + "#key" + random.nextInt(20) + "-" + random.nextInt(100)
                      : String.format(
                          "%s/%d-%02d-%02d",
                          series,
                          2020 + random.nextInt(4),
                          1 + random.nextInt(12),
                          1 + random.nextInt(28)))));
    }
    long opened = books.work() - told;
    for (int i = 0; i < 10_000; i++) {
      books.closed("ref-" + (i * 7919) % 10_000);
    }
    long closed = books.work() - told - opened;
    jobs.forEach(job -> assertTrue(books.of(job).isEmpty()));
    // Each hold visits the claims of one day or one key, and the wildcards of its series, whose
    // 20,000 entries change state once in each direction.
    assertTrue(
        opened < 200_000 && closed < 200_000,
        "steps: " + opened + " to open, " + closed + " to close");
  }

  @Test
  void recordsAreNamedInOneWay() {
    for (String text :
        List.of(
            "cdr",
            "cdr/2026",
            "cdr/2026-03",
            "cdr/2026-12-31",
            "cdr/2025..2026-03-15",
            "cdr#a/b:c",
            "a.b_c-d/2026-09..2026-10")) {
      assertEquals(text, Records.parse(text).toString());
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
      assertThrows(IllegalArgumentException.class, () -> Records.parse(text), text);
    }
  }
}
