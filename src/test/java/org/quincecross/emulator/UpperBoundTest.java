package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Resources;

class UpperBoundTest {
  private static final Resources HUNDRED = new Resources(100, 0, 100);

  private static UpperBound.WorkDemand demand(
      String jobClass, double from, double until, double work) {
    return new UpperBound.WorkDemand(jobClass, from, until, new Resources(work, 0, 0));
  }

  /**
   * Two classes share the capacity; a job that cannot start in time cannot be served by any
   * scheduler.
   */
  @Test
  void smallestShareOfTwoClasses() {
    List<Resources> capacity = Collections.nCopies(4, HUNDRED);
    // Slices of ten seconds with 1,000 units each. Both classes want 2,000 units in the first two
    // slices, which have 2,000 in total.
    List<UpperBound.WorkDemand> both =
        List.of(
            demand("a", 0, 15, 1000),
            demand("a", 0, 15, 1000),
            demand("b", 0, 15, 1000),
            demand("b", 0, 15, 1000));
    assertEquals(0.5, new UpperBound(10, capacity, both).leastShare(), 1e-6);
    assertEquals(1, new UpperBound(10, capacity, both.subList(0, 2)).leastShare(), 1e-6);
    // Jobs that are due after the end of the day are not counted.
    assertEquals(1, new UpperBound(10, capacity, List.of(demand("a", 0, 39, 1e9))).leastShare());
    // Of one large and two small jobs the small ones can finish.
    List<UpperBound.WorkDemand> sizes =
        List.of(demand("a", 0, 5, 500), demand("a", 0, 5, 500), demand("a", 0, 5, 1e6));
    assertEquals(2.0 / 3, new UpperBound(10, capacity, sizes).leastShare(), 1e-3);
  }

  /** No order of jobs, served one after the other by all machines, exceeds the bound. */
  @Property(tries = 60, seed = "9")
  void noOrderExceedsTheBound(@ForAll Random random) {
    int slices = 8;
    List<Resources> capacity = new ArrayList<>();
    for (int i = 0; i < slices; i++) {
      capacity.add(HUNDRED.times(0.5 + random.nextDouble()));
    }
    List<UpperBound.WorkDemand> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      double from = 50 * random.nextDouble();
      jobs.add(
          demand(
              random.nextBoolean() ? "a" : "b",
              from,
              from + 15 * random.nextDouble() + 1,
              100 + 900 * random.nextDouble()));
    }
    double bound = new UpperBound(10, capacity, jobs).leastShare();
    assertTrue(bound >= 0 && bound <= 1 + 1e-9);
    for (int order = 0; order < 20; order++) {
      Collections.shuffle(jobs, random);
      double[] left = new double[slices];
      for (int i = 0; i < slices; i++) {
        left[i] = capacity.get(i).cpus() * 10;
      }
      int[] all = new int[2];
      int[] done = new int[2];
      for (UpperBound.WorkDemand job : jobs) {
        int which = job.jobClass().equals("a") ? 0 : 1;
        if (Math.floor(job.until() / 10) >= slices - 1) {
          continue;
        }
        all[which]++;
        double open = job.work().cpus();
        double[] after = left.clone();
        for (int slice = (int) (job.from() / 10); slice <= (int) (job.until() / 10); slice++) {
          double part = Math.min(open, after[slice]);
          after[slice] -= part;
          open -= part;
        }
        if (open <= 1e-9) {
          left = after;
          done[which]++;
        }
      }
      double least = 1;
      for (int i = 0; i < 2; i++) {
        least = all[i] == 0 ? least : Math.min(least, (double) done[i] / all[i]);
      }
      assertTrue(least <= bound + 1e-6, least + " is more than " + bound);
    }
  }
}
