package org.quincecross.leader;

import java.util.Set;
import org.quincecross.model.Job;
import org.quincecross.model.MachineId;
import org.quincecross.model.TaskId;
import org.quincecross.modelserving.Model;

/**
 * A model as the leader looks at it once.
 *
 * @param account what is known of its job, or null
 * @param running the replicas of all models that have lately been told to run
 */
record ModelSnapshot(
    String name, Model model, Job job, AllocationIndex.Account account, Set<TaskId> running) {
  /** Whether a replica is allocated: it may be on a machine. */
  boolean isOut(int replica) {
    return account != null && account.out().contains(replica);
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
        && model.places().entrySet().stream()
            .anyMatch(
                each ->
                    each.getValue().machine().equals(machine)
                        && isOut(each.getKey())
                        && !runs(each.getKey()));
  }
}
