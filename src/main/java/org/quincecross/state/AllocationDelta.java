package org.quincecross.state;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * The difference between a shard's allocation and its last full record. From feature level 2 on,
 * most allocation changes are written this way, because a full record of hundreds of tasks changes
 * by only a few.
 *
 * @param base the version of the full record that the delta applies to; it is ignored for any other
 * @param added tasks that are not in the full record
 * @param removed tasks of the full record that the shard no longer has
 */
public record AllocationDelta(
    Revision base, Map<JobId, TaskSet> added, Map<JobId, TaskSet> removed, Revision version) {

  static AllocationDelta read(Object value, Revision version) throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "a changed allocation");
    return new AllocationDelta(
        new Revision(in.unsigned("base")),
        TaskSetCodec.read(in.fields("more")),
        TaskSetCodec.read(in.fields("fewer")),
        version);
  }

  /** Writes the delta that turns the full record {@code whole} into {@code next}. */
  public static Map<String, Object> write(Allocation whole, Map<JobId, TaskSet> next) {
    Map<JobId, TaskSet> more = new LinkedHashMap<>();
    Map<JobId, TaskSet> fewer = new LinkedHashMap<>();
    next.forEach((job, tasks) -> putDifference(more, job, tasks, whole.tasks().get(job)));
    whole.tasks().forEach((job, tasks) -> putDifference(fewer, job, tasks, next.get(job)));
    return Json.object(
        "base",
        whole.version().value(),
        "more",
        TaskSetCodec.write(more),
        "fewer",
        TaskSetCodec.write(fewer));
  }

  /** Whether every build can read a delta that {@link #write} has written. */
  public static boolean isReadableByAll(Map<String, Object> delta) {
    return Stream.of("more", "fewer")
        .allMatch(field -> TaskSetCodec.isReadableByAll(delta.get(field)));
  }

  private static void putDifference(
      Map<JobId, TaskSet> into, JobId job, TaskSet tasks, TaskSet without) {
    TaskSet left = tasks.copy();
    if (without != null) {
      left.removeAll(without);
    }
    if (!left.isEmpty()) {
      into.put(job, left);
    }
  }

  /** Applies this delta; returns {@code whole} unchanged if the delta has another base. */
  Allocation applyTo(Allocation whole) {
    if (!base.equals(whole.version())) {
      return whole;
    }
    Map<JobId, TaskSet> tasks = new LinkedHashMap<>(whole.tasks());
    removed.forEach(
        (job, gone) ->
            tasks.computeIfPresent(
                job,
                (id, set) -> {
                  TaskSet left = set.copy();
                  left.removeAll(gone);
                  return left.isEmpty() ? null : left;
                }));
    added.forEach(
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
