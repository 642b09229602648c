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

/** An entry of a queue: a task, or all tasks of a gang. */
public final class QueueEntry {
  /**
   * Priority comes before age: the paper's queues are first come, first served within a priority.
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

  /** Creates an entry that has not been passed. */
  public QueueEntry(Job job, List<TaskId> tasks, Revision accepted) {
    this.job = job;
    this.tasks = List.copyOf(tasks);
    this.accepted = accepted;
  }

  /** The job of the tasks. */
  public Job job() {
    return job;
  }

  /** The tasks that start together. */
  public List<TaskId> tasks() {
    return tasks;
  }

  /** The backfilling counter: how many entries have passed this one in a queue. */
  public int counter() {
    return counter;
  }

  void countPassed() {
    counter++;
  }

  /** Machines on which this work has failed; it is not retried there while there are others. */
  public Set<MachineId> avoidedMachines() {
    return avoidedMachines;
  }

  /** Restricts the entry to these machines. */
  public void allowOnly(Set<MachineId> machines) {
    allowedMachines = machines;
  }

  /** Whether it should not run on a machine. */
  boolean avoids(MachineId machine) {
    return (allowedMachines != null && !allowedMachines.contains(machine))
        || avoidedMachines.contains(machine);
  }

  /**
   * Marks that pulling its image would make it late: it prefers to preempt other work where its
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
