package org.quincecross.state;

import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.Revision;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/** The tasks allocated to a shard. Only the shard's owner may start them. */
public record Allocation(Map<JobId, TaskSet> tasks, Revision version) {
  public static final Allocation EMPTY = new Allocation(Map.of(), Revision.NONE);

  static Allocation read(Object value, Revision version) throws MalformedMessageException {
    return new Allocation(
        TaskSetCodec.read(JsonFields.of(value, "an allocation").fields("tasks")), version);
  }

  /** Writes the full record of an allocation. */
  public static Map<String, Object> write(Map<JobId, TaskSet> tasks) {
    return Json.object("tasks", TaskSetCodec.write(tasks));
  }

  /** Whether a task of a job is allocated. */
  public boolean contains(JobId job, int index) {
    TaskSet set = tasks.get(job);
    return set != null && set.contains(index);
  }
}
