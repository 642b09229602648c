package org.quincecross.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.protocol.Settings;
import org.quincecross.scheduling.RoundRobinQueue;
import org.quincecross.state.JobRecord;
import org.quincecross.state.KeyValueStoreClient;
import org.quincecross.state.StateWatcher;
import org.quincecross.state.StoreKeys;
import org.quincecross.state.TransactionResult;

/**
 * Makes submissions durable, several in one write if several have arrived.
 *
 * <p>All waits are bounded. A transaction waits for the write limit, which refills, and then for
 * its response, for as long as {@link KeyValueStoreClient} allows. One without a response, or in
 * conflict, waits for a read of the records, which fails after a second. A throttled one is retried
 * until {@link #TIMEOUT} is over, and one that the store does not serve ends at once. A late
 * response delays only its own jobs, and their users are answered as soon as the records contain
 * the jobs (docs/incidents/an-answer-that-holds-up-others.md). In any case {@link ResponseDeadline}
 * responds before the user stops waiting; what has not been written by then is no longer written.
 */
final class Submissions {
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(2);

  /** The longest time that a user waits for a response; users give up after 5 s. */
  static final TimeSpan MAX_RESPONSE_TIME = TimeSpan.ofSeconds(3.2);

  private static final TimeSpan RETRY_DELAY = TimeSpan.ofMillis(120);

  /**
   * A job that would be written later than this is rejected with the time of a retry, so that its
   * user does not wait in vain.
   */
  private static final TimeSpan MAX_QUEUE_TIME = TimeSpan.ofSeconds(1.2);

  /** Users retry for a minute in all, so they should be able to retry several times. */
  private static final int MAX_RETRY_AFTER_S = 8;

  /**
   * The number of jobs of each team that may wait regardless of other teams, since teams take
   * turns.
   */
  private static final int MIN_QUEUED_PER_TEAM = 4;

  /** The initial estimate of the jobs per write, before any was written. */
  private static final double JOBS_PER_CHANGE = 4;

  /** The weight of the last write in the moving average of the time per job. */
  private static final double LATEST_WEIGHT = 0.3;

  private static final int MAX_BYTES = 40 * 1024;

  /**
   * The store usually responds within a tenth of this; after it, other jobs are written while one
   * write still waits for its response.
   */
  private static final TimeSpan OVERDUE_AFTER = TimeSpan.ofMillis(100);

  private static final int MAX_CONCURRENT_WRITES = 4;

  /** The outcome of a submission. */
  enum Outcome {
    ACCEPTED,
    /**
     * The record existed before, or the outcome of the write is unknown: the cache has the answer.
     */
    LOOK,
    /** Not accepted. */
    REFUSED
  }

  /**
   * A waiting submission.
   *
   * @param alone whether it has to be written alone, because it was too large together with others
   */
  private record Pending(
      Job job, long acceptedMs, MonotonicTime since, Consumer<Outcome> done, boolean alone) {}

  /** Callbacks of repeated submissions of the same job that wait for the same outcome. */
  private final Map<JobId, List<Consumer<Outcome>>> pending = new HashMap<>();

  private final Timers timers;
  private final KeyValueStoreClient store;
  private final StateWatcher watcher;
  private final ControllerId member;
  private final Supplier<Incarnation> incarnation;
  private final int maxChanges;
  private final int maxValueBytes;

  /** By team, so that a burst of one team delays only its own jobs. */
  private final RoundRobinQueue<String, Pending> waiting = new RoundRobinQueue<>();

  private final Predicate<JobId> isKnown;

  /** Transactions without a response so far, and how many of them are overdue. */
  private int pendingWrites;

  private int overdueWrites;
  private boolean flushPlanned;
  private int jobsBeingWritten;
  private double secondsPerJob;
  private final Map<String, MonotonicTime> promisedUntil = new HashMap<>();
  private long bundles;

  /**
   * Creates an empty queue.
   *
   * @param isKnown whether this controller's cache contains a job
   */
  Submissions(
      Timers timers,
      KeyValueStoreClient store,
      StateWatcher watcher,
      ControllerId member,
      Supplier<Incarnation> incarnation,
      Settings.StoreLimits limits,
      Predicate<JobId> isKnown) {
    this.isKnown = isKnown;
    this.timers = timers;
    this.store = store;
    this.watcher = watcher;
    this.member = member;
    this.incarnation = incarnation;
    this.maxChanges = limits.maxMutationsPerTransaction();
    this.maxValueBytes = limits.plannedValueBytes();
    this.secondsPerJob = 1 / (limits.writesPerSecond() * JOBS_PER_CHANGE);
  }

  /**
   * The seconds after which a new job of a team should be submitted again because it would wait too
   * long here; 0 if it would not. Each caller is given a later time, so that they do not all return
   * at once.
   */
  int retryAfterS(String team) {
    if (waiting.size(team) < MIN_QUEUED_PER_TEAM) {
      return 0;
    }
    MonotonicTime now = timers.now();
    TimeSpan wait =
        TimeSpan.ofSeconds((jobsBeingWritten + waiting.itemsAhead(team)) * secondsPerJob);
    if (!wait.isLongerThan(MAX_QUEUE_TIME)) {
      return 0;
    }
    MonotonicTime free = now.plus(wait);
    MonotonicTime promised = promisedUntil.getOrDefault(team, free);
    MonotonicTime at = promised.isBefore(free) ? free : promised;
    promisedUntil.put(team, at.plus(TimeSpan.ofSeconds(secondsPerJob)));
    return (int) Math.max(1, Math.min(MAX_RETRY_AFTER_S, Math.ceil(at.since(now).seconds())));
  }

  /**
   * Whether a job's record fits into a value, including the larger record of its cancellation. A
   * job that does not fit could never be cancelled, so it cannot be accepted
   * (docs/incidents/too-large-for-a-record.md).
   */
  boolean fits(Job job, long nowMs) {
    return Json.write(JobRecord.writeCancelled(job, nowMs)).length <= maxValueBytes
        && Json.write(JobRecord.writeOpen(job, nowMs)).length <= maxValueBytes;
  }

  void submit(Job job, long nowMs, Consumer<Outcome> done) {
    List<Consumer<Outcome>> others = pending.get(job.id());
    if (others != null) {
      // A repetition before the write's response needs no second write. But the write, and the read
      // after it, may have completed in the store already, and what other controllers have told
      // users since would be newer. So each repetition waits for a read of its own
      // (docs/incidents/joined-submission.md).
      others.add(
          outcome -> {
            if (outcome == Outcome.REFUSED) {
              done.accept(outcome);
            } else {
              finishByRead(done);
            }
          });
      return;
    }
    List<Consumer<Outcome>> all = new ArrayList<>(List.of(done));
    pending.put(job.id(), all);
    waiting.add(
        job.team(),
        new Pending(
            job,
            nowMs,
            timers.now(),
            outcome -> {
              if (pending.get(job.id()) == all) { // otherwise the records have shown the job before
                pending.remove(job.id());
                all.forEach(each -> each.accept(outcome));
              }
            },
            false));
    flush();
  }

  private void flush() {
    if (pendingWrites > overdueWrites || pendingWrites == MAX_CONCURRENT_WRITES) {
      return;
    }
    if (overdueWrites > 0 && store.affordableMutations() == 0) {
      flushLater();
      return;
    }
    // The caller has been answered already; its retry will be written.
    List<Pending> expired = new ArrayList<>();
    waiting.removeIf(
        each -> timers.now().since(each.since()).isLongerThan(MAX_RESPONSE_TIME), expired::add);
    expired.forEach(each -> each.done().accept(Outcome.REFUSED));
    if (waiting.isEmpty()) {
      return;
    }
    if (waiting.size() == 1 || waiting.peek().alone()) {
      writeOne(waiting.poll());
    } else {
      writeMany();
    }
  }

  /** While a write is overdue, nothing is written that would have to wait for the write limit. */
  private void flushLater() {
    if (!flushPlanned && !waiting.isEmpty()) {
      flushPlanned = true;
      timers.after(
          OVERDUE_AFTER,
          () -> {
            flushPlanned = false;
            flush();
          });
    }
  }

  private void writeOne(Pending submission) {
    String key = StoreKeys.job(submission.job().id());
    write(
        List.of(new Precondition(key, Revision.NONE)),
        List.of(Mutation.put(key, JobRecord.writeOpen(submission.job(), submission.acceptedMs()))),
        List.of(submission),
        result -> {
          switch (result.kind()) {
            case COMMITTED -> submission.done().accept(Outcome.ACCEPTED);
            case CONFLICT, UNKNOWN -> finishByRead(submission);
            case UNAVAILABLE, TOO_LARGE -> submission.done().accept(Outcome.REFUSED);
            case THROTTLED, LEASE_EXPIRED -> retry(submission);
            default -> throw new IllegalStateException(result.kind().toString());
          }
        });
  }

  /**
   * Writes are limited and many jobs may arrive at once, so as many as fit into a value are
   * accepted with one write.
   */
  private void writeMany() {
    List<Pending> group = new ArrayList<>();
    List<Precondition> guards = new ArrayList<>();
    List<Mutation> changes = new ArrayList<>();
    int bytes = 0;
    // Limited to what can be sent now: a write that waits for the limit delays everything behind
    // it, including other teams' jobs.
    int maxBundles = Math.max(1, Math.min(maxChanges, store.affordableMutations()));
    while (!waiting.isEmpty()
        && !waiting.peek().alone()
        && changes.size() < maxBundles
        && bytes < MAX_BYTES) {
      List<Map<String, Object>> jobs = new ArrayList<>();
      int size = 0;
      while (!waiting.isEmpty() && !waiting.peek().alone()) {
        Map<String, Object> open =
            JobRecord.writeOpen(waiting.peek().job(), waiting.peek().acceptedMs());
        int more = Json.write(open).length + 1;
        if (!jobs.isEmpty() && size + more > maxValueBytes) {
          break;
        }
        size += more;
        jobs.add(open);
        group.add(waiting.poll());
      }
      String key = StoreKeys.bundle(member, incarnation.get(), ++bundles);
      guards.add(new Precondition(key, Revision.NONE));
      changes.add(Mutation.put(key, JobRecord.writeBundle(jobs)));
      bytes += size;
    }
    write(guards, changes, group, result -> written(group, result));
  }

  private void written(List<Pending> group, TransactionResult result) {
    switch (result.kind()) {
      // The outcome does not tell whether a job was known already; only a cache that contains the
      // bundle does.
      case COMMITTED, UNKNOWN -> group.forEach(this::finishByRead);
      case UNAVAILABLE -> group.forEach(each -> each.done().accept(Outcome.REFUSED));
      case CONFLICT, THROTTLED, LEASE_EXPIRED -> group.forEach(this::retry);
      // One of them is too large for the store; the others must not wait for it.
      case TOO_LARGE ->
          group.forEach(
              each ->
                  retry(
                      new Pending(each.job(), each.acceptedMs(), each.since(), each.done(), true)));
      default -> throw new IllegalStateException(result.kind().toString());
    }
  }

  private void write(
      List<Precondition> guards,
      List<Mutation> changes,
      List<Pending> group,
      Consumer<TransactionResult> done) {
    pendingWrites++;
    jobsBeingWritten += group.size();
    MonotonicTime startedAt = timers.now();
    boolean[] answered = new boolean[1];
    boolean[] isOverdue = new boolean[1];
    timers.after(
        OVERDUE_AFTER,
        () -> {
          if (!answered[0]) {
            isOverdue[0] = true;
            overdueWrites++;
            checkStored(group, answered, OVERDUE_AFTER);
            flush();
          }
        });
    store.commit(
        guards,
        changes,
        result -> {
          answered[0] = true;
          pendingWrites--;
          overdueWrites -= isOverdue[0] ? 1 : 0;
          jobsBeingWritten -= group.size();
          // An overdue write delayed others only as far as no further write was allowed besides it.
          double secondsEach =
              timers.now().since(startedAt).seconds()
                  / group.size()
                  / (isOverdue[0] ? MAX_CONCURRENT_WRITES : 1);
          secondsPerJob = (1 - LATEST_WEIGHT) * secondsPerJob + LATEST_WEIGHT * secondsEach;
          done.accept(result);
          flush();
        });
  }

  /**
   * The response to a write may be lost or late; a user whose job is stored meanwhile need not wait
   * for it. Checks again after increasing pauses.
   */
  private void checkStored(List<Pending> group, boolean[] answered, TimeSpan pause) {
    watcher.barrier(
        current -> {
          if (current) {
            group.stream()
                .filter(each -> isKnown.test(each.job().id()))
                .forEach(each -> each.done().accept(Outcome.LOOK));
          }
        });
    timers.after(
        pause.times(2),
        () -> {
          if (!answered[0]
              && group.stream().anyMatch(each -> pending.containsKey(each.job().id()))) {
            checkStored(group, answered, pause.times(2));
          }
        });
  }

  private void retry(Pending submission) {
    if (!pending.containsKey(submission.job().id())) {
      return; // stored already
    }
    if (timers.now().since(submission.since()).isLongerThan(TIMEOUT)) {
      submission.done().accept(Outcome.REFUSED);
      return;
    }
    timers.after(
        RETRY_DELAY,
        () -> {
          waiting.add(submission.job().team(), submission);
          flush();
        });
  }

  private void finishByRead(Pending submission) {
    finishByRead(submission.done());
  }

  private void finishByRead(Consumer<Outcome> done) {
    watcher.barrier(current -> done.accept(current ? Outcome.LOOK : Outcome.REFUSED));
  }
}
