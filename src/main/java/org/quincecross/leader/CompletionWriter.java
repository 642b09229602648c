package org.quincecross.leader;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.JobPhase;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TaskId;
import org.quincecross.model.TaskSet;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.peer.PeerViews;
import org.quincecross.state.ClusterStateCache;
import org.quincecross.state.CompletedTasks;
import org.quincecross.state.JobRecord;
import org.quincecross.state.StoreKeys;

/**
 * Makes task completions durable, in batches that need few writes.
 *
 * <p>A completion waits at most {@link #BATCHING_DELAY} for others of its job, then for room in a
 * transaction. Only new completions are written, so a transaction that is too small leaves less for
 * the next. A completion that a lost controller had reported is reported again by the next owner,
 * because the machine keeps the result; if the machine is lost as well, the task is repeated under
 * its allocation.
 */
final class CompletionWriter {
  private static final TimeSpan BATCHING_DELAY = TimeSpan.ofSeconds(1.5);

  private final Timers timers;
  private final ClusterStateCache cache;
  private final PeerViews views;
  private final AllocationIndex allocationIndex;
  private final LongSupplier clockMs;
  private final Map<JobId, MonotonicTime> since = new HashMap<>();

  /**
   * Creates a writer.
   *
   * @param clockMs the time of day in milliseconds
   */
  CompletionWriter(
      Timers timers,
      ClusterStateCache cache,
      PeerViews views,
      AllocationIndex allocationIndex,
      LongSupplier clockMs) {
    this.timers = timers;
    this.cache = cache;
    this.views = views;
    this.allocationIndex = allocationIndex;
    this.clockMs = clockMs;
  }

  /**
   * Adds completions to a transaction; a job becomes done in the transaction that completes its
   * last task.
   */
  void plan(TransactionBuilder transaction, Map<JobId, TaskSet> fresh) {
    MonotonicTime now = timers.now();
    since.keySet().retainAll(fresh.keySet());
    boolean due = false;
    Map<JobId, TaskSet> unfinished = new LinkedHashMap<>();
    for (Map.Entry<JobId, TaskSet> entry : fresh.entrySet()) {
      JobId id = entry.getKey();
      AllocationIndex.JobAllocation account = allocationIndex.get(id);
      TaskSet all = account.completed().copy();
      all.addAll(entry.getValue());
      if (all.size() < account.job().taskCount()) {
        // The machine keeps the result until it is durable, so the tasks of a job can wait for each
        // other.
        due |= now.since(since.computeIfAbsent(id, j -> now)).isLongerThan(BATCHING_DELAY);
        unfinished.put(id, all);
      } else {
        JobRecord record = cache.job(id);
        transaction.put(
            StoreKeys.job(id),
            cache.dependencyGraph().hasDependents(id)
                ? record.writeDone(clockMs.getAsLong())
                : record.writeDone());
      }
    }
    if (due) {
      planPages(transaction, unfinished, fresh);
    }
  }

  /**
   * Writes the completed tasks of unfinished jobs, mostly on shared pages, so that one write serves
   * many jobs.
   */
  private void planPages(
      TransactionBuilder transaction, Map<JobId, TaskSet> unfinished, Map<JobId, TaskSet> fresh) {
    Map<Integer, Page> pages = new TreeMap<>();
    Map<JobId, Integer> home = new HashMap<>();
    cache
        .completedPages()
        .forEach(
            (number, sets) -> {
              Page page = new Page();
              sets.forEach(
                  (job, set) -> {
                    if (allocationIndex.get(job) != null) {
                      page.put(job, set);
                      home.put(job, number);
                    }
                  });
              pages.put(number, page);
            });
    int mostBytes = transaction.maxValueBytes();
    Set<Integer> changed = new TreeSet<>();
    unfinished.forEach(
        (id, all) -> {
          if (!CompletedTasks.fitsOnPage(all) || cache.hasCompletedChunks(id)) {
            planChunks(transaction, id, all, fresh.get(id));
            return;
          }
          // A job stays on its page while there is room: moving it takes writes to two pages.
          Integer at = home.get(id);
          int page = at != null && pages.get(at).bytesWith(id, all) <= mostBytes ? at : 0;
          while (pages.containsKey(page) && pages.get(page).bytesWith(id, all) > mostBytes) {
            page++;
          }
          pages.computeIfAbsent(page, p -> new Page()).put(id, all);
          changed.add(page);
        });
    for (int page : changed) {
      transaction.put(
          StoreKeys.completedPage(page), CompletedTasks.writePage(pages.get(page).jobs));
    }
  }

  /**
   * A page as it is about to be written, with its size, which is needed for every job with new
   * completions.
   */
  private static final class Page {
    private final Map<JobId, TaskSet> jobs = new LinkedHashMap<>();
    private int bytes = CompletedTasks.EMPTY_PAGE_BYTES;

    int bytesWith(JobId job, TaskSet set) {
      TaskSet before = jobs.get(job);
      return bytes
          + CompletedTasks.pageItemBytes(job, set)
          - (before == null ? 0 : CompletedTasks.pageItemBytes(job, before));
    }

    void put(JobId job, TaskSet set) {
      bytes = bytesWith(job, set);
      jobs.put(job, set);
    }
  }

  /** Writes the completed tasks of a job that is too large for a page. */
  private static void planChunks(
      TransactionBuilder transaction, JobId id, TaskSet all, TaskSet fresh) {
    // Only chunks with new completions: rewriting the others would fill the transaction before the
    // last ones are reached (docs/incidents/unanswered-start.md, "jobs larger than a transaction's
    // chunks").
    Set<Integer> chunks = new TreeSet<>();
    for (int i = fresh.nextMember(0);
        i >= 0;
        i = fresh.nextMember((i / CompletedTasks.CHUNK_SIZE + 1) * CompletedTasks.CHUNK_SIZE)) {
      chunks.add(i / CompletedTasks.CHUNK_SIZE);
    }
    for (int chunk : chunks) {
      transaction.put(StoreKeys.completedChunk(id, chunk), CompletedTasks.write(all, chunk));
    }
  }

  /** The completions that owners report and that are not durable yet. */
  Map<JobId, TaskSet> unrecordedCompletions() {
    Map<JobId, TaskSet> fresh = new LinkedHashMap<>();
    for (PeerViews.View view : views.all()) {
      for (PeerViews.ShardView shardView : view.shards().values()) {
        for (TaskId task : shardView.completed()) {
          JobRecord job = cache.job(task.job());
          if (job != null
              && job.phase() == JobPhase.OPEN
              && task.index() < job.job().taskCount()
              && !cache.isCompleted(task.job(), task.index())) {
            TaskSet done = fresh.computeIfAbsent(task.job(), id -> new TaskSet());
            done.add(task.index());
            // A gang completes as a whole, even if the machine of one of its tasks is lost right
            // afterwards.
            for (int i = 0; job.job().kind() == JobKind.GANG && i < job.job().taskCount(); i++) {
              done.add(i);
            }
          }
        }
      }
    }
    return fresh;
  }
}
