package org.quincecross.scheduling;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskId;

/** What waits in a queue: a task, or all tasks of a gang. */
public final class QueueEntry {
  /**
   * Priority comes before age: the queues of the paper are first come, first served within a
   * priority.
   */
  public static final Comparator<QueueEntry> ORDER =
      Comparator.comparing((QueueEntry entry) -> entry.job.priority())
          .reversed()
          .thenComparing(entry -> entry.accepted)
          .thenComparing(entry -> entry.tasks.get(0));

  private final Job job;
  private final List<TaskId> tasks;
  private final Revision accepted;
  private final Set<MachineId> avoidedMachines = new HashSet<>();

  /** The machines that it is bound to; null for any. */
  private Set<MachineId> allowedMachines;

  private int counter;
  private boolean avoidsImagePull;
  private MonotonicTime notBefore;

  public QueueEntry(Job job, List<TaskId> tasks, Revision accepted) {
    this.job = job;
    this.tasks = List.copyOf(tasks);
    this.accepted = accepted;
  }

  public Job job() {
    return job;
  }

  public List<TaskId> tasks() {
    return tasks;
  }

  /** The backfilling counter: how many have passed this entry in a queue. */
  public int counter() {
    return counter;
  }

  void countPassed() {
    counter++;
  }

  /** Machines on which this work has failed and is not tried again while there are others. */
  public Set<MachineId> avoidedMachines() {
    return avoidedMachines;
  }

  /** Has it start on none but these machines. */
  public void allowOnly(Set<MachineId> machines) {
    allowedMachines = machines;
  }

  /** Whether a machine is no place for it. */
  boolean avoids(MachineId machine) {
    return (allowedMachines != null && !allowedMachines.contains(machine))
        || avoidedMachines.contains(machine);
  }

  /**
   * Says that a fetch of its image would make it late: it rather displaces other work where its
   * image is.
   */
  public void avoidImagePull() {
    avoidsImagePull = true;
  }

  boolean avoidsImagePull() {
    return avoidsImagePull;
  }

  /** Keeps the entry from starting before {@code time}. */
  public void delayUntil(MonotonicTime time) {
    notBefore = time;
  }

  boolean isReady(MonotonicTime now) {
    return notBefore == null || !now.isBefore(notBefore);
  }
}
