package org.quincecross.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.quincecross.model.Endpoint;
import org.quincecross.model.TimeSpan;

/**
 * Sends frames, each preceded by its length, on a connection that is re-established when it breaks.
 * A frame that cannot be sent now is dropped, because its content is sent again later.
 */
public final class FrameSender {
  private static final TimeSpan RETRY = TimeSpan.ofMillis(400);
  private static final TimeSpan CONNECT_TIMEOUT = TimeSpan.ofSeconds(2);

  private final EventLoop loop;
  private final Endpoint to;
  private Connection connection;
  private boolean waitingToRetry;

  public FrameSender(EventLoop loop, Endpoint to) {
    this.loop = loop;
    this.to = to;
  }

  /** Returns whether the frame was sent, as far as known. */
  public boolean send(byte[] frame) {
    if (connection == null && !waitingToRetry) {
      connect();
    }
    if (connection != null && connection.state() == Connection.State.OPEN) {
      if (connection.unsentBytes() > FrameServer.MAX_FRAME_BYTES) {
        dropConnection(); // the receiver no longer reads
        return false;
      }
      connection.send(
          ByteBuffer.allocate(4 + frame.length).putInt(frame.length).put(frame).array());
      return true;
    }
    return false;
  }

  /** Drops the connection; the next frame uses a new one. */
  public void reconnect() {
    if (connection != null && connection.state() == Connection.State.OPEN) {
      dropConnection();
    }
  }

  private void connect() {
    try {
      Connection attempt =
          Connection.connect(
              loop,
              to,
              new Connection.Sink() {
                @Override
                public void received(ByteBuffer bytes) {
                  // the receiver sends nothing on this connection
                }

                @Override
                public void closed() {
                  dropConnection();
                }
              });
      connection = attempt;
      loop.after(
          CONNECT_TIMEOUT,
          () -> {
            if (connection == attempt && attempt.state() == Connection.State.CONNECTING) {
              dropConnection();
            }
          });
    } catch (IOException e) {
      dropConnection();
    }
  }

  private void dropConnection() {
    if (connection != null) {
      connection.close();
      connection = null;
    }
    waitingToRetry = true;
    loop.after(RETRY, () -> waitingToRetry = false);
  }
}
