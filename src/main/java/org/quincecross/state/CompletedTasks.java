package org.quincecross.state;

import java.util.Base64;
import java.util.BitSet;
import java.util.Map;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * The record of done tasks: of a chunk of a job's tasks, as ranges where these are short and as
 * bits where the tasks are scattered, so that a chunk fits a value of the state service whichever
 * tasks are done.
 */
public final class CompletedTasks {
  /** Tasks of a chunk; as bits in base 64 they take less than 700 bytes. */
  public static final int CHUNK = 4096;

  private static final int MOST_RANGES = 640;

  private CompletedTasks() {}

  /** What a page of several jobs' done tasks says. */
  public static Map<String, Object> writePage(Map<JobId, TaskSet> jobs) {
    return Json.object("jobs", TaskSetCodec.write(jobs));
  }

  /**
   * What a page without jobs takes, and what a job's item takes beside its digits and its tasks.
   */
  public static final int EMPTY_PAGE_BYTES = 11;

  private static final int ITEM_BYTES = 6;

  /** What a job's item takes in a page, a byte for the comma included. */
  public static int pageBytes(JobId job, TaskSet done) {
    return done.isEmpty() ? 0 : job.digitCount() + done.textLength() + ITEM_BYTES;
  }

  /** Whether a job's done tasks are short enough for a page. */
  public static boolean fitsPage(TaskSet done) {
    return done.textLength() <= MOST_RANGES;
  }

  /** The tasks of {@code all} that lie in a chunk, counted from the job's first task. */
  public static Map<String, Object> write(TaskSet all, int chunk) {
    TaskSet in = new TaskSet();
    BitSet bits = new BitSet();
    int base = chunk * CHUNK;
    for (int i = all.nextMember(base); i >= 0 && i < base + CHUNK; i = all.nextMember(i + 1)) {
      in.add(i);
      bits.set(i - base);
    }
    String ranges = in.toString();
    return ranges.length() <= MOST_RANGES
        ? Json.object("ranges", ranges)
        : Json.object("bits", Base64.getEncoder().encodeToString(bits.toByteArray()));
  }

  static TaskSet read(Object value, int chunk) throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "a record of done tasks");
    int base = chunk * CHUNK;
    if (in.has("ranges")) {
      TaskSet set = TaskSet.parse(in.string("ranges"), base + CHUNK);
      if (set == null) {
        throw new MalformedMessageException("bad ranges in a record of done tasks");
      }
      return set;
    }
    TaskSet set = new TaskSet();
    try {
      BitSet bits = BitSet.valueOf(Base64.getDecoder().decode(in.string("bits")));
      bits.stream().filter(i -> i < CHUNK).forEach(i -> set.add(base + i));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("bad bits in a record of done tasks");
    }
    return set;
  }
}
