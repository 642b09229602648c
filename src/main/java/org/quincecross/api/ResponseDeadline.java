package org.quincecross.api;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.quincecross.net.Timers;

/**
 * Responds to requests before their users stop waiting. A request without a response costs its user
 * the whole timeout, while one that is rejected in time is soon retried. What the request started
 * may still complete; the retry then finds it done.
 */
final class ResponseDeadline {
  private static final class GuardedReply implements Consumer<HttpResponse> {
    private final MonotonicTime until;
    private Consumer<HttpResponse> reply;

    GuardedReply(MonotonicTime until, Consumer<HttpResponse> reply) {
      this.until = until;
      this.reply = reply;
    }

    @Override
    public void accept(HttpResponse response) {
      Consumer<HttpResponse> to = reply;
      reply = null;
      if (to != null) {
        to.accept(response);
      }
    }
  }

  private final Timers timers;
  private final TimeSpan within;
  private final HttpResponse fallback;
  private final ArrayDeque<GuardedReply> open = new ArrayDeque<>();
  private boolean armed;

  /**
   * Creates a deadline: requests without a response {@code within} this time get {@code fallback}.
   */
  ResponseDeadline(Timers timers, TimeSpan within, HttpResponse fallback) {
    this.timers = timers;
    this.within = within;
    this.fallback = fallback;
  }

  /**
   * Wraps a reply so that it is called in time: the first response is sent, later ones are dropped.
   */
  Consumer<HttpResponse> guard(Consumer<HttpResponse> reply) {
    GuardedReply guarded = new GuardedReply(timers.now().plus(within), reply);
    open.add(guarded);
    arm();
    return guarded;
  }

  private void arm() {
    while (!open.isEmpty() && open.peek().reply == null) {
      open.poll();
    }
    if (!armed && !open.isEmpty()) {
      armed = true;
      timers.after(
          open.peek().until.since(timers.now()),
          () -> {
            armed = false;
            MonotonicTime now = timers.now();
            while (!open.isEmpty()
                && (open.peek().reply == null || !now.isBefore(open.peek().until))) {
              open.poll().accept(fallback);
            }
            arm();
          });
    }
  }
}
