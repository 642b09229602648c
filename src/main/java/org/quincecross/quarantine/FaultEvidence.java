package org.quincecross.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/**
 * Distinguishes faulty machines from faulty jobs by what has failed and what has run where in a
 * shard.
 *
 * <p>Each failure implicates a machine and a job. A job that has run on any machine is cleared, and
 * its failures count against the machines. A job that has failed on two machines and run on none
 * counts against no machine: many such jobs at once must not quarantine machines that are sound
 * (docs/incidents/inc-6ced.md). When a job is cleared later, its earlier failures count from then
 * on.
 */
public final class FaultEvidence {
  /**
   * A task that has run for this long has started well: faulty jobs and faulty machines fail as
   * soon as the image is there.
   */
  public static final TimeSpan STARTED_WELL = TimeSpan.ofSeconds(5);

  /** A job that has failed on this many machines and run on none is faulty. */
  static final int JOB_FAULTY_AT = 3;

  /** This many failures of jobs that run elsewhere make a machine faulty. */
  static final int MACHINE_FAULTY_AT = 2;

  /** The same, with failures of jobs that have been tried nowhere else counted too. */
  static final int MACHINE_FAULTY_WITH_UNTRIED_AT = 3;

  /**
   * Time allowed before a failure of a job that has been tried nowhere else counts against the
   * machine: long enough to try the job elsewhere, and for other tasks on the machine to start
   * well. Several faulty jobs may reach one machine first.
   */
  static final TimeSpan UNTRIED_JOB_DELAY = STARTED_WELL.plus(TimeSpan.ofSeconds(2));

  /**
   * Rounds of failures of one job, without anything running in between, that make a machine faulty.
   * Where no other job reaches the machine, as where a gang needs all machines of a shard, there is
   * no other evidence.
   */
  static final int MACHINE_FAULTY_ROUNDS = 5;

  /**
   * Failures of a job on a machine closer together than this are one round: the tasks of an array
   * start together.
   */
  static final TimeSpan ROUND_LENGTH = TimeSpan.ofSeconds(1);

  static final TimeSpan FIRST_DECLINE = TimeSpan.ofSeconds(30);
  static final TimeSpan MAX_DECLINE_TIME = TimeSpan.ofSeconds(600);

  /** Failures of a job on a machine since anything last ran there. */
  private static final class Failures {
    private int times;
    private int rounds;
    private MonotonicTime firstAt;
    private MonotonicTime roundAt;
    private MonotonicTime lastAt;

    void add(MonotonicTime now) {
      times++;
      lastAt = now;
      firstAt = firstAt == null ? now : firstAt;
      if (roundAt == null || now.since(roundAt).isLongerThan(ROUND_LENGTH)) {
        rounds++;
        roundAt = now;
      }
    }
  }

  /**
   * A job that the shard declines until {@code until}; {@code times}: how often it has been
   * declined.
   */
  private record Declined(MonotonicTime until, int times) {}

  private final Map<MachineId, Map<JobId, Failures>> byMachine = new HashMap<>();
  private final Map<JobId, Set<MachineId>> failedOn = new HashMap<>();
  private final Set<JobId> completed = new HashSet<>();
  private final Set<JobId> started = new HashSet<>();
  private final Set<MachineId> faulty = new HashSet<>();
  private final Map<JobId, Declined> declined = new HashMap<>();

  /**
   * Records that a task of a job has failed on a machine.
   *
   * @param ranFor how long it had run; zero if it failed at start
   * @return the machines that became faulty by this
   */
  public Set<MachineId> failed(MachineId machine, JobId job, TimeSpan ranFor, MonotonicTime now) {
    if (ranFor.isLongerThan(STARTED_WELL)) {
      started.remove(job); // a good start does not clear a job that fails later
    }
    failedOn.computeIfAbsent(job, id -> new HashSet<>()).add(machine);
    byMachine
        .computeIfAbsent(machine, id -> new HashMap<>())
        .computeIfAbsent(job, id -> new Failures())
        .add(now);
    return newlyFaulty(Set.of(machine), now);
  }

  /** Records that a task of a job has completed on a machine; clears earlier failures there. */
  public Set<MachineId> completed(MachineId machine, JobId job, MonotonicTime now) {
    byMachine.remove(machine);
    return completed.add(job) ? newlyFaulty(failedOn.getOrDefault(job, Set.of()), now) : Set.of();
  }

  /**
   * Records that a task of a job has been running on a machine since {@code since}, longer than
   * {@link #STARTED_WELL}. Failures there before that no longer count against the machine; later
   * ones do, because tasks that already run continue on a machine that becomes faulty.
   */
  public Set<MachineId> startedWell(
      MachineId machine, JobId job, MonotonicTime since, MonotonicTime now) {
    Map<JobId, Failures> onMachine = byMachine.get(machine);
    if (onMachine != null) {
      onMachine.values().removeIf(failures -> failures.lastAt.isBefore(since));
    }
    return started.add(job) ? newlyFaulty(failedOn.getOrDefault(job, Set.of()), now) : Set.of();
  }

  private Set<MachineId> newlyFaulty(Set<MachineId> machines, MonotonicTime now) {
    Set<MachineId> found = new TreeSet<>();
    for (MachineId machine : machines) {
      if (!faulty.contains(machine) && isImplicated(machine, now)) {
        found.add(machine);
      }
    }
    faulty.addAll(found);
    return found;
  }

  private boolean isImplicated(MachineId machine, MonotonicTime now) {
    int byClearedJobs = 0;
    int byUntriedJobs = 0;
    boolean repeatedly = false;
    for (Map.Entry<JobId, Failures> failures :
        byMachine.getOrDefault(machine, Map.of()).entrySet()) {
      if (hasRun(failures.getKey())) {
        byClearedJobs += failures.getValue().times;
      } else if (failedOn.get(failures.getKey()).size() == 1) {
        byUntriedJobs +=
            now.since(failures.getValue().firstAt).isLongerThan(UNTRIED_JOB_DELAY) ? 1 : 0;
        repeatedly |= failures.getValue().rounds >= MACHINE_FAULTY_ROUNDS;
      }
    }
    return byClearedJobs >= MACHINE_FAULTY_AT
        || byClearedJobs + byUntriedJobs >= MACHINE_FAULTY_WITH_UNTRIED_AT
        || repeatedly;
  }

  private boolean hasRun(JobId job) {
    return completed.contains(job) || started.contains(job);
  }

  /** Whether a job has failed and run nowhere: only one of its tasks at a time may be tried. */
  public boolean isSuspect(JobId job) {
    return failedOn.containsKey(job) && !hasRun(job);
  }

  /**
   * Whether a job has failed on so many machines, and run on none, that the job itself is faulty.
   */
  public boolean isFaulty(JobId job) {
    return isSuspect(job) && failedOn.get(job).size() >= JOB_FAULTY_AT;
  }

  /** Returns the machines on which a job has failed. */
  public Set<MachineId> failedOn(JobId job) {
    return failedOn.getOrDefault(job, Set.of());
  }

  /** Declines a job for a while, longer each time. */
  public void decline(JobId job, MonotonicTime now) {
    int times = declined.containsKey(job) ? declined.get(job).times() + 1 : 1;
    TimeSpan pause = FIRST_DECLINE.times(Math.pow(2, Math.min(times, 10) - 1));
    declined.put(
        job,
        new Declined(
            now.plus(pause.isLongerThan(MAX_DECLINE_TIME) ? MAX_DECLINE_TIME : pause), times));
  }

  public boolean isDeclined(JobId job, MonotonicTime now) {
    Declined since = declined.get(job);
    return since != null && now.isBefore(since.until());
  }

  /** Returns the jobs declined now. */
  public Set<JobId> declined(MonotonicTime now) {
    if (declined.isEmpty()) {
      return Set.of();
    }
    Set<JobId> jobs = new HashSet<>(declined.keySet());
    jobs.removeIf(job -> !isDeclined(job, now));
    return jobs;
  }

  /** Forgets a job that has ended. */
  public void forget(JobId job) {
    failedOn.remove(job);
    completed.remove(job);
    started.remove(job);
    declined.remove(job);
    byMachine.values().forEach(onMachine -> onMachine.remove(job));
  }
}
