package org.quincecross.state;

import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.JobId;
import org.quincecross.model.JobPhase;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Json;

/**
 * Finds records that were written when values could be larger, and that could not be rewritten as
 * they are.
 */
public final class OversizedRecords {
  private OversizedRecords() {}

  /**
   * The oversized records of shards and of non-terminated jobs, by key with their size in bytes.
   * Pages and bundles are not included: jobs move on from pages, and bundles are only deleted.
   *
   * @param mostBytes the maximum size of a value
   */
  public static Map<String, Integer> of(ClusterStateCache cache, int mostBytes) {
    Map<String, Integer> large = new TreeMap<>();
    cache
        .shards()
        .forEach(
            (id, shard) -> {
              addIfOversized(large, StoreKeys.shard(id), shard.write(), mostBytes);
              Map<JobId, TaskSet> open = new TreeMap<>();
              cache
                  .allocation(id)
                  .tasks()
                  .forEach(
                      (job, tasks) -> {
                        JobRecord record = cache.job(job);
                        if (record != null && record.phase() != JobPhase.DONE) {
                          TaskSet left = tasks.copy();
                          left.removeAll(cache.completedTasks(job));
                          open.put(job, left);
                        }
                      });
              addIfOversized(large, StoreKeys.allocation(id), Allocation.write(open), mostBytes);
            });
    return large;
  }

  private static void addIfOversized(
      Map<String, Integer> large, String key, Map<String, Object> value, int mostBytes) {
    int bytes = Json.write(value).length;
    if (bytes > mostBytes) {
      large.put(key, bytes);
    }
  }
}
