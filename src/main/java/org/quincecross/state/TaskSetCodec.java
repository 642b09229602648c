package org.quincecross.state;

import java.util.LinkedHashMap;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.JobCodec;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * Reads and writes the tasks of several jobs. The form is compact, because a value's size limits
 * what one change can write.
 */
public final class TaskSetCodec {
  private TaskSetCodec() {}

  static Map<JobId, TaskSet> read(JsonFields in) throws MalformedMessageException {
    Map<JobId, TaskSet> sets = new LinkedHashMap<>();
    for (String digits : in.fieldNames()) {
      JobId job = JobId.parseDigits(digits);
      TaskSet set = TaskSet.parse(in.string(digits), JobCodec.MAX_TASKS);
      if (job == null || set == null) {
        throw new MalformedMessageException("bad tasks in a record");
      }
      sets.put(job, set);
    }
    return sets;
  }

  static Map<String, Object> write(Map<JobId, TaskSet> sets) {
    Map<String, Object> out = new LinkedHashMap<>();
    sets.forEach(
        (job, set) -> {
          if (!set.isEmpty()) {
            out.put(job.digits(), set.toString());
          }
        });
    return out;
  }
}
