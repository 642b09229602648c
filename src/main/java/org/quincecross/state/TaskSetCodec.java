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
      // As long as a value may be: a text that a writer stores and a reader refuses would keep all
      // controllers out (docs/incidents/unreadable-allocation.md).
      TaskSet set = TaskSet.parse(in.stringOfAnyLength(digits), JobCodec.MAX_TASKS);
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

  /** Whether every build can read tasks that {@link #write} has written. */
  static boolean isReadableByAll(Object written) {
    return written instanceof Map<?, ?> texts
        && texts.values().stream()
            .allMatch(text -> text.toString().length() <= TaskSet.MAX_STORED_TEXT_LENGTH);
  }
}
