package org.quincecross.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.quincecross.http.HttpParser;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;

/** Sends HTTP requests on connections that are kept alive and reused. */
public final class HttpClient implements HttpCaller {
  /** The longest response that is read; a watch may return thousands of changes at once. */
  private static final int MOST_BODY = 16 * 1024 * 1024;

  private static final int MOST_KEPT = 4;
  private static final TimeSpan KEEP = TimeSpan.ofSeconds(20);
  private static final TimeSpan SWEEP_EVERY = TimeSpan.ofSeconds(5);

  /** The states of a connection with regard to its current call. */
  private enum State {
    IDLE,
    WAITING,
    OVER
  }

  private final EventLoop loop;
  private final Map<Endpoint, ArrayDeque<Line>> kept = new HashMap<>();

  /**
   * Deadlines of calls, served by a single timer: almost all calls are answered long before, and a
   * timer for each would wake the process needlessly.
   */
  private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>();

  private MonotonicTime armedFor;
  private boolean closed;

  private record Deadline(MonotonicTime at, Line line, long call) implements Comparable<Deadline> {
    boolean isOpen() {
      return line.state == State.WAITING && line.call == call;
    }

    @Override
    public int compareTo(Deadline other) {
      return at.compareTo(other.at);
    }
  }

  public HttpClient(EventLoop loop) {
    this.loop = loop;
    loop.after(SWEEP_EVERY, this::sweep);
  }

  /** Closes idle connections; calls in progress complete normally. */
  public void close() {
    closed = true;
    kept.values().forEach(lines -> lines.forEach(line -> line.connection.close()));
    kept.clear();
  }

  @Override
  public void call(Endpoint to, HttpRequest request, TimeSpan timeout, Consumer<HttpOutcome> done) {
    Line line = null;
    ArrayDeque<Line> lines = kept.get(to);
    if (lines != null) {
      line = lines.pollLast();
    }
    try {
      if (line == null) {
        line = new Line(to);
      }
    } catch (IOException | RuntimeException e) {
      loop.after(TimeSpan.ofMillis(1), () -> done.accept(HttpOutcome.failed(false)));
      return;
    }
    line.start(request, timeout, done);
  }

  private void sweep() {
    if (closed) {
      return;
    }
    loop.after(SWEEP_EVERY, this::sweep);
    MonotonicTime now = loop.now();
    kept.values()
        .removeIf(
            lines -> {
              while (!lines.isEmpty()
                  && now.since(lines.peekFirst().idleSince).isLongerThan(KEEP)) {
                lines.pollFirst().connection.close();
              }
              return lines.isEmpty();
            });
  }

  private void forget(Endpoint to) {
    ArrayDeque<Line> lines = kept.remove(to);
    if (lines != null) {
      lines.forEach(line -> line.connection.close());
    }
  }

  private void arm() {
    while (!deadlines.isEmpty() && !deadlines.peek().isOpen()) {
      deadlines.poll();
    }
    if (!deadlines.isEmpty() && (armedFor == null || deadlines.peek().at().isBefore(armedFor))) {
      MonotonicTime at = deadlines.peek().at();
      armedFor = at;
      loop.after(
          at.since(loop.now()),
          () -> {
            if (at.equals(armedFor)) {
              armedFor = null;
              expire();
            }
          });
    }
  }

  private void expire() {
    MonotonicTime now = loop.now();
    while (!deadlines.isEmpty() && !now.isBefore(deadlines.peek().at())) {
      Deadline next = deadlines.poll();
      if (next.isOpen()) {
        // Other kept connections to an endpoint that did not respond are probably broken as well;
        // each would cost another timeout.
        forget(next.line().to);
        next.line().finish(HttpOutcome.failed(next.line().sent), false);
      }
    }
    arm();
  }

  private final class Line implements Connection.Sink {
    private final Endpoint to;
    private final Connection connection;
    private final HttpParser parser = new HttpParser(HttpParser.Role.RESPONSES, MOST_BODY);
    private State state = State.IDLE;
    private Consumer<HttpOutcome> done;
    private boolean sent;
    private long call;
    private MonotonicTime idleSince;

    Line(Endpoint to) throws IOException {
      this.to = to;
      connection = Connection.connect(loop, to, this);
    }

    /** The only method that changes the state. */
    private void enter(State next) {
      state = next;
    }

    void start(HttpRequest request, TimeSpan timeout, Consumer<HttpOutcome> whenDone) {
      enter(State.WAITING);
      done = whenDone;
      sent = connection.state() == Connection.State.OPEN;
      long mine = ++call;
      connection.send(request.encode(to.toString()));
      deadlines.add(new Deadline(loop.now().plus(timeout), this, mine));
      arm();
    }

    private void finish(HttpOutcome outcome, boolean keep) {
      Consumer<HttpOutcome> whenDone = done;
      done = null;
      if (keep && !closed) {
        enter(State.IDLE);
        parser.next();
        idleSince = loop.now();
        ArrayDeque<Line> lines = kept.computeIfAbsent(to, e -> new ArrayDeque<>());
        lines.add(this);
        if (lines.size() > MOST_KEPT) {
          lines.pollFirst().connection.close();
        }
      } else {
        enter(State.OVER);
        connection.close();
      }
      whenDone.accept(outcome);
    }

    @Override
    public void connected() {
      sent = true;
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (state != State.WAITING) {
        drop();
        return;
      }
      HttpParser.Phase phase = parser.feed(bytes);
      if (phase == HttpParser.Phase.COMPLETE) {
        var response = parser.response();
        finish(HttpOutcome.answered(response), !response.close() && !bytes.hasRemaining());
      } else if (phase == HttpParser.Phase.FAILED) {
        finish(HttpOutcome.failed(true), false);
      }
    }

    @Override
    public void closed() {
      if (state != State.WAITING) {
        drop();
        return;
      }
      if (parser.end() == HttpParser.Phase.COMPLETE) {
        finish(HttpOutcome.answered(parser.response()), false);
      } else {
        finish(HttpOutcome.failed(sent), false);
      }
    }

    private void drop() {
      enter(State.OVER);
      connection.close();
      ArrayDeque<Line> lines = kept.get(to);
      if (lines != null) {
        lines.remove(this);
      }
    }
  }
}
