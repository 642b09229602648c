package review;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 on loopback: a server with one thread for each connection, and a client connection. */
final class Web {
  private Web() {}

  /** A request as the server read it. */
  record Request(String method, String target, String body) {
    String path() {
      int mark = target.indexOf('?');
      return mark < 0 ? target : target.substring(0, mark);
    }

    String query(String name) {
      int mark = target.indexOf('?');
      if (mark >= 0) {
        for (String pair : target.substring(mark + 1).split("&")) {
          if (pair.startsWith(name + "=")) {
            return pair.substring(name.length() + 1);
          }
        }
      }
      return null;
    }
  }

  /** An answer; a status of 0 ends the connection without one. */
  record Answer(int status, String body) {
    static final Answer NONE = new Answer(0, "");

    static Answer of(int status, Object body) {
      return new Answer(status, body == null ? "" : Json.write(body));
    }
  }

  /** Answers requests; may block. */
  interface Handler {
    Answer handle(Request request) throws InterruptedException;
  }

  /** A server on a loopback port. */
  static final class Server implements AutoCloseable {
    private final ServerSocket socket;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    Server(int port, Handler handler) throws IOException {
      this.handler = handler;
      socket = new ServerSocket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
      daemon(this::accept);
    }

    int port() {
      return socket.getLocalPort();
    }

    private void accept() {
      while (!closed) {
        try {
          Socket client = socket.accept();
          client.setTcpNoDelay(true);
          open.add(client);
          daemon(() -> serve(client));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket client) {
      try (client) {
        InputStream in = new BufferedInputStream(client.getInputStream(), 1 << 16);
        OutputStream out = new BufferedOutputStream(client.getOutputStream(), 1 << 16);
        while (!closed) {
          String start = line(in);
          if (start == null) {
            return;
          }
          String[] parts = start.split(" ");
          Head head = Head.read(in);
          String body = new String(in.readNBytes(head.length), StandardCharsets.UTF_8);
          Answer answer;
          try {
            answer = handler.handle(new Request(parts[0], parts[1], body));
          } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
            answer = Answer.of(400, Json.object("error", String.valueOf(e.getMessage())));
          }
          if (answer.status() == 0) {
            return;
          }
          byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
          out.write(
              ("HTTP/1.1 " + answer.status() + " -\r\nContent-Length: " + bytes.length + "\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
          out.write(bytes);
          out.flush();
        }
      } catch (IOException | InterruptedException e) {
        // the connection is over
      } finally {
        open.remove(client);
      }
    }

    @Override
    public void close() {
      closed = true;
      try {
        socket.close();
        for (Socket client : open) {
          client.close();
        }
      } catch (IOException e) {
        // closed already
      }
    }
  }

  /** One connection to a server, opened when needed. */
  static final class Client implements AutoCloseable {
    private final int port;
    private Socket socket;
    private InputStream in;

    Client(int port) {
      this.port = port;
    }

    /** Sends a request and reads the answer; null if there is none in time. */
    Answer call(String method, String target, Object body, int timeoutMs) {
      try {
        if (socket == null) {
          socket = new Socket();
          socket.connect(
              new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), Math.min(timeoutMs, 500));
          socket.setTcpNoDelay(true);
          in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        }
        socket.setSoTimeout(timeoutMs);
        byte[] bytes =
            body == null ? new byte[0] : Json.write(body).getBytes(StandardCharsets.UTF_8);
        byte[] head =
            (method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1:" + port + "\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + bytes.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(bytes, 0, all, head.length, bytes.length);
        socket.getOutputStream().write(all);
        socket.getOutputStream().flush();
        String start = line(in);
        if (start == null) {
          close();
          return null;
        }
        Head answered = Head.read(in);
        String text = new String(in.readNBytes(answered.length), StandardCharsets.UTF_8);
        if (answered.close) {
          close();
        }
        return new Answer(Integer.parseInt(start.split(" ")[1]), text);
      } catch (IOException e) {
        close();
        return null;
      }
    }

    @Override
    public void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // closed already
      }
      socket = null;
    }
  }

  private record Head(int length, boolean close) {
    static Head read(InputStream in) throws IOException {
      int length = 0;
      boolean close = false;
      for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
        String lower = line.toLowerCase(Locale.ROOT);
        if (lower.startsWith("content-length:")) {
          length = Integer.parseInt(lower.substring(15).trim());
        } else if (lower.startsWith("connection:") && lower.contains("close")) {
          close = true;
        }
      }
      return new Head(length, close);
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder out = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        int end = out.length();
        return end > 0 && out.charAt(end - 1) == '\r' ? out.substring(0, end - 1) : out.toString();
      }
      out.append((char) c);
    }
    return null;
  }

  static Thread daemon(Runnable action) {
    Thread thread = new Thread(null, action, "stand-in", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
