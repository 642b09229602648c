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
 * Makes completions durable, gathered so that they cost few changes.
 *
 * <p>What ends each wait: a completion waits at most {@link #GATHER} for more of its job, then for
 * room in a transaction. Only what is new is written, so a transaction that is too small for all
 * leaves less for the next. A completion that a lost controller had reported is reported by the
 * next holder, from its machine, which keeps the result; where the machine is lost too, the task is
 * run again under its allocation.
 */
final class CompletionWriter {
  private static final TimeSpan GATHER = TimeSpan.ofSeconds(1.5);

  private final Timers timers;
  private final ClusterStateCache cache;
  private final PeerViews views;
  private final AllocationIndex books;
  private final LongSupplier clockMs;
  private final Map<JobId, MonotonicTime> since = new HashMap<>();

  /**
   * @param clockMs tells the time of day
   */
  CompletionWriter(
      Timers timers,
      ClusterStateCache cache,
      PeerViews views,
      AllocationIndex books,
      LongSupplier clockMs) {
    this.timers = timers;
    this.cache = cache;
    this.views = views;
    this.books = books;
    this.clockMs = clockMs;
  }

  /** Makes completions durable; a job whose last task is done becomes done in the same stroke. */
  void plan(TransactionBuilder transaction, Map<JobId, TaskSet> fresh) {
    MonotonicTime now = timers.now();
    since.keySet().retainAll(fresh.keySet());
    boolean due = false;
    Map<JobId, TaskSet> unfinished = new LinkedHashMap<>();
    for (Map.Entry<JobId, TaskSet> entry : fresh.entrySet()) {
      JobId id = entry.getKey();
      AllocationIndex.Account account = books.account(id);
      TaskSet all = account.done().copy();
      all.addAll(entry.getValue());
      if (all.size() < account.job().taskCount()) {
        // Its machine keeps the result until it is durable, so a part of a job may wait for more of
        // it.
        due |= now.since(since.computeIfAbsent(id, j -> now)).isLongerThan(GATHER);
        unfinished.put(id, all);
      } else {
        JobRecord record = cache.job(id);
        transaction.put(
            StoreKeys.job(id),
            cache.dependencyGraph().hasFollowers(id)
                ? record.writeDone(clockMs.getAsLong())
                : record.writeDone());
      }
    }
    if (due) {
      planParts(transaction, unfinished, fresh);
    }
  }

  /**
   * Writes the done tasks of unfinished jobs: most share pages, so that one change serves many
   * jobs.
   */
  private void planParts(
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
                    if (books.account(job) != null) {
                      page.put(job, set);
                      home.put(job, number);
                    }
                  });
              pages.put(number, page);
            });
    int mostBytes = transaction.mostValue();
    Set<Integer> changed = new TreeSet<>();
    unfinished.forEach(
        (id, all) -> {
          if (!CompletedTasks.fitsOnPage(all) || cache.hasCompletedChunks(id)) {
            planChunks(transaction, id, all, fresh.get(id));
            return;
          }
          // It stays on its page while there is room: one that moved would have to be written to
          // two.
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

  /** A page as it is to be written, and how large it is: asked for every job that has news. */
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

  /** The done tasks of a job that is too large for a page. */
  private static void planChunks(
      TransactionBuilder transaction, JobId id, TaskSet all, TaskSet fresh) {
    // Only those with something new: chunks written again would fill the transaction, and those
    // after them never
    // be written (docs/incidents/unanswered-start.md, "jobs larger than a transaction's chunks").
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

  /** The completions that holders report and that are not durable yet. */
  Map<JobId, TaskSet> completions() {
    Map<JobId, TaskSet> fresh = new LinkedHashMap<>();
    for (PeerViews.View view : views.all()) {
      for (PeerViews.BlockView block : view.blocks().values()) {
        for (TaskId task : block.completed()) {
          JobRecord job = cache.job(task.job());
          if (job != null
              && job.phase() == JobPhase.OPEN
              && task.index() < job.job().taskCount()
              && !cache.isCompleted(task.job(), task.index())) {
            TaskSet done = fresh.computeIfAbsent(task.job(), id -> new TaskSet());
            done.add(task.index());
            // A gang completes as one, also where the machine of one of its tasks is lost right
            // after.
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
