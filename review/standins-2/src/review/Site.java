package review;

import java.io.File;
import java.io.PrintWriter;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.quincecross.protocol.Json;

/**
 * A small deployment on loopback: three controllers as processes of their own, started with the
 * `run` line of the deploy file, and stand-ins for the state service, the cloud, the workers and
 * the users in this process. Also notes which task is on which machine.
 */
final class Site implements AutoCloseable {
  /** A job as its user knows it. {@code runS}: how long each task takes. */
  static final class Job {
    final String id;
    final String team;
    final String shape;
    final int pieces;
    final double cpus;
    final double memory;
    final double runS;
    String rank = "standard";
    String zone;
    boolean loaners;
    boolean scatter;
    boolean oneZone;
    String bundle = "img-1";
    double imageGb = 0.1;
    double markEveryS;
    double markCostS;
    double guessS;
    Double dueS;

    Job(String id, String team, String shape, int pieces, double cpus, double memory, double runS) {
      this.id = id;
      this.team = team;
      this.shape = shape;
      this.pieces = pieces;
      this.cpus = cpus;
      this.memory = memory;
      this.runS = runS;
      this.guessS = shape.equals("standing") ? 0 : runS;
    }

    Map<String, Object> body() {
      Map<String, Object> body =
          Json.object(
              "Uid", id, "Lane", "menu-sync", "Crew", team, "Shape", shape, "Rank", rank,
              "Pieces", pieces, "Cpus", cpus, "Cards", 0.0, "MemGb", memory, "Bundle", bundle,
              "ImageGb", imageGb, "Hulls", null, "Yard", zone, "OneZone", oneZone, "Scatter",
              scatter, "Loaners", loaners, "GuessS", guessS, "MarkEveryS", markEveryS,
              "MarkCostS", markCostS, "DueS", dueS);
      return body;
    }
  }

  private static final long START = System.nanoTime();

  /** The figures of a deployment, as its page (BRIEF) and its site file have them. */
  record Deployment(
      List<String> zones,
      List<String> nodeZones,
      List<String> teams,
      double teamLimit,
      double reportS,
      double leaseS,
      double gangPeerS,
      double cancelS,
      double writeRps,
      double valueKb,
      int txnOps,
      double cloudRps,
      double cpu,
      double ramMb,
      int sockets,
      double clockOffMs,
      String machine,
      double cpus,
      double memoryGb) {
    /** The restaurants' deployment, with its machine type `kishi-8`. */
    static final Deployment DASTARKHAN =
        new Deployment(
            List.of("almaty", "astana"),
            List.of("almaty", "astana", "almaty"),
            List.of("core-tech-1", "core-tech-2", "core-tech-3"),
            240, 0.8, 11, 8, 36, 15, 4, 8, 2, 0.44, 176, 800, 250, "kishi-8", 8, 32);

    /** The lookup cluster's deployment. */
    static final Deployment KERLANN =
        new Deployment(
            List.of("rennes", "lannion", "brest"),
            List.of("rennes", "lannion", "brest"),
            List.of("requetes", "indexation", "plateforme"),
            520, 3, 24, 4, 54, 80, 8, 24, 4, 0.33, 320, 3000, 1000, "menhir-16", 16, 128);
  }

  final Deployment deployment;
  final double reportS;
  final double leaseS;
  final double cancelS;
  final List<String> zones;
  final double teamLimit;
  final Random random = new Random(58);
  final Store store;
  final Cloud cloud;
  private final Path home;
  private final Path directory;
  private final PrintWriter record;
  private final Process[] processes = new Process[3];
  private final int[] userPorts = new int[3];
  private final int[] peerPorts = new int[3];
  private final boolean[] up = new boolean[3];
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Set<String>> where = new TreeMap<>();
  private final Map<String, Set<Integer>> completed = new HashMap<>();
  private final List<String> broken = new ArrayList<>();

  /** Tells whether packets between a worker and a controller pass. */
  interface Reach {
    boolean passes(Worker worker, int node);
  }

  volatile Reach reach = (worker, node) -> true;
  volatile java.util.function.Predicate<Worker> dark = worker -> false;

  /** Workers whose reports arrive, but to which answers and direct commands are lost. */
  volatile java.util.function.Predicate<Worker> deaf = worker -> false;

  /** By how much `Tick` increases. */
  volatile int tickStep = 1;

  volatile double lateCommands;
  volatile double lateReports;

  Site(Path home, Path recordFile, Deployment deployment, Store.HoldIds holdIds) throws Exception {
    this.home = home;
    this.deployment = deployment;
    this.reportS = deployment.reportS();
    this.leaseS = deployment.leaseS();
    this.cancelS = deployment.cancelS();
    this.zones = deployment.zones();
    this.teamLimit = deployment.teamLimit();
    this.record = new PrintWriter(recordFile.toFile(), StandardCharsets.UTF_8);
    this.directory = Files.createTempDirectory("quincecross-review-");
    store =
        new Store(
            200,
            deployment.writeRps(),
            deployment.valueKb(),
            deployment.txnOps(),
            BigInteger.ZERO,
            holdIds);
    cloud = new Cloud(this, deployment.cloudRps(), 8);
    for (int node = 0; node < 3; node++) {
      userPorts[node] = freePort();
      peerPorts[node] = freePort();
    }
    for (int node = 0; node < 3; node++) {
      Files.write(settingsFile(node), Json.write(settings(node, store.serve(node))));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    Http.thread(
        () -> {
          sleep(118_000);
          record("result", "the case took too long");
          endProcesses();
          Runtime.getRuntime().halt(2);
        });
    Http.thread(
        () -> {
          while (true) {
            for (int node = 0; node < 3; node++) {
              boolean is = Http.call(userPorts[node], "GET", "/up", new byte[0], 1000).status() == 200;
              if (is != up[node]) {
                record("health", name(node) + (is ? " is healthy" : " is unhealthy"));
              }
              up[node] = is;
            }
            sleep(500);
          }
        });
  }

  /** A free port below those that outgoing connections get by themselves. */
  private static int freePort() throws Exception {
    Random any = new Random();
    while (true) {
      int port = 15_000 + any.nextInt(15_000);
      try (java.net.ServerSocket socket = new java.net.ServerSocket()) {
        socket.bind(new java.net.InetSocketAddress("127.0.0.1", port));
        return port;
      } catch (java.io.IOException e) {
        // in use: another one
      }
    }
  }

  private Path settingsFile(int node) {
    return directory.resolve(name(node) + ".json");
  }

  static String name(int node) {
    return "berth-" + node;
  }

  int nodeNamed(String name) {
    for (int node = 0; node < 3; node++) {
      if (name(node).equals(name)) {
        return node;
      }
    }
    return -1;
  }

  int nodes() {
    return 3;
  }

  int userPort(int node) {
    return userPorts[node];
  }

  private Map<String, Object> settings(int node, int storePort) {
    List<Object> siblings = new ArrayList<>();
    for (int other = 0; other < 3; other++) {
      if (other != node) {
        siblings.add(
            Json.object(
                "member", name(other), "site", deployment.nodeZones().get(other), "endpoint",
                "127.0.0.1:" + peerPorts[other]));
      }
    }
    List<Object> teams = new ArrayList<>();
    for (String team : deployment.teams()) {
      teams.add(
          Json.object(
              "name", team, "cpus", 0.0, "cpus_max", teamLimit, "gpus", 0.0,
              "gpus_max", 0.0));
    }
    return Json.object(
        "member", name(node),
        "site", deployment.nodeZones().get(node),
        "listen", "127.0.0.1:" + userPorts[node],
        "peer_bind", "127.0.0.1:" + peerPorts[node],
        "siblings", siblings,
        "external",
            Json.object("cloud", "127.0.0.1:" + cloud.port, "state", "127.0.0.1:" + storePort),
        "params",
            Json.object(
                "nodes", 3,
                "zones", zones,
                "teams", teams,
                "objectives", List.of(),
                "workers",
                    Json.object(
                        "report_s", reportS, "lease_s", leaseS, "gang_wait_s", 35.0,
                        "gang_peer_s", deployment.gangPeerS(), "cancel_s", cancelS),
                "state",
                    Json.object(
                        "rps", 200.0, "write_rps", deployment.writeRps(), "value_kb",
                        deployment.valueKb(), "txn_ops", deployment.txnOps()),
                "cloud", Json.object("rps", deployment.cloudRps(), "list_lag_s", 8.0),
                "quota",
                    Json.object(
                        "cpu", deployment.cpu(), "ram_mb", deployment.ramMb(), "fd_limit",
                        deployment.sockets()),
                "time_bound_ms", deployment.clockOffMs()));
  }

  // ---- controllers ----

  /** Starts a controller with the `run` line of the deploy file. */
  void start(int node) throws Exception {
    String run = null;
    for (String line : Files.readAllLines(home.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = \"")) {
        run = line.substring(7, line.lastIndexOf('"'));
      }
    }
    List<String> command = new ArrayList<>(List.of(run.split(" ")));
    command.add(settingsFile(node).toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(home.toFile());
    builder.environment().putIfAbsent("LOG_LEVEL", "info");
    File log = directory.resolve(name(node) + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    processes[node] = builder.start();
    record("node", name(node) + " started");
  }

  /** Whether the process of a controller that was not killed has ended by itself. */
  boolean hasEnded(int node) {
    return processes[node] != null && !processes[node].isAlive();
  }

  void kill(int node) throws Exception {
    processes[node].destroyForcibly().waitFor();
    processes[node] = null;
    record("node", name(node) + " killed");
  }

  /** Stops (SIGSTOP) or continues (SIGCONT) a controller. */
  void signal(int node, String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, String.valueOf(processes[node].pid()))
        .start()
        .waitFor();
    record("node", name(node) + " got SIG" + signal);
  }

  Path log(int node) {
    return directory.resolve(name(node) + ".log");
  }

  /** The number of the leader, or -1. */
  int leader() {
    Object value = store.value("q/leads");
    value = value == null ? store.value("q/leader") : value;
    return value instanceof Map<?, ?> map ? nodeNamed(String.valueOf(map.get("member"))) : -1;
  }

  Map<?, ?> status(int node) {
    return json(Http.call(userPorts[node], "GET", "/admin/status", new byte[0], 2000).body());
  }

  /** Waits until all controllers are healthy and some machines report; false after a while. */
  boolean ready(int machines) {
    for (int i = 0; i < 300; i++) {
      sleep(100);
      boolean all = leader() >= 0;
      for (int node = 0; node < 3; node++) {
        all &= up[node];
      }
      if (all && machinesInShards() >= machines) {
        return true;
      }
    }
    return false;
  }

  int machinesInShards() {
    int count = 0;
    for (Object shard : shards().values()) {
      count += ((List<?>) ((Map<?, ?>) shard).get("machines")).size();
    }
    return count;
  }

  Map<String, Object> shards() {
    Map<String, Object> shards = new TreeMap<>();
    synchronized (store) {
      for (String key : store.keys.keySet()) {
        if (key.startsWith("q/block/")) {
          shards.put(key.substring(8), store.value(key));
        }
      }
    }
    return shards;
  }

  // ---- users ----

  static Map<?, ?> json(byte[] body) {
    try {
      return (Map<?, ?>) Json.parse(body);
    } catch (Exception e) {
      return Map.of();
    }
  }

  private int pick(int turn) {
    for (int i = 0; i < 3; i++) {
      int node = (turn + i) % 3;
      if (up[node]) {
        return node;
      }
    }
    return turn % 3;
  }

  synchronized Job job(String id) {
    return jobs.get(id);
  }

  /** Submits a job as a user does, for up to 60 s; true once it is accepted. */
  boolean submit(Job job) {
    synchronized (this) {
      jobs.put(job.id, job);
    }
    double until = now() + 60;
    for (int turn = random.nextInt(3); now() < until; turn++) {
      int node = pick(turn);
      Http.Response response =
          Http.call(userPorts[node], "POST", "/v2/runs", Json.write(job.body()), 5000);
      record("submit", job.id + " to " + name(node) + ": " + response.status());
      if (response.status() == 200 || response.status() == 201) {
        return true;
      }
      if (response.status() == 400 || response.status() == 422) {
        return false;
      }
      sleep(1000);
    }
    return false;
  }

  /** Asks one controller; the status word, or a number if the answer has none. */
  String poll(String id, int node) {
    Http.Response response =
        Http.call(userPorts[node], "GET", "/v2/runs/" + id, new byte[0], 2000);
    Object status = json(response.body()).get("Status");
    String answer = response.status() == 200 ? String.valueOf(status) : "" + response.status();
    record("poll", id + " at " + name(node) + ": " + answer
        + (response.status() == 200
            ? " done " + json(response.body()).get("done") + " running "
                + json(response.body()).get("running")
            : ""));
    return answer;
  }

  String poll(String id) {
    return poll(id, pick(random.nextInt(3)));
  }

  /** Cancels a job as a user does; the final word, or null if there was none. */
  String cancel(String id, double forS) {
    double until = now() + forS;
    for (int turn = random.nextInt(3); now() < until; turn++) {
      int node = pick(turn);
      Http.Response response =
          Http.call(userPorts[node], "POST", "/v2/runs/" + id + "/cancel", new byte[0], 5000);
      Object status = json(response.body()).get("Status");
      record("cancel", id + " at " + name(node) + ": " + response.status() + " " + status);
      if (response.status() == 200) {
        return String.valueOf(status);
      }
      sleep(1000);
    }
    return null;
  }

  // ---- what machines do ----

  boolean canReach(Worker worker, int node) {
    return reach.passes(worker, node) && !dark.test(worker);
  }

  boolean isDark(Worker worker) {
    return dark.test(worker);
  }

  synchronized void started(String task, Worker worker, BigInteger attempt) {
    Set<String> machines = where.computeIfAbsent(task, id -> new HashSet<>());
    record("run", task + " try " + attempt + " is on " + worker.id);
    if (!machines.isEmpty()) {
      broken("ran_twice: " + task + " starts on " + worker.id + " while it is on " + machines);
    }
    machines.add(worker.id);
    Job job = jobs.get(task.substring(0, task.indexOf('/')));
    if (job.zone != null && !job.zone.equals(worker.zone) || worker.spot && !job.loaners) {
      broken("wrong_place: " + task + " starts on " + worker.id);
    }
    double used = 0;
    for (Map.Entry<String, Set<String>> each : where.entrySet()) {
      Job other = jobs.get(each.getKey().substring(0, each.getKey().indexOf('/')));
      used += other.team.equals(job.team) ? other.cpus * each.getValue().size() : 0;
    }
    if (used > teamLimit + 1e-6) {
      broken("quota: " + job.team + " uses " + used);
    }
  }

  synchronized void left(String task, String machine, BigInteger attempt, String why) {
    record("leave", task + " try " + attempt + " left " + machine + ": " + why);
    where.getOrDefault(task, new HashSet<>()).remove(machine);
  }

  synchronized Set<String> machinesOf(String task) {
    return Set.copyOf(where.getOrDefault(task, Set.of()));
  }

  /** The tasks of a job that are on machines. */
  synchronized int running(String job) {
    int count = 0;
    for (Map.Entry<String, Set<String>> each : where.entrySet()) {
      count += each.getKey().startsWith(job + "/") && !each.getValue().isEmpty() ? 1 : 0;
    }
    return count;
  }

  synchronized void completed(String task) {
    int slash = task.indexOf('/');
    completed
        .computeIfAbsent(task.substring(0, slash), id -> new HashSet<>())
        .add(Integer.parseInt(task.substring(slash + 1)));
  }

  synchronized int completedOf(String job) {
    return completed.getOrDefault(job, Set.of()).size();
  }

  synchronized void broken(String what) {
    record("BROKEN", what);
    broken.add(what);
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  // ---- time and record ----

  double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  void record(String what, String text) {
    String line = String.format("%8.3f %-7s %s", now(), what, text);
    synchronized (record) {
      record.println(line);
      record.flush();
    }
  }

  private void endProcesses() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  /** Ends all processes and removes the temporary folder; logs are kept with KEEP_LOGS=1. */
  @Override
  public void close() throws Exception {
    endProcesses();
    for (Process process : processes) {
      if (process != null) {
        process.waitFor();
      }
    }
    synchronized (record) {
      record.flush();
    }
    if ("1".equals(System.getenv("KEEP_LOGS"))) {
      System.err.println("logs: " + directory);
      return;
    }
    for (File file : directory.toFile().listFiles()) {
      file.delete();
    }
    directory.toFile().delete();
  }
}
