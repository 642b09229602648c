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
 * Makes submissions durable, several in one change where several have come.
 *
 * <p>What ends each wait: a transaction waits for the budget, which refills, and then for its
 * answer, for as long as {@link KeyValueStoreClient} gives it; one without an answer, or in
 * conflict, waits for a reading of the records, which fails after a second; one that was refused
 * for its number is tried again until {@link #TIMEOUT} is over, and one that the state service does
 * not serve ends at once. An answer that is long in coming holds up nobody but those that it is
 * about, and they are answered as soon as the records have their jobs
 * (docs/incidents/an-answer-that-holds-up-others.md). Whatever this comes to together, {@link
 * ResponseDeadline} answers before the user stops waiting; what has not been written by then is not
 * written any more.
 */
final class Submissions {
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(2);

  /** The longest that a user is left without an answer, who waits 5 s for it. */
  static final TimeSpan ANSWERED = TimeSpan.ofSeconds(3.2);

  private static final TimeSpan RETRY = TimeSpan.ofMillis(120);

  /**
   * What would be written later than this is not taken: its user is told when to come back instead
   * of waiting in vain.
   */
  private static final TimeSpan LONGEST_QUEUE = TimeSpan.ofSeconds(1.2);

  /** Users come back for a minute in all, so they had better be let come several times. */
  private static final int LONGEST_RETRY_S = 8;

  /** So many of each team may wait however many others do: they have their turns. */
  private static final int ALWAYS_TAKEN = 4;

  /**
   * Before any was written: of the changes a second, what may go to new jobs, and how many of them
   * share one.
   */
  private static final double JOBS_PER_CHANGE = 4;

  /** The weight of the last change in what a job takes to be written. */
  private static final double LATEST = 0.3;

  private static final int MOST_BYTES = 40 * 1024;

  /**
   * The state service answers within a tenth of this, as a rule: from then on others are written
   * beside what waits for its answer.
   */
  private static final TimeSpan HELD_UP = TimeSpan.ofMillis(100);

  private static final int MOST_AT_ONCE = 4;

  /** How a submission ended. */
  enum Outcome {
    ACCEPTED,
    /**
     * The record was there before, or what became of the write is not known: the ledger has the
     * answer.
     */
    LOOK,
    /** Not taken. */
    REFUSED
  }

  /**
   * @param alone whether it is to be written by itself: among others it was too much for the state
   *     service
   */
  private record Pending(
      Job job, long acceptedMs, MonotonicTime since, Consumer<Outcome> done, boolean alone) {}

  /** Those whose submission of the same job waits for the same outcome. */
  private final Map<JobId, List<Consumer<Outcome>>> pending = new HashMap<>();

  private final Timers timers;
  private final KeyValueStoreClient store;
  private final StateWatcher watcher;
  private final ControllerId member;
  private final Supplier<Incarnation> life;
  private final int mostChanges;
  private final int mostValue;

  /** By team: a swarm of jobs of one has its own jobs wait. */
  private final RoundRobinQueue<String, Pending> waiting = new RoundRobinQueue<>();

  private final Predicate<JobId> isKnown;

  /** Transactions without an answer so far, and how many of these have waited for long. */
  private int writing;

  private int heldUp;
  private boolean flushPlanned;
  private int underWay;
  private double secondsPerJob;
  private final Map<String, MonotonicTime> spokenForUntil = new HashMap<>();
  private long bundles;

  /**
   * @param isKnown whether this controller's copy of the records has a job
   */
  Submissions(
      Timers timers,
      KeyValueStoreClient store,
      StateWatcher watcher,
      ControllerId member,
      Supplier<Incarnation> life,
      Settings.StoreLimits limits,
      Predicate<JobId> isKnown) {
    this.isKnown = isKnown;
    this.timers = timers;
    this.store = store;
    this.watcher = watcher;
    this.member = member;
    this.life = life;
    this.mostChanges = limits.maxMutationsPerTransaction();
    this.mostValue = limits.plannedValueBytes();
    this.secondsPerJob = 1 / (limits.writesPerSecond() * JOBS_PER_CHANGE);
  }

  /**
   * In how many seconds a new job of a team had better come back, because it would wait too long
   * here; 0 where it would not. Each who is told so is told a later time, so that they do not all
   * come at once.
   */
  int comeBackInS(String team) {
    if (waiting.size(team) < ALWAYS_TAKEN) {
      return 0;
    }
    MonotonicTime now = timers.now();
    TimeSpan wait = TimeSpan.ofSeconds((underWay + waiting.itemsAhead(team)) * secondsPerJob);
    if (!wait.isLongerThan(LONGEST_QUEUE)) {
      return 0;
    }
    MonotonicTime free = now.plus(wait);
    MonotonicTime spokenFor = spokenForUntil.getOrDefault(team, free);
    MonotonicTime at = spokenFor.isBefore(free) ? free : spokenFor;
    spokenForUntil.put(team, at.plus(TimeSpan.ofSeconds(secondsPerJob)));
    return (int) Math.max(1, Math.min(LONGEST_RETRY_S, Math.ceil(at.since(now).seconds())));
  }

  /**
   * Whether a job's record fits a value of the state service, also the larger one that it will have
   * if it is cancelled: one that does not cannot be accepted, or could never be cancelled
   * (docs/incidents/too-large-for-a-record.md).
   */
  boolean fits(Job job, long nowMs) {
    return Json.write(JobRecord.writeCancelled(job, nowMs)).length <= mostValue
        && Json.write(JobRecord.writeOpen(job, nowMs)).length <= mostValue;
  }

  void submit(Job job, long nowMs, Consumer<Outcome> done) {
    List<Consumer<Outcome>> others = pending.get(job.id());
    if (others != null) {
      // Asked for again before the answer to the write is here: once is enough. But the write, and
      // the reading after it, may be over
      // in the state service, and what others have told since would be newer than what they say. So
      // who joins waits for a reading of
      // his own (docs/incidents/joined-submission.md).
      others.add(
          outcome -> {
            if (outcome == Outcome.REFUSED) {
              done.accept(outcome);
            } else {
              look(done);
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
              if (pending.get(job.id()) == all) { // else the records have said so before
                pending.remove(job.id());
                all.forEach(each -> each.accept(outcome));
              }
            },
            false));
    flush();
  }

  private void flush() {
    if (writing > heldUp || writing == MOST_AT_ONCE) {
      return;
    }
    if (heldUp > 0 && store.affordableMutations() == 0) {
      flushLater();
      return;
    }
    // Whoever asked has been answered: the repetition will be written.
    List<Pending> late = new ArrayList<>();
    waiting.takeIf(each -> timers.now().since(each.since()).isLongerThan(ANSWERED), late::add);
    late.forEach(each -> each.done().accept(Outcome.REFUSED));
    if (waiting.isEmpty()) {
      return;
    }
    if (waiting.size() == 1 || waiting.peek().alone()) {
      writeOne(waiting.poll());
    } else {
      writeMany();
    }
  }

  /** Beside what is held up nothing is written that would have to wait for the budget. */
  private void flushLater() {
    if (!flushPlanned && !waiting.isEmpty()) {
      flushPlanned = true;
      timers.after(
          HELD_UP,
          () -> {
            flushPlanned = false;
            flush();
          });
    }
  }

  private void writeOne(Pending one) {
    String key = StoreKeys.job(one.job().id());
    write(
        List.of(new Precondition(key, Revision.NONE)),
        List.of(Mutation.put(key, JobRecord.writeOpen(one.job(), one.acceptedMs()))),
        List.of(one),
        result -> {
          switch (result.kind()) {
            case COMMITTED -> one.done().accept(Outcome.ACCEPTED);
            case CONFLICT, UNKNOWN -> end(one);
            case UNAVAILABLE, TOO_LARGE -> one.done().accept(Outcome.REFUSED);
            case THROTTLED, LEASE_EXPIRED -> again(one);
            default -> throw new IllegalStateException(result.kind().toString());
          }
        });
  }

  /**
   * Changes are few and jobs may come many at a time: what fits one value is accepted with one
   * change.
   */
  private void writeMany() {
    List<Pending> group = new ArrayList<>();
    List<Precondition> guards = new ArrayList<>();
    List<Mutation> changes = new ArrayList<>();
    int bytes = 0;
    // No more than can go out now: a change that waits for its budget has all behind it wait, other
    // teams' jobs among them.
    int most = Math.max(1, Math.min(mostChanges, store.affordableMutations()));
    while (!waiting.isEmpty()
        && !waiting.peek().alone()
        && changes.size() < most
        && bytes < MOST_BYTES) {
      List<Map<String, Object>> jobs = new ArrayList<>();
      int size = 0;
      while (!waiting.isEmpty() && !waiting.peek().alone()) {
        Map<String, Object> open =
            JobRecord.writeOpen(waiting.peek().job(), waiting.peek().acceptedMs());
        int more = Json.write(open).length + 1;
        if (!jobs.isEmpty() && size + more > mostValue) {
          break;
        }
        size += more;
        jobs.add(open);
        group.add(waiting.poll());
      }
      String key = StoreKeys.bundle(member, life.get(), ++bundles);
      guards.add(new Precondition(key, Revision.NONE));
      changes.add(Mutation.put(key, JobRecord.writeBundle(jobs)));
      bytes += size;
    }
    write(
        guards,
        changes,
        group,
        result -> {
          switch (result.kind()) {
            // Nothing says whether a job was known already: only a ledger that has the bundle can
            // tell.
            case COMMITTED, UNKNOWN -> group.forEach(this::end);
            case UNAVAILABLE -> group.forEach(each -> each.done().accept(Outcome.REFUSED));
            case CONFLICT, THROTTLED, LEASE_EXPIRED -> group.forEach(this::again);
            // One of them is too much, as the state service counts: the others must not wait for
            // it.
            case TOO_LARGE ->
                group.forEach(
                    each ->
                        again(
                            new Pending(
                                each.job(), each.acceptedMs(), each.since(), each.done(), true)));
            default -> throw new IllegalStateException(result.kind().toString());
          }
        });
  }

  private void write(
      List<Precondition> guards,
      List<Mutation> changes,
      List<Pending> group,
      Consumer<TransactionResult> done) {
    writing++;
    underWay += group.size();
    MonotonicTime begun = timers.now();
    boolean[] answered = new boolean[1];
    boolean[] isHeldUp = new boolean[1];
    timers.after(
        HELD_UP,
        () -> {
          if (!answered[0]) {
            isHeldUp[0] = true;
            heldUp++;
            lookFor(group, answered, HELD_UP);
            flush();
          }
        });
    store.commit(
        guards,
        changes,
        result -> {
          answered[0] = true;
          writing--;
          heldUp -= isHeldUp[0] ? 1 : 0;
          underWay -= group.size();
          // One that was held up kept others from being written only as far as no more could go
          // beside it.
          double each =
              timers.now().since(begun).seconds() / group.size() / (isHeldUp[0] ? MOST_AT_ONCE : 1);
          secondsPerJob = (1 - LATEST) * secondsPerJob + LATEST * each;
          done.accept(result);
          flush();
        });
  }

  /**
   * The answer to a write may be lost, or late: whoever's job is on record by now need not wait for
   * it. Looks again after ever longer pauses.
   */
  private void lookFor(List<Pending> group, boolean[] answered, TimeSpan pause) {
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
            lookFor(group, answered, pause.times(2));
          }
        });
  }

  private void again(Pending one) {
    if (!pending.containsKey(one.job().id())) {
      return; // it is on record already
    }
    if (timers.now().since(one.since()).isLongerThan(TIMEOUT)) {
      one.done().accept(Outcome.REFUSED);
      return;
    }
    timers.after(
        RETRY,
        () -> {
          waiting.add(one.job().team(), one);
          flush();
        });
  }

  private void end(Pending one) {
    look(one.done());
  }

  private void look(Consumer<Outcome> done) {
    watcher.barrier(current -> done.accept(current ? Outcome.LOOK : Outcome.REFUSED));
  }
}
