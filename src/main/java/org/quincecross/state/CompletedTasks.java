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
 * The records of completed tasks. A chunk of a job's tasks is stored as ranges where they are short
 * and as a bit set where the tasks are scattered, so that it always fits into a value of the store.
 */
public final class CompletedTasks {
  /** The number of tasks in a chunk; as a bit set in base 64 it takes less than 700 bytes. */
  public static final int CHUNK_SIZE = 4096;

  private static final int MAX_RANGES_LENGTH = 640;

  private CompletedTasks() {}

  /** Writes a page with the completed tasks of several jobs. */
  public static Map<String, Object> writePage(Map<JobId, TaskSet> jobs) {
    return Json.object("jobs", TaskSetCodec.write(jobs));
  }

  /**
   * The size of a page without jobs. The next constant is the size of an item without its digits
   * and tasks.
   */
  public static final int EMPTY_PAGE_BYTES = 11;

  private static final int PAGE_ITEM_BYTES = 6;

  /** The size of a job's item in a page, including a comma. */
  public static int pageItemBytes(JobId job, TaskSet done) {
    return done.isEmpty() ? 0 : job.digitCount() + done.textLength() + PAGE_ITEM_BYTES;
  }

  /** Whether a job's completed tasks are short enough for a page. */
  public static boolean fitsOnPage(TaskSet done) {
    return done.textLength() <= MAX_RANGES_LENGTH;
  }

  /** Writes the tasks of {@code all} that belong to a chunk, counted from the job's first task. */
  public static Map<String, Object> write(TaskSet all, int chunk) {
    TaskSet in = new TaskSet();
    BitSet bits = new BitSet();
    int base = chunk * CHUNK_SIZE;
    for (int i = all.nextMember(base); i >= 0 && i < base + CHUNK_SIZE; i = all.nextMember(i + 1)) {
      in.add(i);
      bits.set(i - base);
    }
    String ranges = in.toString();
    return ranges.length() <= MAX_RANGES_LENGTH
        ? Json.object("ranges", ranges)
        : Json.object("bits", Base64.getEncoder().encodeToString(bits.toByteArray()));
  }

  static TaskSet read(Object value, int chunk) throws MalformedMessageException {
    JsonFields in = JsonFields.of(value, "a record of done tasks");
    int base = chunk * CHUNK_SIZE;
    if (in.has("ranges")) {
      TaskSet set = TaskSet.parse(in.string("ranges"), base + CHUNK_SIZE);
      if (set == null) {
        throw new MalformedMessageException("bad ranges in a record of done tasks");
      }
      return set;
    }
    TaskSet set = new TaskSet();
    try {
      BitSet bits = BitSet.valueOf(Base64.getDecoder().decode(in.string("bits")));
      bits.stream().filter(i -> i < CHUNK_SIZE).forEach(i -> set.add(base + i));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("bad bits in a record of done tasks");
    }
    return set;
  }
}
