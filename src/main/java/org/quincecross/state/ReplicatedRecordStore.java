package org.quincecross.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.net.TokenBucket;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.quincecross.replicated.AuditEntry;
import org.quincecross.replicated.CommandOrigin;
import org.quincecross.replicated.RecordId;
import org.quincecross.replicated.ReplicatedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Changes replicated records on behalf of this controller's callers: several in one transaction,
 * each with the version of its record as a precondition. A caller gets its response once the change
 * is durable. If a precondition fails, the transitions are recomputed on the newer state. A
 * transaction without a response may still be applied at any later time, but never together with a
 * retry for the same record; so the records are read, and commands that were not applied are
 * retried under the same request id.
 *
 * <p>All waits are bounded: a read by about a second, a transaction by {@link KeyValueStoreClient},
 * and a caller by {@link #RESPONSE_TIMEOUT}, after which it is told that the outcome is unknown.
 */
public final class ReplicatedRecordStore {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicatedRecordStore.class);

  /** The longest that a caller waits for a response; users and operator commands time out later. */
  public static final TimeSpan RESPONSE_TIMEOUT = TimeSpan.ofSeconds(4);

  private static final TimeSpan PAGE_TIMEOUT = TimeSpan.ofSeconds(2);
  private static final TimeSpan RETRY = TimeSpan.ofMillis(120);

  /** Callers beyond this number are told to retry later. */
  private static final int MAX_PENDING = 128;

  /**
   * The share of the store's write limit for these changes: scheduling has priority, and all
   * controllers may write at once.
   */
  private static final double WRITE_SHARE = 0.2;

  private static final int MAX_RETRY_S = 60;

  /** Retry-after for a record that receives too many commands. */
  private static final int BUSY_RECORD_RETRY_S = 10;

  private static final int MAX_TRANSACTION_BYTES = 40 * 1024;

  /** A command that waits for its outcome. */
  private final class PendingCommand<S, C> {
    private final ReplicatedRecordIndex<S, C> index;
    private final String id;
    private final RecordCommand<C> ask;
    private Consumer<CommandResponse> done;

    private PendingCommand(
        ReplicatedRecordIndex<S, C> index,
        String id,
        RecordCommand<C> ask,
        Consumer<CommandResponse> done) {
      this.index = index;
      this.id = id;
      this.ask = ask;
      this.done = done;
    }

    private boolean isOver() {
      return done == null;
    }

    private void answer(CommandResponse answer) {
      Consumer<CommandResponse> asker = done;
      done = null;
      if (asker != null) {
        asker.accept(answer);
      }
    }

    /**
     * Computes the transition from the stored record, or from an earlier transition in the same
     * transaction.
     */
    private void plan(Batch batch) {
      ReplicatedRecordIndex.Held<S> held = index.get(id);
      Revision version = cache.version(index.key(id));
      if (index.unreadable().containsKey(id)) {
        answer(refused(409, "the record cannot be read: " + index.unreadable().get(id)));
        return;
      }
      RecordId record = new RecordId(index.kind().name(), id);
      ReplicatedRecord<S> kept =
          batch.has(record)
              ? batch.kept(record)
              : held == null ? ReplicatedRecord.initial(index.kind()) : held.record();
      CommandOrigin at =
          new CommandOrigin(clockMs.getAsLong(), settings.clockBound().millis(), ask.issuer());
      ReplicatedRecord.Result<S> result =
          kept.apply(
              index.kind(), id, version, ask.requestId(), ask.expectedChange(), ask.command(), at);
      if (result instanceof ReplicatedRecord.Result.Refused<S> refused) {
        answer(refused(refused.status(), refused.reason()));
      } else if (result instanceof ReplicatedRecord.Result.AlreadyApplied<S> known) {
        // Repeats a command of this same transaction, so it becomes durable with it.
        CommandResponse answer =
            new CommandResponse(
                200, known.applied().unchangedReason(), known.applied().change(), version, 0);
        if (batch.has(record)) {
          batch.add(this, answer);
        } else {
          answer(answer);
        }
      } else if (result instanceof ReplicatedRecord.Result.NoChange<S> nothing) {
        answer(new CommandResponse(200, nothing.reason(), kept.change(), version, 0));
      } else if (result instanceof ReplicatedRecord.Result.Write<S> write) {
        put(batch, record, write, version);
      }
    }

    private void put(
        Batch batch, RecordId record, ReplicatedRecord.Result.Write<S> write, Revision version) {
      Map<String, Object> value = write.next().write(index.kind());
      int length = Json.write(value).length;
      if (length > settings.storeLimits().plannedValueBytes()) {
        boolean byItself =
            Json.write(write.next().withoutEntries(Integer.MAX_VALUE, version).write(index.kind()))
                    .length
                > settings.storeLimits().plannedValueBytes();
        answer(
            byItself
                ? refused(413, "the record would be larger than the state service takes")
                : new CommandResponse(
                    503,
                    "the leader has not moved the record's trail to a page yet",
                    0,
                    Revision.NONE,
                    2));
        return;
      }
      if (batch.put(record, write.next(), value, length, version, write.raisesFence())) {
        batch.add(
            this,
            new CommandResponse(
                200,
                write.applied().unchangedReason(),
                write.applied().change(),
                Revision.NONE,
                0));
      } else {
        batch.left.add(this);
      }
    }
  }

  /** A transaction under construction. */
  private final class Batch {
    private final Map<RecordId, ReplicatedRecord<?>> next = new HashMap<>();
    private final Map<RecordId, Mutation> changes = new HashMap<>();
    private final List<Precondition> guards = new ArrayList<>();
    private final Map<PendingCommand<?, ?>, CommandResponse> answers = new LinkedHashMap<>();
    private final List<PendingCommand<?, ?>> left = new ArrayList<>();
    private final int most;
    private boolean withholds;
    private int bytes;

    private Batch(int most) {
      this.most = most;
    }

    private boolean has(RecordId record) {
      return next.containsKey(record);
    }

    @SuppressWarnings("unchecked")
    private <S> ReplicatedRecord<S> kept(RecordId record) {
      return (ReplicatedRecord<S>)
          next.get(record); // the record was stored under its id by an index of the same kind
    }

    private boolean put(
        RecordId record,
        ReplicatedRecord<?> kept,
        Map<String, Object> value,
        int length,
        Revision version,
        boolean raises) {
      boolean isNew = !next.containsKey(record);
      int after = changes.size() + (isNew ? 1 : 0) + (withholds || raises ? 1 : 0);
      if (after > most || bytes + length > MAX_TRANSACTION_BYTES) {
        return false;
      }
      String key = StoreKeys.replicatedRecord(record);
      if (isNew) {
        guards.add(new Precondition(key, version));
      }
      next.put(record, kept);
      changes.put(record, Mutation.put(key, value));
      withholds |= raises;
      bytes += length;
      return true;
    }

    private void add(PendingCommand<?, ?> one, CommandResponse answer) {
      answers.put(one, answer);
    }

    private List<Mutation> changes() {
      List<Mutation> all = new ArrayList<>(changes.values());
      if (withholds) {
        // No precondition: the fence may rise from any version; it only has to rise.
        all.add(Mutation.put(StoreKeys.REPLICATED_FENCE, Json.object("at", clockMs.getAsLong())));
      }
      return all;
    }
  }

  private final Timers timers;
  private final KeyValueStoreClient store;
  private final StateWatcher watcher;
  private final ClusterStateCache cache;
  private final Membership membership;
  private final Settings settings;
  private final ReplicationSupport support;
  private final LongSupplier clockMs;
  private final TokenBucket writes;
  private final ArrayDeque<PendingCommand<?, ?>> pending = new ArrayDeque<>();
  private MonotonicTime urgentFrom;
  private boolean busy;
  private boolean planned;

  /**
   * The number of commands to be sent in transactions of their own, because together they were too
   * large.
   */
  private int inOwnTransaction;

  /**
   * Creates a store.
   *
   * @param clockMs the time of day in milliseconds
   */
  public ReplicatedRecordStore(
      Timers timers,
      KeyValueStoreClient store,
      StateWatcher watcher,
      ClusterStateCache cache,
      Membership membership,
      Settings settings,
      LongSupplier clockMs) {
    this.timers = timers;
    this.store = store;
    this.watcher = watcher;
    this.cache = cache;
    this.membership = membership;
    this.settings = settings;
    this.support = new ReplicationSupport(cache, settings);
    this.clockMs = clockMs;
    double rate = settings.storeLimits().writesPerSecond() * WRITE_SHARE;
    this.writes =
        new TokenBucket(
            rate,
            Math.max(rate, settings.storeLimits().maxMutationsPerTransaction()),
            timers.now());
  }

  private static CommandResponse refused(int status, String why) {
    return new CommandResponse(
        status, why, 0, Revision.NONE, status == 429 ? BUSY_RECORD_RETRY_S : 0);
  }

  private static CommandResponse unknown(String why, int retryAfterS) {
    return new CommandResponse(503, why, 0, Revision.NONE, retryAfterS);
  }

  /**
   * Why replicated records cannot be changed now, naming the controllers that lack support; null if
   * they can.
   */
  public String unavailableReason() {
    return support.unavailableReason();
  }

  /**
   * Submits a command. The response arrives once the change is durable, or after {@link
   * #RESPONSE_TIMEOUT} as unknown.
   */
  public <S, C> void submit(
      ReplicatedRecordIndex<S, C> index,
      String id,
      RecordCommand<C> ask,
      Consumer<CommandResponse> done) {
    if (!cache.isLoaded() || !membership.incompatibility().isEmpty()) {
      done.accept(unknown("this controller cannot take part", 2));
      return;
    }
    String lacking = unavailableReason();
    if (lacking != null || !RecordId.isName(id)) {
      done.accept(
          lacking != null ? refused(409, lacking) : refused(400, "no name of a record: " + id));
      return;
    }
    if (pending.size() >= MAX_PENDING) {
      done.accept(
          unknown(
              "too many changes wait",
              (int)
                  Math.min(
                      MAX_RETRY_S,
                      Math.ceil(
                          pending.size()
                              / (settings.storeLimits().writesPerSecond() * WRITE_SHARE)))));
      return;
    }
    PendingCommand<S, C> one = new PendingCommand<>(index, id, ask, done);
    pending.add(one);
    timers.after(
        RESPONSE_TIMEOUT,
        () -> {
          if (!one.isOver()) {
            pending.remove(one);
            one.answer(
                unknown(
                    "the state service did not confirm it: ask again by the same name of the request",
                    1));
          }
        });
    scheduleFlush(TimeSpan.ofMillis(1));
  }

  /** Reads a page of an audit trail; {@code done} receives null on failure. */
  public void page(ReplicatedRecordIndex<?, ?> index, int page, Consumer<List<AuditEntry>> done) {
    store.read(
        KeyValueStoreCodec.keyPath(index.pageKey(page)),
        PAGE_TIMEOUT,
        outcome -> {
          try {
            done.accept(
                outcome.status() == 200
                    ? ReplicatedRecordIndex.lines(
                        Json.parseFields(outcome.response().body()).raw("Value"))
                    : null);
          } catch (MalformedMessageException e) {
            LOG.info(
                "audit page {} of {} cannot be read: {}",
                page,
                index.kind().name(),
                e.getMessage());
            done.accept(null);
          }
        });
  }

  private void scheduleFlush(TimeSpan span) {
    if (!planned) {
      planned = true;
      timers.after(
          span,
          () -> {
            planned = false;
            flush();
          });
    }
  }

  private void flush() {
    if (busy || pending.isEmpty()) {
      return;
    }
    busy = true;
    watcher.barrier(
        current -> {
          busy = false;
          if (current) {
            write();
          } else {
            scheduleFlush(RETRY);
          }
        });
  }

  /** Writes the pending commands; the cache is current as of their submission. */
  private void write() {
    MonotonicTime now = timers.now();
    int most =
        (int) Math.min(settings.storeLimits().maxMutationsPerTransaction(), writes.level(now));
    if (most < 2 || (store.affordableMutations() < 2 && !isUrgent(now))) {
      scheduleFlush(RETRY);
      return;
    }
    String lacking = unavailableReason();
    Batch batch = new Batch(most);
    boolean byItself = inOwnTransaction > 0;
    while (!pending.isEmpty() && batch.left.isEmpty() && !(byItself && !batch.changes.isEmpty())) {
      inOwnTransaction = Math.max(0, inOwnTransaction - 1);
      PendingCommand<?, ?> one = pending.poll();
      if (lacking != null) {
        one.answer(refused(409, lacking));
      } else if (!one.isOver()) {
        one.plan(batch);
      }
    }
    batch.left.forEach(pending::addFirst);
    if (batch.changes.isEmpty()) {
      urgentFrom = null;
      if (!pending.isEmpty()) {
        scheduleFlush(RETRY);
      }
      return;
    }
    // Computed for this feature level, and invalid under any other.
    batch.guards.add(new Precondition(StoreKeys.LEVEL, cache.level().version()));
    List<Mutation> changes = batch.changes();
    writes.force(changes.size(), now);
    busy = true;
    store.commit(
        batch.guards,
        changes,
        result -> {
          busy = false;
          written(batch, result);
        });
  }

  /** Scheduling has priority over these changes, but only for a limited time. */
  private boolean isUrgent(MonotonicTime now) {
    if (urgentFrom == null) {
      urgentFrom = now;
    }
    return now.since(urgentFrom).isLongerThan(TimeSpan.ofSeconds(1));
  }

  private void written(Batch batch, TransactionResult result) {
    urgentFrom = null;
    switch (result.kind()) {
      case COMMITTED ->
          batch.answers.forEach(
              (one, answer) ->
                  one.answer(
                      new CommandResponse(
                          answer.status(),
                          answer.reason(),
                          answer.change(),
                          result.revision(),
                          0)));
      case CONFLICT, THROTTLED, LEASE_EXPIRED, UNKNOWN -> requeue(batch, result);
      case TOO_LARGE -> {
        if (batch.answers.size() == 1) {
          batch
              .answers
              .keySet()
              .forEach(
                  one -> one.answer(unknown("the state service takes no change so large now", 2)));
        } else {
          inOwnTransaction = batch.answers.size();
          requeue(batch, result);
        }
      }
      case UNAVAILABLE ->
          batch
              .answers
              .keySet()
              .forEach(
                  one ->
                      one.answer(
                          unknown(
                              "the state service does not serve: ask again by the same name of the request",
                              2)));
      default -> throw new IllegalStateException(result.kind().toString());
    }
    if (!pending.isEmpty()) {
      scheduleFlush(
          result.kind() == TransactionResult.Kind.COMMITTED ? TimeSpan.ofMillis(1) : RETRY);
    }
  }

  private void requeue(Batch batch, TransactionResult result) {
    LOG.debug("replicated records: {} {}", result.kind(), result.failedKeys());
    List<PendingCommand<?, ?>> all = new ArrayList<>(batch.answers.keySet());
    all.removeIf(PendingCommand::isOver);
    Collections.reverse(all);
    all.forEach(pending::addFirst); // in the order of submission
  }
}
