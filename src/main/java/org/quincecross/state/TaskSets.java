package org.quincecross.state;

import java.util.LinkedHashMap;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskSet;
import org.quincecross.wire.BadMessage;
import org.quincecross.wire.Fields;
import org.quincecross.wire.JobCodec;

/** Tasks of several jobs in a record: short, for what fits one value is written in one change. */
public final class TaskSets {
  private TaskSets() {}

  static Map<JobId, TaskSet> read(Fields in) throws BadMessage {
    Map<JobId, TaskSet> sets = new LinkedHashMap<>();
    for (String digits : in.names()) {
      JobId job = JobId.parseDigits(digits);
      TaskSet set = TaskSet.parse(in.text(digits), JobCodec.MOST_TASKS);
      if (job == null || set == null) {
        throw new BadMessage("bad tasks in a record");
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
