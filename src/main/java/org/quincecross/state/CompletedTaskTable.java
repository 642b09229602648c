package org.quincecross.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.quincecross.model.JobId;
import org.quincecross.model.TaskSet;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;

/**
 * The completed tasks of unfinished jobs, as the cached records have them: on pages shared by
 * several jobs, or in chunks of a job's own.
 */
final class CompletedTaskTable {
  private static final int MAX_CHUNK_DIGITS = 5;

  private final Map<JobId, Map<Integer, TaskSet>> chunksByJob = new HashMap<>();
  private final Map<Integer, Map<JobId, TaskSet>> pages = new TreeMap<>();
  private final Map<JobId, TaskSet> completedOnPages = new HashMap<>();

  boolean isCompleted(JobId job, int index) {
    TaskSet onPage = completedOnPages.get(job);
    if (onPage != null && onPage.contains(index)) {
      return true;
    }
    Map<Integer, TaskSet> chunks = chunksByJob.get(job);
    TaskSet chunk = chunks == null ? null : chunks.get(index / CompletedTasks.CHUNK_SIZE);
    return chunk != null && chunk.contains(index);
  }

  /** A copy of the set of a job's completed tasks. */
  TaskSet completedTasks(JobId job) {
    TaskSet onPage = completedOnPages.get(job);
    TaskSet all = onPage == null ? new TaskSet() : onPage.copy();
    chunksByJob.getOrDefault(job, Map.of()).values().forEach(all::addAll);
    return all;
  }

  int completedCount(JobId job) {
    if (chunksByJob.containsKey(job)) {
      return completedTasks(job).size();
    }
    TaskSet onPage = completedOnPages.get(job);
    return onPage == null ? 0 : onPage.size();
  }

  /** The pages with their stored content. */
  Map<Integer, Map<JobId, TaskSet>> pages() {
    return pages;
  }

  /** Whether a job has chunks of its own. */
  boolean hasChunks(JobId job) {
    return chunksByJob.containsKey(job);
  }

  /** Forgets what the pages say of a job: nobody asks for the individual tasks of a done job. */
  void jobDone(JobId job) {
    completedOnPages.remove(job);
  }

  /**
   * Applies a chunk.
   *
   * @param name the job and the number of the chunk, as the key has them
   * @param value null if the record was deleted
   * @param touched notified of the job
   */
  void putChunk(String name, Object value, Consumer<JobId> touched)
      throws MalformedMessageException {
    int slash = name.indexOf('/');
    JobId job = slash < 0 ? null : JobId.parse(name.substring(0, slash));
    String digits = name.substring(slash + 1);
    if (job == null || digits.length() > MAX_CHUNK_DIGITS || !digits.matches("[0-9]+")) {
      throw new MalformedMessageException("malformed key of a completed-task record");
    }
    int number = Integer.parseInt(digits);
    touched.accept(job);
    Map<Integer, TaskSet> chunks = chunksByJob.computeIfAbsent(job, id -> new LinkedHashMap<>());
    if (value == null) {
      chunks.remove(number);
      if (chunks.isEmpty()) {
        chunksByJob.remove(job);
      }
    } else {
      chunks.put(number, CompletedTasks.read(value, number));
    }
  }

  /**
   * Applies a page. Completed tasks stay completed, even after their job has left the page, which
   * happens only once it has ended.
   *
   * @param name the number of the page, as the key has it
   * @param jobs tells which jobs are done
   * @param touched notified of each job with newly completed tasks
   */
  void putPage(String name, Object value, JobIndex jobs, Consumer<JobId> touched)
      throws MalformedMessageException {
    if (!name.matches("[0-9]{1,6}") || value == null) {
      throw new MalformedMessageException("malformed key of a completed-task record");
    }
    Map<JobId, TaskSet> sets = TaskSetCodec.read(JsonFields.of(value, "a page").fields("jobs"));
    pages.put(Integer.parseInt(name), sets);
    sets.forEach(
        (job, set) -> {
          if (jobs.isDone(job)) {
            return;
          }
          TaskSet known = completedOnPages.computeIfAbsent(job, id -> new TaskSet());
          int before = known.size();
          known.addAll(set);
          if (known.size() != before) {
            touched.accept(job);
          }
        });
  }
}
