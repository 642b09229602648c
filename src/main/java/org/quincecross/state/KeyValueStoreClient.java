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
 * Speaks to the state service and keeps within this controller's share of its limits. What must not
 * wait (lease renewals, taking over) goes at once and is paid for by what follows.
 */
public final class KeyValueStoreClient {
  private static final Logger LOG = LoggerFactory.getLogger(KeyValueStoreClient.class);
  private static final TimeSpan TIMEOUT = TimeSpan.ofSeconds(2.5);
  private static final TimeSpan WAIT_FOR_BUDGET = TimeSpan.ofMillis(20);

  /**
   * The controllers share the limits; all of them are seldom busy at once, so each may use more
   * than its part.
   */
  private static final double REQUEST_SHARE = 0.45;

  /** Nearly all changes are the leader's; the others only accept and cancel jobs. */
  private static final double LEADER_WRITE_SHARE = 0.8;

  private static final double OTHERS_WRITE_SHARE = 0.4;

  private record Waiting(double writes, Runnable send) {}

  private final Timers timers;
  private final HttpCaller http;
  private final Endpoint service;
  private final TokenBucket requests;
  private final double writesPerSecond;
  private TokenBucket writes;
  private boolean leading;
  private final ArrayDeque<Waiting> waitingReads = new ArrayDeque<>();
  private final ArrayDeque<Waiting> waitingTxns = new ArrayDeque<>();
  private boolean draining;

  public KeyValueStoreClient(
      Timers timers, HttpCaller http, Endpoint service, Settings.StoreLimits limits) {
    this.timers = timers;
    this.http = http;
    this.service = service;
    double perSecond = limits.requestsPerSecond() * REQUEST_SHARE;
    writesPerSecond = limits.writesPerSecond();
    requests = new TokenBucket(perSecond, perSecond * 0.5, timers.now());
    writes =
        new TokenBucket(
            writesPerSecond * OTHERS_WRITE_SHARE,
            writesPerSecond * OTHERS_WRITE_SHARE,
            timers.now());
  }

  /** Says whether this controller leads, and so has most of the changes to make. */
  public void lead(boolean now) {
    if (leading != now) {
      leading = now;
      double share = writesPerSecond * (now ? LEADER_WRITE_SHARE : OTHERS_WRITE_SHARE);
      writes = new TokenBucket(share, share, timers.now());
      writes.drain(timers.now());
    }
  }

  /** Sends a read that may wait for its turn. */
  void read(String path, TimeSpan timeout, Consumer<HttpOutcome> done) {
    enqueue(waitingReads, 0, () -> send(HttpRequest.get(path), timeout, done));
  }

  void readNow(String path, Consumer<HttpOutcome> done) {
    requests.force(1, timers.now());
    send(HttpRequest.get(path), TIMEOUT, done);
  }

  void grant(TimeSpan ttl, Consumer<HttpOutcome> done) {
    requests.force(1, timers.now());
    send(
        HttpRequest.post(
            KeyValueStoreCodec.LEASES_PATH, KeyValueStoreCodec.writeLeaseGrant(ttl.millis())),
        TIMEOUT,
        done);
  }

  void renew(Incarnation lease, TimeSpan timeout, Consumer<HttpOutcome> done) {
    requests.force(1, timers.now());
    send(HttpRequest.post(KeyValueStoreCodec.renewPath(lease), new byte[0]), timeout, done);
  }

  void end(Incarnation lease, Consumer<HttpOutcome> done) {
    requests.force(1, timers.now());
    send(HttpRequest.delete(KeyValueStoreCodec.leasePath(lease)), TIMEOUT, done);
  }

  /** How many changes a transaction could make that goes out at once. */
  public int changesAffordable() {
    boolean busy = !waitingTxns.isEmpty() || requests.level(timers.now()) < 1;
    return busy ? 0 : (int) Math.max(0, writes.level(timers.now()));
  }

  /** Sends a transaction when its turn comes. */
  public void txn(
      List<Precondition> guards, List<Mutation> changes, Consumer<TransactionResult> done) {
    enqueue(waitingTxns, changes.size(), () -> sendTxn(guards, changes, done));
  }

  /** Sends a transaction: at once where it is urgent, else when its turn comes. */
  public void txn(
      List<Precondition> guards,
      List<Mutation> changes,
      boolean urgent,
      Consumer<TransactionResult> done) {
    if (urgent) {
      txnNow(guards, changes, done);
    } else {
      txn(guards, changes, done);
    }
  }

  /** Sends a transaction that must not wait. */
  void txnNow(List<Precondition> guards, List<Mutation> changes, Consumer<TransactionResult> done) {
    requests.force(1, timers.now());
    writes.force(changes.size(), timers.now());
    sendTxn(guards, changes, done);
  }

  private void sendTxn(
      List<Precondition> guards, List<Mutation> changes, Consumer<TransactionResult> done) {
    HttpRequest request =
        HttpRequest.post(
            KeyValueStoreCodec.TRANSACTION_PATH,
            KeyValueStoreCodec.writeTransaction(guards, changes));
    send(request, TIMEOUT, outcome -> done.accept(readTxn(outcome)));
  }

  private static TransactionResult readTxn(HttpOutcome outcome) {
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
          // Taken for an ended lease, one that is too large was sent again, the same, for ever.
          yield TransactionResult.of(
              why.contains(KeyValueStoreCodec.LEASE_EXPIRED)
                  ? TransactionResult.Kind.NO_LEASE
                  : TransactionResult.Kind.TOO_LARGE);
        }
        case 429 -> TransactionResult.of(TransactionResult.Kind.REFUSED);
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
        service,
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
    // Reads do not wait behind a transaction that is short of changes.
    drain(waitingReads);
    drain(waitingTxns);
    if (!draining && !(waitingReads.isEmpty() && waitingTxns.isEmpty())) {
      draining = true;
      timers.after(
          WAIT_FOR_BUDGET,
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
