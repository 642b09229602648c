package org.quincecross.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quincecross.model.ControllerId;
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
import org.quincecross.rollout.Feature;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Changes agreed records for whoever asks this controller: several in one transaction, each guarded
 * by the version of its record. Whoever asks is answered once the change is durable. Where a guard
 * fails the steps are made again, on the newer state; where a transaction is not answered, it may
 * be applied at any later time, and the next one for the same record and it cannot both be: so the
 * records are read, and what is not there is asked for again under the same name.
 *
 * <p>What ends each wait: a reading of the records fails after a second or so, a transaction after
 * what {@link KeyValueStoreClient} gives it, and {@link #ANSWERED} after it was asked whoever asks
 * is told that it is not known, whatever goes on.
 */
public final class ReplicatedRecordStore {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicatedRecordStore.class);

  /**
   * The longest that anybody is left without an answer: users and operators' commands wait for
   * longer.
   */
  public static final TimeSpan ANSWERED = TimeSpan.ofSeconds(4);

  private static final TimeSpan PAGE_TIMEOUT = TimeSpan.ofSeconds(2);
  private static final TimeSpan RETRY = TimeSpan.ofMillis(120);

  /** Beyond so many that wait, others are told when to come back. */
  private static final int MOST_WAITING = 128;

  /**
   * Of the changes that the state service takes: live work goes first, and all controllers may be
   * asked at once.
   */
  private static final double WRITE_SHARE = 0.2;

  private static final int LONGEST_RETRY_S = 60;

  /** Where one record was asked for too often. */
  private static final int BUSY_RECORD_S = 10;

  private static final int MOST_BYTES = 40 * 1024;

  /**
   * What is asked for.
   *
   * @param request the caller's own name of the request: all of the same name are one; null for a
   *     step of a controller's own
   * @param onChange the change of the record that the caller has seen and wants to have been the
   *     last; -1 for whatever it is
   * @param by who asks, as they say
   */
  public record Ask<C>(String request, long onChange, C command, String by) {
    /** A step of a controller's own: to be made again only where its state asks for it. */
    public static <C> Ask<C> own(C command) {
      return new Ask<>(null, -1, command, "");
    }
  }

  /**
   * What became of it.
   *
   * @param status as HTTP has it: 200 durable (or nothing to change), 4xx refused and nothing
   *     changed by it, 503 not known
   * @param why in words, empty where all is said
   * @param change of the record, at which it was followed
   * @param revision of the records that has the change; none where nothing was written now
   * @param retryAfterS when to ask again, in seconds; 0 where that is of no use
   */
  public record Answer(int status, String why, long change, Revision revision, int retryAfterS) {
    public boolean isDurable() {
      return status == 200;
    }
  }

  /** One that waits. */
  private final class Waiting<S, C> {
    private final ReplicatedRecordIndex<S, C> book;
    private final String id;
    private final Ask<C> ask;
    private Consumer<Answer> done;

    private Waiting(
        ReplicatedRecordIndex<S, C> book, String id, Ask<C> ask, Consumer<Answer> done) {
      this.book = book;
      this.id = id;
      this.ask = ask;
      this.done = done;
    }

    private boolean isOver() {
      return done == null;
    }

    private void answer(Answer answer) {
      Consumer<Answer> asker = done;
      done = null;
      if (asker != null) {
        asker.accept(answer);
      }
    }

    /**
     * Makes the step on the records as they are, or as a step before it in the same transaction
     * leaves them.
     */
    private void plan(Batch batch) {
      ReplicatedRecordIndex.Held<S> held = book.get(id);
      Revision version = ledger.version(book.key(id));
      if (book.unreadable().containsKey(id)) {
        answer(refused(409, "the record cannot be read: " + book.unreadable().get(id)));
        return;
      }
      RecordId record = new RecordId(book.kind().name(), id);
      ReplicatedRecord<S> kept =
          batch.has(record)
              ? batch.kept(record)
              : held == null ? ReplicatedRecord.none(book.kind()) : held.kept();
      CommandOrigin at =
          new CommandOrigin(clockMs.getAsLong(), settings.clockBound().millis(), ask.by());
      ReplicatedRecord.Result<S> result =
          kept.apply(book.kind(), id, version, ask.request(), ask.onChange(), ask.command(), at);
      if (result instanceof ReplicatedRecord.Result.Refused<S> refused) {
        answer(refused(refused.status(), refused.why()));
      } else if (result instanceof ReplicatedRecord.Result.Known<S> known) {
        // Known from a step of this same transaction: as durable as that.
        Answer answer = new Answer(200, known.made().same(), known.made().change(), version, 0);
        if (batch.has(record)) {
          batch.add(this, answer);
        } else {
          answer(answer);
        }
      } else if (result instanceof ReplicatedRecord.Result.Nothing<S> nothing) {
        answer(new Answer(200, nothing.why(), kept.change(), version, 0));
      } else if (result instanceof ReplicatedRecord.Result.Write<S> write) {
        put(batch, record, write, version);
      }
    }

    private void put(
        Batch batch, RecordId record, ReplicatedRecord.Result.Write<S> write, Revision version) {
      Map<String, Object> value = write.next().write(book.kind());
      int length = Json.write(value).length;
      if (length > settings.storeLimits().plannedValueBytes()) {
        boolean byItself =
            Json.write(write.next().without(Integer.MAX_VALUE, version).write(book.kind())).length
                > settings.storeLimits().plannedValueBytes();
        answer(
            byItself
                ? refused(413, "the record would be larger than the state service takes")
                : new Answer(
                    503,
                    "the leader has not moved the record's trail to a page yet",
                    0,
                    Revision.NONE,
                    2));
        return;
      }
      if (batch.put(record, write.next(), value, length, version, write.withholds())) {
        batch.add(
            this, new Answer(200, write.made().same(), write.made().change(), Revision.NONE, 0));
      } else {
        batch.left.add(this);
      }
    }
  }

  /** A transaction being put together. */
  private final class Batch {
    private final Map<RecordId, ReplicatedRecord<?>> next = new HashMap<>();
    private final Map<RecordId, Mutation> changes = new HashMap<>();
    private final List<Precondition> guards = new ArrayList<>();
    private final Map<Waiting<?, ?>, Answer> answers = new LinkedHashMap<>();
    private final List<Waiting<?, ?>> left = new ArrayList<>();
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
      return (ReplicatedRecord<S>) next.get(record); // by its id of the book's kind
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
      if (after > most || bytes + length > MOST_BYTES) {
        return false;
      }
      String key = StoreKeys.agreed(record);
      if (isNew) {
        guards.add(new Precondition(key, version));
      }
      next.put(record, kept);
      changes.put(record, Mutation.put(key, value));
      withholds |= raises;
      bytes += length;
      return true;
    }

    private void add(Waiting<?, ?> one, Answer answer) {
      answers.put(one, answer);
    }

    private List<Mutation> changes() {
      List<Mutation> all = new ArrayList<>(changes.values());
      if (withholds) {
        // Not guarded: it may rise from whatever it is, and what matters is that it has risen.
        all.add(Mutation.put(StoreKeys.AGREED_FENCE, Json.object("at", clockMs.getAsLong())));
      }
      return all;
    }
  }

  private final Timers timers;
  private final KeyValueStoreClient client;
  private final StateWatcher follower;
  private final ClusterStateCache ledger;
  private final Membership membership;
  private final Settings settings;
  private final LongSupplier clockMs;
  private final TokenBucket writes;
  private final ArrayDeque<Waiting<?, ?>> waiting = new ArrayDeque<>();
  private MonotonicTime pressingFrom;
  private boolean busy;
  private boolean planned;

  /**
   * So many of those that wait go into transactions of their own: one of them made one too large.
   */
  private int alone;

  /**
   * @param clockMs tells the time of day
   */
  public ReplicatedRecordStore(
      Timers timers,
      KeyValueStoreClient client,
      StateWatcher follower,
      ClusterStateCache ledger,
      Membership membership,
      Settings settings,
      LongSupplier clockMs) {
    this.timers = timers;
    this.client = client;
    this.follower = follower;
    this.ledger = ledger;
    this.membership = membership;
    this.settings = settings;
    this.clockMs = clockMs;
    double rate = settings.storeLimits().writesPerSecond() * WRITE_SHARE;
    this.writes =
        new TokenBucket(
            rate,
            Math.max(rate, settings.storeLimits().maxMutationsPerTransaction()),
            timers.now());
  }

  private static Answer refused(int status, String why) {
    return new Answer(status, why, 0, Revision.NONE, status == 429 ? BUSY_RECORD_S : 0);
  }

  private static Answer unknown(String why, int retryAfterS) {
    return new Answer(503, why, 0, Revision.NONE, retryAfterS);
  }

  /**
   * Why no agreed record can be changed now, with the controllers named that lack what it takes;
   * null where it can.
   */
  public String lacking() {
    if (Feature.AGREED_RECORDS.isIn(ledger.level().level())) {
      return null;
    }
    TreeSet<String> lacking = new TreeSet<>();
    TreeSet<ControllerId> all = new TreeSet<>(ledger.members().keySet());
    settings.peers().forEach(sibling -> all.add(sibling.id()));
    all.add(settings.self());
    for (ControllerId member : all) {
      ControllerRecord record = ledger.members().get(member);
      if (record == null) {
        lacking.add(member + ", which is away");
      } else if (!record.build().can(Feature.AGREED_RECORDS.since())) {
        lacking.add(
            member
                + ", whose build ("
                + record.build().name()
                + ") ends at level "
                + record.build().most());
      }
    }
    return "level "
        + Feature.AGREED_RECORDS.since()
        + " is not in force yet; it waits for "
        + (lacking.isEmpty() ? "the leader to raise it" : String.join("; ", lacking));
  }

  /**
   * Has a record changed, and answers once that is durable, or {@link #ANSWERED} later that it is
   * not known.
   */
  public <S, C> void ask(
      ReplicatedRecordIndex<S, C> book, String id, Ask<C> ask, Consumer<Answer> done) {
    if (!ledger.isLoaded() || !membership.unable().isEmpty()) {
      done.accept(unknown("this controller cannot take part", 2));
      return;
    }
    String lacking = lacking();
    if (lacking != null || !RecordId.isName(id)) {
      done.accept(
          lacking != null ? refused(409, lacking) : refused(400, "no name of a record: " + id));
      return;
    }
    if (waiting.size() >= MOST_WAITING) {
      done.accept(
          unknown(
              "too many changes wait",
              (int)
                  Math.min(
                      LONGEST_RETRY_S,
                      Math.ceil(
                          waiting.size()
                              / (settings.storeLimits().writesPerSecond() * WRITE_SHARE)))));
      return;
    }
    Waiting<S, C> one = new Waiting<>(book, id, ask, done);
    waiting.add(one);
    timers.after(
        ANSWERED,
        () -> {
          if (!one.isOver()) {
            waiting.remove(one);
            one.answer(
                unknown(
                    "the state service did not confirm it: ask again by the same name of the request",
                    1));
          }
        });
    soon(TimeSpan.ofMillis(1));
  }

  /** Reads a page of a trail; {@code done} gets null where that does not work. */
  public void page(ReplicatedRecordIndex<?, ?> book, int page, Consumer<List<AuditEntry>> done) {
    client.read(
        KeyValueStoreCodec.keyPath(book.pageKey(page)),
        PAGE_TIMEOUT,
        outcome -> {
          try {
            done.accept(
                outcome.status() == 200
                    ? ReplicatedRecordIndex.lines(
                        Json.parseFields(outcome.response().body()).raw("Value"))
                    : null);
          } catch (MalformedMessageException e) {
            LOG.info("page {} of {}: {}", page, book.kind().name(), e.getMessage());
            done.accept(null);
          }
        });
  }

  private void soon(TimeSpan span) {
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
    if (busy || waiting.isEmpty()) {
      return;
    }
    busy = true;
    follower.barrier(
        current -> {
          busy = false;
          if (current) {
            write();
          } else {
            soon(RETRY);
          }
        });
  }

  /** The records are as new as whatever waits here. */
  private void write() {
    MonotonicTime now = timers.now();
    int most =
        (int) Math.min(settings.storeLimits().maxMutationsPerTransaction(), writes.level(now));
    if (most < 2 || (client.changesAffordable() < 2 && !isPressing(now))) {
      soon(RETRY);
      return;
    }
    String lacking = lacking();
    Batch batch = new Batch(most);
    boolean byItself = alone > 0;
    while (!waiting.isEmpty() && batch.left.isEmpty() && !(byItself && !batch.changes.isEmpty())) {
      alone = Math.max(0, alone - 1);
      Waiting<?, ?> one = waiting.poll();
      if (lacking != null) {
        one.answer(refused(409, lacking));
      } else if (!one.isOver()) {
        one.plan(batch);
      }
    }
    batch.left.forEach(waiting::addFirst);
    if (batch.changes.isEmpty()) {
      pressingFrom = null;
      if (!waiting.isEmpty()) {
        soon(RETRY);
      }
      return;
    }
    // Decided by what this level has: of no use under another.
    batch.guards.add(new Precondition(StoreKeys.LEVEL, ledger.level().version()));
    List<Mutation> changes = batch.changes();
    writes.force(changes.size(), now);
    busy = true;
    client.txn(
        batch.guards,
        changes,
        outcome -> {
          busy = false;
          written(batch, outcome);
        });
  }

  /** Live work goes first, but not for ever. */
  private boolean isPressing(MonotonicTime now) {
    if (pressingFrom == null) {
      pressingFrom = now;
    }
    return now.since(pressingFrom).isLongerThan(TimeSpan.ofSeconds(1));
  }

  private void written(Batch batch, TransactionResult outcome) {
    pressingFrom = null;
    switch (outcome.kind()) {
      case COMMITTED ->
          batch.answers.forEach(
              (one, answer) ->
                  one.answer(
                      new Answer(
                          answer.status(), answer.why(), answer.change(), outcome.revision(), 0)));
      case CONFLICT, REFUSED, NO_LEASE, UNKNOWN -> again(batch, outcome);
      case TOO_LARGE -> {
        if (batch.answers.size() == 1) {
          batch
              .answers
              .keySet()
              .forEach(
                  one -> one.answer(unknown("the state service takes no change so large now", 2)));
        } else {
          alone = batch.answers.size();
          again(batch, outcome);
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
      default -> throw new IllegalStateException(outcome.kind().toString());
    }
    if (!waiting.isEmpty()) {
      soon(outcome.kind() == TransactionResult.Kind.COMMITTED ? TimeSpan.ofMillis(1) : RETRY);
    }
  }

  private void again(Batch batch, TransactionResult outcome) {
    LOG.debug("agreed records: {} {}", outcome.kind(), outcome.failed());
    List<Waiting<?, ?>> all = new ArrayList<>(batch.answers.keySet());
    all.removeIf(Waiting::isOver);
    Collections.reverse(all);
    all.forEach(waiting::addFirst); // in the order in which they came
  }
}
