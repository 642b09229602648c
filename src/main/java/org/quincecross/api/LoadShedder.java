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
 * Rejects requests that need the store while it is unreachable. The load balancer prefers the
 * controller with the fewest open connections, so a controller that rejects at once would attract
 * all requests. If the controller is known to be isolated, the rejection is therefore delayed
 * briefly; contact may return in that time, and the request is then served. Afterwards the
 * connection is closed, so that the next request goes to another controller.
 */
final class LoadShedder {
  /** Part of a poll's 2 s; several times what another controller needs for a response. */
  private static final TimeSpan REJECTION_DELAY = TimeSpan.ofSeconds(1);

  /** Each delayed rejection occupies a socket. */
  private static final int MAX_DELAYED = 100;

  private final Timers timers;
  private final Supplier<IsolationDetector.State> isolation;
  private final BooleanSupplier isDisconnected;
  private int delayed;

  LoadShedder(
      Timers timers, Supplier<IsolationDetector.State> isolation, BooleanSupplier isDisconnected) {
    this.timers = timers;
    this.isolation = isolation;
    this.isDisconnected = isDisconnected;
  }

  private static HttpResponse rejection() {
    return HttpResponse.of(503, JobCodec.writeError("the state service cannot be reached"))
        .withRetryAfter(1);
  }

  /**
   * Rejects a request after {@link #REJECTION_DELAY}, or runs {@code retry} if contact has returned
   * by then. Rejects at once while this controller takes users, or if too many requests wait.
   */
  void reject(Consumer<HttpResponse> reply, Runnable retry) {
    if (isolation.get().takesUsers() || delayed >= MAX_DELAYED) {
      reply.accept(rejection());
      return;
    }
    delayed++;
    timers.after(
        REJECTION_DELAY,
        () -> {
          delayed--;
          if (isDisconnected.getAsBoolean()) {
            reply.accept(rejection().closing());
          } else {
            retry.run();
          }
        });
  }
}
