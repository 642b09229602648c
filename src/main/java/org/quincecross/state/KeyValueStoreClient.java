package org.quincecross.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;
import org.quincecross.model.Incarnation;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.HttpCaller;
import org.quincecross.net.HttpOutcome;
import org.quincecross.net.Timers;
import org.quincecross.net.TokenBucket;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.KeyValueStoreCodec;
import org.quincecross.protocol.KeyValueStoreCodec.Mutation;
import org.quincecross.protocol.KeyValueStoreCodec.Precondition;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.protocol.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client of the key-value store. It stays within this controller's share of the store's request
 * and write limits. Urgent requests (lease renewals, failover) are sent at once and charged to
 * later ones.
 */
public final class KeyValueStoreClient {
  private static final Logger LOG = LoggerFactory.getLogger(KeyValueStoreClient.class);
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(2.5);
  private static final TimeSpan BUDGET_TIMEOUT = TimeSpan.ofMillis(20);

  /**
   * The controllers share the limits, but are seldom busy at the same time, so each may use more
   * than a third.
   */
  private static final double REQUEST_SHARE = 0.45;

  /** Almost all writes are the leader's; the other controllers only accept and cancel jobs. */
  private static final double LEADER_WRITE_SHARE = 0.8;

  private static final double FOLLOWER_WRITE_SHARE = 0.4;

  private record Waiting(double writes, Runnable send) {}

  private final Timers timers;
  private final HttpCaller http;
  private final Endpoint address;
  private final TokenBucket requests;
  private final double writesPerSecond;
  private TokenBucket writes;
  private boolean leading;
  private final ArrayDeque<Waiting> queuedReads = new ArrayDeque<>();
  private final ArrayDeque<Waiting> queuedTransactions = new ArrayDeque<>();
  private boolean draining;

  /** Creates a client of the store at an address. */
  public KeyValueStoreClient(
      Timers timers, HttpCaller http, Endpoint service, Settings.StoreLimits limits) {
    this.timers = timers;
    this.http = http;
    this.address = service;
    double perSecond = limits.requestsPerSecond() * REQUEST_SHARE;
    writesPerSecond = limits.writesPerSecond();
    requests = new TokenBucket(perSecond, perSecond * 0.5, timers.now());
    writes =
        new TokenBucket(
            writesPerSecond * FOLLOWER_WRITE_SHARE,
            writesPerSecond * FOLLOWER_WRITE_SHARE,
            timers.now());
  }

  /** Sets whether this controller leads and so gets most of the write limit. */
  public void setLeading(boolean now) {
    if (leading != now) {
      leading = now;
      double share = writesPerSecond * (now ? LEADER_WRITE_SHARE : FOLLOWER_WRITE_SHARE);
      writes = new TokenBucket(share, share, timers.now());
      writes.drain(timers.now());
    }
  }

  /** Sends a read once the request limit allows it. */
  void read(String path, TimeSpan timeout, Consumer<HttpOutcome> done) {
    enqueue(queuedReads, 0, () -> send(HttpRequest.get(path), timeout, done));
  }

  void readNow(String path, Consumer<HttpOutcome> done) {
    requests.force(1, timers.now());
    send(HttpRequest.get(path), TIMEOUT, done);
  }

  void grantLease(TimeSpan ttl, Consumer<HttpOutcome> done) {
    requests.force(1, timers.now());
    send(
        HttpRequest.post(
            KeyValueStoreCodec.LEASES_PATH, KeyValueStoreCodec.writeLeaseGrant(ttl.millis())),
        TIMEOUT,
        done);
  }

  void renewLease(Incarnation lease, TimeSpan timeout, Consumer<HttpOutcome> done) {
    requests.force(1, timers.now());
    send(HttpRequest.post(KeyValueStoreCodec.renewPath(lease), new byte[0]), timeout, done);
  }

  void revokeLease(Incarnation lease, Consumer<HttpOutcome> done) {
    requests.force(1, timers.now());
    send(HttpRequest.delete(KeyValueStoreCodec.leasePath(lease)), TIMEOUT, done);
  }

  /** The number of mutations that a transaction sent now could contain without waiting. */
  public int affordableMutations() {
    boolean busy = !queuedTransactions.isEmpty() || requests.level(timers.now()) < 1;
    return busy ? 0 : (int) Math.max(0, writes.level(timers.now()));
  }

  /** Commits a transaction once the limits allow it. */
  public void commit(
      List<Precondition> guards, List<Mutation> changes, Consumer<TransactionResult> done) {
    enqueue(queuedTransactions, changes.size(), () -> sendTransaction(guards, changes, done));
  }

  /** Commits a transaction: at once if it is urgent, otherwise once the limits allow it. */
  public void commit(
      List<Precondition> guards,
      List<Mutation> changes,
      boolean urgent,
      Consumer<TransactionResult> done) {
    if (urgent) {
      commitNow(guards, changes, done);
    } else {
      commit(guards, changes, done);
    }
  }

  /** Commits a transaction without waiting for the limits. */
  void commitNow(
      List<Precondition> guards, List<Mutation> changes, Consumer<TransactionResult> done) {
    requests.force(1, timers.now());
    writes.force(changes.size(), timers.now());
    sendTransaction(guards, changes, done);
  }

  private void sendTransaction(
      List<Precondition> guards, List<Mutation> changes, Consumer<TransactionResult> done) {
    HttpRequest request =
        HttpRequest.post(
            KeyValueStoreCodec.TRANSACTION_PATH,
            KeyValueStoreCodec.writeTransaction(guards, changes));
    send(request, TIMEOUT, outcome -> done.accept(readResult(outcome)));
  }

  private static TransactionResult readResult(HttpOutcome outcome) {
    try {
      return switch (outcome.status()) {
        case 200 ->
            new TransactionResult(
                TransactionResult.Kind.COMMITTED,
                KeyValueStoreCodec.readRevision(Json.parseFields(outcome.response().body())),
                List.of());
        case 409 -> {
          var in = Json.parseFields(outcome.response().body());
          yield new TransactionResult(
              TransactionResult.Kind.CONFLICT,
              KeyValueStoreCodec.readRevision(in),
              KeyValueStoreCodec.readFailedPreconditions(in));
        }
        case 400 -> {
          String why = new String(outcome.response().body(), StandardCharsets.UTF_8);
          LOG.info("transaction refused: {}", why);
          // A refusal for size must not be taken for an expired lease, or the same transaction is
          // retried for ever.
          yield TransactionResult.of(
              why.contains(KeyValueStoreCodec.LEASE_EXPIRED)
                  ? TransactionResult.Kind.LEASE_EXPIRED
                  : TransactionResult.Kind.TOO_LARGE);
        }
        case 429 -> TransactionResult.of(TransactionResult.Kind.THROTTLED);
        case 503 -> TransactionResult.of(TransactionResult.Kind.UNAVAILABLE);
        default ->
            TransactionResult.of(
                outcome.isUncertain() || outcome.status() != 0
                    ? TransactionResult.Kind.UNKNOWN
                    : TransactionResult.Kind.UNAVAILABLE);
      };
    } catch (MalformedMessageException e) {
      return TransactionResult.of(TransactionResult.Kind.UNKNOWN);
    }
  }

  private void send(HttpRequest request, TimeSpan timeout, Consumer<HttpOutcome> done) {
    http.call(
        address,
        request,
        timeout,
        outcome -> {
          if (outcome.status() == 429) {
            requests.drain(timers.now());
            writes.drain(timers.now());
          }
          done.accept(outcome);
        });
  }

  private void enqueue(ArrayDeque<Waiting> queue, double changes, Runnable send) {
    queue.add(new Waiting(changes, send));
    drain();
  }

  private void drain() {
    // Reads do not wait behind a transaction that waits for the write limit.
    drain(queuedReads);
    drain(queuedTransactions);
    if (!draining && !(queuedReads.isEmpty() && queuedTransactions.isEmpty())) {
      draining = true;
      timers.after(
          BUDGET_TIMEOUT,
          () -> {
            draining = false;
            drain();
          });
    }
  }

  private void drain(ArrayDeque<Waiting> queue) {
    while (!queue.isEmpty()
        && requests.level(timers.now()) >= 1
        && (queue.peek().writes() == 0 || writes.take(queue.peek().writes(), timers.now()))) {
      requests.force(1, timers.now());
      queue.poll().send().run();
    }
  }
}
