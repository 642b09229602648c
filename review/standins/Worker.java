package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The worker of a machine, for arrays and services, as the protocol describes it. */
final class Worker implements AutoCloseable {
  /** What users uploaded of a job: all that a worker needs to run its tasks. */
  record Job(String uid, double cpus, double memGb, String bundle, double imageGb, double runS, int pieces) {}

  private static final class Task {
    final String piece;
    final long attempt;
    final Job job;
    String status = "pulling";
    String cause;
    double hasImageAt;
    double since;

    Task(String piece, long attempt, Job job) {
      this.piece = piece;
      this.attempt = attempt;
      this.job = job;
    }
  }

  /** Sees every direct command, before it is carried out. */
  interface Tap {
    void orders(Worker worker, String body);
  }

  static final Map<String, Job> JOBS = new java.util.concurrent.ConcurrentHashMap<>();

  final String id;
  private final Site site;
  private final Map<String, Object> type;
  private final String yard;
  private final boolean loaners;
  private final List<Integer> controllers;
  private final Web.Server server;
  private final Random random = new Random(7);
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final Map<String, Long> results = new HashMap<>();
  private final double upAt;
  private final double begun;
  private long shift = 1;
  private long tick;
  private long baton;
  private double leaseFrom;
  private boolean changed = true;
  private boolean closed;
  private int target;
  private volatile double hangsUntil;
  volatile Tap tap;

  Worker(
      Site site,
      String id,
      Map<String, Object> type,
      String yard,
      boolean loaners,
      List<Integer> controllers,
      double bootS)
      throws IOException {
    this.site = site;
    this.id = id;
    this.type = type;
    this.yard = yard;
    this.loaners = loaners;
    this.controllers = controllers;
    begun = site.now();
    upAt = begun + bootS;
    leaseFrom = upAt;
    target = random.nextInt(controllers.size());
    server = new Web.Server(0, this::handle);
    Web.daemon(this::reportLoop);
    Web.daemon(this::taskLoop);
  }

  int port() {
    return server.port();
  }

  boolean isOf(Cloud.Pool pool) {
    return pool.hull().equals(type.get("Sku")) && pool.yard().equals(yard) && pool.loaners() == loaners;
  }

  Map<String, Object> listed() {
    return Json.object(
        "Uid", id, "Addr", "127.0.0.1:" + port(), "Hull", type.get("Sku"), "Yard", yard,
        "Loaners", loaners, "Status", site.now() < upAt ? "starting" : "running",
        "AgeS", site.now() - begun);
  }

  synchronized boolean holds(String piece) {
    return tasks.values().stream().anyMatch(task -> task.piece.equals(piece));
  }

  /** Whether a task is on this machine: it has its image and has not exited. */
  synchronized boolean isOn(String piece) {
    return tasks.values().stream()
        .anyMatch(task -> task.piece.equals(piece) && isOn(task));
  }

  /** The machine hangs: it executes nothing, reports nothing and answers nothing, then goes on. */
  void hang(double seconds) {
    hangsUntil = site.now() + seconds;
    site.say("%s hangs for %.0f s", id, seconds);
  }

  private void awaitHang() {
    while (site.now() < hangsUntil) {
      Site.sleep(0.05);
    }
  }

  private static boolean isOn(Task task) {
    return !task.status.equals("pulling") && !task.status.equals("exited");
  }

  // ---- messages ----

  private Map<String, Object> report() {
    List<Object> pieces = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> piece =
          Json.object("Piece", task.piece, "Try", task.attempt, "Status", task.status);
      if (task.cause != null) {
        piece.put("Cause", task.cause);
      }
      pieces.add(piece);
    }
    return Json.object(
        "Host", id, "Addr", "127.0.0.1:" + port(), "Hull", type.get("Sku"), "Yard", yard,
        "Loaners", loaners, "Shift", shift, "Tick", ++tick, "Baton", baton, "RecallS", null,
        "Pieces", pieces);
  }

  private Web.Answer handle(Web.Request request) {
    if (site.now() < upAt) {
      return Web.Answer.NONE;
    }
    awaitHang();
    if (request.path().equals("/status")) {
      synchronized (this) {
        return Web.Answer.of(200, report());
      }
    }
    if (!request.path().equals("/orders")) {
      return Web.Answer.of(404, null);
    }
    Tap listener = tap;
    if (listener != null) {
      listener.orders(this, request.body());
    }
    return orders(request.body());
  }

  /** Carries a direct command out, as if it had just arrived. */
  synchronized Web.Answer orders(String body) {
    Map<String, Object> in = Json.parseObject(body);
    if (in.get("Baton") == null || in.get("Shift") == null) {
      return Web.Answer.of(400, null);
    }
    long token = Json.number(in.get("Baton"));
    if (token < baton || Json.number(in.get("Shift")) != shift) {
      return Web.Answer.of(409, report());
    }
    see(token);
    execute(in);
    return Web.Answer.of(200, report());
  }

  private void see(long token) {
    if (token > baton) {
      baton = token;
      changed = true;
    }
  }

  private void execute(Map<String, Object> in) {
    for (Map<String, Object> order : Json.objects(in.get("Orders"))) {
      String piece = (String) order.get("Piece");
      long attempt = Json.number(order.get("Try"));
      String key = piece + " " + attempt;
      Task task = tasks.get(key);
      switch ((String) order.get("Verb")) {
        case "start" -> {
          if (task == null) {
            start(piece, attempt, key);
          }
        }
        case "halt" -> {
          if (task != null && !task.status.equals("exited")) {
            exit(task, "stopped");
          }
        }
        case "clear" -> {
          if (task != null && task.status.equals("exited")) {
            tasks.remove(key);
            changed = true;
          }
        }
        default -> throw new IllegalArgumentException("unknown verb");
      }
    }
  }

  private void start(String piece, long attempt, String key) {
    Job job = JOBS.get(piece.substring(0, piece.indexOf('/')));
    Task task = new Task(piece, attempt, job);
    changed = true;
    double cpus = 0;
    double memory = 0;
    boolean inUse = false;
    for (Task other : tasks.values()) {
      if (!other.status.equals("exited")) {
        cpus += other.job.cpus();
        memory += other.job.memGb();
        inUse |= other.piece.equals(piece);
      }
    }
    tasks.put(key, task);
    if (job == null || inUse || cpus + job.cpus() > (Double) type.get("Cpus") + 1e-6
        || memory + job.memGb() > (Double) type.get("MemGb") + 1e-6) {
      task.status = "exited";
      task.cause = job == null ? "no_such" : inUse ? "in_use" : "full";
      site.say("%s refuses %s try %d: %s", id, piece, attempt, task.cause);
      return;
    }
    task.hasImageAt =
        site.now() + (images.contains(job.bundle()) ? 0 : job.imageGb() / (Double) type.get("PullGbPerS"));
    step(task);
  }

  private void exit(Task task, String cause) {
    if (isOn(task)) {
      site.say("%s: %s try %d leaves, %s", id, task.piece, task.attempt, cause);
    }
    task.status = "exited";
    task.cause = cause;
    changed = true;
  }

  private void step(Task task) {
    double now = site.now();
    if (task.status.equals("pulling") && now >= task.hasImageAt) {
      images.add(task.job.bundle());
      task.status = "running";
      task.since = now;
      changed = true;
      site.say("%s: %s try %d STARTS", id, task.piece, task.attempt);
      if (results.containsKey(task.piece)) {
        exit(task, "done");
      }
    }
    if (task.status.equals("running") && task.job.runS() > 0 && now - task.since >= task.job.runS()) {
      results.put(task.piece, task.attempt);
      exit(task, "done");
    }
  }

  private void taskLoop() {
    while (true) {
      Site.sleep(0.02);
      double before = site.now();
      awaitHang();
      double hung = site.now() - before;
      synchronized (this) {
        if (closed) {
          return;
        }
        for (Task task : hung > 0.04 ? tasks.values() : List.<Task>of()) {
          task.since += hung;
          task.hasImageAt += hung;
        }
        tasks.values().stream().filter(task -> !task.status.equals("exited")).toList().forEach(this::step);
        if (site.now() > upAt && site.now() - leaseFrom > site.figures.leaseS()) {
          site.say("%s: its lease has ended, session %d is over", id, shift);
          for (Task task : tasks.values()) {
            if (isOn(task)) {
              site.say("%s: %s try %d leaves, killed", id, task.piece, task.attempt);
            }
          }
          tasks.clear();
          shift++;
          leaseFrom = site.now();
          changed = true;
        }
      }
    }
  }

  private void reportLoop() {
    Site.sleep(Math.max(0, upAt - site.now()));
    Web.Client client = null;
    int at = -1;
    while (true) {
      awaitHang();
      Map<String, Object> body;
      double sentAt;
      long session;
      synchronized (this) {
        if (closed) {
          return;
        }
        changed = false;
        body = report();
        sentAt = site.now();
        session = shift;
      }
      if (at != target) {
        if (client != null) {
          client.close();
        }
        at = target;
        client = new Web.Client(controllers.get(at));
      }
      Web.Answer answer = client.call("POST", "/agent/beat", body, 4000);
      awaitHang();
      if (site.now() - sentAt > 4) {
        answer = null; // too late
      }
      double pause = 1;
      if (answer != null && answer.status() == 200) {
        accept(answer.body(), sentAt, session);
        pause = 0;
      } else if (answer != null && answer.status() == 421 && answer.body().contains("AnswerTo")) {
        String name = (String) Json.parseObject(answer.body()).get("AnswerTo");
        int next = Integer.parseInt(name.substring(name.indexOf('-') + 1));
        pause = next == target ? 1 : 0.1;
        target = next == target ? (target + 1) % controllers.size() : next;
      } else {
        client.close();
        target = (target + 1) % controllers.size();
      }
      if (pause > 0) {
        Site.sleep(pause);
        continue;
      }
      double next = sentAt + site.figures.reportS() * (0.75 + 0.5 * random.nextDouble());
      while (site.now() < next) {
        Site.sleep(0.02);
        synchronized (this) {
          if (closed || (changed && site.now() - sentAt >= 0.5)) {
            break;
          }
        }
      }
    }
  }

  private synchronized void accept(String text, double sentAt, long session) {
    Map<String, Object> in = Json.parseObject(text);
    Object token = in.get("Baton");
    if (session != shift || token == null || Json.number(token) < baton) {
      return;
    }
    see(Json.number(token));
    leaseFrom = Math.max(leaseFrom, sentAt);
    execute(in);
  }

  @Override
  public void close() {
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      for (Task task : tasks.values()) {
        if (isOn(task)) {
          site.say("%s: %s try %d leaves, the machine is gone", id, task.piece, task.attempt);
        }
      }
      tasks.clear();
    }
    server.close();
  }
}
