package org.quincecross.api;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quincecross.failuredetection.IsolationDetector;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;
import org.quincecross.protocol.JobCodec;

/**
 * How requests are refused that need the state service while it is not heard. The users' balancer
 * favours whoever has the fewest open connections: a controller that refuses at once has none, and
 * draws all. So where it is known to be alone the refusal is held for a moment, in which word may
 * come and the request be answered after all; then it ends the connection, for the next one to be
 * made to another controller.
 */
final class LoadShedder {
  /** Of a poll's 2 s; several times what another controller takes for an answer. */
  private static final TimeSpan HELD = TimeSpan.ofSeconds(1);

  /** Each takes a socket. */
  private static final int MAX_HELD = 100;

  private final Timers timers;
  private final Supplier<IsolationDetector.State> aloneness;
  private final BooleanSupplier cutOff;
  private int held;

  LoadShedder(Timers timers, Supplier<IsolationDetector.State> aloneness, BooleanSupplier cutOff) {
    this.timers = timers;
    this.aloneness = aloneness;
    this.cutOff = cutOff;
  }

  private static HttpResponse refusal() {
    return HttpResponse.of(503, JobCodec.writeError("the state service cannot be reached"))
        .withRetryAfter(1);
  }

  /** Refuses a request, or has it tried {@code again} if there is word by then. */
  void refuse(Consumer<HttpResponse> reply, Runnable again) {
    if (aloneness.get().takesUsers() || held >= MAX_HELD) {
      reply.accept(refusal());
      return;
    }
    held++;
    timers.after(
        HELD,
        () -> {
          held--;
          if (cutOff.getAsBoolean()) {
            reply.accept(refusal().closing());
          } else {
            again.run();
          }
        });
  }
}
