package org.quincecross.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quincecross.http.HttpResponse;
import org.quincecross.model.Endpoint;

/** A server whose connection limit is nearly reached, with real sockets. */
class HttpServerTest {
  private static final int MAX_CONNECTIONS = 40;
  private static final byte[] BEAT =
      "POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
          .getBytes(StandardCharsets.US_ASCII);
  private static final byte[] UP =
      "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final EventLoop loop = new EventLoop();
  private final List<Socket> sockets = new ArrayList<>();
  private final List<Consumer<HttpResponse>> pendingReplies = new CopyOnWriteArrayList<>();
  private final AtomicInteger handledRequests = new AtomicInteger();
  private InetSocketAddress address;
  private Thread thread;

  @BeforeEach
  void serve() throws IOException {
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    new HttpServer(
        loop,
        new Endpoint("127.0.0.1", port),
        MAX_CONNECTIONS,
        (request, reply) -> {
          handledRequests.addAndGet(
              request.method().equals("POST") && request.path().equals("/v2/runs") ? 1 : 0);
          if (request.path().equals("/held")) {
            pendingReplies.add(reply);
          } else {
            reply.accept(HttpResponse.of(200));
          }
        });
    thread =
        new Thread(
            () -> {
              try {
                loop.run();
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    thread.start();
  }

  @AfterEach
  void stop() throws Exception {
    loop.stop();
    thread.join(5000);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setSoTimeout(5000);
    socket.connect(address, 2000);
    sockets.add(socket);
    return socket;
  }

  /**
   * Sends a request, or nothing more, and returns the status of the answer; 0 if the connection
   * ends without one.
   */
  private static int send(Socket socket, byte[] request) {
    try {
      if (request.length > 0) {
        socket.getOutputStream().write(request);
      }
      InputStream in = socket.getInputStream();
      byte[] head = in.readNBytes(12);
      while (head.length == 12 && in.available() > 0) {
        in.skip(in.available());
      }
      return head.length < 12
          ? 0
          : Integer.parseInt(new String(head, 9, 3, StandardCharsets.US_ASCII));
    } catch (IOException e) {
      return 0; // connection reset
    }
  }

  /**
   * A body that is too large, by its length or chunk by chunk, or that is cut off: no handler
   * receives a request, the connection ends, and others are served.
   */
  @ParameterizedTest
  @CsvSource({
    "65537, 0, false, 413",
    "70000, 70000, false, 413",
    "20000, 3000, false, 0",
    "100, 0, false, 0",
    "70000, 70000, true, 413",
    "20000, 20000, true, 0",
    "65536, 65536, false, 200"
  })
  void incompleteOrOversizedBodyEndsConnection(int length, int sent, boolean chunked, int status)
      throws IOException {
    Socket socket = connect();
    String head =
        "POST /v2/runs HTTP/1.1\r\nHost: x\r\n"
            + (chunked
                ? "Transfer-Encoding: chunked\r\n\r\n"
                : "Content-Length: " + length + "\r\n\r\n");
    ByteArrayOutputStream request = new ByteArrayOutputStream();
    request.write(head.getBytes(StandardCharsets.US_ASCII));
    for (int at = 0; at < sent; at += 5000) {
      int part = Math.min(5000, sent - at);
      request.write(
          (chunked ? Integer.toHexString(part) + "\r\n" : "").getBytes(StandardCharsets.US_ASCII));
      request.write(" ".repeat(part).getBytes(StandardCharsets.US_ASCII));
      request.write((chunked ? "\r\n" : "").getBytes(StandardCharsets.US_ASCII));
    }
    request.write(
        (chunked && status == 413 ? "0\r\n\r\n" : "").getBytes(StandardCharsets.US_ASCII));
    try {
      socket.getOutputStream().write(request.toByteArray());
      socket.shutdownOutput();
    } catch (IOException e) {
      assertEquals(413, status, "ended while it was sent");
    }
    int answered = send(socket, new byte[0]);
    assertTrue(
        answered == status || answered == 0,
        answered + " is answered"); // data in flight when a connection ends may be lost
    assertEquals(0, send(socket, new byte[0]), "the connection goes on");
    assertEquals(status == 200 ? 1 : 0, handledRequests.get());
    assertEquals(200, send(connect(), UP));
  }

  /**
   * Twice as many workers as there are sockets reconnect at once, beside idle users: each report is
   * answered, and so is /up.
   */
  @Test
  void idleConnectionsAreClosedForReportsAndHealthChecks() throws IOException {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      connect();
    }
    for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
      assertEquals(200, send(connect(), BEAT), "report " + i);
    }
    assertEquals(200, send(connect(), UP));
  }

  /**
   * If every connection waits for an answer, one more is refused at once, and the waiting ones are
   * answered.
   */
  @Test
  void connectionBeyondLimitIsRefusedAtOnce() throws Exception {
    List<Socket> waiting = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      Socket socket = connect();
      socket
          .getOutputStream()
          .write("GET /held HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      waiting.add(socket);
    }
    while (pendingReplies.size() < MAX_CONNECTIONS) {
      Thread.sleep(5);
    }
    long begun = System.nanoTime();
    assertEquals(0, send(connect(), UP));
    assertTrue(
        System.nanoTime() - begun < 2_000_000_000L,
        "refused after " + (System.nanoTime() - begun) / 1e9 + " s");
    loop.after(
        org.quincecross.model.TimeSpan.ZERO,
        () -> pendingReplies.forEach(reply -> reply.accept(HttpResponse.of(200))));
    send(connect(), UP); // wakes the event loop; may be refused
    for (Socket socket : waiting) {
      assertEquals('H', socket.getInputStream().read());
    }
    assertEquals(200, send(connect(), UP));
  }
}
