package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A small HTTP/1.1 server and client for the stand-ins: one thread for each connection. */
final class Http {
  record Request(String method, String path, String query, byte[] body) {
    String parameter(String name) {
      for (String pair : query.split("&")) {
        if (pair.startsWith(name + "=")) {
          return pair.substring(name.length() + 1);
        }
      }
      return null;
    }
  }

  /** {@code status} 0: no answer, the connection is closed. */
  record Response(int status, byte[] body) {
    static final Response NONE = new Response(0, new byte[0]);
  }

  interface Handler {
    Response handle(Request request) throws Exception;
  }

  /** A listening server; {@link #close} frees its port and closes its connections. */
  static final class Server implements AutoCloseable {
    private final ServerSocket socket;
    private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();

    Server(int port, Handler handler) throws IOException {
      socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
      thread(
          () -> {
            while (!socket.isClosed()) {
              try {
                Socket next = socket.accept();
                open.add(next);
                thread(() -> serve(next, handler));
              } catch (IOException e) {
                return;
              }
            }
          });
    }

    int port() {
      return socket.getLocalPort();
    }

    private void serve(Socket connection, Handler handler) {
      try (connection) {
        connection.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        while (true) {
          String first = line(in);
          if (first == null) {
            return;
          }
          String[] parts = first.split(" ");
          int length = 0;
          boolean close = false;
          for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
              length = Integer.parseInt(lower.substring(15).strip());
            }
            close |= lower.startsWith("connection:") && lower.contains("close");
          }
          byte[] body = in.readNBytes(length);
          int mark = parts[1].indexOf('?');
          Response response =
              handler.handle(
                  new Request(
                      parts[0],
                      mark < 0 ? parts[1] : parts[1].substring(0, mark),
                      mark < 0 ? "" : parts[1].substring(mark + 1),
                      body));
          if (response.status() == 0) {
            return;
          }
          ByteArrayOutputStream all = new ByteArrayOutputStream();
          all.write(
              ("HTTP/1.1 "
                      + response.status()
                      + " X\r\nContent-Type: application/json\r\nContent-Length: "
                      + response.body().length
                      + "\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
          all.write(response.body());
          out.write(all.toByteArray());
          out.flush();
          if (close) {
            return;
          }
        }
      } catch (Exception e) {
        // the other side has gone, or the server is closed
      } finally {
        open.remove(connection);
      }
    }

    @Override
    public void close() {
      try {
        socket.close();
        for (Socket each : open) {
          each.close();
        }
      } catch (IOException e) {
        // it is closed in any case
      }
    }
  }

  static void thread(Runnable run) {
    Thread thread = new Thread(null, run, "standin", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      if (c != '\r') {
        text.write(c);
      }
    }
    return text.toString(StandardCharsets.ISO_8859_1);
  }

  /** Sends a request on a connection of its own; status 0 if there is no response in time. */
  static Response call(int port, String method, String target, byte[] body, int timeoutMs) {
    long until = System.nanoTime() + timeoutMs * 1_000_000L;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), Math.min(timeoutMs, 500));
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) Math.max(1, (until - System.nanoTime()) / 1_000_000));
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(
          (method
                  + " "
                  + target
                  + " HTTP/1.1\r\nHost: 127.0.0.1:"
                  + port
                  + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
                  + body.length
                  + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      all.write(body);
      socket.getOutputStream().write(all.toByteArray());
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String first = line(in);
      if (first == null) {
        return Response.NONE;
      }
      int length = 0;
      for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
        String lower = header.toLowerCase(Locale.ROOT);
        if (lower.startsWith("content-length:")) {
          length = Integer.parseInt(lower.substring(15).strip());
        }
      }
      return new Response(Integer.parseInt(first.split(" ")[1]), in.readNBytes(length));
    } catch (IOException e) {
      return Response.NONE;
    }
  }
}
