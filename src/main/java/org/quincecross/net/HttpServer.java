package org.quincecross.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.quincecross.http.HttpParser;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Endpoint;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Listens for HTTP requests. Slow and idle clients are timed out, and excess connections are shed.
 */
public final class HttpServer implements EventLoop.SocketHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** Time limit for a client to complete a request. */
  private static final TimeSpan REQUEST_TIMEOUT = TimeSpan.ofSeconds(10);

  private static final TimeSpan IDLE_TIMEOUT = TimeSpan.ofSeconds(90);
  private static final TimeSpan SWEEP_INTERVAL = TimeSpan.ofSeconds(2);

  private final EventLoop loop;
  private final HttpHandler handler;
  private final int maxConnections;
  private final ServerSocketChannel channel;
  private final Set<Client> clients = new LinkedHashSet<>();
  private boolean closed;

  public HttpServer(EventLoop loop, Endpoint listen, int maxConnections, HttpHandler handler)
      throws IOException {
    this.loop = loop;
    this.handler = handler;
    this.maxConnections = maxConnections;
    channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.bind(new InetSocketAddress(listen.host(), listen.port()), 512);
    loop.register(channel, SelectionKey.OP_ACCEPT, this);
    loop.after(SWEEP_INTERVAL, this::sweep);
  }

  /** Stops listening and closes all connections. */
  public void close() {
    closed = true;
    List.copyOf(clients).forEach(Client::disconnect);
    try {
      channel.close();
    } catch (IOException e) {
      LOG.debug("closing a listening socket: {}", e.getMessage());
    }
  }

  @Override
  public void ready(SelectionKey key) throws IOException {
    for (int i = 0; i < 64; i++) {
      SocketChannel socket;
      try {
        socket = channel.accept();
      } catch (IOException e) {
        // Out of sockets: the listener itself is intact and must survive the shortage.
        LOG.error("cannot accept a connection: {}", e.getMessage());
        shedIdle();
        return;
      }
      if (socket == null) {
        return;
      }
      if (clients.size() >= maxConnections && !shedIdle()) {
        // Rejected at once; left in the accept queue it would wait, and so would those behind it.
        socket.close();
        continue;
      }
      socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
      clients.add(new Client(socket));
    }
  }

  @Override
  public void failed(IOException cause) {
    LOG.error("error on the listening socket: {}", cause.getMessage());
  }

  /**
   * Closes the connection that has been idle longest, so that health checks and agents still get
   * one; false if none is idle.
   */
  private boolean shedIdle() {
    for (Client client : clients) {
      if (!client.busy) {
        client.disconnect();
        return true;
      }
    }
    return false;
  }

  private void sweep() {
    if (closed) {
      return;
    }
    loop.after(SWEEP_INTERVAL, this::sweep);
    MonotonicTime now = loop.now();
    for (Client client : List.copyOf(clients)) {
      TimeSpan idle = now.since(client.since);
      if (!client.busy
          && idle.isLongerThan(client.parser.isMidMessage() ? REQUEST_TIMEOUT : IDLE_TIMEOUT)) {
        client.disconnect();
      }
    }
  }

  private final class Client implements Connection.Sink {
    private final Connection connection;
    private final HttpParser parser = new HttpParser(HttpParser.Role.REQUESTS, MAX_BODY_BYTES);
    private ByteBuffer buffered = ByteBuffer.allocate(0);
    private boolean busy;
    private MonotonicTime since = loop.now();

    Client(SocketChannel socket) throws IOException {
      connection = new Connection(loop, socket, this, true);
    }

    void disconnect() {
      connection.close();
      clients.remove(this);
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (buffered.hasRemaining()) {
        ByteBuffer joined = ByteBuffer.allocate(buffered.remaining() + bytes.remaining());
        joined.put(buffered).put(bytes).flip();
        buffered = joined;
      } else {
        buffered = bytes;
      }
      if (busy && buffered.remaining() > 2 * MAX_BODY_BYTES) {
        disconnect();
        return;
      }
      proceed();
    }

    private void proceed() {
      while (!busy && connection.state() == Connection.State.OPEN && buffered.hasRemaining()) {
        if (!parser.isMidMessage()) {
          since = loop.now();
        }
        HttpParser.Phase phase = parser.feed(buffered);
        if (phase == HttpParser.Phase.FAILED) {
          connection.send(HttpResponse.of(parser.failure()).closing().encode());
          connection.closeAfterFlush();
          clients.remove(this);
        } else if (phase == HttpParser.Phase.COMPLETE) {
          var request = parser.request();
          parser.next();
          busy = true;
          boolean[] answered = new boolean[1];
          handler.handle(
              request,
              response -> {
                if (!answered[0]) {
                  answered[0] = true;
                  answer(request.close() ? response.closing() : response);
                }
              });
        }
      }
    }

    private void answer(HttpResponse response) {
      busy = false;
      since = loop.now();
      if (clients.remove(this)) {
        clients.add(this); // keeps the set in order of last use
      }
      connection.send(response.encode());
      if (response.close()) {
        connection.closeAfterFlush();
        clients.remove(this);
      } else {
        proceed();
      }
    }

    @Override
    public void closed() {
      clients.remove(this);
    }
  }
}
