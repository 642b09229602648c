package org.quincecross.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/** Sick machines and jobs with a mistake, told from one another. */
class QuarantineTest {
  private static final int MACHINES = 11;
  private static final int JOBS = 30;

  private static MonotonicTime at(double seconds) {
    return new MonotonicTime(TimeSpan.ofSeconds(seconds).nanos());
  }

  private static MachineId machine(int number) {
    return new MachineId("m-" + number);
  }

  private static JobId job(int number) {
    return new JobId("job-" + number);
  }

  /**
   * A block with some sick machines and some jobs with a mistake, tasks starting at random, as long
   * as they are let: no sound machine is called sick, every sick one is, no sound job is called
   * bad.
   */
  @Property(tries = 150)
  void bothAreFoundAndNothingElse(@ForAll long seed) {
    Random random = new Random(seed);
    Set<MachineId> sick = new HashSet<>();
    for (int i = random.nextInt(3); i > 0; i--) {
      sick.add(machine(random.nextInt(MACHINES)));
    }
    Set<JobId> mistaken = new HashSet<>();
    for (int i = random.nextInt(8); i > 0; i--) {
      mistaken.add(job(random.nextInt(JOBS)));
    }
    FaultEvidence evidence = new FaultEvidence();
    Set<MachineId> found = new HashSet<>();
    Map<MachineId, Map<JobId, Double>> running = new HashMap<>();
    for (double now = 0; now < 120; now += 0.1) {
      MonotonicTime time = at(now);
      MachineId machine = machine(random.nextInt(MACHINES));
      JobId job = job(random.nextInt(JOBS));
      if (!found.contains(machine)
          && !evidence.isBad(job)
          && !evidence.isDeclined(job, time)
          && !(evidence.isDoubtful(job) && evidence.failedOn(job).contains(machine))) {
        if (sick.contains(machine) || mistaken.contains(job)) {
          found.addAll(evidence.failed(machine, job, TimeSpan.ZERO, time));
        } else {
          running.computeIfAbsent(machine, m -> new HashMap<>()).putIfAbsent(job, now);
        }
      }
      double present = now;
      running.forEach(
          (where, jobs) ->
              jobs.entrySet()
                  .removeIf(
                      entry -> {
                        if (present - entry.getValue() > 12) {
                          found.addAll(evidence.completed(where, entry.getKey(), time));
                          return true;
                        }
                        if (present - entry.getValue() > 5) {
                          found.addAll(
                              evidence.startedWell(
                                  where, entry.getKey(), at(entry.getValue()), time));
                        }
                        return false;
                      }));
    }
    assertEquals(sick, found);
    for (int i = 0; i < JOBS; i++) {
      if (!mistaken.contains(job(i))) {
        assertFalse(evidence.isBad(job(i)), job(i).text());
      }
    }
  }

  /**
   * Tens of jobs with a mistake, all on the same machines at the same moment, before any of them
   * was tried elsewhere.
   */
  @Test
  void aMachineThatGoesOnRunningOthersIsNotSickForLong() {
    FaultEvidence evidence = new FaultEvidence();
    evidence.startedWell(machine(1), job(99), at(0), at(5));
    assertEquals(Set.of(), evidence.failed(machine(1), job(1), TimeSpan.ZERO, at(10)));
    assertEquals(Set.of(), evidence.failed(machine(1), job(2), TimeSpan.ZERO, at(10)));
    assertEquals(Set.of(), evidence.failed(machine(2), job(1), TimeSpan.ZERO, at(11)));
    assertEquals(Set.of(), evidence.failed(machine(2), job(2), TimeSpan.ZERO, at(11)));
    assertEquals(Set.of(), evidence.failed(machine(1), job(3), TimeSpan.ZERO, at(12)));
    evidence.startedWell(machine(1), job(5), at(13), at(18));
    assertEquals(Set.of(), evidence.failed(machine(1), job(4), TimeSpan.ZERO, at(24)));
    assertFalse(evidence.isBad(job(1)));
    evidence.failed(machine(3), job(1), TimeSpan.ZERO, at(25));
    assertTrue(evidence.isBad(job(1)));
  }

  /**
   * What failed on a machine counts against it from the moment that the job is seen to run
   * elsewhere.
   */
  @Test
  void aJobThatRunsElsewhereSpeaksAgainstTheMachinesWhereItFailedBefore() {
    FaultEvidence evidence = new FaultEvidence();
    assertEquals(Set.of(), evidence.failed(machine(1), job(1), TimeSpan.ZERO, at(0)));
    assertEquals(Set.of(), evidence.failed(machine(1), job(1), TimeSpan.ZERO, at(1)));
    assertEquals(Set.of(machine(1)), evidence.startedWell(machine(2), job(1), at(2), at(7)));
  }

  /**
   * A job that fails after it has run for a while is not cleared by that, nor are machines blamed
   * for it.
   */
  @Test
  void aJobThatFailsLateIsNotTakenForOneThatRuns() {
    FaultEvidence evidence = new FaultEvidence();
    for (int i = 0; i < 3; i++) {
      evidence.startedWell(machine(i), job(1), at(20 * i), at(20 * i + 6));
      assertEquals(
          Set.of(), evidence.failed(machine(i), job(1), TimeSpan.ofSeconds(9), at(20 * i + 9)));
    }
    assertTrue(evidence.isBad(job(1)));
  }

  /**
   * Declined by three blocks: paused, tried with one task at a time, ever more seldom; free once
   * something of it is done.
   */
  @Test
  void aSuspectIsTriedEverMoreSeldomUntilItRuns() {
    SuspectJobs suspects = new SuspectJobs();
    JobId job = job(1);
    assertEquals(
        Integer.MAX_VALUE, suspects.mayGo(new SuspectJobs.Look(job, 2, 9, 0, 5, 0), at(0)));
    int trials = 0;
    boolean out = false;
    double outSince = 0;
    for (double now = 0; now < 600; now += 0.5) {
      int may = suspects.mayGo(new SuspectJobs.Look(job, 3, 9, 0, out ? 1 : 0, 0), at(now));
      assertTrue(may <= 1);
      if (may == 1 && !out) {
        suspects.given(job);
        out = true;
        outSince = now;
        trials++;
      } else if (out && now - outSince > 2) {
        out = false;
      }
    }
    assertTrue(trials >= 4 && trials <= 9, trials + " trials in ten minutes");
    assertEquals(
        Integer.MAX_VALUE, suspects.mayGo(new SuspectJobs.Look(job, 0, 9, 1, 0, 0), at(600)));
    assertEquals(null, suspects.of(job));
  }

  /** However many suspects there are, no more than one trial begins in a second. */
  @Test
  void trialsOfManySuspectsAreSpread() {
    SuspectJobs suspects = new SuspectJobs();
    int begun = 0;
    for (double now = 0; now < 60; now += 0.25) {
      for (int i = 0; i < 50; i++) {
        if (suspects.mayGo(new SuspectJobs.Look(job(i), 3, 3, 0, 0, 0), at(now)) == 1) {
          suspects.given(job(i));
          begun++;
        }
      }
    }
    assertTrue(begun <= 60, begun + " trials in a minute");
    assertTrue(begun >= 30, begun + " trials in a minute");
  }
}
