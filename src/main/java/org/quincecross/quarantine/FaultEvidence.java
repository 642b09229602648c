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
 * Tells sick machines from jobs with a mistake, by what has failed and what has run where in a
 * block.
 *
 * <p>Each failure names two suspects, a machine and a job. A job that has run anywhere is cleared,
 * and its failures speak against the machines; one that has failed on two machines and run on none
 * speaks against no machine: tens of such jobs at once must not take machines out that are sound
 * (docs/incidents/inc-6ced.md). When a job is cleared later, its earlier failures count from then
 * on.
 */
public final class FaultEvidence {
  /**
   * A task that has run for so long has started well: jobs with a mistake and sick machines fail as
   * soon as the image is there.
   */
  public static final TimeSpan STARTED_WELL = TimeSpan.ofSeconds(5);

  /** A job that has failed on so many machines and run on none is bad. */
  static final int BAD_AFTER = 3;

  /** So many failures of jobs that run elsewhere make a machine sick. */
  static final int SICK_AT = 2;

  /** With failures of jobs of which nothing else is known, so many. */
  static final int SICK_UNKNOWN_AT = 3;

  /**
   * Nothing else is known of a job only when there was time to try it elsewhere, and for what else
   * began on the machine to start well: several jobs with a mistake may come to one machine first.
   */
  static final TimeSpan KNOWN_AFTER = STARTED_WELL.plus(TimeSpan.ofSeconds(2));

  /**
   * A machine that has failed one job in so many rounds, and run nothing since: where nothing else
   * comes to it, as where a gang needs all machines of a block, no other job will ever tell.
   */
  static final int ALWAYS_AT = 5;

  /**
   * Failures of a job on a machine closer together are one round: the tasks of an array come
   * together.
   */
  static final TimeSpan ROUND = TimeSpan.ofSeconds(1);

  static final TimeSpan DECLINED = TimeSpan.ofSeconds(30);
  static final TimeSpan LONGEST_DECLINED = TimeSpan.ofSeconds(600);

  /** How often a job has failed on a machine since anything ran there. */
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
      if (roundAt == null || now.since(roundAt).isLongerThan(ROUND)) {
        rounds++;
        roundAt = now;
      }
    }
  }

  /** A job that is not wanted before {@code until}; {@code times}: how often that has been said. */
  private record Declined(MonotonicTime until, int times) {}

  private final Map<MachineId, Map<JobId, Failures>> byMachine = new HashMap<>();
  private final Map<JobId, Set<MachineId>> failedOn = new HashMap<>();
  private final Set<JobId> completed = new HashSet<>();
  private final Set<JobId> started = new HashSet<>();
  private final Set<MachineId> sick = new HashSet<>();
  private final Map<JobId, Declined> declined = new HashMap<>();

  /**
   * A task of a job has failed on a machine.
   *
   * @param ranFor how long it had run; zero where it failed as it started
   * @return the machines that are to be called sick now, and were not before
   */
  public Set<MachineId> failed(MachineId machine, JobId job, TimeSpan ranFor, MonotonicTime now) {
    if (ranFor.isLongerThan(STARTED_WELL)) {
      started.remove(job); // to have started well says nothing of a job that fails later
    }
    failedOn.computeIfAbsent(job, id -> new HashSet<>()).add(machine);
    byMachine
        .computeIfAbsent(machine, id -> new HashMap<>())
        .computeIfAbsent(job, id -> new Failures())
        .add(now);
    return newlySick(Set.of(machine), now);
  }

  /**
   * A task of a job has completed on a machine: nothing that failed there before speaks against it
   * any more.
   */
  public Set<MachineId> completed(MachineId machine, JobId job, MonotonicTime now) {
    byMachine.remove(machine);
    return completed.add(job) ? newlySick(failedOn.getOrDefault(job, Set.of()), now) : Set.of();
  }

  /**
   * A task of a job has run on a machine since then, for longer than {@link #STARTED_WELL}, and
   * goes on: what failed there before says nothing of the machine any more. What failed later does:
   * a machine that has become sick lets go on what runs there.
   */
  public Set<MachineId> startedWell(
      MachineId machine, JobId job, MonotonicTime since, MonotonicTime now) {
    Map<JobId, Failures> there = byMachine.get(machine);
    if (there != null) {
      there.values().removeIf(failures -> failures.lastAt.isBefore(since));
    }
    return started.add(job) ? newlySick(failedOn.getOrDefault(job, Set.of()), now) : Set.of();
  }

  private Set<MachineId> newlySick(Set<MachineId> machines, MonotonicTime now) {
    Set<MachineId> found = new TreeSet<>();
    for (MachineId machine : machines) {
      if (!sick.contains(machine) && speaksAgainst(machine, now)) {
        found.add(machine);
      }
    }
    sick.addAll(found);
    return found;
  }

  private boolean speaksAgainst(MachineId machine, MonotonicTime now) {
    int proven = 0;
    int unknown = 0;
    boolean always = false;
    for (Map.Entry<JobId, Failures> failures :
        byMachine.getOrDefault(machine, Map.of()).entrySet()) {
      if (runs(failures.getKey())) {
        proven += failures.getValue().times;
      } else if (failedOn.get(failures.getKey()).size() == 1) {
        unknown += now.since(failures.getValue().firstAt).isLongerThan(KNOWN_AFTER) ? 1 : 0;
        always |= failures.getValue().rounds >= ALWAYS_AT;
      }
    }
    return proven >= SICK_AT || proven + unknown >= SICK_UNKNOWN_AT || always;
  }

  private boolean runs(JobId job) {
    return completed.contains(job) || started.contains(job);
  }

  /** Whether a job has failed and run nowhere: one task of it at a time may try again. */
  public boolean isDoubtful(JobId job) {
    return failedOn.containsKey(job) && !runs(job);
  }

  /** Whether a job has failed on so many machines, and run on none, that the fault is its own. */
  public boolean isBad(JobId job) {
    return isDoubtful(job) && failedOn.get(job).size() >= BAD_AFTER;
  }

  /** The machines on which a job has failed. */
  public Set<MachineId> failedOn(JobId job) {
    return failedOn.getOrDefault(job, Set.of());
  }

  /** A job is not wanted here for a while: longer each time that it is said. */
  public void decline(JobId job, MonotonicTime now) {
    int times = declined.containsKey(job) ? declined.get(job).times() + 1 : 1;
    TimeSpan pause = DECLINED.times(Math.pow(2, Math.min(times, 10) - 1));
    declined.put(
        job,
        new Declined(
            now.plus(pause.isLongerThan(LONGEST_DECLINED) ? LONGEST_DECLINED : pause), times));
  }

  public boolean isDeclined(JobId job, MonotonicTime now) {
    Declined since = declined.get(job);
    return since != null && now.isBefore(since.until());
  }

  /** The jobs that are not wanted now. */
  public Set<JobId> declined(MonotonicTime now) {
    if (declined.isEmpty()) {
      return Set.of();
    }
    Set<JobId> jobs = new HashSet<>(declined.keySet());
    jobs.removeIf(job -> !isDeclined(job, now));
    return jobs;
  }

  /** Forgets jobs that are over. */
  public void forget(JobId job) {
    failedOn.remove(job);
    completed.remove(job);
    started.remove(job);
    declined.remove(job);
    byMachine.values().forEach(there -> there.remove(job));
  }
}
