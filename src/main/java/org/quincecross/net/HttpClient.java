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
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private static final int MAX_IDLE_PER_ENDPOINT = 4;
  private static final TimeSpan IDLE_TIMEOUT = TimeSpan.ofSeconds(20);
  private static final TimeSpan SWEEP_INTERVAL = TimeSpan.ofSeconds(5);

  /** The states of a connection with regard to its current call. */
  private enum State {
    IDLE,
    WAITING,
    OVER
  }

  private final EventLoop loop;
  private final Map<Endpoint, ArrayDeque<ClientConnection>> idleConnections = new HashMap<>();

  /**
   * Deadlines of calls, served by a single timer: almost all calls are answered long before, and a
   * timer for each would wake the process needlessly.
   */
  private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>();

  private MonotonicTime armedFor;
  private boolean closed;

  private record Deadline(MonotonicTime at, ClientConnection connection, long call)
      implements Comparable<Deadline> {
    boolean isOpen() {
      return connection.state == State.WAITING && connection.call == call;
    }

    @Override
    public int compareTo(Deadline other) {
      return at.compareTo(other.at);
    }
  }

  public HttpClient(EventLoop loop) {
    this.loop = loop;
    loop.after(SWEEP_INTERVAL, this::sweep);
  }

  /** Closes idle connections; calls in progress complete normally. */
  public void close() {
    closed = true;
    idleConnections.values().forEach(idle -> idle.forEach(line -> line.connection.close()));
    idleConnections.clear();
  }

  @Override
  public void call(Endpoint to, HttpRequest request, TimeSpan timeout, Consumer<HttpOutcome> done) {
    ClientConnection connection = null;
    ArrayDeque<ClientConnection> idle = idleConnections.get(to);
    if (idle != null) {
      connection = idle.pollLast();
    }
    try {
      if (connection == null) {
        connection = new ClientConnection(to);
      }
    } catch (IOException | RuntimeException e) {
      loop.after(TimeSpan.ofMillis(1), () -> done.accept(HttpOutcome.failed(false)));
      return;
    }
    connection.start(request, timeout, done);
  }

  private void sweep() {
    if (closed) {
      return;
    }
    loop.after(SWEEP_INTERVAL, this::sweep);
    MonotonicTime now = loop.now();
    idleConnections
        .values()
        .removeIf(
            idle -> {
              while (!idle.isEmpty()
                  && now.since(idle.peekFirst().idleSince).isLongerThan(IDLE_TIMEOUT)) {
                idle.pollFirst().connection.close();
              }
              return idle.isEmpty();
            });
  }

  private void dropIdle(Endpoint to) {
    ArrayDeque<ClientConnection> idle = idleConnections.remove(to);
    if (idle != null) {
      idle.forEach(line -> line.connection.close());
    }
  }

  private void armTimer() {
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
              expireCalls();
            }
          });
    }
  }

  private void expireCalls() {
    MonotonicTime now = loop.now();
    while (!deadlines.isEmpty() && !now.isBefore(deadlines.peek().at())) {
      Deadline next = deadlines.poll();
      if (next.isOpen()) {
        // Other kept connections to an endpoint that did not respond are probably broken as well;
        // each would cost another timeout.
        dropIdle(next.connection().to);
        next.connection().finish(HttpOutcome.failed(next.connection().sent), false);
      }
    }
    armTimer();
  }

  private final class ClientConnection implements Connection.Sink {
    private final Endpoint to;
    private final Connection connection;
    private final HttpParser parser = new HttpParser(HttpParser.Role.RESPONSES, MAX_BODY_BYTES);
    private State state = State.IDLE;
    private Consumer<HttpOutcome> done;
    private boolean sent;
    private long call;
    private MonotonicTime idleSince;

    ClientConnection(Endpoint to) throws IOException {
      this.to = to;
      connection = Connection.connect(loop, to, this);
    }

    /** The only method that changes the state. */
    private void setState(State next) {
      state = next;
    }

    void start(HttpRequest request, TimeSpan timeout, Consumer<HttpOutcome> whenDone) {
      setState(State.WAITING);
      done = whenDone;
      sent = connection.state() == Connection.State.OPEN;
      long callNumber = ++call;
      connection.send(request.encode(to.toString()));
      deadlines.add(new Deadline(loop.now().plus(timeout), this, callNumber));
      armTimer();
    }

    private void finish(HttpOutcome outcome, boolean keep) {
      Consumer<HttpOutcome> whenDone = done;
      done = null;
      if (keep && !closed) {
        setState(State.IDLE);
        parser.next();
        idleSince = loop.now();
        ArrayDeque<ClientConnection> idle =
            idleConnections.computeIfAbsent(to, e -> new ArrayDeque<>());
        idle.add(this);
        if (idle.size() > MAX_IDLE_PER_ENDPOINT) {
          idle.pollFirst().connection.close();
        }
      } else {
        setState(State.OVER);
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
      setState(State.OVER);
      connection.close();
      ArrayDeque<ClientConnection> idle = idleConnections.get(to);
      if (idle != null) {
        idle.remove(this);
      }
    }
  }
}
