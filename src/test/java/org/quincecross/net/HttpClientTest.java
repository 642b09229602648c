package org.quincecross.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quincecross.http.HttpRequest;
import org.quincecross.model.Endpoint;
import org.quincecross.model.TimeSpan;

/**
 * A host that stops answering on established connections but answers on new ones, with real
 * sockets.
 */
class HttpClientTest {
  private static final byte[] OK =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final EventLoop loop = new EventLoop();
  private final HttpClient client = new HttpClient(loop);
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private volatile int answersPerConnection = 1;

  HttpClientTest() throws IOException {
    startDaemon(
        () -> {
          while (true) {
            Socket socket = server.accept();
            startDaemon(() -> serve(socket));
          }
        });
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void startDaemon(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // the test has ended
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Answers the configured number of requests, and none after that. */
  private void serve(Socket socket) throws IOException {
    int end = 0;
    for (int answered = 0; answered < answersPerConnection; ) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return;
      }
      end = next == (end % 2 == 0 ? '\r' : '\n') ? end + 1 : 0;
      if (end == 4) {
        end = 0;
        answered++;
        socket.getOutputStream().write(OK);
      }
    }
  }

  @AfterEach
  void stop() throws IOException {
    loop.stop();
    server.close();
  }

  /**
   * After a timeout on one connection, the other pooled connections are not tried: each would cost
   * another timeout.
   */
  @Test
  void timeoutDiscardsAllPooledConnectionsOfHost() throws Exception {
    Endpoint host = new Endpoint("127.0.0.1", server.getLocalPort());
    CompletableFuture<String> outcomes = new CompletableFuture<>();
    // Three concurrent calls open three connections, which are pooled; the next call finds its
    // connection silent.
    StringBuilder seen = new StringBuilder();
    for (int i = 0; i < 3; i++) {
      client.call(
          host,
          HttpRequest.get("/x"),
          TimeSpan.ofSeconds(5),
          first -> {
            seen.append(first.status()).append(' ');
            if (seen.length() == 12) {
              client.call(
                  host,
                  HttpRequest.get("/x"),
                  TimeSpan.ofSeconds(0.2),
                  silent -> {
                    seen.append(silent.status()).append(' ');
                    client.call(
                        host,
                        HttpRequest.get("/x"),
                        TimeSpan.ofSeconds(0.2),
                        next -> outcomes.complete(seen.toString() + next.status()));
                  });
            }
          });
    }
    startDaemon(loop::run);
    assertEquals("200 200 200 0 200", outcomes.get(10, TimeUnit.SECONDS));
  }
}
