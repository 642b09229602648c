package org.quincecross.state;

import java.util.LinkedHashMap;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * How a block's tasks differ from its last whole record: from level 2 on this is what is written
 * most of the time, for a whole record of hundreds of tasks changes by a few.
 *
 * @param base the version of the whole record that it changes; of any other it says nothing
 * @param more tasks that are not in the whole record
 * @param fewer tasks of the whole record that the block has no more
 */
public record AllocationDelta(
    Revision base, Map<JobId, TaskSet> more, Map<JobId, TaskSet> fewer, Revision version) {

  static AllocationDelta read(Object value, Revision version) throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "a changed allocation");
    return new AllocationDelta(
        new Revision(in.unsigned("base")),
        TaskSetCodec.read(in.fields("more")),
        TaskSetCodec.read(in.fields("fewer")),
        version);
  }

  /**
   * What has to be written so that {@code next} is read, where {@code whole} is the last whole
   * record.
   */
  public static Map<String, Object> write(Allocation whole, Map<JobId, TaskSet> next) {
    Map<JobId, TaskSet> more = new LinkedHashMap<>();
    Map<JobId, TaskSet> fewer = new LinkedHashMap<>();
    next.forEach((job, tasks) -> put(more, job, tasks, whole.tasks().get(job)));
    whole.tasks().forEach((job, tasks) -> put(fewer, job, tasks, next.get(job)));
    return Json.object(
        "base",
        whole.version().value(),
        "more",
        TaskSetCodec.write(more),
        "fewer",
        TaskSetCodec.write(fewer));
  }

  private static void put(Map<JobId, TaskSet> into, JobId job, TaskSet tasks, TaskSet without) {
    TaskSet left = tasks.copy();
    if (without != null) {
      left.removeAll(without);
    }
    if (!left.isEmpty()) {
      into.put(job, left);
    }
  }

  /**
   * The allocation as it is with this change; {@code whole} as it is where the change is not of it.
   */
  Allocation over(Allocation whole) {
    if (!base.equals(whole.version())) {
      return whole;
    }
    Map<JobId, TaskSet> tasks = new LinkedHashMap<>(whole.tasks());
    fewer.forEach(
        (job, gone) ->
            tasks.computeIfPresent(
                job,
                (id, set) -> {
                  TaskSet left = set.copy();
                  left.removeAll(gone);
                  return left.isEmpty() ? null : left;
                }));
    more.forEach(
        (job, added) ->
            tasks.merge(
                job,
                added,
                (set, set2) -> {
                  TaskSet all = set.copy();
                  all.addAll(set2);
                  return all;
                }));
    return new Allocation(tasks, version.isAfter(whole.version()) ? version : whole.version());
  }
}
