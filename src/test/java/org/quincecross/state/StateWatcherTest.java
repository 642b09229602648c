package org.quincecross.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quincecross.http.HttpRequest;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Endpoint;
import org.quincecross.net.HttpOutcome;
import org.quincecross.net.ManualTimers;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.Settings;

/**
 * Whether the cache is complete up to the confirmed revision. The test produces every answer of the
 * state service.
 */
class StateWatcherTest {
  private record Call(HttpRequest request, Consumer<HttpOutcome> done) {
    boolean isPage() {
      return request.path().equals("/keys");
    }

    boolean isWatch() {
      return !isPage() && request.query("BlockMs") != null && !request.query("BlockMs").equals("0");
    }

    boolean isBarrier() {
      return !isPage() && !isWatch();
    }
  }

  private final ManualTimers clock = new ManualTimers();
  private final ClusterStateCache cache = new ClusterStateCache();
  private final List<Call> calls = new ArrayList<>();
  private StateWatcher watcher;
  private long asked;

  @BeforeEach
  void readRecords() {
    Endpoint state = new Endpoint("10.0.0.1", 80);
    KeyValueStoreClient store =
        new KeyValueStoreClient(
            clock,
            (to, request, timeout, done) -> calls.add(new Call(request, done)),
            state,
            new Settings.StoreLimits(10_000, 1000, 4096, 8));
    watcher = new StateWatcher(clock, store, cache);
    watcher.start();
    answerPages(10);
    answer(barrier(), 10); // the changes since the first page
    answer(barrier(), 10);
    assertEquals(10, cache.revision().value());
  }

  private void answerPages(long revision) {
    last(Call::isPage)
        .done()
        .accept(
            HttpOutcome.answered(
                HttpResponse.of(
                    200,
                    Json.write(
                        Json.object("Items", List.of(), "More", false, "Epoch", revision)))));
  }

  private Call last(Predicate<Call> which) {
    for (int i = calls.size() - 1; i >= 0; i--) {
      if (which.test(calls.get(i))) {
        return calls.remove(i);
      }
    }
    throw new AssertionError("no such call: " + calls);
  }

  private Call barrier() {
    return last(Call::isBarrier);
  }

  private Call watch() {
    return last(Call::isWatch);
  }

  private static void answer(Call call, long revision) {
    call.done()
        .accept(
            HttpOutcome.answered(
                HttpResponse.of(
                    200, Json.write(Json.object("Epoch", revision, "Log", List.of())))));
  }

  private static void refuse(Call call, int status) {
    call.done().accept(HttpOutcome.answered(HttpResponse.of(status)));
  }

  /** The age of the last confirmation by the state service, in seconds. */
  private double unconfirmedS() {
    return clock.now().since(watcher.confirmedAt()).seconds();
  }

  /**
   * A watch waits without an answer, other requests get 503, and some answers arrive late: an
   * answer confirms the state as of the time when its request was sent, and nothing else does.
   */
  @Test
  void onlyAnswersConfirmAsOfTheirRequestTime() {
    Call open = watch();
    clock.advance(0.6);
    Call slow = barrier();
    clock.advance(1);
    answer(slow, 11);
    assertEquals(1.1, unconfirmedS(), 0.11, "a slow answer");
    for (int i = 0; i < 40; i++) {
      clock.advance(0.25);
      calls.removeIf(
          call -> {
            boolean refused = call.isBarrier();
            if (refused) {
              refuse(call, 503);
            }
            return refused;
          });
    }
    assertEquals(11.1, unconfirmedS(), 0.2, "refused beside a watch that waits");
    answer(open, 12);
    assertEquals(
        11.1,
        unconfirmedS(),
        0.2,
        "a watch that was opened before the last word says nothing of what came since");
    assertEquals(12, cache.revision().value());
  }

  /**
   * A watch is too old although a barrier has advanced the cache meanwhile, so all records are read
   * again. Nothing else may advance the cache during that read: changes received through a barrier
   * would be reverted by records that were read before.
   */
  @Test
  void fullReadRevertsNoLaterChange() {
    cache.addListener(
        changes ->
            assertTrue(
                cache.revision().value() >= asked, "the cache went back to " + cache.revision()));
    refuse(watch(), 410);
    answerPages(20);
    Call catchingUp = barrier();
    List<Boolean> told = new ArrayList<>();
    watcher.barrier(told::add);
    clock.advance(0.1);
    for (Call call : List.copyOf(calls)) {
      if (call.isBarrier()) {
        calls.remove(call);
        answer(call, 25);
        asked = cache.revision().value();
      }
    }
    answer(catchingUp, 20);
    assertEquals(List.of(false), told);
    assertEquals(20, cache.revision().value());
    assertTrue(asked <= 20);
  }
}
