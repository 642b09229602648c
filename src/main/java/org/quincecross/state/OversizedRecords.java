package org.quincecross.state;

import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Json;

/** Finds what was written when values could be larger, and could not be written anew as it is. */
public final class OversizedRecords {
  private OversizedRecords() {}

  /**
   * By key, in bytes, the records of blocks and of their tasks that are larger than a value may be;
   * of the tasks those that are not over. Pages and bundles are not among them: jobs move on from a
   * page, and a bundle is only ever deleted.
   *
   * @param mostBytes of a value
   */
  public static Map<String, Integer> of(ClusterStateCache ledger, int mostBytes) {
    Map<String, Integer> large = new TreeMap<>();
    ledger
        .blocks()
        .forEach(
            (id, block) -> {
              note(large, StoreKeys.block(id), block.write(), mostBytes);
              Map<JobId, TaskSet> open = new TreeMap<>();
              ledger
                  .allocation(id)
                  .tasks()
                  .forEach(
                      (job, tasks) -> {
                        JobRecord record = ledger.job(job);
                        if (record != null && record.phase() != JobPhase.DONE) {
                          TaskSet left = tasks.copy();
                          left.removeAll(ledger.doneTasks(job));
                          open.put(job, left);
                        }
                      });
              note(large, StoreKeys.allocation(id), Allocation.write(open), mostBytes);
            });
    return large;
  }

  private static void note(
      Map<String, Integer> large, String key, Map<String, Object> value, int mostBytes) {
    int bytes = Json.write(value).length;
    if (bytes > mostBytes) {
      large.put(key, bytes);
    }
  }
}
