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

/** Tests that faulty machines and faulty jobs are told apart. */
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
   * Starts tasks at random in a shard with some faulty machines and some faulty jobs: all faulty
   * machines are found, no sound machine and no sound job is called faulty.
   */
  @Property(tries = 150)
  void findsExactlyTheFaultyMachinesAndJobs(@ForAll long seed) {
    Random random = new Random(seed);
    Set<MachineId> faultyMachines = new HashSet<>();
    for (int i = random.nextInt(3); i > 0; i--) {
      faultyMachines.add(machine(random.nextInt(MACHINES)));
    }
    Set<JobId> faultyJobs = new HashSet<>();
    for (int i = random.nextInt(8); i > 0; i--) {
      faultyJobs.add(job(random.nextInt(JOBS)));
    }
    FaultEvidence evidence = new FaultEvidence();
    Set<MachineId> found = new HashSet<>();
    Map<MachineId, Map<JobId, Double>> running = new HashMap<>();
    for (double now = 0; now < 120; now += 0.1) {
      MonotonicTime time = at(now);
      MachineId machine = machine(random.nextInt(MACHINES));
      JobId job = job(random.nextInt(JOBS));
      if (!found.contains(machine)
          && !evidence.isFaulty(job)
          && !evidence.isDeclined(job, time)
          && !(evidence.isSuspect(job) && evidence.failedOn(job).contains(machine))) {
        if (faultyMachines.contains(machine) || faultyJobs.contains(job)) {
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
    assertEquals(faultyMachines, found);
    for (int i = 0; i < JOBS; i++) {
      if (!faultyJobs.contains(job(i))) {
        assertFalse(evidence.isFaulty(job(i)), job(i).text());
      }
    }
  }

  /**
   * Many faulty jobs reach the same machine at the same moment, before any of them was tried
   * elsewhere; the machine is not called faulty.
   */
  @Test
  void manyFaultyJobsDoNotMakeMachineFaulty() {
    FaultEvidence evidence = new FaultEvidence();
    evidence.startedWell(machine(1), job(99), at(0), at(5));
    assertEquals(Set.of(), evidence.failed(machine(1), job(1), TimeSpan.ZERO, at(10)));
    assertEquals(Set.of(), evidence.failed(machine(1), job(2), TimeSpan.ZERO, at(10)));
    assertEquals(Set.of(), evidence.failed(machine(2), job(1), TimeSpan.ZERO, at(11)));
    assertEquals(Set.of(), evidence.failed(machine(2), job(2), TimeSpan.ZERO, at(11)));
    assertEquals(Set.of(), evidence.failed(machine(1), job(3), TimeSpan.ZERO, at(12)));
    evidence.startedWell(machine(1), job(5), at(13), at(18));
    assertEquals(Set.of(), evidence.failed(machine(1), job(4), TimeSpan.ZERO, at(24)));
    assertFalse(evidence.isFaulty(job(1)));
    evidence.failed(machine(3), job(1), TimeSpan.ZERO, at(25));
    assertTrue(evidence.isFaulty(job(1)));
  }

  /** Failures count against a machine from the moment that the job is seen running elsewhere. */
  @Test
  void earlierFailuresCountOnceJobRunsElsewhere() {
    FaultEvidence evidence = new FaultEvidence();
    assertEquals(Set.of(), evidence.failed(machine(1), job(1), TimeSpan.ZERO, at(0)));
    assertEquals(Set.of(), evidence.failed(machine(1), job(1), TimeSpan.ZERO, at(1)));
    assertEquals(Set.of(machine(1)), evidence.startedWell(machine(2), job(1), at(2), at(7)));
  }

  /**
   * A job that fails after running for a while is not cleared by that run, and machines are not
   * blamed.
   */
  @Test
  void lateFailureDoesNotClearJob() {
    FaultEvidence evidence = new FaultEvidence();
    for (int i = 0; i < 3; i++) {
      evidence.startedWell(machine(i), job(1), at(20 * i), at(20 * i + 6));
      assertEquals(
          Set.of(), evidence.failed(machine(i), job(1), TimeSpan.ofSeconds(9), at(20 * i + 9)));
    }
    assertTrue(evidence.isFaulty(job(1)));
  }

  /**
   * A job declined by three shards is paused and tried one task at a time, at growing intervals,
   * and cleared once a task is done.
   */
  @Test
  void triesSuspectAtGrowingIntervalsUntilItRuns() {
    SuspectJobs suspects = new SuspectJobs();
    JobId job = job(1);
    assertEquals(
        Integer.MAX_VALUE,
        suspects.admissibleTasks(new SuspectJobs.JobStatus(job, 2, 9, 0, 5, 0), at(0)));
    int trials = 0;
    boolean onTrial = false;
    double trialSince = 0;
    for (double now = 0; now < 600; now += 0.5) {
      int admissible =
          suspects.admissibleTasks(
              new SuspectJobs.JobStatus(job, 3, 9, 0, onTrial ? 1 : 0, 0), at(now));
      assertTrue(admissible <= 1);
      if (admissible == 1 && !onTrial) {
        suspects.allocated(job);
        onTrial = true;
        trialSince = now;
        trials++;
      } else if (onTrial && now - trialSince > 2) {
        onTrial = false;
      }
    }
    assertTrue(trials >= 4 && trials <= 9, trials + " trials in ten minutes");
    assertEquals(
        Integer.MAX_VALUE,
        suspects.admissibleTasks(new SuspectJobs.JobStatus(job, 0, 9, 1, 0, 0), at(600)));
    assertEquals(null, suspects.state(job));
  }

  /** At most one trial begins a second, however many suspects there are. */
  @Test
  void spreadsTrialsOfManySuspects() {
    SuspectJobs suspects = new SuspectJobs();
    int begun = 0;
    for (double now = 0; now < 60; now += 0.25) {
      for (int i = 0; i < 50; i++) {
        if (suspects.admissibleTasks(new SuspectJobs.JobStatus(job(i), 3, 3, 0, 0, 0), at(now))
            == 1) {
          suspects.allocated(job(i));
          begun++;
        }
      }
    }
    assertTrue(begun <= 60, begun + " trials in a minute");
    assertTrue(begun >= 30, begun + " trials in a minute");
  }
}
