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
import org.quincecross.model.Endpoint;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.TimeSpan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Listens for frames, each preceded by its length. */
public final class FrameServer implements EventLoop.SocketHandler {
  /** The longest accepted frame; a longer one closes its connection. */
  static final int MAX_FRAME_BYTES = 1024 * 1024;

  private static final int MAX_CONNECTIONS = 32;

  /**
   * Each sender transmits twice a second, so a connection that is silent for longer has been
   * abandoned.
   */
  private static final TimeSpan IDLE_TIMEOUT = TimeSpan.ofSeconds(20);

  private static final TimeSpan SWEEP_INTERVAL = TimeSpan.ofSeconds(5);
  private static final Logger LOG = LoggerFactory.getLogger(FrameServer.class);

  /** Handles frames; false closes the connection that the frame came on. */
  public interface Handler {
    boolean frame(byte[] frame);
  }

  private final EventLoop loop;
  private final Handler handler;
  private final ServerSocketChannel channel;
  private final Set<Receiver> receivers = new LinkedHashSet<>();

  public FrameServer(EventLoop loop, Endpoint listen, Handler handler) throws IOException {
    this.loop = loop;
    this.handler = handler;
    channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.bind(new InetSocketAddress(listen.host(), listen.port()));
    loop.register(channel, SelectionKey.OP_ACCEPT, this);
    loop.every(SWEEP_INTERVAL, this::sweep);
  }

  private void sweep() {
    MonotonicTime now = loop.now();
    for (Receiver receiver : List.copyOf(receivers)) {
      if (now.since(receiver.lastReceived).isLongerThan(IDLE_TIMEOUT)) {
        receiver.closeWith("quiet");
      }
    }
  }

  @Override
  public void ready(SelectionKey key) throws IOException {
    SocketChannel socket = channel.accept();
    if (socket == null) {
      return;
    }
    if (receivers.size() >= MAX_CONNECTIONS) {
      socket.close();
      return;
    }
    receivers.add(new Receiver(socket));
  }

  @Override
  public void failed(IOException cause) {
    LOG.error("error on the peer socket: {}", cause.getMessage());
  }

  private final class Receiver implements Connection.Sink {
    private final Connection connection;
    private ByteBuffer buffered = ByteBuffer.allocate(0);
    private MonotonicTime lastReceived = loop.now();

    Receiver(SocketChannel socket) throws IOException {
      connection = new Connection(loop, socket, this, true);
    }

    @Override
    public void received(ByteBuffer bytes) {
      lastReceived = loop.now();
      ByteBuffer joined =
          ByteBuffer.allocate(buffered.remaining() + bytes.remaining())
              .put(buffered)
              .put(bytes)
              .flip();
      while (joined.remaining() >= 4) {
        int length = joined.getInt(joined.position());
        if (length < 0 || length > MAX_FRAME_BYTES) {
          closeWith("frame of " + length + " bytes");
          return;
        }
        if (joined.remaining() < 4 + length) {
          break;
        }
        byte[] frame = new byte[length];
        joined.position(joined.position() + 4);
        joined.get(frame);
        if (!handler.frame(frame)) {
          closeWith("unreadable frame");
          return;
        }
      }
      buffered = joined;
    }

    private void closeWith(String why) {
      LOG.info("peer connection closed: {}", why);
      connection.close();
      closed();
    }

    @Override
    public void closed() {
      receivers.remove(this);
    }
  }
}
