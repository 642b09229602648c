package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A small site on loopback: three controllers as processes, and stand-ins around them. */
final class Site implements AutoCloseable {
  /** The figures of the settings. */
  record Figures(
      List<String> zones,
      List<Map<String, Object>> teams,
      double reportS,
      double leaseS,
      double gangWaitS,
      double gangPeerS,
      double cancelS,
      double stateRps,
      double writeRps,
      double valueKb,
      int txnOps,
      double cloudRps,
      double listLagS,
      double backS) {}

  final Figures figures;
  final StateService state;
  final Cloud cloud;
  final List<Controller> controllers = new ArrayList<>();
  final PrintWriter record;
  final long begunAt = System.nanoTime();
  private final Path directory;
  private volatile boolean closed;

  Site(Figures figures, Path recordFile) throws IOException {
    this.figures = figures;
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    directory = Files.createTempDirectory("quincecross-review-");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    state = new StateService(figures, 3);
    int[] ports = freePorts(6);
    List<Integer> user = List.of(ports[0], ports[1], ports[2]);
    cloud = new Cloud(this, user);
    String run = run(Path.of("deploy/service.toml"));
    for (int i = 0; i < 3; i++) {
      Path settings = directory.resolve("berth-" + i + ".json");
      Files.writeString(settings, Json.write(settings(i, ports)));
      List<String> command = new ArrayList<>(List.of(run.trim().split("\\s+")));
      command.add(settings.toString());
      controllers.add(new Controller(i, command, ports[i]));
    }
  }

  double now() {
    return (System.nanoTime() - begunAt) / 1e9;
  }

  synchronized void say(String text, Object... args) {
    record.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, text, args));
  }

  private static String run(Path deploy) throws IOException {
    for (String line : Files.readAllLines(deploy)) {
      if (line.startsWith("run")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("no run line in " + deploy);
  }

  /** Free ports below those that the system gives to outgoing connections, so that none of these takes them. */
  private static int[] freePorts(int count) throws IOException {
    java.util.Random random = new java.util.Random();
    java.net.ServerSocket[] sockets = new java.net.ServerSocket[count];
    int[] ports = new int[count];
    for (int i = 0; i < count; ) {
      ports[i] = 12_000 + random.nextInt(18_000);
      java.net.ServerSocket socket = new java.net.ServerSocket();
      try {
        socket.bind(new java.net.InetSocketAddress(java.net.InetAddress.getByName("127.0.0.1"), ports[i]));
        sockets[i++] = socket;
      } catch (IOException e) {
        socket.close(); // in use
      }
    }
    for (java.net.ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private Map<String, Object> settings(int self, int[] ports) {
    List<Object> siblings = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      if (i != self) {
        siblings.add(
            Json.object(
                "member", "berth-" + i,
                "site", figures.zones().get(i % figures.zones().size()),
                "endpoint", "127.0.0.1:" + ports[3 + i]));
      }
    }
    return Json.object(
        "member", "berth-" + self,
        "site", figures.zones().get(self % figures.zones().size()),
        "listen", "127.0.0.1:" + ports[self],
        "peer_bind", "127.0.0.1:" + ports[3 + self],
        "siblings", siblings,
        "external",
            Json.object(
                "cloud", "127.0.0.1:" + cloud.port(), "state", "127.0.0.1:" + state.port(self)),
        "params",
            Json.object(
                "nodes", 3,
                "zones", figures.zones(),
                "teams", figures.teams(),
                "objectives", List.of(),
                "workers",
                    Json.object(
                        "report_s", figures.reportS(),
                        "lease_s", figures.leaseS(),
                        "gang_wait_s", figures.gangWaitS(),
                        "gang_peer_s", figures.gangPeerS(),
                        "cancel_s", figures.cancelS()),
                "state",
                    Json.object(
                        "rps", figures.stateRps(),
                        "write_rps", figures.writeRps(),
                        "value_kb", figures.valueKb(),
                        "txn_ops", figures.txnOps()),
                "cloud", Json.object("rps", figures.cloudRps(), "list_lag_s", figures.listLagS()),
                "quota", Json.object("cpu", 0.44, "ram_mb", 320.0, "fd_limit", 3000),
                "time_bound_ms", 1000.0));
  }

  /** A controller; the platform starts it again when it has ended by itself. */
  final class Controller {
    final int index;
    final int port;
    private final List<String> command;
    private Process process;
    private boolean wanted;
    int endedByItself;

    Controller(int index, List<String> command, int port) {
      this.index = index;
      this.command = command;
      this.port = port;
    }

    synchronized void start() throws IOException {
      if (closed) {
        return;
      }
      wanted = true;
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(directory.resolve("berth-" + index + ".log").toFile()));
      Process started = builder.start();
      process = started;
      say("controller berth-%d started", index);
      started.onExit().thenAccept(this::ended);
    }

    private void ended(Process which) {
      synchronized (this) {
        if (closed || which != process || !wanted) {
          return;
        }
        endedByItself++;
      }
      say("controller berth-%d ENDED BY ITSELF, status %d: %s", index, which.exitValue(), lastLine());
      Web.daemon(
          () -> {
            sleep(figures.backS());
            try {
              if (!closed) {
                start();
              }
            } catch (IOException e) {
              say("controller berth-%d cannot be started: %s", index, e.getMessage());
            }
          });
    }

    synchronized void kill() {
      wanted = false;
      process.destroyForcibly();
      say("controller berth-%d killed", index);
    }

    void signal(String name) {
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor(2, TimeUnit.SECONDS);
        say("controller berth-%d: signal %s", index, name);
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    String log() {
      try {
        return Files.readString(directory.resolve("berth-" + index + ".log"), StandardCharsets.UTF_8);
      } catch (IOException e) {
        return "";
      }
    }

    private String lastLine() {
      String[] lines = log().split("\n");
      for (String line : lines) {
        if (line.contains("Exception in") || line.contains("OutOfMemory")) {
          return line;
        }
      }
      return lines[lines.length - 1];
    }

    boolean isUp() {
      try (Web.Client client = new Web.Client(port)) {
        Web.Answer answer = client.call("GET", "/up", null, 1000);
        return answer != null && answer.status() == 200;
      }
    }
  }

  void startAll() throws IOException {
    for (Controller controller : controllers) {
      controller.start();
    }
  }

  /** Waits until all controllers are up; false if they are not in time. */
  boolean awaitUp(double seconds) {
    double until = now() + seconds;
    while (now() < until) {
      if (controllers.stream().allMatch(Controller::isUp)) {
        say("all controllers answer /up with 200");
        return true;
      }
      sleep(0.2);
    }
    return false;
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    for (Controller controller : controllers) {
      if (controller.process != null) {
        controller.process.destroyForcibly();
      }
    }
    cloud.close();
    state.close();
    String keep = System.getenv("KEEP_LOGS");
    try (var files = Files.walk(directory)) {
      for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
        if (keep != null && file.toString().endsWith(".log")) {
          Files.copy(file, Path.of(keep, file.getFileName().toString()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      // left to the system
    }
    record.flush();
  }
}
