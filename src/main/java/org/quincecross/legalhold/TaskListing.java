package org.quincecross.legalhold;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskSet;

/** Formats tasks by job as text for the audit trail, in parts that fit its entries. */
public final class TaskListing {
  /** Upper limit of the characters of a part. */
  static final int MAX_PART_LENGTH = 700;

  private TaskListing() {}

  /**
   * Returns parts such as {@code job-1/0-5,7 job-2/0}, which together name all the tasks; none for
   * no tasks.
   */
  public static List<String> parts(Map<JobId, TaskSet> tasks) {
    List<String> parts = new ArrayList<>();
    StringBuilder part = new StringBuilder();
    new TreeMap<>(tasks)
        .forEach(
            (job, set) -> {
              TaskSet rest = set.copy();
              while (!rest.isEmpty()) {
                String name = (part.length() > 0 ? " " : "") + job + "/";
                if (part.length() + name.length() + rest.textLength() <= MAX_PART_LENGTH) {
                  part.append(name).append(rest);
                  return;
                }
                if (part.length() > 0) {
                  parts.add(part.toString());
                  part.setLength(0);
                  continue;
                }
                TaskSet first = new TaskSet();
                while (first.textLength() < MAX_PART_LENGTH - 60) {
                  int next = rest.nextMember(0);
                  first.add(next);
                  rest.remove(next);
                }
                parts.add(job + "/" + first);
              }
            });
    if (part.length() > 0) {
      parts.add(part.toString());
    }
    return parts;
  }

  /** Returns a digest of the tasks; equal for the same tasks. */
  public static long digest(Map<JobId, TaskSet> tasks) {
    long digest = 1;
    for (Map.Entry<JobId, TaskSet> each : new TreeMap<>(tasks).entrySet()) {
      digest = digest * 1_000_003 + each.getKey().hashCode() * 31L + each.getValue().hashCode();
    }
    return tasks.isEmpty() ? 0 : digest;
  }
}
