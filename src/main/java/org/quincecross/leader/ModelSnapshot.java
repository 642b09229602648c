package org.quincecross.leader;

import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.MachineId;
import org.quincecross.model.TaskId;
import org.quincecross.modelserving.Model;

/**
 * A model at one evaluation by the leader.
 *
 * @param allocation the allocation of its job, or null
 * @param running the replicas of all models that recently were reported as running
 */
record ModelSnapshot(
    String name,
    Model model,
    Job job,
    AllocationIndex.JobAllocation allocation,
    Set<TaskId> running) {
  /** Whether a replica is allocated and so may be on a machine. */
  boolean isAllocated(int replica) {
    return allocation != null && allocation.outstanding().contains(replica);
  }

  boolean runs(int replica) {
    return running.contains(job.id().task(replica));
  }

  int tasks() {
    return job.taskCount();
  }

  /** Whether a replica is allocated to a machine and does not run yet. */
  boolean startsOn(MachineId machine) {
    return model.isUp()
        && model.placements().entrySet().stream()
            .anyMatch(
                each ->
                    each.getValue().machine().equals(machine)
                        && isAllocated(each.getKey())
                        && !runs(each.getKey()));
  }
}
