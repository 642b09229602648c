package org.quincecross.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import org.quincecross.model.Endpoint;

/**
 * A TCP connection on the event loop: received bytes go to a sink, and bytes that cannot be written
 * yet are buffered.
 */
final class Connection implements EventLoop.SocketHandler {
  /** The states of a connection. */
  enum State {
    CONNECTING,
    OPEN,
    FLUSHING,
    CLOSED
  }

  /** Receives the events of a connection. */
  interface Sink {
    default void connected() {}

    /** Consumes all of the bytes. */
    void received(ByteBuffer bytes);

    /** The connection has ended; called once, unless this side closed it. */
    void closed();
  }

  private static final ByteBuffer SCRATCH = ByteBuffer.allocateDirect(64 * 1024);

  private final SocketChannel channel;
  private final Sink sink;
  private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
  private SelectionKey key;
  private State state;

  Connection(EventLoop loop, SocketChannel channel, Sink sink, boolean connected)
      throws IOException {
    this.channel = channel;
    this.sink = sink;
    setState(connected ? State.OPEN : State.CONNECTING);
    key = loop.register(channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
  }

  /** Starts connecting; the sink is notified of success or failure. */
  static Connection connect(EventLoop loop, Endpoint to, Sink sink) throws IOException {
    SocketChannel socket = SocketChannel.open();
    try {
      socket.configureBlocking(false);
      socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
      boolean connected = socket.connect(new InetSocketAddress(to.host(), to.port()));
      return new Connection(loop, socket, sink, connected);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** The only method that changes the state. */
  private void setState(State next) {
    state = next;
  }

  State state() {
    return state;
  }

  void send(byte[] bytes) {
    if (state == State.CLOSED || state == State.FLUSHING) {
      return;
    }
    unsent.add(ByteBuffer.wrap(bytes));
    if (state == State.OPEN) {
      try {
        flush();
      } catch (IOException e) {
        failed(e);
      }
    }
  }

  int unsentBytes() {
    int bytes = 0;
    for (ByteBuffer buffer : unsent) {
      bytes += buffer.remaining();
    }
    return bytes;
  }

  /** Closes once everything has been written. */
  void closeAfterFlush() {
    if (unsent.isEmpty()) {
      close();
    } else if (state == State.OPEN) {
      setState(State.FLUSHING);
    }
  }

  /** Closes without notifying the sink. */
  void close() {
    if (state == State.CLOSED) {
      return;
    }
    setState(State.CLOSED);
    unsent.clear();
    try {
      channel.close();
    } catch (IOException e) {
      // the channel is discarded in any case
    }
  }

  @Override
  public void failed(IOException cause) {
    if (state != State.CLOSED) {
      close();
      sink.closed();
    }
  }

  @Override
  public void ready(SelectionKey ready) throws IOException {
    if (ready.isConnectable() && channel.finishConnect()) {
      setState(State.OPEN);
      key.interestOps(SelectionKey.OP_READ);
      sink.connected();
      flush();
    }
    if (state != State.CLOSED && ready.isValid() && ready.isWritable()) {
      flush();
    }
    if (state != State.CLOSED && ready.isValid() && ready.isReadable()) {
      read();
    }
  }

  private void read() throws IOException {
    SCRATCH.clear();
    int n = channel.read(SCRATCH);
    if (n < 0) {
      failed(new IOException("end of stream"));
    } else if (n > 0) {
      SCRATCH.flip();
      byte[] copy = new byte[n];
      SCRATCH.get(copy);
      sink.received(ByteBuffer.wrap(copy));
    }
  }

  private void flush() throws IOException {
    while (!unsent.isEmpty()) {
      channel.write(unsent.peek());
      if (unsent.peek().hasRemaining()) {
        key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        return;
      }
      unsent.poll();
    }
    if (state == State.FLUSHING) {
      close();
    } else if (key.isValid()) {
      key.interestOps(SelectionKey.OP_READ);
    }
  }
}
